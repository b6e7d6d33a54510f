// Spans of time in which amounts are free: what the planner's resources and its search share. Pure functions.
#pragma once

#include <array>
#include <optional>

#include "plan/planner.h"

namespace foxshunt::plan {

inline Instant plus(Instant when, Millis duration) { return when >= kForever - duration ? kForever : when + duration; }

inline bool lasts(const Span& span, Millis duration) {
  return span.stop == kForever || span.stop - span.start >= duration;
}

// Longest spans within [from, to) in which every vector that is there has its amount free, if they last: the
// paper's intersection of the resources' free slots, in a single sweep.
[[nodiscard]] Spans spans_of(const std::array<const UsageVector*, kResources>& vectors, const Amounts& amounts,
                             Millis duration, Instant from, Instant to);

// Where the two first have `duration` in common.
[[nodiscard]] std::optional<Instant> first_common(const Spans& left, const Spans& right, Millis duration);

// The vectors that are there, by address.
[[nodiscard]] std::array<const UsageVector*, kResources> addresses_of(
    const std::array<std::optional<UsageVector>, kResources>& vectors);

}  // namespace foxshunt::plan
