// Amounts of resources and their usage over time.
#include <algorithm>
#include <limits>

#include "plan/planner.h"
#include "plan/free_intervals.h"

namespace foxshunt::plan {

ResourceAmounts ResourceAmounts::from(double cpus, double gpus, double ram_gb) {
  return {{to_amount_units(cpus), to_amount_units(gpus), to_amount_units(ram_gb)}};
}

ResourceAmounts& ResourceAmounts::operator+=(const ResourceAmounts& other) {
  for (std::size_t r = 0; r < kResourceCount; ++r) values[r] += other.values[r];
  return *this;
}

ResourceAmounts& ResourceAmounts::operator-=(const ResourceAmounts& other) {
  for (std::size_t r = 0; r < kResourceCount; ++r) values[r] -= other.values[r];
  return *this;
}

ResourceAmounts ResourceAmounts::times(std::int64_t count) const {
  ResourceAmounts product = *this;
  for (AmountUnits& amount : product.values) amount *= count;
  return product;
}

bool ResourceAmounts::fits_in(const ResourceAmounts& room) const {
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    if (values[r] > room.values[r]) return false;
  }
  return true;
}

std::int64_t ResourceAmounts::count_fitting_in(const ResourceAmounts& room) const {
  AmountUnits count = std::numeric_limits<std::int32_t>::max();
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    if (values[r] > 0) count = std::min(count, std::max<AmountUnits>(0, room.values[r]) / values[r]);
  }
  return static_cast<std::int64_t>(count);
}

std::array<double, kResourceCount> ResourceAmounts::to_whole_amounts() const {
  std::array<double, kResourceCount> whole{};
  std::ranges::transform(values, whole.begin(), to_whole);
  return whole;
}

ResourceUsage::ResourceUsage(const ResourceAmounts& capacity) { set_capacity(capacity); }

void ResourceUsage::set_capacity(const ResourceAmounts& capacity) {
  for (std::size_t r = 0; r < kResourceCount; ++r) vectors_[r].set_max_available(capacity.values[r]);
}

ResourceAmounts ResourceUsage::capacity() const {
  ResourceAmounts amounts;
  for (std::size_t r = 0; r < kResourceCount; ++r) amounts.values[r] = vectors_[r].available();
  return amounts;
}

void ResourceUsage::book(const ResourceAmounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResourceCount; ++r) vectors_[r].add({start, stop, amounts.values[r]});
}

void ResourceUsage::revoke(const ResourceAmounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResourceCount; ++r) vectors_[r].subtract({start, stop, amounts.values[r]});
}

TimeIntervals ResourceUsage::free_intervals(const ResourceAmounts& amounts, Millis duration, Instant from,
                                            Instant to) const {
  std::array<const UsageVector*, kResourceCount> vectors{};
  for (std::size_t r = 0; r < kResourceCount; ++r) vectors[r] = amounts.values[r] > 0 ? &vectors_[r] : nullptr;
  return find_free_intervals(vectors, amounts, duration, from, to);
}

ResourceAmounts ResourceUsage::free(Instant from, Instant to) const {
  ResourceAmounts room;
  for (std::size_t r = 0; r < kResourceCount; ++r)
    room.values[r] = vectors_[r].available() - vectors_[r].peak_usage(from, to);
  return room;
}

void ResourceUsage::forget_before(Instant when) {
  for (UsageVector& vector : vectors_) vector.forget_before(when);
}

}  // namespace foxshunt::plan
