// The leader's planning.
#pragma once

#include "node/context.h"
#include "node/rate_limited_log.h"

namespace foxshunt::node {

// Plans, and keeps house.
class PlanDuty {
 public:
  explicit PlanDuty(Context& context) : context_(context) {}
  void run(const std::stop_token& stop);

 private:
  Context& context_;
  Seldom late_pass_;
  Seldom late_write_;
};

}  // namespace foxshunt::node
