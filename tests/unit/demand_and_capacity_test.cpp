// Tests of CloudCapacityTracker (requests to the cloud and its refusals) and DemandEstimator (expected work).
#include "control/cloud_capacity_tracker.h"

#include <gtest/gtest.h>

#include "config/constants.h"
#include "control/demand_estimator.h"

namespace foxshunt::control {
namespace {

using plan::Instant;
using plan::Millis;

const CloudCapacityTracker::Kind kPlain{"plain", "a", false};
const CloudCapacityTracker::Kind kBig{"big", "b", true};
constexpr Term kTerm{7};

class CloudCapacityTrackerTest : public testing::Test {
 protected:
  Instant now_{Millis(1'000'000)};
  CloudCapacityTracker capacity_;
};

TEST_F(CloudCapacityTrackerTest, RepeatsRequestUntilItIsAnswered) {
  EXPECT_FALSE(capacity_.has_wanted_machines());
  capacity_.set_wanted({{kPlain, 3}, {kBig, 1}});
  const auto first = capacity_.next_request(kTerm, {}, now_);
  ASSERT_TRUE(first);
  const auto again = capacity_.next_request(kTerm, {}, now_ + Millis(60'000));
  ASSERT_TRUE(again);
  EXPECT_EQ(first->request, again->request);
  EXPECT_FALSE(capacity_.complete_request({.request = "fox-6-1"}));
  EXPECT_TRUE(capacity_.complete_request(*first));
  EXPECT_FALSE(capacity_.complete_request(*first));
  const auto second = capacity_.next_request(kTerm, {}, now_);
  ASSERT_TRUE(second);
  EXPECT_NE(second->request, first->request);
  EXPECT_NE(second->type, first->type);
  EXPECT_TRUE(capacity_.complete_request(*second));
  EXPECT_FALSE(capacity_.has_wanted_machines());
}

// Machines of the pending request must not be requested again when the wanted machines are computed before its answer.
TEST_F(CloudCapacityTrackerTest, SubtractsPendingRequestFromWantedMachines) {
  capacity_.set_wanted({{kPlain, 3}});
  const auto request = capacity_.next_request(kTerm, {}, now_);
  capacity_.set_wanted({{kPlain, 5}});
  EXPECT_TRUE(capacity_.complete_request(*request));
  const auto rest = capacity_.next_request(kTerm, {}, now_);
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->count, 2U);
}

TEST_F(CloudCapacityTrackerTest, RefusalHoldsUntilFewerMachinesAreHeldOrBackoffEnds) {
  const Millis pause = capacity_.on_refused(kPlain, 4, now_);
  EXPECT_EQ(pause, constants::kCapacityRefusalBackoff);
  EXPECT_FALSE(capacity_.is_available(kPlain, {{kPlain, 4}}, now_));
  EXPECT_TRUE(capacity_.is_available(kPlain, {{kPlain, 3}}, now_));
  EXPECT_TRUE(capacity_.is_available(kBig, {}, now_));
  EXPECT_TRUE(capacity_.is_available(kPlain, {{kPlain, 4}}, now_ + pause));
  // Each further refusal increases the backoff, up to a limit.
  Millis last = pause;
  for (int time = 0; time < 20; ++time) {
    const Millis next = capacity_.on_refused(kPlain, 4, now_);
    EXPECT_GE(next, last);
    EXPECT_LE(next, constants::kMaxCapacityRefusalBackoff);
    last = next;
  }
  capacity_.on_granted(kPlain);
  EXPECT_TRUE(capacity_.is_available(kPlain, {{kPlain, 4}}, now_));
}

TEST_F(CloudCapacityTrackerTest, SuccessorKeepsOnlyRefusals) {
  capacity_.set_wanted({{kPlain, 3}, {kBig, 1}});
  (void)capacity_.next_request(kTerm, {}, now_);
  capacity_.on_refused(kPlain, 0, now_);
  CloudCapacityTracker successor_tracker = capacity_.successor();
  EXPECT_FALSE(successor_tracker.has_wanted_machines());
  EXPECT_FALSE(successor_tracker.is_available(kPlain, {}, now_));
  successor_tracker.set_wanted({{kPlain, 3}});
  EXPECT_FALSE(
      successor_tracker.next_request(kTerm, {}, now_));  // the wanted machines were computed without the refusal
}

class DemandEstimatorTest : public testing::Test {
 protected:
  static wire::JobSpec spec_of(std::string job_class, std::uint32_t tasks, double cpus, double gpus) {
    wire::JobSpec spec;
    spec.job_class = std::move(job_class);
    spec.tasks = tasks;
    spec.cpus = cpus;
    spec.gpus = gpus;
    spec.ram_gb = cpus * 4;
    return spec;
  }
  void learn(const wire::JobSpec& spec) {
    demand_.record_job(spec, plan::ResourceAmounts::from(spec.cpus, spec.gpus, spec.ram_gb), now_);
  }

  Instant now_{Millis(10'000'000)};
  DemandEstimator demand_;
};

TEST_F(DemandEstimatorTest, EstimatesExpectedTasksFromRecentArrivals) {
  const wire::JobSpec spec = spec_of("render", 4, 2, 0);
  EXPECT_EQ(demand_.expected_tasks("render", 60, now_), 0);
  for (int job = 0; job < 20; ++job) learn(spec);
  EXPECT_GE(demand_.expected_tasks("render", 60, now_), 4);
  EXPECT_GT(demand_.expected_tasks("render", 120, now_), demand_.expected_tasks("render", 60, now_));
  now_ += constants::kDemandWindow + Millis(1);
  EXPECT_EQ(demand_.expected_tasks("render", 60, now_), 0);
}

// A term may last for weeks, and expected_tasks() is never called for most classes. Their arrivals must not
// accumulate.
TEST_F(DemandEstimatorTest, DropsOldArrivalsOfClassesThatAreNeverQueried) {
  const wire::JobSpec spec = spec_of("render", 4, 2, 0);
  for (int job = 0; job < 1'000; ++job) {
    learn(spec);
    now_ += constants::kDemandWindow / 10;
  }
  EXPECT_LE(demand_.classes().at("render").arrivals.size(), 11U);
}

TEST_F(DemandEstimatorTest, GpusBeyondRecentPeakAreUnclaimed) {
  demand_.record_gpu_counts(6, 16, now_);
  EXPECT_EQ(demand_.unclaimed_gpus(), 10);
  demand_.record_gpu_counts(2, 16, now_ + Millis(1'000));
  EXPECT_EQ(demand_.unclaimed_gpus(), 10);  // the peak of one second ago still counts
  demand_.record_gpu_counts(2, 16, now_ + constants::kGpuDemandWindow + Millis(500));
  EXPECT_EQ(demand_.unclaimed_gpus(), 14);
  demand_.record_gpu_counts(20, 16, now_ + constants::kGpuDemandWindow + Millis(501));
  EXPECT_EQ(demand_.unclaimed_gpus(), 0);
}

TEST_F(DemandEstimatorTest, JobsWithoutGpusLeaveCpusForGpuJobs) {
  const std::vector<wire::MachineType> types{{.name = "gpu", .cpus = 32, .gpus = 4, .ram_gb = 128},
                                             {.name = "plain", .cpus = 16, .ram_gb = 64}};
  const wire::JobSpec plain = spec_of("render", 1, 2, 0);
  EXPECT_EQ(demand_.usable_capacity(plain, types[0], types).values[0], 0);  // no GPU job has been seen yet
  learn(spec_of("train", 1, 4, 1));
  EXPECT_EQ(demand_.usable_capacity(plain, types[0], types).values[0], 16 * plan::kUnitsPerWhole);
  EXPECT_EQ(demand_.usable_capacity(plain, types[1], types).values[0], 16 * plan::kUnitsPerWhole);
  EXPECT_EQ(demand_.usable_capacity(spec_of("train", 1, 4, 1), types[0], types).values[0], 32 * plan::kUnitsPerWhole);
  wire::JobSpec bound = plain;
  bound.types = {"gpu"};  // the job can only run on GPU machines
  EXPECT_EQ(demand_.usable_capacity(bound, types[0], types).values[0], 32 * plan::kUnitsPerWhole);
}

}  // namespace
}  // namespace foxshunt::control
