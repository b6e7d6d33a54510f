// Guards against amounts that are rounded: a machine or a team then seems to have room for a task that does not fit, or
// seems too full for one that does.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "plan/planner.h"

namespace foxshunt::plan {
namespace {

ResourceAmounts cpus(double amount) { return ResourceAmounts::from(amount, 0, 0); }
ResourceAmounts ram_gb(double amount) { return ResourceAmounts::from(0, 0, amount); }

TEST(ResourceAmounts, KeepAllDecimalsOfATask) {
  constexpr double kMebibytes150 = 150.0 / 1024;
  EXPECT_EQ(ram_gb(kMebibytes150).count_fitting_in(ram_gb(24)), 163);
  EXPECT_FALSE(ram_gb(kMebibytes150).times(164).fits_in(ram_gb(24)));
  EXPECT_EQ(cpus(0.03125).count_fitting_in(cpus(16)), 512);
}

TEST(ResourceAmounts, ATinyAmountIsNotZero) {
  EXPECT_EQ(cpus(0.0004).count_fitting_in(cpus(1)), 2'500);
  EXPECT_EQ(cpus(1e-12).times(100'000).count_fitting_in(cpus(1e-6)), 10);
  EXPECT_FALSE(cpus(1e-300).fits_in(cpus(0)));
}

// A task that is given as a decimal fraction must not take more room than that, whatever its double looks like.
TEST(ResourceAmounts, DecimalFractionsFillAMachineCompletely) {
  EXPECT_EQ(cpus(0.1).count_fitting_in(cpus(0.3)), 3);
  EXPECT_EQ(cpus(1.1).times(560), cpus(616));
  EXPECT_EQ(cpus(1.0 / 3).count_fitting_in(cpus(32)), 96);
  EXPECT_EQ(cpus(1.0 / 3000).count_fitting_in(cpus(1)), 3'000);
  EXPECT_EQ(ram_gb(64.0 / 3).count_fitting_in(ram_gb(64)), 3);
}

TEST(ResourceAmounts, TheNextDoubleAboveTheRoomDoesNotFit) {
  for (const double room : {0.1, 1.0 / 3, 1.0, 30.0, 616.0, 40'000.0}) {
    EXPECT_TRUE(cpus(room).fits_in(cpus(room))) << room;
    EXPECT_FALSE(cpus(std::nextafter(room, 2 * room)).fits_in(cpus(room))) << room;
  }
}

// Sums of what may be submitted and listed stay far from an overflow.
TEST(ResourceAmounts, HugeAmountsAreLimited) {
  const ResourceAmounts huge = cpus(std::numeric_limits<double>::max());
  EXPECT_EQ(huge, cpus(kMaxWholeAmount));
  EXPECT_FALSE(huge.times(100'000).fits_in(huge));
  EXPECT_EQ(cpus(std::numeric_limits<double>::infinity()), huge);
  EXPECT_EQ(cpus(std::numeric_limits<double>::quiet_NaN()), cpus(0));
  EXPECT_EQ(cpus(-1), cpus(0));
}

}  // namespace
}  // namespace foxshunt::plan
