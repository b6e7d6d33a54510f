// The leader's planning.
#pragma once

#include "node/context.h"
#include "node/rate_limited_log.h"

namespace foxshunt::node {

/// Runs the scheduling cycle in portions, between which more urgent loops get the controller, and its housekeeping.
class SchedulerLoop {
 public:
  explicit SchedulerLoop(Context& context) : context_(context) {}
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  Context& context_;
  RateLimitedLog late_pass_;
  RateLimitedLog late_write_;
};

}  // namespace foxshunt::node
