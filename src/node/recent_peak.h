// The largest of the spans noted in the last minute or two. Not synchronised.
#pragma once

#include <algorithm>
#include <chrono>

#include "config/constants.h"

namespace foxshunt::node {

class RecentPeak {
 public:
  using Clock = std::chrono::steady_clock;

  void note(Clock::duration span, Clock::time_point now) {
    turn(now);
    current_ = std::max(current_, span);
  }
  [[nodiscard]] std::chrono::milliseconds longest(Clock::time_point now) {
    turn(now);
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(current_, earlier_));
  }

 private:
  void turn(Clock::time_point now) {
    const auto passed = now - began_;
    if (passed < constants::kPeakWindow) return;
    earlier_ = passed < 2 * constants::kPeakWindow ? current_ : Clock::duration{};
    current_ = {};
    began_ = now;
  }

  Clock::time_point began_{};
  Clock::duration current_{};
  Clock::duration earlier_{};
};

}  // namespace foxshunt::node
