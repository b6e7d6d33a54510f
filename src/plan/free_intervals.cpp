#include "plan/free_intervals.h"

#include <algorithm>
#include <span>

namespace foxshunt::plan {

TimeIntervals find_free_intervals(const std::array<const UsageVector*, kResourceCount>& vectors,
                                  const ResourceAmounts& amounts, Millis duration, Instant from, Instant to) {
  TimeIntervals found;
  std::array<std::span<const Slot>, kResourceCount> remaining;
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    if (vectors[r] == nullptr) continue;
    if (amounts.values[r] > vectors[r]->available()) return found;
    const std::vector<Slot>& slots = vectors[r]->slots();
    const auto first = std::ranges::upper_bound(slots, from, {}, &Slot::stop);
    remaining[r] = {first, slots.end()};
  }
  Instant cursor = from;
  while (cursor < to) {
    // The next slot in which some resource has too little free.
    TimeInterval blocked{to, to};
    for (std::size_t r = 0; r < kResourceCount; ++r) {
      if (vectors[r] == nullptr) continue;
      const AmountUnits max_used = vectors[r]->available() - amounts.values[r];
      while (!remaining[r].empty() &&
             (remaining[r].front().stop <= cursor || remaining[r].front().amount <= max_used)) {
        remaining[r] = remaining[r].subspan(1);
      }
      if (!remaining[r].empty() && remaining[r].front().start < blocked.start)
        blocked = {remaining[r].front().start, remaining[r].front().stop};
    }
    if (blocked.start > cursor) {
      const TimeInterval free{cursor, blocked.start};
      if (lasts_at_least(free, duration)) found.push_back(free);
    }
    cursor = blocked.stop;
  }
  return found;
}

std::optional<Instant> find_first_common_start(const TimeIntervals& left, const TimeIntervals& right, Millis duration) {
  auto left_interval = left.begin();
  auto right_interval = right.begin();
  while (left_interval != left.end() && right_interval != right.end()) {
    const TimeInterval common{std::max(left_interval->start, right_interval->start),
                              std::min(left_interval->stop, right_interval->stop)};
    if (common.start < common.stop && lasts_at_least(common, duration)) return common.start;
    if (left_interval->stop < right_interval->stop) {
      ++left_interval;
    } else {
      ++right_interval;
    }
  }
  return std::nullopt;
}

std::array<const UsageVector*, kResourceCount> pointers_to(
    const std::array<std::optional<UsageVector>, kResourceCount>& vectors) {
  std::array<const UsageVector*, kResourceCount> addresses{};
  for (std::size_t r = 0; r < kResourceCount; ++r) addresses[r] = vectors[r] ? &*vectors[r] : nullptr;
  return addresses;
}

}  // namespace foxshunt::plan
