#include "node/auto_reset_event.h"

#include <utility>

namespace foxshunt::node {

void Signal::raise() {
  {
    const std::lock_guard lock(mutex_);
    up_ = true;
  }
  raised_.notify_one();
}

bool Signal::wait(const std::stop_token& stop, std::chrono::milliseconds most) {
  std::unique_lock lock(mutex_);
  raised_.wait_for(lock, stop, most, [this] { return up_; });
  return std::exchange(up_, false);
}

bool pause(const std::stop_token& stop, std::chrono::milliseconds span) {
  std::mutex mutex;
  std::condition_variable_any never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, stop, span, [] { return false; });
  return !stop.stop_requested();
}

}  // namespace foxshunt::node
