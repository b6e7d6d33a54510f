// The key-value store limits requests and changes a second over all nodes. Each node keeps to its share of both by token
// buckets, without asking the others.
#pragma once

#include <chrono>
#include <mutex>

namespace foxshunt::kv {

// Users' requests leave a reserve to those that keep leadership, records and leases.
enum class Urgency { duty, user };

// Thread-safe.
class RateLimiter {
 public:
  using Clock = std::chrono::steady_clock;

  RateLimiter(double requests_per_s, double changes_per_s, double share);

  // The part of the limits that this node may use; it is larger for the leader.
  void set_share(double share);
  // Waits for its turn; false when that would come after `until`.
  [[nodiscard]] bool take(double changes, Urgency urgency, Clock::time_point until);
  // The service said 429: others used more than their part. The buckets start again from nothing.
  void overdrawn();

 private:
  void refill(Clock::time_point now);

  std::mutex mutex_;
  double requests_per_s_;
  double changes_per_s_;
  double share_;
  double requests_;
  double changes_;
  Clock::time_point last_;
};

}  // namespace foxshunt::kv
