// How one loop wakes another, and how a loop sleeps.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace foxshunt::node {

// A flag that one duty raises and another waits for.
class AutoResetEvent {
 public:
  void signal();
  // Waits until it is raised, the time is over or a stop is asked for; then lowers it. Whether it was raised.
  bool wait(const std::stop_token& stop, std::chrono::milliseconds timeout);

 private:
  std::mutex mutex_;
  std::condition_variable_any signalled_;
  bool is_signalled_ = false;
};

// Sleeps unless a stop is asked for; false then.
bool sleep_unless_stopped(const std::stop_token& stop, std::chrono::milliseconds span);

}  // namespace foxshunt::node
