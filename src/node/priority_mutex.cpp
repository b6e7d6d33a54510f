#include "node/priority_mutex.h"

#include <algorithm>

namespace foxshunt::node {

DutyMutex::DutyMutex() {
  for (std::size_t rank = 0; rank < kDuties; ++rank) {
    doors_[rank].mutex_ = this;
    doors_[rank].rank_ = rank;
  }
}

bool DutyMutex::behind(std::size_t rank) const {
  return std::any_of(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(rank),
                     [](std::size_t count) { return count > 0; });
}

void DutyMutex::Door::lock() {
  std::unique_lock lock(mutex_->mutex_);
  if (mutex_->taken_ || mutex_->behind(rank_)) {
    const auto since = RecentPeak::Clock::now();
    ++mutex_->waiting_[rank_];
    turn_.wait(lock, [this] { return !mutex_->taken_ && !mutex_->behind(rank_); });
    --mutex_->waiting_[rank_];
    const auto now = RecentPeak::Clock::now();
    mutex_->waits_[rank_].note(now - since, now);
  }
  mutex_->taken_ = true;
}

void DutyMutex::Door::unlock() {
  const std::lock_guard lock(mutex_->mutex_);
  mutex_->taken_ = false;
  for (std::size_t rank = 0; rank < kDuties; ++rank) {
    if (mutex_->waiting_[rank] == 0) continue;
    mutex_->doors_[rank].turn_.notify_one();
    return;
  }
}

bool DutyMutex::awaited_by(Duty duty) {
  const std::lock_guard lock(mutex_);
  return waiting_[static_cast<std::size_t>(duty)] > 0;
}

std::array<std::chrono::milliseconds, kDuties> DutyMutex::longest_waits() {
  const std::lock_guard lock(mutex_);
  std::array<std::chrono::milliseconds, kDuties> longest{};
  for (std::size_t rank = 0; rank < kDuties; ++rank) longest[rank] = waits_[rank].longest(RecentPeak::Clock::now());
  return longest;
}

}  // namespace foxshunt::node
