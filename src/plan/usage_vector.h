// The resource usage vector of PAPER section 4: time-sorted slots of used items of one resource.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace foxshunt::plan {

using Millis = std::chrono::milliseconds;
// A moment of this node's steady clock. Bookings never leave the process, so no other clock meets it.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Millis>;
inline constexpr Instant kForever = Instant::max();

// Thousandths of a CPU, GPU or gigabyte: whole numbers, so that adding and taking away leaves nothing behind.
using MilliUnits = std::int64_t;

// [start, stop): `items` are used in it (in a UsageVector) or free in it (in FreeSlots).
struct Slot {
  Instant start;
  Instant stop;
  MilliUnits amount = 0;
  friend bool operator==(const Slot&, const Slot&) = default;
};

using FreeSlots = std::vector<Slot>;

class UsageVector {
 public:
  UsageVector() = default;
  explicit UsageVector(MilliUnits max_available) : max_available_(max_available) {}

  [[nodiscard]] MilliUnits available() const { return max_available_ - unavailable_; }
  void set_unavailable(MilliUnits unavailable) { unavailable_ = unavailable; }
  void set_max_available(MilliUnits max_available) { max_available_ = max_available; }
  [[nodiscard]] const std::vector<Slot>& slots() const { return slots_; }

  void add(const Slot& slot);       // the paper's (+) with a circle
  void subtract(const Slot& slot);  // its inverse; nothing falls below zero
  UsageVector& operator+=(const UsageVector& other);
  UsageVector& operator-=(const UsageVector& other);

  [[nodiscard]] MilliUnits used_at(Instant when) const;
  [[nodiscard]] MilliUnits peak_usage(Instant from, Instant to) const;
  // Forgets what lies wholly before `when`, which planning never asks for again.
  void forget_before(Instant when);

  // The paper's mf: at no time more free than `limit` leaves after `limited_use`.
  [[nodiscard]] static UsageVector min_free(const UsageVector& system, MilliUnits limit,
                                            const UsageVector& limited_use);

  // The paper's getFreeSlots, which the plain planner of the tests uses; Planner sweeps all resources at once.
  // Longest intervals within [from, to) that have at least `items` free throughout and last `duration` at
  // least; `items` of a result are the fewest that are free in it.
  [[nodiscard]] FreeSlots free_slots(MilliUnits amount, Millis duration, Instant from, Instant to) const;

 private:
  void apply_change(const Slot& slot, MilliUnits sign);
  void normalize(std::size_t first, std::size_t last);

  MilliUnits max_available_ = 0;
  MilliUnits unavailable_ = 0;
  std::vector<Slot> slots_;  // sorted, disjoint, none without use, neighbours differ
};

// Where both have a slot, the smaller number of items; pieces shorter than `duration` are left out.
[[nodiscard]] FreeSlots intersect(const FreeSlots& left, const FreeSlots& right, Millis duration);

}  // namespace foxshunt::plan
