// Amounts of resources, and their use over time.
#include <algorithm>
#include <cmath>
#include <limits>

#include "plan/planner.h"
#include "plan/spans.h"

namespace foxshunt::plan {
namespace {

Items thousandths(double amount) { return static_cast<Items>(std::llround(amount * 1000.0)); }

}  // namespace

Amounts Amounts::from(double cpus, double gpus, double ram_gb) {
  return {{thousandths(cpus), thousandths(gpus), thousandths(ram_gb)}};
}

Amounts& Amounts::operator+=(const Amounts& other) {
  for (std::size_t r = 0; r < kResources; ++r) of[r] += other.of[r];
  return *this;
}

Amounts& Amounts::operator-=(const Amounts& other) {
  for (std::size_t r = 0; r < kResources; ++r) of[r] -= other.of[r];
  return *this;
}

Amounts Amounts::times(std::int64_t count) const {
  Amounts product = *this;
  for (Items& items : product.of) items *= count;
  return product;
}

bool Amounts::fits(const Amounts& room) const {
  for (std::size_t r = 0; r < kResources; ++r) {
    if (of[r] > room.of[r]) return false;
  }
  return true;
}

std::int64_t Amounts::count_in(const Amounts& room) const {
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  for (std::size_t r = 0; r < kResources; ++r) {
    if (of[r] > 0) count = std::min(count, std::max<Items>(0, room.of[r]) / of[r]);
  }
  return count;
}

ResourceSet::ResourceSet(const Amounts& capacity) { set_capacity(capacity); }

void ResourceSet::set_capacity(const Amounts& capacity) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].set_max(capacity.of[r]);
}

Amounts ResourceSet::capacity() const {
  Amounts amounts;
  for (std::size_t r = 0; r < kResources; ++r) amounts.of[r] = vectors_[r].available();
  return amounts;
}

void ResourceSet::book(const Amounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].add({start, stop, amounts.of[r]});
}

void ResourceSet::revoke(const Amounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].subtract({start, stop, amounts.of[r]});
}

Spans ResourceSet::free_spans(const Amounts& amounts, Millis duration, Instant from, Instant to) const {
  std::array<const UsageVector*, kResources> vectors{};
  for (std::size_t r = 0; r < kResources; ++r) vectors[r] = amounts.of[r] > 0 ? &vectors_[r] : nullptr;
  return spans_of(vectors, amounts, duration, from, to);
}

Amounts ResourceSet::free(Instant from, Instant to) const {
  Amounts room;
  for (std::size_t r = 0; r < kResources; ++r) room.of[r] = vectors_[r].available() - vectors_[r].peak(from, to);
  return room;
}

void ResourceSet::forget_before(Instant when) {
  for (UsageVector& vector : vectors_) vector.forget_before(when);
}

}  // namespace foxshunt::plan
