#include "control/gang_coordinator.h"

#include "cluster_fixture.h"
#include "config/constants.h"

namespace foxshunt::control {
namespace {

using wire::TaskState;

class GangCoordinatorTest : public ClusterFixture {
 protected:
  GangCoordinatorTest()
      : job_(add_job(spec_of("j-000001", 3, wire::JobKind::gang))), machine_(add_machine("m-000001")) {}

  // Places two of the three members; both are reported in that state.
  void place_two(TaskState state) {
    for (const std::uint32_t index : {0U, 1U}) place(job_, index, machine_).reported_state = state;
  }

  Job& job_;
  Machine& machine_;
};

TEST_F(GangCoordinatorTest, OnlyUnstartedMembersWaitAtTheBarrier) {
  EXPECT_FALSE(GangCoordinator::is_waiting_at_barrier(job_));  // no member is placed
  place_two(TaskState::waiting);
  EXPECT_TRUE(GangCoordinator::is_waiting_at_barrier(job_));
  cluster_.jobs.find_allocation({job_.spec.id, 1})->reported_state = TaskState::running;
  EXPECT_FALSE(GangCoordinator::is_waiting_at_barrier(job_));
}

TEST_F(GangCoordinatorTest, AMemberLostBeforeTheStartIsReplaced) {
  place_two(TaskState::waiting);
  EXPECT_TRUE(GangCoordinator::handle_member_loss(cluster_, job_, false, now_));
  EXPECT_TRUE(job_.barrier_deadline.has_value());
  EXPECT_TRUE(cluster_.needs_planning);
  EXPECT_EQ(GangCoordinator::choose_missing_member_action(cluster_, job_, now_), MissingMemberAction::replace);
}

TEST_F(GangCoordinatorTest, AMemberLostAfterTheStartEndsTheAttempt) {
  place_two(TaskState::waiting);
  EXPECT_FALSE(GangCoordinator::handle_member_loss(cluster_, job_, true, now_));
  EXPECT_FALSE(job_.barrier_deadline.has_value());
}

TEST_F(GangCoordinatorTest, TheAttemptEndsWhenTheBarrierTimesOut) {
  place_two(TaskState::waiting);
  GangCoordinator::hold_start_barrier(cluster_, job_, now_);
  const Instant until = *job_.barrier_deadline;
  EXPECT_EQ(GangCoordinator::choose_missing_member_action(cluster_, job_, until), MissingMemberAction::replace);
  EXPECT_EQ(GangCoordinator::choose_missing_member_action(cluster_, job_, until + Millis(1)),
            MissingMemberAction::end_attempt);
}

TEST_F(GangCoordinatorTest, NoActionWithoutABarrier) {
  place_two(TaskState::waiting);
  EXPECT_EQ(GangCoordinator::choose_missing_member_action(cluster_, job_, now_), MissingMemberAction::none);
}

TEST_F(GangCoordinatorTest, ALongWaitingGangGetsTheReservationUnlessItsTeamsQuotaIsUsedUp) {
  GangCoordinator gangs;
  DemandEstimator demand;
  demand.record_job(job_.spec, job_.task_resources, job_.submitted);
  gangs.choose_reservation_holder(cluster_, demand, now_);
  EXPECT_FALSE(gangs.holds_reservation(job_.spec.id));
  now_ += constants::kReservationAfter;
  gangs.choose_reservation_holder(cluster_, demand, now_);
  EXPECT_TRUE(gangs.holds_reservation(job_.spec.id));

  Job& other = add_job(spec_of("j-000002", 6));
  for (std::uint32_t index = 0; index < 6; ++index) place(other, index, machine_);  // 24 of 32 CPUs
  gangs.choose_reservation_holder(cluster_, demand, now_);
  EXPECT_FALSE(gangs.holds_reservation(job_.spec.id));
}

}  // namespace
}  // namespace foxshunt::control
