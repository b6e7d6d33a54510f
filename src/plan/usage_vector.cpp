#include "plan/usage_vector.h"

#include <algorithm>

namespace foxshunt::plan {
namespace {

// Whether [start, stop) lasts at least `duration`. Subtracts start from stop because start + duration could overflow.
// An interval without an end always lasts long enough.
bool lasts_at_least(Instant start, Instant stop, Millis duration) {
  return stop == kForever || stop - start >= duration;
}

}  // namespace

void UsageVector::add(const Slot& slot) { apply_change(slot, 1); }
void UsageVector::subtract(const Slot& slot) { apply_change(slot, -1); }

void UsageVector::apply_change(const Slot& slot, AmountUnits sign) {
  if (slot.start >= slot.stop || slot.amount == 0) return;
  const AmountUnits delta = sign * slot.amount;
  // The first slot that ends after the start of the change.
  auto first_slot = std::ranges::upper_bound(slots_, slot.start, {}, &Slot::stop);
  const auto first = static_cast<std::size_t>(first_slot - slots_.begin());
  std::size_t index = first;
  Instant cursor = slot.start;
  while (cursor < slot.stop) {
    if (index == slots_.size() || slots_[index].start >= slot.stop) {
      // There is no usage from here to the end of the change.
      if (delta > 0) {
        slots_.insert(slots_.begin() + static_cast<std::ptrdiff_t>(index), Slot{cursor, slot.stop, delta});
        ++index;
      }
      break;
    }
    if (slots_[index].start > cursor) {
      const Instant gap_end = slots_[index].start;
      if (delta > 0) {
        slots_.insert(slots_.begin() + static_cast<std::ptrdiff_t>(index), Slot{cursor, gap_end, delta});
        ++index;
      }
      cursor = gap_end;
      continue;
    }
    if (slots_[index].start < cursor) {
      Slot head = slots_[index];
      head.stop = cursor;
      slots_[index].start = cursor;
      slots_.insert(slots_.begin() + static_cast<std::ptrdiff_t>(index), head);
      ++index;
    }
    if (slots_[index].stop > slot.stop) {
      Slot head = slots_[index];
      head.stop = slot.stop;
      slots_[index].start = slot.stop;
      slots_.insert(slots_.begin() + static_cast<std::ptrdiff_t>(index), head);
    }
    slots_[index].amount += delta;
    cursor = slots_[index].stop;
    ++index;
  }
  normalize(first == 0 ? 0 : first - 1, std::min(index + 1, slots_.size()));
}

void UsageVector::normalize(std::size_t first, std::size_t last) {
  std::size_t kept_end = first;
  for (std::size_t source = first; source < last; ++source) {
    if (slots_[source].amount <= 0) continue;
    if (kept_end > first && slots_[kept_end - 1].stop == slots_[source].start &&
        slots_[kept_end - 1].amount == slots_[source].amount) {
      slots_[kept_end - 1].stop = slots_[source].stop;
    } else {
      slots_[kept_end++] = slots_[source];
    }
  }
  slots_.erase(slots_.begin() + static_cast<std::ptrdiff_t>(kept_end),
               slots_.begin() + static_cast<std::ptrdiff_t>(last));
}

UsageVector& UsageVector::operator+=(const UsageVector& other) {
  for (const Slot& slot : other.slots_) add(slot);
  return *this;
}

UsageVector& UsageVector::operator-=(const UsageVector& other) {
  for (const Slot& slot : other.slots_) subtract(slot);
  return *this;
}

AmountUnits UsageVector::used_at(Instant when) const {
  const auto slot = std::ranges::upper_bound(slots_, when, {}, &Slot::stop);
  return slot != slots_.end() && slot->start <= when ? slot->amount : 0;
}

AmountUnits UsageVector::peak_usage(Instant from, Instant to) const {
  AmountUnits highest = 0;
  for (auto slot = std::ranges::upper_bound(slots_, from, {}, &Slot::stop); slot != slots_.end() && slot->start < to;
       ++slot) {
    highest = std::max(highest, slot->amount);
  }
  return highest;
}

void UsageVector::forget_before(Instant when) {
  const auto slot = std::ranges::upper_bound(slots_, when, {}, &Slot::stop);
  slots_.erase(slots_.begin(), slot);
}

UsageVector UsageVector::min_free(const UsageVector& system, AmountUnits limit, const UsageVector& limited_use) {
  // The free amount is the smaller of (available - used) and (limit - limited use). Expressed as usage of
  // `system.available()`, this is the larger of used and (available - limit + limited use).
  const AmountUnits base = system.available() - limit;
  UsageVector result(system.available());
  result.slots_.reserve(2 * (system.slots_.size() + limited_use.slots_.size()) + 1);
  auto system_slot = system.slots_.begin();
  auto limited_slot = limited_use.slots_.begin();
  const auto system_end = system.slots_.end();
  const auto limited_end = limited_use.slots_.end();
  Instant cursor = Instant::min();
  while (cursor < kForever) {
    while (system_slot != system_end && system_slot->stop <= cursor) ++system_slot;
    while (limited_slot != limited_end && limited_slot->stop <= cursor) ++limited_slot;
    const bool in_system_slot = system_slot != system_end && system_slot->start <= cursor;
    const bool in_limited_slot = limited_slot != limited_end && limited_slot->start <= cursor;
    Instant next = kForever;
    if (system_slot != system_end) next = std::min(next, in_system_slot ? system_slot->stop : system_slot->start);
    if (limited_slot != limited_end) next = std::min(next, in_limited_slot ? limited_slot->stop : limited_slot->start);
    const AmountUnits used =
        std::max(in_system_slot ? system_slot->amount : 0, base + (in_limited_slot ? limited_slot->amount : 0));
    if (used > 0) {
      if (!result.slots_.empty() && result.slots_.back().stop == cursor && result.slots_.back().amount == used) {
        result.slots_.back().stop = next;
      } else {
        result.slots_.push_back({cursor, next, used});
      }
    }
    cursor = next;
  }
  return result;
}

FreeSlots UsageVector::free_slots(AmountUnits amount, Millis duration, Instant from, Instant to) const {
  FreeSlots found;
  const AmountUnits capacity = available();
  if (amount > capacity) return found;
  bool open = false;  // whether `current` may still grow
  Slot current{};
  // Takes the next part of [from, to): extends the current slot by it, or closes the slot if too little is free.
  const auto extend_or_close = [&](Instant start, Instant stop, AmountUnits free) {
    if (start >= stop) return;
    if (free < amount) {
      if (open && lasts_at_least(current.start, current.stop, duration)) found.push_back(current);
      open = false;
      return;
    }
    if (!open) {
      current = {start, stop, free};
      open = true;
    } else {
      current.stop = stop;
      current.amount = std::min(current.amount, free);
    }
  };
  Instant cursor = from;
  for (auto slot = std::ranges::upper_bound(slots_, from, {}, &Slot::stop); slot != slots_.end() && slot->start < to;
       ++slot) {
    extend_or_close(cursor, std::min(slot->start, to), capacity);
    extend_or_close(std::max(slot->start, from), std::min(slot->stop, to), capacity - slot->amount);
    cursor = std::min(slot->stop, to);
  }
  extend_or_close(cursor, to, capacity);
  if (open && lasts_at_least(current.start, current.stop, duration)) found.push_back(current);
  return found;
}

FreeSlots intersect(const FreeSlots& left, const FreeSlots& right, Millis duration) {
  FreeSlots found;
  auto left_slot = left.begin();
  auto right_slot = right.begin();
  while (left_slot != left.end() && right_slot != right.end()) {
    const Slot common{std::max(left_slot->start, right_slot->start), std::min(left_slot->stop, right_slot->stop),
                      std::min(left_slot->amount, right_slot->amount)};
    if (common.start < common.stop && lasts_at_least(common.start, common.stop, duration)) found.push_back(common);
    if (left_slot->stop < right_slot->stop) {
      ++left_slot;
    } else {
      ++right_slot;
    }
  }
  return found;
}

}  // namespace foxshunt::plan
