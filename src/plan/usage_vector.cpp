#include "plan/usage_vector.h"

#include <algorithm>

namespace foxshunt::plan {
namespace {

// When a stop as late as kForever is compared with start + duration, the sum must not overflow.
bool lasts(Instant start, Instant stop, Millis duration) { return stop == kForever || stop - start >= duration; }

}  // namespace

void UsageVector::add(const Slot& slot) { change(slot, 1); }
void UsageVector::subtract(const Slot& slot) { change(slot, -1); }

void UsageVector::change(const Slot& slot, Items sign) {
  if (slot.start >= slot.stop || slot.items == 0) return;
  const Items delta = sign * slot.items;
  // First slot that ends after the change begins.
  auto at = std::ranges::upper_bound(slots_, slot.start, {}, &Slot::stop);
  const auto first = static_cast<std::size_t>(at - slots_.begin());
  std::size_t index = first;
  Instant cursor = slot.start;
  while (cursor < slot.stop) {
    if (index == slots_.size() || slots_[index].start >= slot.stop) {
      // Nothing is used up to the end of the change.
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
    slots_[index].items += delta;
    cursor = slots_[index].stop;
    ++index;
  }
  tidy(first == 0 ? 0 : first - 1, std::min(index + 1, slots_.size()));
}

// Within [first, last): removes slots without use and joins neighbours that are equal.
void UsageVector::tidy(std::size_t first, std::size_t last) {
  std::size_t kept = first;
  for (std::size_t at = first; at < last; ++at) {
    if (slots_[at].items <= 0) continue;
    if (kept > first && slots_[kept - 1].stop == slots_[at].start && slots_[kept - 1].items == slots_[at].items) {
      slots_[kept - 1].stop = slots_[at].stop;
    } else {
      slots_[kept++] = slots_[at];
    }
  }
  slots_.erase(slots_.begin() + static_cast<std::ptrdiff_t>(kept), slots_.begin() + static_cast<std::ptrdiff_t>(last));
}

UsageVector& UsageVector::operator+=(const UsageVector& other) {
  for (const Slot& slot : other.slots_) add(slot);
  return *this;
}

UsageVector& UsageVector::operator-=(const UsageVector& other) {
  for (const Slot& slot : other.slots_) subtract(slot);
  return *this;
}

Items UsageVector::used_at(Instant when) const {
  const auto at = std::ranges::upper_bound(slots_, when, {}, &Slot::stop);
  return at != slots_.end() && at->start <= when ? at->items : 0;
}

Items UsageVector::peak(Instant from, Instant to) const {
  Items most = 0;
  for (auto at = std::ranges::upper_bound(slots_, from, {}, &Slot::stop); at != slots_.end() && at->start < to; ++at) {
    most = std::max(most, at->items);
  }
  return most;
}

void UsageVector::forget_before(Instant when) {
  const auto at = std::ranges::upper_bound(slots_, when, {}, &Slot::stop);
  slots_.erase(slots_.begin(), at);
}

UsageVector UsageVector::min_free(const UsageVector& system, Items limit, const UsageVector& limited_use) {
  // Free is the smaller of (available - used) and (limit - limited use); as use of `system.available()`, that
  // is the larger of used and available - limit + limited use.
  const Items base = system.available() - limit;
  UsageVector result(system.available());
  result.slots_.reserve(2 * (system.slots_.size() + limited_use.slots_.size()) + 1);
  auto a = system.slots_.begin();
  auto b = limited_use.slots_.begin();
  const auto a_end = system.slots_.end();
  const auto b_end = limited_use.slots_.end();
  Instant cursor = Instant::min();
  while (cursor < kForever) {
    while (a != a_end && a->stop <= cursor) ++a;
    while (b != b_end && b->stop <= cursor) ++b;
    const bool in_a = a != a_end && a->start <= cursor;
    const bool in_b = b != b_end && b->start <= cursor;
    Instant next = kForever;
    if (a != a_end) next = std::min(next, in_a ? a->stop : a->start);
    if (b != b_end) next = std::min(next, in_b ? b->stop : b->start);
    const Items used = std::max(in_a ? a->items : 0, base + (in_b ? b->items : 0));
    if (used > 0) {
      if (!result.slots_.empty() && result.slots_.back().stop == cursor && result.slots_.back().items == used) {
        result.slots_.back().stop = next;
      } else {
        result.slots_.push_back({cursor, next, used});
      }
    }
    cursor = next;
  }
  return result;
}

FreeSlots UsageVector::free_slots(Items items, Millis duration, Instant from, Instant to) const {
  FreeSlots found;
  const Items most = available();
  if (items > most) return found;
  bool open = false;
  Slot current{};
  const auto piece = [&](Instant start, Instant stop, Items free) {
    if (start >= stop) return;
    if (free < items) {
      if (open && lasts(current.start, current.stop, duration)) found.push_back(current);
      open = false;
      return;
    }
    if (!open) {
      current = {start, stop, free};
      open = true;
    } else {
      current.stop = stop;
      current.items = std::min(current.items, free);
    }
  };
  Instant cursor = from;
  for (auto at = std::ranges::upper_bound(slots_, from, {}, &Slot::stop); at != slots_.end() && at->start < to; ++at) {
    piece(cursor, std::min(at->start, to), most);
    piece(std::max(at->start, from), std::min(at->stop, to), most - at->items);
    cursor = std::min(at->stop, to);
  }
  piece(cursor, to, most);
  if (open && lasts(current.start, current.stop, duration)) found.push_back(current);
  return found;
}

FreeSlots intersect(const FreeSlots& left, const FreeSlots& right, Millis duration) {
  FreeSlots found;
  auto a = left.begin();
  auto b = right.begin();
  while (a != left.end() && b != right.end()) {
    const Slot both{std::max(a->start, b->start), std::min(a->stop, b->stop), std::min(a->items, b->items)};
    if (both.start < both.stop && lasts(both.start, both.stop, duration)) found.push_back(both);
    if (a->stop < b->stop) {
      ++a;
    } else {
      ++b;
    }
  }
  return found;
}

}  // namespace foxshunt::plan
