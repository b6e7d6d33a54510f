#include "control/scheduling_queue.h"

#include <string>
#include <vector>

#include "cluster_fixture.h"

namespace foxshunt::control {
namespace {

using Names = std::vector<std::string>;

class Queue : public ClusterFixture {
 protected:
  Names order() {
    Names names;
    for (const Job* job : queue_.order_jobs(cluster_, gangs_, demand_, now_)) names.push_back(job->spec.id.text());
    return names;
  }

  SchedulingQueue queue_;
  GangCoordinator gangs_;
  DemandEstimator demand_;
};

TEST_F(Queue, WhatFitsTheGuaranteedShareGoesFirst) {
  add_job(spec_of("j-000001", 4));  // 16 CPUs, of 8 that are guaranteed
  auto urgent = spec_of("j-000002", 2);
  urgent.priority = wire::Priority::high;
  add_job(urgent);
  EXPECT_EQ(order(), Names({"j-000002", "j-000001"}));
  EXPECT_TRUE(cluster_.jobs.at(JobId("j-000001")).borrowed);
  EXPECT_FALSE(cluster_.jobs.at(JobId("j-000002")).borrowed);
}

TEST_F(Queue, EqualsAreOrderedBySubmission) {
  add_job(spec_of("j-000002", 1));
  now_ += Millis(60'000);
  add_job(spec_of("j-000001", 1));
  EXPECT_EQ(order(), Names({"j-000002", "j-000001"}));
}

TEST_F(Queue, JobsThatPauseOrAreFullyPlacedAreLeftOut) {
  add_job(spec_of("j-000001", 1)).not_before = now_ + Millis(1);
  place(add_job(spec_of("j-000002", 1)), 0, add_machine("m-000001"));
  EXPECT_EQ(order(), Names());
}

}  // namespace
}  // namespace foxshunt::control
