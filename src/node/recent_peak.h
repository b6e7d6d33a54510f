// The largest of the spans noted in the last minute or two. Not synchronised.
#pragma once

#include <algorithm>
#include <chrono>

#include "config/constants.h"

namespace foxshunt::node {

/// The largest of the spans recorded in this window and the one before.
class RecentPeak {
 public:
  using Clock = std::chrono::steady_clock;

  void record(Clock::duration span, Clock::time_point now) {
    roll_window(now);
    current_peak_ = std::max(current_peak_, span);
  }
  [[nodiscard]] std::chrono::milliseconds longest(Clock::time_point now) {
    roll_window(now);
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(current_peak_, previous_peak_));
  }

 private:
  void roll_window(Clock::time_point now) {
    const auto passed = now - window_start_;
    if (passed < constants::kPeakWindow) return;
    previous_peak_ = passed < 2 * constants::kPeakWindow ? current_peak_ : Clock::duration{};
    current_peak_ = {};
    window_start_ = now;
  }

  Clock::time_point window_start_{};
  Clock::duration current_peak_{};
  Clock::duration previous_peak_{};
};

}  // namespace foxshunt::node
