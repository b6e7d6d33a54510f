#include "node/auto_reset_event.h"

#include <utility>

namespace foxshunt::node {

void AutoResetEvent::signal() {
  {
    const std::lock_guard lock(mutex_);
    is_signalled_ = true;
  }
  signalled_.notify_one();
}

bool AutoResetEvent::wait(const std::stop_token& stop, std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  signalled_.wait_for(lock, stop, timeout, [this] { return is_signalled_; });
  return std::exchange(is_signalled_, false);
}

bool sleep_unless_stopped(const std::stop_token& stop, std::chrono::milliseconds span) {
  std::mutex mutex;
  std::condition_variable_any never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, stop, span, [] { return false; });
  return !stop.stop_requested();
}

}  // namespace foxshunt::node
