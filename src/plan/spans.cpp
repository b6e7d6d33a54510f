#include "plan/spans.h"

#include <algorithm>
#include <span>

namespace foxshunt::plan {

Spans spans_of(const std::array<const UsageVector*, kResources>& vectors, const Amounts& amounts, Millis duration,
               Instant from, Instant to) {
  Spans found;
  std::array<std::span<const Slot>, kResources> left;
  for (std::size_t r = 0; r < kResources; ++r) {
    if (vectors[r] == nullptr) continue;
    if (amounts.of[r] > vectors[r]->available()) return found;
    const std::vector<Slot>& slots = vectors[r]->slots();
    const auto first = std::ranges::upper_bound(slots, from, {}, &Slot::stop);
    left[r] = {first, slots.end()};
  }
  Instant cursor = from;
  while (cursor < to) {
    // The next slot of any resource that leaves too little.
    Span taken{to, to};
    for (std::size_t r = 0; r < kResources; ++r) {
      if (vectors[r] == nullptr) continue;
      const Items most_used = vectors[r]->available() - amounts.of[r];
      while (!left[r].empty() && (left[r].front().stop <= cursor || left[r].front().items <= most_used)) {
        left[r] = left[r].subspan(1);
      }
      if (!left[r].empty() && left[r].front().start < taken.start)
        taken = {left[r].front().start, left[r].front().stop};
    }
    if (taken.start > cursor) {
      const Span free{cursor, taken.start};
      if (lasts(free, duration)) found.push_back(free);
    }
    cursor = taken.stop;
  }
  return found;
}

std::optional<Instant> first_common(const Spans& left, const Spans& right, Millis duration) {
  auto a = left.begin();
  auto b = right.begin();
  while (a != left.end() && b != right.end()) {
    const Span both{std::max(a->start, b->start), std::min(a->stop, b->stop)};
    if (both.start < both.stop && lasts(both, duration)) return both.start;
    if (a->stop < b->stop) {
      ++a;
    } else {
      ++b;
    }
  }
  return std::nullopt;
}

std::array<const UsageVector*, kResources> addresses_of(
    const std::array<std::optional<UsageVector>, kResources>& vectors) {
  std::array<const UsageVector*, kResources> addresses{};
  for (std::size_t r = 0; r < kResources; ++r) addresses[r] = vectors[r] ? &*vectors[r] : nullptr;
  return addresses;
}

}  // namespace foxshunt::plan
