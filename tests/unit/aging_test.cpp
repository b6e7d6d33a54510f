// Tracking of job sizes, and the submission time that a waiting job counts with in the planning order.
#include "aging/aging.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::aging {
namespace {

using namespace std::chrono_literals;

const plan::Instant kStart{std::chrono::hours(5)};

TEST(JobSizeTracker, FindsTheLargestJobsOfEachClass) {
  JobSizeTracker sizes;
  for (const std::uint32_t tasks : {1U, 3U, 4U, 6U}) sizes.record_job("gang", tasks, kStart);
  sizes.record_job("array", 200, kStart);
  sizes.record_job("single", 1, kStart);
  EXPECT_TRUE(sizes.is_among_largest("gang", 6));
  EXPECT_FALSE(sizes.is_among_largest("gang", 4));
  EXPECT_TRUE(sizes.is_among_largest("array", 150));
  EXPECT_FALSE(sizes.is_among_largest("array", 100));
  EXPECT_FALSE(sizes.is_among_largest("single", 1));
  EXPECT_FALSE(sizes.is_among_largest("unknown", 9));
}

TEST(JobSizeTracker, DropsOldSizesAndTracksALimitedNumberOfClasses) {
  JobSizeTracker sizes;
  sizes.record_job("gang", 100, kStart);
  sizes.record_job("gang", 8, kStart + constants::kJobSizesWindow);
  EXPECT_FALSE(sizes.is_among_largest("gang", 8));
  sizes.record_job("gang", 8, kStart + 2 * constants::kJobSizesWindow);
  EXPECT_TRUE(sizes.is_among_largest("gang", 8));
  for (std::size_t number = 0; number < constants::kMaxTrackedClasses + 1; ++number) {
    sizes.record_job("c" + std::to_string(number), 5, kStart);
  }
  EXPECT_TRUE(sizes.is_among_largest("c0", 5));
  EXPECT_FALSE(sizes.is_among_largest("c" + std::to_string(constants::kMaxTrackedClasses), 5));
}

TEST(Aging, PenaltyCountsUntilAJobIsOverdue) {
  const WaitingJob large{.submitted = kStart, .aging_penalty = 1h, .is_among_largest = true};
  const WaitingJob other{.submitted = kStart, .aging_penalty = 1h, .is_among_largest = false};
  EXPECT_EQ(effective_submission(large, kStart), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission(other, kStart), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission({.submitted = kStart, .aging_penalty = 20s, .is_among_largest = true}, kStart),
            kStart + 20s);
  EXPECT_EQ(effective_submission(large, kStart + constants::kMaxBypassOfLargest),
            kStart - constants::kLargestHeadStart);
  EXPECT_EQ(effective_submission(other, kStart + constants::kMaxBypassOfLargest), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission(other, kStart + constants::kMaxBypass), kStart);
  // Guards against large jobs that start too late in a backlog: when all jobs are overdue, a largest job is planned
  // before a job that was submitted shortly before it.
  const WaitingJob submitted_earlier{
      .submitted = kStart - constants::kLargestHeadStart / 2, .aging_penalty = 1h, .is_among_largest = false};
  EXPECT_LT(effective_submission(large, kStart + constants::kMaxBypass),
            effective_submission(submitted_earlier, kStart + constants::kMaxBypass));
}

}  // namespace
}  // namespace foxshunt::aging
