#include "control/scheduling_queue.h"

#include <string>
#include <vector>

#include "cluster_fixture.h"

namespace foxshunt::control {
namespace {

using JobNames = std::vector<std::string>;

class SchedulingQueueTest : public ClusterFixture {
 protected:
  JobNames order() {
    JobNames names;
    for (const Job* job : queue_.order_jobs(cluster_, gangs_, demand_, now_)) names.push_back(job->spec.id.text());
    return names;
  }

  SchedulingQueue queue_;
  GangCoordinator gangs_;
  DemandEstimator demand_;
};

TEST_F(SchedulingQueueTest, JobsWithinTheTeamGuaranteeGoFirst) {
  add_job(spec_of("j-000001", 4));  // 16 CPUs; the team's guarantee is 8
  auto urgent = spec_of("j-000002", 2);
  urgent.priority = wire::Priority::high;
  add_job(urgent);
  EXPECT_EQ(order(), JobNames({"j-000002", "j-000001"}));
  EXPECT_TRUE(cluster_.jobs.at(JobId("j-000001")).is_over_guarantee);
  EXPECT_FALSE(cluster_.jobs.at(JobId("j-000002")).is_over_guarantee);
}

TEST_F(SchedulingQueueTest, JobsOfEqualPriorityAreOrderedBySubmission) {
  add_job(spec_of("j-000002", 1));
  now_ += Millis(60'000);
  add_job(spec_of("j-000001", 1));
  EXPECT_EQ(order(), JobNames({"j-000002", "j-000001"}));
}

TEST_F(SchedulingQueueTest, OmitsJobsInBackoffAndFullyPlacedJobs) {
  add_job(spec_of("j-000001", 1)).not_before = now_ + Millis(1);
  place(add_job(spec_of("j-000002", 1)), 0, add_machine("m-000001"));
  EXPECT_EQ(order(), JobNames());
}

}  // namespace
}  // namespace foxshunt::control
