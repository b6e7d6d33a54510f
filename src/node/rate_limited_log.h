// Warnings that are not repeated all the time. Not synchronised.
#pragma once

#include <chrono>
#include <optional>

#include "config/constants.h"

namespace foxshunt::node {

// Lets a warning through once a minute.
class Seldom {
 public:
  [[nodiscard]] bool due(std::chrono::steady_clock::time_point now) {
    if (next_ && now < *next_) return false;
    next_ = now + constants::kWarnEvery;
    return true;
  }

 private:
  std::optional<std::chrono::steady_clock::time_point> next_;
};

}  // namespace foxshunt::node
