#include "foresight/foresight.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

namespace foxshunt::foresight {
namespace {

std::uint64_t divide_rounding_up(std::uint64_t total, std::uint64_t divisor) {
  return (total + divisor - 1) / std::max<std::uint64_t>(divisor, 1);
}

// Returns how many tasks have to run at the same time for all to end by the deadline. A gang needs all of them.
std::uint64_t required_parallelism(const DeadlineWork& work, Instant now) {
  if (work.is_gang || work.run_time <= Millis(0)) return work.waiting_tasks;
  return divide_rounding_up(work.waiting_tasks, static_cast<std::uint64_t>((work.deadline - now) / work.run_time));
}

// Rounds up to the next of 1, 2, 3, 4, 6, 8, 12, 16, 24, ...
std::uint64_t round_up_to_step(std::uint64_t number) {
  std::uint64_t power = 1;
  while (power < number) {
    if (power >= 2 && power + power / 2 >= number) return power + power / 2;
    power *= 2;
  }
  return power;
}

// Formats minutes since 1970 as a time of day, such as "02:59 UTC".
std::string format_time_of_day(std::int64_t minute) {
  const std::int64_t minute_of_day = ((minute % 1440) + 1440) % 1440;
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02d:%02d UTC", static_cast<int>(minute_of_day / 60),
                static_cast<int>(minute_of_day % 60));
  return text.data();
}

std::string format_count(std::uint64_t count, const char* noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

// `number`: tasks or machines that would help. `minute`: when the machines have to be up, in minutes since 1970.
std::string format_shortfall(const Shortfall& shortfall, std::uint64_t number, std::int64_t minute) {
  const bool has_several_jobs = shortfall.jobs > 1;
  const std::string subject =
      shortfall.job + (has_several_jobs ? " and " + std::to_string(shortfall.jobs - 1) + " more" : "");
  const std::string prefix = subject + (has_several_jobs ? " are" : " is") + " planned to end after the deadline: ";
  const std::string machine_hint =
      std::to_string(number) + " more of " + shortfall.kind + " up by " + format_time_of_day(minute);
  const std::string quota_hint = "room in it for " + format_count(number, "more task");
  switch (shortfall.shortfall_reason) {
    case ShortfallReason::none: break;
    case ShortfallReason::not_enough_time:
      return subject +
             " can't end by the deadline even if all of it runs now: only a shorter or an earlier job would help";
    case ShortfallReason::no_fitting_type:
      return prefix + "no machine type that it may use has room; smaller tasks or other types would help";
    case ShortfallReason::team_limit: return prefix + "the team's limit is used up; " + quota_hint + " would help";
    case ShortfallReason::class_cap:
      return prefix + "its class's cap for the team keeps it back; " + quota_hint + " would help";
    case ShortfallReason::boot_too_slow:
      return prefix + "a machine rented now boots too late; " + machine_hint + " would help";
    case ShortfallReason::renting_disabled:
      return prefix + "no room, and the settings forbid renting; " + machine_hint + " would help";
    case ShortfallReason::no_offer: return prefix + "no room, and none to rent; " + machine_hint + " would help";
  }
  return prefix + "the cause is not known; more room would help";
}

}  // namespace

bool can_finish_in_time(const DeadlineWork& work, const MachineOption& option, Instant now) {
  return now + option.startup_time() + work.run_time <= work.deadline;
}

DeadlineForecast forecast_deadline(const DeadlineWork& work, Instant now) {
  DeadlineForecast forecast{.end = work.end};
  if (work.end && *work.end <= work.deadline) return forecast;
  if (work.waiting_tasks == 0 || now + work.run_time > work.deadline) {
    forecast.shortfall_reason = ShortfallReason::not_enough_time;
    return forecast;
  }
  if (work.machine_options.empty()) {
    forecast.shortfall_reason = ShortfallReason::no_fitting_type;
    return forecast;
  }
  const std::uint64_t needed = required_parallelism(work, now);
  if (work.remaining_quota && *work.remaining_quota < needed) {
    forecast.shortfall_reason = ShortfallReason::team_limit;
    forecast.tasks = needed - *work.remaining_quota;
    return forecast;
  }
  const std::uint64_t uncapped = work.waiting_tasks - std::min(work.held_by_class_cap, work.waiting_tasks);
  if (uncapped < needed) {
    forecast.shortfall_reason = ShortfallReason::class_cap;
    forecast.tasks = needed - uncapped;
    return forecast;
  }
  const MachineOption* soonest_rentable = nullptr;  // can be rented and is up in time
  const MachineOption* suggested = nullptr;         // named in the forecast, even if it can't be rented now
  const auto machines_needed = [&work](const MachineOption& option) {
    return divide_rounding_up(std::max<std::uint64_t>(work.late_tasks, 1), option.tasks_per_machine);
  };
  bool any_in_time = false;
  for (const MachineOption& option : work.machine_options) {
    const bool is_in_time = can_finish_in_time(work, option, now);
    if (is_in_time && option.can_scale_out && work.can_scale_out &&
        (soonest_rentable == nullptr || option.startup_time() < soonest_rentable->startup_time())) {
      soonest_rentable = &option;
    }
    // Prefers types that would be up in time, then those that need the fewest machines, then the first by name.
    if (suggested == nullptr || std::tuple(!is_in_time, machines_needed(option), option.name) <
                                    std::tuple(!any_in_time, machines_needed(*suggested), suggested->name)) {
      suggested = &option;
    }
    any_in_time = any_in_time || is_in_time;
  }
  if (soonest_rentable != nullptr) {
    forecast.end = now + soonest_rentable->startup_time() + work.run_time;
    return forecast;
  }
  forecast.shortfall_reason = !work.can_scale_out ? ShortfallReason::renting_disabled
                              : any_in_time       ? ShortfallReason::no_offer
                                                  : ShortfallReason::boot_too_slow;
  forecast.kind = suggested->name;
  forecast.machines = machines_needed(*suggested);
  forecast.up_by = work.deadline - work.run_time - suggested->fetch_time;
  return forecast;
}

std::string describe_shortfall(const Shortfall& shortfall, const std::vector<std::string>& previous_texts) {
  const bool counts_tasks = shortfall.shortfall_reason == ShortfallReason::team_limit ||
                            shortfall.shortfall_reason == ShortfallReason::class_cap;
  const std::uint64_t number =
      round_up_to_step(std::max<std::uint64_t>(counts_tasks ? shortfall.tasks : shortfall.machines, 1));
  const std::int64_t minute = shortfall.up_by_ms / 60'000;
  // Clocks are compared anew for each plan, so a time close to a full minute can fall on either side of it.
  for (const std::uint64_t candidate : {number, round_up_to_step(number + 1)}) {
    for (const std::int64_t shown_minute : {minute, minute - 1, minute + 1}) {
      std::string text = format_shortfall(shortfall, candidate, shown_minute);
      if (std::ranges::find(previous_texts, text) != previous_texts.end()) return text;
    }
  }
  return format_shortfall(shortfall, number, minute);
}

}  // namespace foxshunt::foresight
