// The rate limiter for requests to the key-value store.
//
// The store limits the requests and the changes per second over all nodes. Each node keeps to its own share of both
// limits with two token buckets, without coordination between nodes.
#pragma once

#include <chrono>
#include <mutex>

namespace foxshunt::kv {

// The priority of a client's requests. Requests on behalf of users (`user`) leave a reserve of tokens for the requests
// that maintain leadership, records and leases (`system`).
enum class Priority { system, user };

// Two token buckets, one for requests and one for changes. Each holds at most the tokens of one second. Thread-safe.
class RateLimiter {
 public:
  using Clock = std::chrono::steady_clock;

  // `requests_per_s` and `changes_per_s` are the store's limits over all nodes; `share` is as in set_share(). Both
  // buckets start full.
  RateLimiter(double requests_per_s, double changes_per_s, double share);

  // Sets the fraction of the limits, between 0 and 1, that this node may use. The leader gets a larger share.
  void set_share(double share);
  // Waits until one request with this number of changes is allowed, and takes its tokens. Returns false, without taking
  // tokens, if that would be later than `deadline`.
  [[nodiscard]] bool acquire(double changes, Priority priority, Clock::time_point deadline);
  // Empties both buckets; a negative balance stays. To be called when the store answers 429, which means that other
  // nodes used more than their share.
  void drain();

 private:
  // Adds the tokens for the time since the last refill. Requires that `mutex_` is held.
  void refill(Clock::time_point now);

  std::mutex mutex_;
  double requests_per_s_;
  double changes_per_s_;
  double share_;
  double request_tokens_;  // tokens left
  double change_tokens_;   // tokens left; negative after a transaction with more changes than the bucket holds
  Clock::time_point last_refill_;
};

}  // namespace foxshunt::kv
