// Stop orders that go to workers at once, besides the answers to their reports.
#pragma once

#include "node/context.h"

namespace foxshunt::node {

// Tells workers directly to stop tasks, one thread a worker, so that a silent one delays no other.
class StopSender {
 public:
  explicit StopSender(Context& context) : context_(context) {}
  void run(const std::stop_token& stop);

 private:
  void send(const control::DirectStop& direct_stop);
  Context& context_;
};

}  // namespace foxshunt::node
