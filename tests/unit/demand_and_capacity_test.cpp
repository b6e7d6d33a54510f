// What the cloud may have, and what the work that comes may want of it.
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

class Supplies : public testing::Test {
 protected:
  Instant now_{Millis(1'000'000)};
  CloudCapacityTracker supply_;
};

TEST_F(Supplies, TheSameRequestUntilItIsAnswered) {
  EXPECT_FALSE(supply_.wanted());
  supply_.want({{kPlain, 3}, {kBig, 1}});
  const auto first = supply_.next(kTerm, {}, now_);
  ASSERT_TRUE(first);
  const auto again = supply_.next(kTerm, {}, now_ + Millis(60'000));
  ASSERT_TRUE(again);
  EXPECT_EQ(first->request, again->request);
  EXPECT_FALSE(supply_.answered({.request = "fox-6-1"}));
  EXPECT_TRUE(supply_.answered(*first));
  EXPECT_FALSE(supply_.answered(*first));
  const auto second = supply_.next(kTerm, {}, now_);
  ASSERT_TRUE(second);
  EXPECT_NE(second->request, first->request);
  EXPECT_NE(second->type, first->type);
  EXPECT_TRUE(supply_.answered(*second));
  EXPECT_FALSE(supply_.wanted());
}

// What is under way is not asked for once more when the fleet is sized before its machines are booked.
TEST_F(Supplies, WhatIsUnderWayCounts) {
  supply_.want({{kPlain, 3}});
  const auto request = supply_.next(kTerm, {}, now_);
  supply_.want({{kPlain, 5}});
  EXPECT_TRUE(supply_.answered(*request));
  const auto rest = supply_.next(kTerm, {}, now_);
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->count, 2U);
}

TEST_F(Supplies, ARefusalHoldsUntilThereIsRoomOrItsPauseEnds) {
  const Millis pause = supply_.refused(kPlain, 4, now_);
  EXPECT_EQ(pause, constants::kCapacityRefusalBackoff);
  EXPECT_FALSE(supply_.is_available(kPlain, {{kPlain, 4}}, now_));
  EXPECT_TRUE(supply_.is_available(kPlain, {{kPlain, 3}}, now_));
  EXPECT_TRUE(supply_.is_available(kBig, {}, now_));
  EXPECT_TRUE(supply_.is_available(kPlain, {{kPlain, 4}}, now_ + pause));
  // Refused again and again, it is asked less and less often, up to a bound.
  Millis last = pause;
  for (int time = 0; time < 20; ++time) {
    const Millis next = supply_.refused(kPlain, 4, now_);
    EXPECT_GE(next, last);
    EXPECT_LE(next, constants::kMaxCapacityRefusalBackoff);
    last = next;
  }
  supply_.given(kPlain);
  EXPECT_TRUE(supply_.is_available(kPlain, {{kPlain, 4}}, now_));
}

TEST_F(Supplies, ANewLeadKeepsRefusalsAlone) {
  supply_.want({{kPlain, 3}, {kBig, 1}});
  (void)supply_.next(kTerm, {}, now_);
  supply_.refused(kPlain, 0, now_);
  CloudCapacityTracker kept = supply_.refusals();
  EXPECT_FALSE(kept.wanted());
  EXPECT_FALSE(kept.is_available(kPlain, {}, now_));
  kept.want({{kPlain, 3}});
  EXPECT_FALSE(kept.next(kTerm, {}, now_));  // sized before the refusal
}

class Demands : public testing::Test {
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
    demand_.learn(spec, plan::ResourceAmounts::from(spec.cpus, spec.gpus, spec.ram_gb), now_);
  }

  Instant now_{Millis(10'000'000)};
  DemandEstimator demand_;
};

TEST_F(Demands, ExpectsWhatCameOfLate) {
  const wire::JobSpec spec = spec_of("render", 4, 2, 0);
  EXPECT_EQ(demand_.expected("render", 60, now_), 0);
  for (int job = 0; job < 20; ++job) learn(spec);
  EXPECT_GE(demand_.expected("render", 60, now_), 4);
  EXPECT_GT(demand_.expected("render", 120, now_), demand_.expected("render", 60, now_));
  now_ += constants::kDemandWindow + Millis(1);
  EXPECT_EQ(demand_.expected("render", 60, now_), 0);
}

// A lead lasts for weeks, and of most classes nobody asks what they expect.
TEST_F(Demands, ForgetsArrivalsThatNobodyAsksFor) {
  const wire::JobSpec spec = spec_of("render", 4, 2, 0);
  for (int job = 0; job < 1'000; ++job) {
    learn(spec);
    now_ += constants::kDemandWindow / 10;
  }
  EXPECT_LE(demand_.classes().at("render").arrivals.size(), 11U);
}

TEST_F(Demands, GpusBeyondTheLatestPeakAreSpare) {
  demand_.learn_gpus(6, 16, now_);
  EXPECT_EQ(demand_.gpus_spare(), 10);
  demand_.learn_gpus(2, 16, now_ + Millis(1'000));
  EXPECT_EQ(demand_.gpus_spare(), 10);  // they were wanted a moment ago
  demand_.learn_gpus(2, 16, now_ + constants::kGpuDemandWindow + Millis(500));
  EXPECT_EQ(demand_.gpus_spare(), 14);
  demand_.learn_gpus(20, 16, now_ + constants::kGpuDemandWindow + Millis(501));
  EXPECT_EQ(demand_.gpus_spare(), 0);
}

TEST_F(Demands, PlainWorkLeavesTheRoomBesideGpus) {
  const std::vector<wire::MachineType> types{{.name = "gpu", .cpus = 32, .gpus = 4, .ram_gb = 128},
                                             {.name = "plain", .cpus = 16, .ram_gb = 64}};
  const wire::JobSpec plain = spec_of("render", 1, 2, 0);
  EXPECT_EQ(demand_.offered(plain, types[0], types).values[0], 0);  // nothing was seen of GPU work yet
  learn(spec_of("train", 1, 4, 1));
  EXPECT_EQ(demand_.offered(plain, types[0], types).values[0], 16'000);
  EXPECT_EQ(demand_.offered(plain, types[1], types).values[0], 16'000);
  EXPECT_EQ(demand_.offered(spec_of("train", 1, 4, 1), types[0], types).values[0], 32'000);
  wire::JobSpec bound = plain;
  bound.types = {"gpu"};  // it can't run without
  EXPECT_EQ(demand_.offered(bound, types[0], types).values[0], 32'000);
}

}  // namespace
}  // namespace foxshunt::control
