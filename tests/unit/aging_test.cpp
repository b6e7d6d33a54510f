#include "aging/aging.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::aging {
namespace {

using namespace std::chrono_literals;

const plan::Instant kStart{std::chrono::hours(5)};

TEST(JobSizes, TellTheLargestOfEachClass) {
  JobSizes sizes;
  for (const std::uint32_t tasks : {1U, 3U, 4U, 6U}) sizes.learn("gang", tasks, kStart);
  sizes.learn("array", 200, kStart);
  sizes.learn("single", 1, kStart);
  EXPECT_TRUE(sizes.largest("gang", 6));
  EXPECT_FALSE(sizes.largest("gang", 4));
  EXPECT_TRUE(sizes.largest("array", 150));
  EXPECT_FALSE(sizes.largest("array", 100));
  EXPECT_FALSE(sizes.largest("single", 1));
  EXPECT_FALSE(sizes.largest("unknown", 9));
}

TEST(JobSizes, ForgetWhatIsLongPastAndStayBounded) {
  JobSizes sizes;
  sizes.learn("gang", 100, kStart);
  sizes.learn("gang", 8, kStart + constants::kJobSizesWindow);
  EXPECT_FALSE(sizes.largest("gang", 8));
  sizes.learn("gang", 8, kStart + 2 * constants::kJobSizesWindow);
  EXPECT_TRUE(sizes.largest("gang", 8));
  for (std::size_t number = 0; number < constants::kMaxTrackedClasses + 1; ++number) {
    sizes.learn("c" + std::to_string(number), 5, kStart);
  }
  EXPECT_TRUE(sizes.largest("c0", 5));
  EXPECT_FALSE(sizes.largest("c" + std::to_string(constants::kMaxTrackedClasses), 5));
}

TEST(Aging, LagCountsUntilAJobIsOverdue) {
  const WaitingJob large{.submitted = kStart, .aging_penalty = 1h, .largest = true};
  const WaitingJob other{.submitted = kStart, .aging_penalty = 1h, .largest = false};
  EXPECT_EQ(effective_submission(large, kStart), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission(other, kStart), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission({.submitted = kStart, .aging_penalty = 20s, .largest = true}, kStart), kStart + 20s);
  EXPECT_EQ(effective_submission(large, kStart + constants::kMaxBypassOfLargest),
            kStart - constants::kLargestHeadStart);
  EXPECT_EQ(effective_submission(other, kStart + constants::kMaxBypassOfLargest), kStart + constants::kMaxAgingPenalty);
  EXPECT_EQ(effective_submission(other, kStart + constants::kMaxBypass), kStart);
  // In a backlog in which all are overdue the largest is not behind what came shortly before it.
  const WaitingJob before{
      .submitted = kStart - constants::kLargestHeadStart / 2, .aging_penalty = 1h, .largest = false};
  EXPECT_LT(effective_submission(large, kStart + constants::kMaxBypass),
            effective_submission(before, kStart + constants::kMaxBypass));
}

}  // namespace
}  // namespace foxshunt::aging
