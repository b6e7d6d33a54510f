// The controller's lock. Of several waiting loops the most urgent one gets it first: std::mutex would give it back to
// the loop that has just left it, and a scheduling pass in portions would keep heartbeats and the lease waiting to its
// end.
#pragma once

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "node/recent_peak.h"

namespace foxshunt::node {

/// What a lock is taken for; the most urgent first.
enum class LockPriority : std::uint8_t { lease, heartbeats, records, writes, cloud, scheduling, metrics };
inline constexpr std::size_t kLockPriorities = 7;

/// A mutex with a lock handle for each priority. Not recursive; no time limits.
class PriorityMutex {
 public:
  /// Locks the mutex with one priority; a BasicLockable, for std::lock_guard and std::unique_lock.
  class LockHandle {
   public:
    void lock();
    void unlock();

   private:
    friend class PriorityMutex;
    PriorityMutex* mutex_ = nullptr;
    std::size_t rank_ = 0;
    std::condition_variable my_turn_;
  };

  PriorityMutex();
  LockHandle& handle(LockPriority priority) { return handles_[static_cast<std::size_t>(priority)]; }
  [[nodiscard]] bool is_awaited_by(LockPriority priority);
  /// The longest recent wait of each priority.
  [[nodiscard]] std::array<std::chrono::milliseconds, kLockPriorities> longest_waits();

 private:
  /// Whether somebody more urgent waits.
  [[nodiscard]] bool is_outranked(std::size_t rank) const;

  std::mutex mutex_;  // held for a few instructions only
  bool is_locked_ = false;
  std::array<std::size_t, kLockPriorities> waiting_{};
  std::array<RecentPeak, kLockPriorities> waits_;
  std::array<LockHandle, kLockPriorities> handles_;
};

}  // namespace foxshunt::node
