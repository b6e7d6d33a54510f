// Between the calendar, which goes by the time of day, and the leader's plan, which goes by a steady clock.
#pragma once

#include <cstdint>
#include <map>

#include "calendar/keeper.h"
#include "foresight/foresight.h"

namespace foxshunt::calendar {

// A moment by both clocks.
struct Both {
  foresight::Instant at;
  std::int64_t wall_ms = 0;
};

// What the records ask of jobs, by the clock that is ahead of all others.
[[nodiscard]] foresight::DueJobs dues_of(const DeadlineController& keeper, Both now);

// What the plan says of jobs: when they end, and what becomes of those that are listed.
[[nodiscard]] std::map<JobId, DeadlineController::Plan> plans_of(
    const std::map<JobId, foresight::Instant>& ends,
    const std::map<JobId, foresight::DeadlineForecast>& deadline_forecasts, Both now);

}  // namespace foxshunt::calendar
