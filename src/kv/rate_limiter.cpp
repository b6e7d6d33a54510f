#include "kv/rate_limiter.h"

#include <algorithm>
#include <thread>

#include "config/constants.h"

namespace foxshunt::kv {

RateLimiter::RateLimiter(double requests_per_s, double changes_per_s, double share)
    : requests_per_s_(requests_per_s),
      changes_per_s_(changes_per_s),
      share_(share),
      request_tokens_(requests_per_s * share),
      change_tokens_(changes_per_s * share),
      last_refill_(Clock::now()) {}

void RateLimiter::set_share(double share) {
  const std::lock_guard lock(mutex_);
  refill(Clock::now());
  share_ = share;
}

void RateLimiter::refill(Clock::time_point now) {
  const double passed_s = std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  // Each bucket holds at most the tokens of one second.
  request_tokens_ = std::min(requests_per_s_ * share_, request_tokens_ + passed_s * requests_per_s_ * share_);
  change_tokens_ = std::min(changes_per_s_ * share_, change_tokens_ + passed_s * changes_per_s_ * share_);
}

bool RateLimiter::acquire(double changes, Priority priority, Clock::time_point deadline) {
  while (true) {
    double wait_s = 0;
    {
      const std::lock_guard lock(mutex_);
      refill(Clock::now());
      const double reserve = priority == Priority::user ? constants::kUserRequestRateReserve : 0;
      const double request_rate = requests_per_s_ * share_;
      const double change_rate = changes_per_s_ * share_;
      // A transaction with more changes than the bucket holds could never collect enough tokens. It proceeds once the
      // bucket is full and leaves a negative balance.
      const double need_changes = changes == 0 ? 0 : std::min(changes + reserve * change_rate, change_rate);
      const double need_requests = 1 + reserve * std::max(0.0, request_rate - 1);
      wait_s = std::max({0.0, (need_requests - request_tokens_) / request_rate,
                         changes == 0 ? 0 : (need_changes - change_tokens_) / change_rate});
      if (wait_s <= 0) {
        request_tokens_ -= 1;
        change_tokens_ -= changes;
        return true;
      }
    }
    const auto wait = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(wait_s)) +
                      std::chrono::milliseconds(1);
    if (Clock::now() + wait > deadline) return false;
    std::this_thread::sleep_for(wait);
  }
}

void RateLimiter::drain() {
  const std::lock_guard lock(mutex_);
  refill(Clock::now());
  request_tokens_ = std::min(request_tokens_, 0.0);
  change_tokens_ = std::min(change_tokens_, 0.0);
}

}  // namespace foxshunt::kv
