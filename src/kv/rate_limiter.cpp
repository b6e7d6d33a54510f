#include "kv/rate_limiter.h"

#include <algorithm>
#include <thread>

#include "config/constants.h"

namespace foxshunt::kv {

RateLimiter::RateLimiter(double requests_per_s, double changes_per_s, double share)
    : requests_per_s_(requests_per_s),
      changes_per_s_(changes_per_s),
      share_(share),
      requests_(requests_per_s * share),
      changes_(changes_per_s * share),
      last_(Clock::now()) {}

void RateLimiter::set_share(double share) {
  const std::lock_guard lock(mutex_);
  refill(Clock::now());
  share_ = share;
}

void RateLimiter::refill(Clock::time_point now) {
  const double passed_s = std::chrono::duration<double>(now - last_).count();
  last_ = now;
  // Each bucket holds at most the tokens of one second.
  requests_ = std::min(requests_per_s_ * share_, requests_ + passed_s * requests_per_s_ * share_);
  changes_ = std::min(changes_per_s_ * share_, changes_ + passed_s * changes_per_s_ * share_);
}

bool RateLimiter::take(double changes, Urgency urgency, Clock::time_point until) {
  while (true) {
    double wait_s = 0;
    {
      const std::lock_guard lock(mutex_);
      refill(Clock::now());
      const double reserve = urgency == Urgency::user ? constants::kUserRequestRateReserve : 0;
      const double request_rate = requests_per_s_ * share_;
      const double change_rate = changes_per_s_ * share_;
      // A transaction with more changes than the bucket holds could never collect enough tokens. It proceeds once the
      // bucket is full and leaves a negative balance.
      const double need_changes = changes == 0 ? 0 : std::min(changes + reserve * change_rate, change_rate);
      const double need_requests = 1 + reserve * std::max(0.0, request_rate - 1);
      wait_s = std::max({0.0, (need_requests - requests_) / request_rate,
                         changes == 0 ? 0 : (need_changes - changes_) / change_rate});
      if (wait_s <= 0) {
        requests_ -= 1;
        changes_ -= changes;
        return true;
      }
    }
    const auto wait = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(wait_s)) +
                      std::chrono::milliseconds(1);
    if (Clock::now() + wait > until) return false;
    std::this_thread::sleep_for(wait);
  }
}

void RateLimiter::overdrawn() {
  const std::lock_guard lock(mutex_);
  refill(Clock::now());
  requests_ = std::min(requests_, 0.0);
  changes_ = std::min(changes_, 0.0);
}

}  // namespace foxshunt::kv
