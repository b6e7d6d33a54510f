// Tests of Reconciler: which commands answer a heartbeat, and what the job table learns from it.
#include "control/reconciler.h"

#include "cluster_fixture.h"
#include "config/constants.h"
#include "control/demand_estimator.h"
#include "control/machine_filter.h"

namespace foxshunt::control {
namespace {

using wire::CommandKind;
using wire::EndReason;
using wire::TaskState;

class ReconcilerTest : public ClusterFixture {
 protected:
  ReconcilerTest()
      : leadership_(Millis(30'000)),
        tasks_(cluster_, leadership_),
        reconciler_(cluster_, leadership_),
        machine_(add_machine("m-000001")),
        job_(add_job(spec_of("j-000001", 2))) {
    leadership_.begin_term(Term(7), Revision(1), now_);
    machine_.incarnation = AgentIncarnation(1);
    tasks_.place_task(job_, 0, AttemptNumber(1), machine_, now_);
    write_records();
  }

  jobs::Allocation& allocation() { return *cluster_.jobs.find_allocation(task_); }

  // A new heartbeat of the machine that reports these tasks.
  wire::Heartbeat heartbeat(std::vector<wire::TaskStatus> tasks, AgentIncarnation incarnation = AgentIncarnation(1)) {
    return {.machine = machine_.id,
            .address = "127.0.0.1:1",
            .type = "plain",
            .zone = "a",
            .incarnation = incarnation,
            .sequence = ++sequence_,
            .term = Term(7),
            .tasks = std::move(tasks)};
  }

  Leadership leadership_;
  TaskLifecycle tasks_;
  Reconciler reconciler_;
  Machine& machine_;
  Job& job_;
  TaskKey task_{JobId("j-000001"), 0};
  std::uint64_t sequence_ = 0;
};

TEST_F(ReconcilerTest, StartsDurableAllocationMissingFromHeartbeat) {
  const auto commands = reconciler_.on_heartbeat(heartbeat({}), now_);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands.front(), (wire::Command{.kind = CommandKind::run, .task = task_, .attempt = AttemptNumber(1)}));
}

TEST_F(ReconcilerTest, IgnoresRepeatedHeartbeat) {
  const wire::Heartbeat first = heartbeat({});
  (void)reconciler_.on_heartbeat(first, now_);
  EXPECT_TRUE(reconciler_.on_heartbeat(first, now_).empty());
}

TEST_F(ReconcilerTest, RecordsStartOfRunningTask) {
  const auto commands = reconciler_.on_heartbeat(
      heartbeat({{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::running}}), now_);
  EXPECT_TRUE(commands.empty());
  EXPECT_EQ(allocation().reported_state, TaskState::running);
  EXPECT_EQ(allocation().running_since, now_);
}

TEST_F(ReconcilerTest, ConfirmsTerminationOfTaskNoLongerReported) {
  (void)reconciler_.on_heartbeat(heartbeat({{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::running}}),
                                 now_);
  EXPECT_TRUE(reconciler_.on_heartbeat(heartbeat({}), now_).empty());
  EXPECT_EQ(job_.allocation_count, 0U);
  EXPECT_EQ(job_.done_count, 0U);
}

TEST_F(ReconcilerTest, ConfirmsNothingIfAgentHasNotSeenTheTerm) {
  allocation().reported_state = TaskState::running;
  wire::Heartbeat old_term_heartbeat = heartbeat({});
  old_term_heartbeat.term = Term(6);
  (void)reconciler_.on_heartbeat(old_term_heartbeat, now_);
  EXPECT_EQ(job_.allocation_count, 1U);
}

TEST_F(ReconcilerTest, MarksSuccessfulTaskAsDone) {
  (void)reconciler_.on_heartbeat(
      heartbeat({{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::ended, .reason = EndReason::done}}),
      now_);
  EXPECT_EQ(job_.done_count, 1U);
  EXPECT_EQ(job_.allocation_count, 0U);
}

// Guards against a start that a machine refuses for want of room and that is repeated there for ever.
TEST_F(ReconcilerTest, RefusedStartIsNotRepeatedOnTheMachineAtOnce) {
  const Machine& other = add_machine("m-000002");
  const DemandEstimator demand;
  const auto candidates = [&] {
    std::set<MachineId> machines;
    for (const plan::EligibleMachine& place : MachineFilter(cluster_, demand).find_candidate_places(job_, now_))
      machines.insert(place.machine->spec.id);
    return machines;
  };
  const std::set<MachineId> both{machine_.id, other.id};
  EXPECT_EQ(candidates(), both);
  (void)reconciler_.on_heartbeat(
      heartbeat(
          {{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::ended, .reason = EndReason::no_room}}),
      now_);
  EXPECT_EQ(job_.allocation_count, 0U);
  EXPECT_EQ(candidates(), std::set<MachineId>{other.id});
  EXPECT_FALSE(machine_.would_refuse(plan::ResourceAmounts::from(job_.spec.cpus / 2, 0, 0), now_));
  now_ += constants::kRefusedStartBackoff;
  machine_.last_heartbeat = cluster_.machines.at(other.id).last_heartbeat = now_;
  EXPECT_EQ(candidates(), both);
}

TEST_F(ReconcilerTest, MachineTakesRefusedTasksAgainOnceATaskHasEndedThere) {
  tasks_.place_task(job_, 1, AttemptNumber(1), machine_, now_);
  write_records();
  const TaskKey second{task_.job, 1};
  (void)reconciler_.on_heartbeat(
      heartbeat(
          {{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::running},
           {.task = second, .attempt = AttemptNumber(1), .state = TaskState::ended, .reason = EndReason::no_room}}),
      now_);
  EXPECT_TRUE(machine_.would_refuse(job_.task_resources, now_));
  (void)reconciler_.on_heartbeat(
      heartbeat({{.task = task_, .attempt = AttemptNumber(1), .state = TaskState::ended, .reason = EndReason::done}}),
      now_);
  EXPECT_FALSE(machine_.would_refuse(job_.task_resources, now_));
}

TEST_F(ReconcilerTest, KillsUnknownTask) {
  const TaskKey unknown{JobId("j-000009"), 0};
  const auto commands = reconciler_.on_heartbeat(
      heartbeat({{.task = unknown, .attempt = AttemptNumber(1), .state = TaskState::running}}), now_);
  ASSERT_FALSE(commands.empty());
  EXPECT_EQ(commands.front(), (wire::Command{.kind = CommandKind::stop, .task = unknown, .attempt = AttemptNumber(1)}));
  EXPECT_TRUE(machine_.has_unknown_tasks);
}

TEST_F(ReconcilerTest, MarksTasksLostAfterAgentRestart) {
  (void)reconciler_.on_heartbeat(heartbeat({}, AgentIncarnation(2)), now_);
  EXPECT_EQ(job_.allocation_count, 0U);
}

TEST_F(ReconcilerTest, DrainsMachineOnEvictionNoticeAndStartsNothing) {
  wire::Heartbeat notice = heartbeat({});
  notice.notice_s = 30;
  EXPECT_TRUE(reconciler_.on_heartbeat(notice, now_).empty());
  EXPECT_EQ(machine_.state, MachineState::draining);
  EXPECT_TRUE(allocation().stopping);
}

TEST_F(ReconcilerTest, HeartbeatIsDurableWhenAllAllocationsOfItsMachineAre) {
  const wire::Heartbeat empty_heartbeat = heartbeat({});
  EXPECT_TRUE(is_heartbeat_durable(cluster_, empty_heartbeat));
  tasks_.place_task(job_, 1, AttemptNumber(1), machine_, now_);
  EXPECT_FALSE(is_heartbeat_durable(cluster_, empty_heartbeat));
  write_records();
  EXPECT_TRUE(is_heartbeat_durable(cluster_, empty_heartbeat));
}

}  // namespace
}  // namespace foxshunt::control
