// The engine's lock. When several duties wait for it, the most urgent one gets it first: std::mutex would give it
// back to the duty that has just left it, and a pass in portions would keep reports and the lease waiting to its end.
#pragma once

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "node/recent_peak.h"

namespace foxshunt::node {

// In the order in which they matter when a node is behind.
enum class Duty : std::uint8_t { lease, reports, records, writes, cloud, planning, counting };
inline constexpr std::size_t kDuties = 7;

class DutyMutex {
 public:
  // One duty's way in; a BasicLockable.
  class Door {
   public:
    void lock();
    void unlock();

   private:
    friend class DutyMutex;
    DutyMutex* mutex_ = nullptr;
    std::size_t rank_ = 0;
    std::condition_variable turn_;
  };

  DutyMutex();
  Door& of(Duty duty) { return doors_[static_cast<std::size_t>(duty)]; }
  [[nodiscard]] bool awaited_by(Duty duty);
  // The longest that each duty has waited of late.
  [[nodiscard]] std::array<std::chrono::milliseconds, kDuties> longest_waits();

 private:
  // Whether somebody more urgent waits.
  [[nodiscard]] bool behind(std::size_t rank) const;

  std::mutex mutex_;  // held for a few instructions only
  bool taken_ = false;
  std::array<std::size_t, kDuties> waiting_{};
  std::array<RecentPeak, kDuties> waits_;
  std::array<Door, kDuties> doors_;
};

}  // namespace foxshunt::node
