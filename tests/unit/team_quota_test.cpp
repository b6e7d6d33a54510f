#include "control/team_quota.h"

#include <gtest/gtest.h>

namespace foxshunt::control {
namespace {

using plan::ResourceAmounts;

config::Team team_with(double cpus_max, double gpus_max) {
  config::Team team;
  team.cpus_max = cpus_max;
  team.gpus_max = gpus_max;
  return team;
}

TEST(TeamQuota, AllowsUpToTheLimitOfEachResource) {
  const TeamQuota quota(team_with(10, 2));
  EXPECT_TRUE(quota.allows(ResourceAmounts::from(10, 2, 1000)));
  EXPECT_FALSE(quota.allows(ResourceAmounts::from(10.001, 0, 0)));
  EXPECT_FALSE(quota.allows(ResourceAmounts::from(0, 2.001, 0)));
}

TEST(TeamQuota, ZeroMeansUnlimited) {
  const TeamQuota quota(team_with(0, 0));
  EXPECT_TRUE(quota.allows(ResourceAmounts::from(1e6, 1e6, 1e6)));
  EXPECT_FALSE(quota.remaining_tasks(ResourceAmounts::from(1, 1, 1), ResourceAmounts::from(5, 5, 5)).has_value());
}

TEST(TeamQuota, RemainingTasksAreLimitedByTheScarcerResource) {
  const TeamQuota quota(team_with(10, 2));
  EXPECT_EQ(quota.remaining_tasks(ResourceAmounts::from(2, 1, 0), ResourceAmounts::from(1, 1, 0)), 1U);
  EXPECT_EQ(quota.remaining_tasks(ResourceAmounts::from(2, 0, 0), ResourceAmounts::from(1, 1, 0)), 4U);
}

TEST(TeamQuota, NoTasksRemainForATeamOverItsQuota) {
  EXPECT_EQ(
      TeamQuota(team_with(10, 0)).remaining_tasks(ResourceAmounts::from(2, 0, 0), ResourceAmounts::from(14, 0, 0)), 0U);
}

}  // namespace
}  // namespace foxshunt::control
