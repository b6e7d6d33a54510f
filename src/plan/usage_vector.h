// The resource usage vector of PAPER section 4: the usage of one resource over time, as sorted slots.
#pragma once

#include <chrono>
#include <vector>

#include "plan/amount.h"

namespace foxshunt::plan {

using Millis = std::chrono::milliseconds;
// A point in time of this process's steady clock. Bookings never leave the process, so instants of different
// processes are never compared.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Millis>;
// The end of an interval that has no end.
inline constexpr Instant kForever = Instant::max();

// An amount that is used (in a UsageVector) or free (in FreeSlots) throughout [start, stop).
struct Slot {
  Instant start;
  Instant stop;
  AmountUnits amount = 0;
  friend bool operator==(const Slot&, const Slot&) = default;
};

// Slots of free amounts, sorted and disjoint.
using FreeSlots = std::vector<Slot>;

// Capacity and usage over time of one resource. The usage may exceed the capacity.
class UsageVector {
 public:
  UsageVector() = default;
  explicit UsageVector(AmountUnits max_available) : max_available_(max_available) {}

  // The capacity without the part that is out of service.
  [[nodiscard]] AmountUnits available() const { return max_available_ - unavailable_; }
  // Sets the part of the capacity that is out of service (defect in the paper).
  void set_unavailable(AmountUnits unavailable) { unavailable_ = unavailable; }
  void set_max_available(AmountUnits max_available) { max_available_ = max_available; }
  // Only slots with usage. Adjacent slots differ in their amount.
  [[nodiscard]] const std::vector<Slot>& slots() const { return slots_; }

  // Adds the slot's amount to the usage in its interval (the paper's circled plus).
  void add(const Slot& slot);
  // Reverses add(). The usage does not fall below zero.
  void subtract(const Slot& slot);
  UsageVector& operator+=(const UsageVector& other);
  UsageVector& operator-=(const UsageVector& other);

  [[nodiscard]] AmountUnits used_at(Instant when) const;
  // The highest usage within [from, to).
  [[nodiscard]] AmountUnits peak_usage(Instant from, Instant to) const;
  // Drops the slots that end at or before `when`. Callers no longer ask for usage before it.
  void forget_before(Instant when);

  // mf in the paper. Returns a usage vector with the availability of `system`. Its free amount is at any time the
  // smaller of what is free in `system` and what `limited_use` leaves of `limit`.
  [[nodiscard]] static UsageVector min_free(const UsageVector& system, AmountUnits limit,
                                            const UsageVector& limited_use);

  // getFreeSlots in the paper: the longest intervals within [from, to) in which at least `amount` is free throughout
  // and which last at least `duration`. The amount of a result is the lowest free amount in its interval. Planner
  // searches all resources in one sweep instead; the reference planner of the tests uses this function.
  [[nodiscard]] FreeSlots free_slots(AmountUnits amount, Millis duration, Instant from, Instant to) const;

 private:
  // Adds `sign` times the slot's amount to the usage in its interval.
  void apply_change(const Slot& slot, AmountUnits sign);
  // Removes slots without usage and merges equal adjacent slots among those with an index in [first, last).
  void normalize(std::size_t first, std::size_t last);

  AmountUnits max_available_ = 0;
  AmountUnits unavailable_ = 0;
  std::vector<Slot> slots_;  // sorted, disjoint, all with usage; adjacent slots differ in their amount
};

// The intersections of the slots of both lists, with the smaller amount of the two. Omits those shorter than
// `duration`.
[[nodiscard]] FreeSlots intersect(const FreeSlots& left, const FreeSlots& right, Millis duration);

}  // namespace foxshunt::plan
