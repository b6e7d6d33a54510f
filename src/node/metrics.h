// What a node counts as it happens.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>

#include "node/recent_peak.h"

namespace foxshunt::node {

/// Counters and recent peaks of one node. Thread-safe; reading them costs next to nothing.
class Metrics {
 public:
  enum class Kind : std::uint8_t { heartbeat, user };

  // A request was answered with this status after this time.
  void answered(Kind kind, int status, RecentPeak::Clock::duration after);
  void planned(RecentPeak::Clock::duration took);

  struct Requests {
    std::atomic<std::uint64_t> all{0};
    std::atomic<std::uint64_t> refused{0};  // 503 and 429
    std::atomic<std::uint64_t> bad{0};      // other 4xx, but not 421, which sends a worker to the leader
  };
  [[nodiscard]] const Requests& of(Kind kind) const { return requests_[static_cast<std::size_t>(kind)]; }
  std::atomic<std::uint64_t> relayed{0};  // reports that were passed on to the leader
  std::atomic<std::uint64_t> granted{0};  // reports that this node answered by a grant
  [[nodiscard]] std::chrono::milliseconds slowest(Kind kind);
  [[nodiscard]] std::chrono::milliseconds longest_pass();

 private:
  std::array<Requests, 2> requests_;
  std::mutex mutex_;
  std::array<RecentPeak, 2> answers_;
  RecentPeak passes_;
};

}  // namespace foxshunt::node
