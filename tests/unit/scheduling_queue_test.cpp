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

// Guards against a sum of binary fractions: 20 tasks of 0.4 CPUs are not more than a guarantee of 8.
TEST_F(SchedulingQueueTest, AJobOfExactlyTheGuaranteeIsWithinIt) {
  for (int number = 0; number < 20; ++number) {
    auto spec = spec_of("j-" + std::to_string(100'000 + number), 1);
    spec.cpus = 0.4;
    add_job(spec);
  }
  EXPECT_EQ(order().size(), 20U);
  for (const auto& [id, job] : cluster_.jobs) EXPECT_FALSE(job.is_over_guarantee) << id.text();
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
