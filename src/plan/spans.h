// Spans of time in which amounts are free: what the planner's resources and its search share. Pure functions.
#pragma once

#include <array>
#include <optional>

#include "plan/planner.h"

namespace foxshunt::plan {

inline Instant add_saturating(Instant when, Millis duration) {
  return when >= kForever - duration ? kForever : when + duration;
}

inline bool lasts_at_least(const TimeInterval& interval, Millis duration) {
  return interval.stop == kForever || interval.stop - interval.start >= duration;
}

// Longest spans within [from, to) in which every vector that is there has its amount free, if they last: the
// paper's intersection of the resources' free slots, in a single sweep.
[[nodiscard]] TimeIntervals find_free_intervals(const std::array<const UsageVector*, kResourceCount>& vectors,
                                                const ResourceAmounts& amounts, Millis duration, Instant from,
                                                Instant to);

// Where the two first have `duration` in common.
[[nodiscard]] std::optional<Instant> find_first_common_start(const TimeIntervals& left, const TimeIntervals& right,
                                                             Millis duration);

// The vectors that are there, by address.
[[nodiscard]] std::array<const UsageVector*, kResourceCount> pointers_to(
    const std::array<std::optional<UsageVector>, kResourceCount>& vectors);

}  // namespace foxshunt::plan
