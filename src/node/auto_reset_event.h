// How one loop wakes another, and how a loop sleeps.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace foxshunt::node {

/// An event that one loop signals and another waits for; a successful wait resets it.
class AutoResetEvent {
 public:
  void signal();
  /// Waits until it is signalled, the time-out passes or a stop is asked for; then resets it. Whether it was signalled.
  bool wait(const std::stop_token& stop, std::chrono::milliseconds timeout);

 private:
  std::mutex mutex_;
  std::condition_variable_any signalled_;
  bool is_signalled_ = false;
};

/// Sleeps for the span; returns early and false when a stop is asked for.
bool sleep_unless_stopped(const std::stop_token& stop, std::chrono::milliseconds span);

}  // namespace foxshunt::node
