#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "foresight/foresight.h"

namespace foxshunt::foresight {
namespace {

constexpr Instant kNow{Millis(1'000'000)};
Instant in(int seconds) { return kNow + Millis(seconds * 1000); }

Kind kind_of(const std::string& name, int boot_s, int fetch_s, std::uint64_t fit, bool can_scale_out) {
  return {.name = name,
          .boot = Millis(boot_s * 1000),
          .fetch = Millis(fetch_s * 1000),
          .fit = fit,
          .can_scale_out = can_scale_out};
}

// Eight tasks of 60 s, due in 300 s; booked to end too late.
Work work_of() {
  Work work{.by = in(300), .run = Millis(60'000), .waiting = 8, .late = 8, .end = in(400)};
  work.kinds = {kind_of("slow", 500, 0, 8, true), kind_of("quick", 100, 20, 2, true)};
  return work;
}

TEST(Foresight, HoldsByThePlanOrByMachinesThatMayBeRented) {
  Work work = work_of();
  work.end = in(300);
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::nothing);
  EXPECT_EQ(forecast_deadline(work, kNow).end, in(300));
  work.end = in(301);
  DeadlineForecast forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.lack, ShortfallReason::nothing);
  EXPECT_EQ(forecast.end, in(180));  // on a quick one
  work.end.reset();
  EXPECT_EQ(forecast_deadline(work, kNow).end, in(180));
}

TEST(Foresight, NamesWhatLacksAndWhatWouldHelp) {
  Work work = work_of();
  work.by = in(59);
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::time);
  work = work_of();
  work.waiting = work.late = 0;  // all of it runs
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::time);
  work = work_of();
  work.kinds.clear();
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::type);
  work = work_of();
  work.limit = 1;  // of two that have to run side by side to be through after 300 s
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::team_limit);
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 1U);
  work.limit = 2;
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::nothing);
  work.together = true;
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 6U);
  work = work_of();
  work.capped = 7;
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::class_cap);
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 1U);
  work = work_of();
  work.by = in(170);
  DeadlineForecast forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.lack, ShortfallReason::boot);
  EXPECT_EQ(forecast.kind, "slow");  // neither boots in time: the one of which fewer are needed
  EXPECT_EQ(forecast.machines, 1U);
  EXPECT_EQ(forecast.up_by, in(110));
  work = work_of();
  work.kinds[1].can_scale_out = false;
  forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.lack, ShortfallReason::offer);
  EXPECT_EQ(forecast.kind, "quick");
  EXPECT_EQ(forecast.machines, 4U);
  EXPECT_EQ(forecast.up_by, in(220));
  work.can_scale_out = false;
  EXPECT_EQ(forecast_deadline(work, kNow).lack, ShortfallReason::room);
}

// What would help is enough: with it the work is through in time, and a moment later it would not be.
TEST(Foresight, WhatWouldHelpIsEnoughAndNotMore) {
  std::mt19937 dice(11);
  const auto pick = [&dice](int low, int high) { return std::uniform_int_distribution<int>(low, high)(dice); };
  int helped = 0;
  for (int round = 0; round < 5000; ++round) {
    Work work{.by = in(pick(1, 600)), .run = Millis(pick(1, 300) * 1000)};
    work.waiting = static_cast<std::uint64_t>(pick(0, 30));
    work.late = static_cast<std::uint64_t>(pick(0, static_cast<int>(work.waiting)));
    work.together = pick(0, 3) == 0;
    if (pick(0, 1) == 0) work.end = in(pick(1, 900));
    if (pick(0, 2) == 0) work.limit = static_cast<std::uint64_t>(pick(0, 30));
    work.can_scale_out = pick(0, 3) != 0;
    for (int kind = pick(0, 3); kind > 0; --kind) {
      work.kinds.push_back(kind_of("k" + std::to_string(kind), pick(1, 300), pick(0, 60),
                                   static_cast<std::uint64_t>(pick(1, 8)), pick(0, 1) == 0));
    }
    const DeadlineForecast forecast = forecast_deadline(work, kNow);
    EXPECT_EQ(forecast.lack == ShortfallReason::nothing, forecast.end && *forecast.end <= work.by);
    if (forecast.machines == 0) continue;
    ++helped;
    const auto kind = std::ranges::find(work.kinds, forecast.kind, &Kind::name);
    ASSERT_NE(kind, work.kinds.end());
    EXPECT_GE(forecast.machines * kind->fit, work.late);
    EXPECT_LT((forecast.machines - 1) * kind->fit, std::max<std::uint64_t>(work.late, 1));
    EXPECT_EQ(forecast.up_by + kind->fetch + work.run, work.by);
  }
  EXPECT_GT(helped, 500);
}

TEST(Foresight, AWordingStandsUntilItIsWrong) {
  Need need{
      .lack = ShortfallReason::offer, .job = "j-000001", .kind = "big", .machines = 5, .up_by_ms = 3 * 3'600'000 - 1};
  const std::string five = in_words(need, {});
  EXPECT_EQ(five,
            "j-000001 is planned to end after the deadline: no room, and none to rent; 6 more of big up by 02:59 "
            "UTC would help");
  need.machines = 4;
  need.up_by_ms += 2;
  EXPECT_EQ(in_words(need, {five}), five);
  need.machines = 3;
  EXPECT_NE(in_words(need, {five}), five);
  need.machines = 7;  // too few are never told
  EXPECT_NE(in_words(need, {five}), five);
  need.machines = 5;
  need.up_by_ms += 120'000;
  EXPECT_NE(in_words(need, {five}), five);
  need.jobs = 3;
  EXPECT_EQ(in_words(need, {}).substr(0, 31), "j-000001 and 2 more are planned");
}

}  // namespace
}  // namespace foxshunt::foresight
