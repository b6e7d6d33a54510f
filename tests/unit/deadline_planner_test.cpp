#include "control/deadline_planner.h"

#include "cluster_fixture.h"

namespace foxshunt::control {
namespace {

class DeadlinePlannerTest : public ClusterFixture {
 protected:
  DeadlineContext context() const { return {cluster_, demand_, capacity_, ranking_}; }
  void book(Job& job, const Machine& machine, std::uint32_t tasks, Instant stop) {
    job.bookings.push_back(cluster_.planner.book({.machine = machine.id,
                                                  .team = job.spec.team,
                                                  .amounts = job.task_resources.times(tasks),
                                                  .start = stop - Millis(60'000),
                                                  .stop = stop}));
  }

  DeadlinePlanner deadlines_;
  DemandEstimator demand_;
  CloudCapacityTracker capacity_;
  classes::Ranking ranking_;
};

TEST_F(DeadlinePlannerTest, OnlyChangesOfJobsOrSlackStepsAffectTheOrder) {
  const JobId job("j-000001");
  EXPECT_TRUE(deadlines_.on_due_jobs({{job, {.deadline = now_, .slack_step = 1}}}));
  EXPECT_FALSE(deadlines_.on_due_jobs({{job, {.deadline = now_ + Millis(5), .slack_step = 1}}}));
  EXPECT_TRUE(deadlines_.on_due_jobs({{job, {.deadline = now_, .slack_step = 2}}}));
  EXPECT_EQ(deadlines_.slack_steps().at(job), 2);
}

TEST_F(DeadlinePlannerTest, ForecastsNoShortfallForAJobBookedInTime) {
  Job& job = add_job(spec_of("j-000001", 2));
  book(job, add_machine("m-000001"), 2, now_ + Millis(60'000));
  deadlines_.on_due_jobs({{job.spec.id, {.deadline = now_ + Millis(100'000), .slack_step = 1}}});
  const auto forecasts = deadlines_.deadline_forecasts(context(), now_ + Millis(1), now_);
  ASSERT_TRUE(forecasts.contains(job.spec.id));
  EXPECT_EQ(forecasts.at(job.spec.id).shortfall_reason, foresight::ShortfallReason::none);
  EXPECT_EQ(forecasts.at(job.spec.id).end, now_ + Millis(60'000));
}

TEST_F(DeadlinePlannerTest, ForecastsATimeShortfallForAJobLongerThanItsDeadline) {
  Job& job = add_job(spec_of("j-000001", 2));
  deadlines_.on_due_jobs({{job.spec.id, {.deadline = now_ + Millis(30'000), .slack_step = 1}}});
  const auto forecasts = deadlines_.deadline_forecasts(context(), now_ + Millis(1), now_);
  ASSERT_TRUE(forecasts.contains(job.spec.id));
  EXPECT_EQ(forecasts.at(job.spec.id).shortfall_reason, foresight::ShortfallReason::not_enough_time);
}

TEST_F(DeadlinePlannerTest, MakesNoForecastForAJobSubmittedAfterThePassBegan) {
  const Job& job = add_job(spec_of("j-000001", 2));
  deadlines_.on_due_jobs({{job.spec.id, {.deadline = now_ + Millis(30'000), .slack_step = 1}}});
  EXPECT_TRUE(deadlines_.deadline_forecasts(context(), now_ - Millis(1), now_).empty());
}

TEST_F(DeadlinePlannerTest, CountsLateTasksAsOverdueOnlyIfAMachineRentedNowWouldFinishThem) {
  Job& job = add_job(spec_of("j-000001", 2));
  const Machine& machine = add_machine("m-000001");
  const std::vector<plan::Placement> placements{
      {.machine = machine.id, .start = now_ + Millis(200'000), .stop = now_ + Millis(260'000), .count = 2}};
  EXPECT_EQ(deadlines_.count_overdue_tasks(context(), job, placements, {}, now_),
            0U);  // the job has no calendar deadline
  deadlines_.on_due_jobs({{job.spec.id, {.deadline = now_ + Millis(200'000), .slack_step = 1}}});
  EXPECT_EQ(deadlines_.count_overdue_tasks(context(), job, placements, {}, now_), 2U);
  // An existing machine has room for the tasks in time, so something other than machines is missing.
  EXPECT_EQ(deadlines_.count_overdue_tasks(context(), job, placements, {{.machine = machine.plan_node}}, now_), 0U);
}

}  // namespace
}  // namespace foxshunt::control
