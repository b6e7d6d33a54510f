#include "control/scheduling_cycle.h"

#include "cluster_fixture.h"
#include "config/constants.h"
#include "control/leadership.h"
#include "control/machine_filter.h"

namespace foxshunt::control {
namespace {

class SchedulingCycleTest : public ClusterFixture {
 protected:
  SchedulingCycleTest() : leadership_(Millis(30'000)), tasks_(cluster_, leadership_) {
    leadership_.begin_term(Term(7), Revision(1), now_);
    confirm();
  }

  void confirm() {
    leadership_.on_lease_confirmed(now_);
    leadership_.on_records_confirmed(now_, cluster_.jobs);
  }

  bool plan(std::size_t max_places = SIZE_MAX) {
    return cycle_.plan_portion({cluster_, gangs_, autoscaler_, deadlines_, tasks_, counters_}, now_, max_places);
  }

  Leadership leadership_;
  TaskLifecycle tasks_;
  GangCoordinator gangs_;
  Autoscaler autoscaler_;
  DeadlinePlanner deadlines_;
  Counters counters_;
  SchedulingCycle cycle_;
};

TEST_F(SchedulingCycleTest, PlacesTasksThatFitAndBooksTheRestLater) {
  add_machine("m-000001");  // room for four
  Job& job = add_job(spec_of("j-000001", 6));
  EXPECT_TRUE(plan());
  EXPECT_EQ(job.allocation_count, 4U);
  EXPECT_EQ(job.pending(), 2U);
  EXPECT_GT(job.planned_start, now_);
  EXPECT_EQ(job.late_tasks, 2U);
}

TEST_F(SchedulingCycleTest, PlacesNothingAfterTheLeaderLeaseExpired) {
  now_ += constants::kLeaderLeaseTtl;
  add_machine("m-000001");
  Job& job = add_job(spec_of("j-000001", 2));
  EXPECT_TRUE(plan());
  EXPECT_EQ(job.allocation_count, 0U);
  EXPECT_TRUE(job.bookings.empty());  // the tasks fit now, so that no later start is booked
  EXPECT_EQ(job.late_tasks, 0U);
  confirm();
  EXPECT_TRUE(plan());
  EXPECT_EQ(job.allocation_count, 2U);
}

TEST_F(SchedulingCycleTest, PassIsInProgressBetweenPortions) {
  add_machine("m-000001");
  add_job(spec_of("j-000001", 1));
  add_job(spec_of("j-000002", 1));
  EXPECT_FALSE(plan(1));
  EXPECT_TRUE(cycle_.is_pass_in_progress());
  EXPECT_TRUE(plan(1));
  EXPECT_FALSE(cycle_.is_pass_in_progress());
  EXPECT_EQ(counters_.passes, 1U);
  EXPECT_EQ(counters_.portions, 2U);
}

TEST_F(SchedulingCycleTest, PlacesAGangAsAWholeOrNotAtAll) {
  add_machine("m-000001");  // room for four
  Job& gang = add_job(spec_of("j-000001", 5, wire::JobKind::gang));
  EXPECT_TRUE(plan());
  EXPECT_EQ(gang.allocation_count, 0U);
  EXPECT_EQ(gang.late_tasks, 5U);
  add_machine("m-000002");
  EXPECT_TRUE(plan());
  EXPECT_EQ(gang.allocation_count, 5U);
}

TEST_F(SchedulingCycleTest, RevokesTheBookingsOfThePreviousPass) {
  add_machine("m-000001");
  add_job(spec_of("j-000001", 6));
  plan();
  const std::size_t bookings = cluster_.planner.booking_count();
  plan();
  EXPECT_EQ(cluster_.planner.booking_count(), bookings);
}

TEST_F(SchedulingCycleTest, OffersOnlyMachinesOfTheJobsZone) {
  add_machine("m-000001", "a");
  add_machine("m-000002", "b");
  wire::JobSpec spec = spec_of("j-000001", 1);
  spec.zone = "b";
  const auto places = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(add_job(spec), now_);
  ASSERT_EQ(places.size(), 1U);
  EXPECT_EQ(places.front().machine->spec.id, MachineId("m-000002"));
}

}  // namespace
}  // namespace foxshunt::control
