// Search for time intervals in which resources are free. Pure functions.
#pragma once

#include <array>
#include <optional>

#include "plan/planner.h"

namespace foxshunt::plan {

// `when + duration`, or kForever if the sum would exceed it.
inline Instant add_saturating(Instant when, Millis duration) {
  return when >= kForever - duration ? kForever : when + duration;
}

// Whether the interval lasts at least `duration`. An interval without an end always does.
inline bool lasts_at_least(const TimeInterval& interval, Millis duration) {
  return interval.stop == kForever || interval.stop - interval.start >= duration;
}

// The longest intervals within [from, to) in which every resource with a non-null vector has its amount free and
// which last at least `duration`. This is the intersection of the resources' free slots in the paper, computed in a
// single sweep.
[[nodiscard]] TimeIntervals find_free_intervals(const std::array<const UsageVector*, kResourceCount>& vectors,
                                                const ResourceAmounts& amounts, Millis duration, Instant from,
                                                Instant to);

// The earliest start of a period of the given duration that lies in an interval of both lists.
// Precondition: the intervals of each list are sorted and do not overlap.
[[nodiscard]] std::optional<Instant> find_first_common_start(const TimeIntervals& left, const TimeIntervals& right,
                                                             Millis duration);

// Pointers to the vectors that are set, and null for the others.
[[nodiscard]] std::array<const UsageVector*, kResourceCount> pointers_to(
    const std::array<std::optional<UsageVector>, kResourceCount>& vectors);

}  // namespace foxshunt::plan
