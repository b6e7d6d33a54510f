// Forecasts of deadlines: the expected end, the reason of a shortfall, the suggested remedy and its text.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "foresight/foresight.h"

namespace foxshunt::foresight {
namespace {

constexpr Instant kNow{Millis(1'000'000)};
Instant seconds_from_now(int seconds) { return kNow + Millis(seconds * 1000); }

MachineOption machine_option(const std::string& name, int boot_s, int fetch_s, std::uint64_t fit, bool can_scale_out) {
  return {.name = name,
          .boot_time = Millis(boot_s * 1000),
          .fetch_time = Millis(fetch_s * 1000),
          .tasks_per_machine = fit,
          .can_scale_out = can_scale_out};
}

// Eight waiting tasks of 60 s each with a deadline in 300 s. They are booked to end 100 s too late.
DeadlineWork late_work() {
  DeadlineWork work{.deadline = seconds_from_now(300),
                    .run_time = Millis(60'000),
                    .waiting_tasks = 8,
                    .late_tasks = 8,
                    .end = seconds_from_now(400)};
  work.machine_options = {machine_option("slow", 500, 0, 8, true), machine_option("quick", 100, 20, 2, true)};
  return work;
}

TEST(Foresight, ForecastsEndFromPlanOrRentableMachines) {
  DeadlineWork work = late_work();
  work.end = seconds_from_now(300);
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::none);
  EXPECT_EQ(forecast_deadline(work, kNow).end, seconds_from_now(300));
  work.end = seconds_from_now(301);
  DeadlineForecast forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.shortfall_reason, ShortfallReason::none);
  EXPECT_EQ(forecast.end, seconds_from_now(180));  // on a rented machine of type quick
  work.end.reset();
  EXPECT_EQ(forecast_deadline(work, kNow).end, seconds_from_now(180));
}

TEST(Foresight, ReportsShortfallReasonAndRemedy) {
  DeadlineWork work = late_work();
  work.deadline = seconds_from_now(59);
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::not_enough_time);
  work = late_work();
  work.waiting_tasks = work.late_tasks = 0;  // all tasks already run
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::not_enough_time);
  work = late_work();
  work.machine_options.clear();
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::no_fitting_type);
  work = late_work();
  work.remaining_quota = 1;  // two tasks have to run at the same time to end within 300 s
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::team_limit);
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 1U);
  work.remaining_quota = 2;
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::none);
  work.is_gang = true;
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 6U);
  work = late_work();
  work.held_by_class_cap = 7;
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::class_cap);
  EXPECT_EQ(forecast_deadline(work, kNow).tasks, 1U);
  work = late_work();
  work.deadline = seconds_from_now(170);
  DeadlineForecast forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.shortfall_reason, ShortfallReason::boot_too_slow);
  EXPECT_EQ(forecast.kind, "slow");  // neither type boots in time, and fewer machines of slow are needed
  EXPECT_EQ(forecast.machines, 1U);
  EXPECT_EQ(forecast.up_by, seconds_from_now(110));
  work = late_work();
  work.machine_options[1].can_scale_out = false;
  forecast = forecast_deadline(work, kNow);
  EXPECT_EQ(forecast.shortfall_reason, ShortfallReason::no_offer);
  EXPECT_EQ(forecast.kind, "quick");
  EXPECT_EQ(forecast.machines, 4U);
  EXPECT_EQ(forecast.up_by, seconds_from_now(220));
  work.can_scale_out = false;
  EXPECT_EQ(forecast_deadline(work, kNow).shortfall_reason, ShortfallReason::renting_disabled);
}

// The suggested machines have room for all late tasks, and one machine fewer would not. Their tasks end exactly at the
// deadline if the machines are up at the suggested time.
TEST(Foresight, SuggestedMachinesAreSufficientAndMinimal) {
  std::mt19937 random(11);
  const auto pick = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  int suggestions = 0;
  for (int round = 0; round < 5000; ++round) {
    DeadlineWork work{.deadline = seconds_from_now(pick(1, 600)), .run_time = Millis(pick(1, 300) * 1000)};
    work.waiting_tasks = static_cast<std::uint64_t>(pick(0, 30));
    work.late_tasks = static_cast<std::uint64_t>(pick(0, static_cast<int>(work.waiting_tasks)));
    work.is_gang = pick(0, 3) == 0;
    if (pick(0, 1) == 0) work.end = seconds_from_now(pick(1, 900));
    if (pick(0, 2) == 0) work.remaining_quota = static_cast<std::uint64_t>(pick(0, 30));
    work.can_scale_out = pick(0, 3) != 0;
    for (int option = pick(0, 3); option > 0; --option) {
      work.machine_options.push_back(machine_option("k" + std::to_string(option), pick(1, 300), pick(0, 60),
                                                    static_cast<std::uint64_t>(pick(1, 8)), pick(0, 1) == 0));
    }
    const DeadlineForecast forecast = forecast_deadline(work, kNow);
    EXPECT_EQ(forecast.shortfall_reason == ShortfallReason::none, forecast.end && *forecast.end <= work.deadline);
    if (forecast.machines == 0) continue;
    ++suggestions;
    const auto option = std::ranges::find(work.machine_options, forecast.kind, &MachineOption::name);
    ASSERT_NE(option, work.machine_options.end());
    EXPECT_GE(forecast.machines * option->tasks_per_machine, work.late_tasks);
    EXPECT_LT((forecast.machines - 1) * option->tasks_per_machine, std::max<std::uint64_t>(work.late_tasks, 1));
    EXPECT_EQ(forecast.up_by + option->fetch_time + work.run_time, work.deadline);
  }
  EXPECT_GT(suggestions, 500);
}

TEST(Foresight, KeepsPreviousTextWhileItIsAccurate) {
  Shortfall shortfall{.shortfall_reason = ShortfallReason::no_offer,
                      .job = "j-000001",
                      .kind = "big",
                      .machines = 5,
                      .up_by_ms = 3 * 3'600'000 - 1};
  const std::string text_for_five = describe_shortfall(shortfall, {});
  EXPECT_EQ(text_for_five,
            "j-000001 is planned to end after the deadline: no room, and none to rent; 6 more of big up by 02:59 "
            "UTC would help");
  shortfall.machines = 4;
  shortfall.up_by_ms += 2;
  EXPECT_EQ(describe_shortfall(shortfall, {text_for_five}), text_for_five);
  shortfall.machines = 3;
  EXPECT_NE(describe_shortfall(shortfall, {text_for_five}), text_for_five);
  shortfall.machines = 7;  // a text that asks for too few machines is not kept
  EXPECT_NE(describe_shortfall(shortfall, {text_for_five}), text_for_five);
  shortfall.machines = 5;
  shortfall.up_by_ms += 120'000;
  EXPECT_NE(describe_shortfall(shortfall, {text_for_five}), text_for_five);
  shortfall.jobs = 3;
  EXPECT_EQ(describe_shortfall(shortfall, {}).substr(0, 31), "j-000001 and 2 more are planned");
}

}  // namespace
}  // namespace foxshunt::foresight
