// Warnings that are not repeated all the time. Not synchronised.
#pragma once

#include <chrono>
#include <optional>

#include "config/constants.h"

namespace foxshunt::node {

/// Lets a warning through once in constants::kWarnEvery.
class RateLimitedLog {
 public:
  [[nodiscard]] bool should_log(std::chrono::steady_clock::time_point now) {
    if (next_at_ && now < *next_at_) return false;
    next_at_ = now + constants::kWarningInterval;
    return true;
  }

 private:
  std::optional<std::chrono::steady_clock::time_point> next_at_;
};

}  // namespace foxshunt::node
