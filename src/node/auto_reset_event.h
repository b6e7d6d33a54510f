// How one loop wakes another, and how a loop sleeps.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace foxshunt::node {

// A flag that one duty raises and another waits for.
class Signal {
 public:
  void raise();
  // Waits until it is raised, the time is over or a stop is asked for; then lowers it. Whether it was raised.
  bool wait(const std::stop_token& stop, std::chrono::milliseconds most);

 private:
  std::mutex mutex_;
  std::condition_variable_any raised_;
  bool up_ = false;
};

// Sleeps unless a stop is asked for; false then.
bool pause(const std::stop_token& stop, std::chrono::milliseconds span);

}  // namespace foxshunt::node
