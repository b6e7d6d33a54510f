// Stop orders that go to workers at once, besides the answers to their reports.
#pragma once

#include "node/context.h"

namespace foxshunt::node {

/// Sends stop orders straight to workers, on a thread for each, so that a silent worker delays no other.
/// Owns these threads: they are joined when the loop returns. Only a heartbeat proves that a task has stopped.
class StopSender {
 public:
  explicit StopSender(Context& context) : context_(context) {}
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  void send(const control::DirectStop& direct_stop);
  Context& context_;
};

}  // namespace foxshunt::node
