#include "node/priority_mutex.h"

#include <algorithm>

namespace foxshunt::node {

PriorityMutex::PriorityMutex() {
  for (std::size_t rank = 0; rank < kLockPriorities; ++rank) {
    handles_[rank].mutex_ = this;
    handles_[rank].rank_ = rank;
  }
}

bool PriorityMutex::is_outranked(std::size_t rank) const {
  return std::any_of(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(rank),
                     [](std::size_t count) { return count > 0; });
}

void PriorityMutex::LockHandle::lock() {
  std::unique_lock lock(mutex_->mutex_);
  if (mutex_->is_locked_ || mutex_->is_outranked(rank_)) {
    const auto since = RecentPeak::Clock::now();
    ++mutex_->waiting_[rank_];
    my_turn_.wait(lock, [this] { return !mutex_->is_locked_ && !mutex_->is_outranked(rank_); });
    --mutex_->waiting_[rank_];
    const auto now = RecentPeak::Clock::now();
    mutex_->waits_[rank_].record(now - since, now);
  }
  mutex_->is_locked_ = true;
}

void PriorityMutex::LockHandle::unlock() {
  const std::lock_guard lock(mutex_->mutex_);
  mutex_->is_locked_ = false;
  for (std::size_t rank = 0; rank < kLockPriorities; ++rank) {
    if (mutex_->waiting_[rank] == 0) continue;
    mutex_->handles_[rank].my_turn_.notify_one();
    return;
  }
}

bool PriorityMutex::is_awaited_by(LockPriority priority) {
  const std::lock_guard lock(mutex_);
  return waiting_[static_cast<std::size_t>(priority)] > 0;
}

std::array<std::chrono::milliseconds, kLockPriorities> PriorityMutex::longest_waits() {
  const std::lock_guard lock(mutex_);
  std::array<std::chrono::milliseconds, kLockPriorities> longest{};
  for (std::size_t rank = 0; rank < kLockPriorities; ++rank)
    longest[rank] = waits_[rank].longest(RecentPeak::Clock::now());
  return longest;
}

}  // namespace foxshunt::node
