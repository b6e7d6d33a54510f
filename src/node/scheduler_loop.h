// The leader's planning.
#pragma once

#include "node/context.h"
#include "node/rate_limited_log.h"

namespace foxshunt::node {

// Plans, and keeps house.
class SchedulerLoop {
 public:
  explicit SchedulerLoop(Context& context) : context_(context) {}
  void run(const std::stop_token& stop);

 private:
  Context& context_;
  RateLimitedLog late_pass_;
  RateLimitedLog late_write_;
};

}  // namespace foxshunt::node
