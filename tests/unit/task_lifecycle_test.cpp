// Tests of TaskLifecycle: starting, stopping, draining, cancelling and ending tasks, including those of gangs.
#include "control/task_lifecycle.h"

#include "cluster_fixture.h"
#include "config/constants.h"

namespace foxshunt::control {
namespace {

class TaskLifecycleTest : public ClusterFixture {
 protected:
  TaskLifecycleTest() : leadership_(Millis(30'000)), tasks_(cluster_, leadership_), machine_(add_machine("m-000001")) {
    leadership_.begin_term(Term(7), Revision(1), now_);
    machine_.address = "127.0.0.1:1";
  }

  // A job whose first `placed` tasks are allocated to the machine.
  Job& add_placed(const wire::JobSpec& spec, std::uint32_t placed) {
    Job& job = add_job(spec);
    for (std::uint32_t index = 0; index < placed; ++index)
      tasks_.place_task(job, index, AttemptNumber(1), machine_, now_);
    return job;
  }

  jobs::Allocation& allocation_of(const Job& job, std::uint32_t index) {
    return *cluster_.jobs.find_allocation({job.spec.id, index});
  }

  Leadership leadership_;
  TaskLifecycle tasks_;
  Machine& machine_;
};

TEST_F(TaskLifecycleTest, TaskCanStartOnceItsAllocationIsDurable) {
  const Job& job = add_placed(spec_of("j-000001", 1), 1);
  jobs::Allocation& allocation = allocation_of(job, 0);
  EXPECT_FALSE(tasks_.can_start(job, allocation, now_));
  write_records();
  EXPECT_TRUE(tasks_.can_start(job, allocation, now_));
  EXPECT_FALSE(tasks_.can_start(job, allocation, now_ + constants::kLeaderLeaseTtl));
}

TEST_F(TaskLifecycleTest, GangMemberCanStartOnlyWhenAllAllocationsAreDurable) {
  Job& job = add_placed(spec_of("j-000001", 2, wire::JobKind::gang), 1);
  write_records();
  tasks_.place_task(job, 1, AttemptNumber(1), machine_, now_);
  EXPECT_FALSE(tasks_.can_start(job, allocation_of(job, 0), now_));
  write_records();
  EXPECT_TRUE(tasks_.can_start(job, allocation_of(job, 0), now_));
}

TEST_F(TaskLifecycleTest, GracePeriodIsOnlyShortened) {
  Job& job = add_placed(spec_of("j-000001", 1), 1);
  tasks_.stop_task(job, 0, 10);
  EXPECT_EQ(allocation_of(job, 0).grace_s, 10);
  tasks_.stop_task(job, 0, 20);
  EXPECT_EQ(allocation_of(job, 0).grace_s, 10);
  tasks_.stop_task(job, 0, 0);
  EXPECT_EQ(allocation_of(job, 0).grace_s, 0);
}

TEST_F(TaskLifecycleTest, SendsStopDirectlyIfNoHeartbeatAnswerDeliversIt) {
  Job& job = add_placed(spec_of("j-000001", 1), 1);
  allocation_of(job, 0).reported_state = wire::TaskState::running;
  tasks_.stop_task(job, 0, 0);
  EXPECT_TRUE(tasks_.due_direct_stops(now_).empty());
  const auto due = tasks_.due_direct_stops(now_ + Millis(1'500));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due.front().machine, machine_.id);
  EXPECT_EQ(due.front().term, Term(7));
  ASSERT_EQ(due.front().commands.size(), 1U);
  EXPECT_EQ(due.front().commands.front().task, (TaskKey{job.spec.id, 0}));
}

TEST_F(TaskLifecycleTest, KeepsCompleteCheckpointsWhenTaskEnds) {
  wire::JobSpec spec = spec_of("j-000001", 1);
  spec.checkpoint_s = 10;
  Job& job = add_placed(spec, 1);
  allocation_of(job, 0).running_since = now_;
  tasks_.confirm_terminated(job, 0, "requested by the test", now_ + Millis(25'000));
  EXPECT_EQ(job.allocation_count, 0U);
  EXPECT_EQ(job.saved_progress.at(0), Millis(20'000));
}

TEST_F(TaskLifecycleTest, CancellingDropsAllocationsThatAreNotDurable) {
  Job& job = add_placed(spec_of("j-000001", 2), 1);
  write_records();
  tasks_.place_task(job, 1, AttemptNumber(1), machine_, now_);
  tasks_.cancel_job(job, now_);
  EXPECT_TRUE(job.cancelled);
  ASSERT_EQ(job.allocation_count, 1U);
  EXPECT_TRUE(allocation_of(job, 0).stopping);
}

TEST_F(TaskLifecycleTest, LostMemberOfStartedGangEndsTheAttempt) {
  Job& job = add_placed(spec_of("j-000001", 2, wire::JobKind::gang), 2);
  for (const std::uint32_t index : {0U, 1U}) {
    allocation_of(job, index).reported_state = wire::TaskState::running;
    allocation_of(job, index).running_since = now_;
  }
  tasks_.mark_task_lost({job.spec.id, 0}, "requested by the test", now_);
  EXPECT_EQ(job.allocation_count, 1U);
  EXPECT_TRUE(allocation_of(job, 1).stopping);
}

TEST_F(TaskLifecycleTest, DrainingStopsTasksWithCheckpointGracePeriod) {
  wire::JobSpec spec = spec_of("j-000001", 1);
  spec.checkpoint_s = 10;
  spec.save_s = 5;
  const Job& job = add_placed(spec, 1);
  tasks_.drain_machine(machine_, "requested by the test");
  EXPECT_EQ(machine_.state, MachineState::draining);
  EXPECT_TRUE(allocation_of(job, 0).stopping);
  EXPECT_GE(allocation_of(job, 0).grace_s, 5);
}

}  // namespace
}  // namespace foxshunt::control
