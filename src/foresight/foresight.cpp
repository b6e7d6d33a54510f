#include "foresight/foresight.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

namespace foxshunt::foresight {
namespace {

std::uint64_t ratio_up(std::uint64_t all, std::uint64_t each) {
  return (all + each - 1) / std::max<std::uint64_t>(each, 1);
}

// How many of the tasks have to run side by side.
std::uint64_t at_once(const Work& work, Instant now) {
  if (work.together || work.run <= Millis(0)) return work.waiting;
  return ratio_up(work.waiting, static_cast<std::uint64_t>((work.by - now) / work.run));
}

// 1, 2, 3, 4, 6, 8, 12, 16, 24, ...
std::uint64_t round_up(std::uint64_t number) {
  std::uint64_t power = 1;
  while (power < number) {
    if (power >= 2 && power + power / 2 >= number) return power + power / 2;
    power *= 2;
  }
  return power;
}

std::string clock_of(std::int64_t minute) {
  const std::int64_t of_day = ((minute % 1440) + 1440) % 1440;
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02d:%02d UTC", static_cast<int>(of_day / 60),
                static_cast<int>(of_day % 60));
  return text.data();
}

std::string plural(std::uint64_t count, const char* noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string worded(const Need& need, std::uint64_t number, std::int64_t minute) {
  const bool several = need.jobs > 1;
  const std::string who = need.job + (several ? " and " + std::to_string(need.jobs - 1) + " more" : "");
  const std::string late = who + (several ? " are" : " is") + " planned to end after the deadline: ";
  const std::string machines = std::to_string(number) + " more of " + need.kind + " up by " + clock_of(minute);
  const std::string room = "room in it for " + plural(number, "more task");
  switch (need.lack) {
    case ShortfallReason::nothing: break;
    case ShortfallReason::time:
      return who + " can't end by the deadline even if all of it runs now: only a shorter or an earlier job would help";
    case ShortfallReason::type:
      return late + "no machine type that it may use has room; smaller tasks or other types would help";
    case ShortfallReason::team_limit: return late + "the team's limit is used up; " + room + " would help";
    case ShortfallReason::class_cap:
      return late + "its class's cap for the team keeps it back; " + room + " would help";
    case ShortfallReason::boot: return late + "a machine rented now boots too late; " + machines + " would help";
    case ShortfallReason::room: return late + "no room, and the settings forbid renting; " + machines + " would help";
    case ShortfallReason::offer: return late + "no room, and none to rent; " + machines + " would help";
  }
  return late + "room would help, nothing is known to lack";
}

}  // namespace

bool in_time(const Work& work, const Kind& kind, Instant now) { return now + kind.ready() + work.run <= work.by; }

DeadlineForecast forecast_deadline(const Work& work, Instant now) {
  DeadlineForecast forecast{.end = work.end};
  if (work.end && *work.end <= work.by) return forecast;
  if (work.waiting == 0 || now + work.run > work.by) {
    forecast.lack = ShortfallReason::time;
    return forecast;
  }
  if (work.kinds.empty()) {
    forecast.lack = ShortfallReason::type;
    return forecast;
  }
  const std::uint64_t needed = at_once(work, now);
  if (work.limit && *work.limit < needed) {
    forecast.lack = ShortfallReason::team_limit;
    forecast.tasks = needed - *work.limit;
    return forecast;
  }
  const std::uint64_t uncapped = work.waiting - std::min(work.capped, work.waiting);
  if (uncapped < needed) {
    forecast.lack = ShortfallReason::class_cap;
    forecast.tasks = needed - uncapped;
    return forecast;
  }
  const Kind* soonest = nullptr;  // to rent, in time
  const Kind* fewest = nullptr;   // whether it may be had or not
  const auto machines = [&work](const Kind& kind) { return ratio_up(std::max<std::uint64_t>(work.late, 1), kind.fit); };
  bool any_in_time = false;
  for (const Kind& kind : work.kinds) {
    const bool timely = in_time(work, kind, now);
    if (timely && kind.can_scale_out && work.can_scale_out && (soonest == nullptr || kind.ready() < soonest->ready())) {
      soonest = &kind;
    }
    // One that could be up in time rather than one that can't.
    if (fewest == nullptr ||
        std::tuple(!timely, machines(kind), kind.name) < std::tuple(!any_in_time, machines(*fewest), fewest->name)) {
      fewest = &kind;
    }
    any_in_time = any_in_time || timely;
  }
  if (soonest != nullptr) {
    forecast.end = now + soonest->ready() + work.run;
    return forecast;
  }
  forecast.lack = !work.can_scale_out ? ShortfallReason::room
                  : any_in_time       ? ShortfallReason::offer
                                      : ShortfallReason::boot;
  forecast.kind = fewest->name;
  forecast.machines = machines(*fewest);
  forecast.up_by = work.by - work.run - fewest->fetch;
  return forecast;
}

std::string in_words(const Need& need, const std::vector<std::string>& told) {
  const bool counts_tasks = need.lack == ShortfallReason::team_limit || need.lack == ShortfallReason::class_cap;
  const std::uint64_t number = round_up(std::max<std::uint64_t>(counts_tasks ? need.tasks : need.machines, 1));
  const std::int64_t minute = need.up_by_ms / 60'000;
  // Clocks are compared anew for each plan, so that a time on the edge of a minute wavers.
  for (const std::uint64_t more : {number, round_up(number + 1)}) {
    for (const std::int64_t near : {minute, minute - 1, minute + 1}) {
      std::string text = worded(need, more, near);
      if (std::ranges::find(told, text) != told.end()) return text;
    }
  }
  return worded(need, number, minute);
}

}  // namespace foxshunt::foresight
