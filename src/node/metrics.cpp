#include "node/metrics.h"

namespace foxshunt::node {

void Metrics::answered(Kind kind, int status, RecentPeak::Clock::duration after) {
  Requests& requests = requests_[static_cast<std::size_t>(kind)];
  ++requests.all;
  if (status == 503 || status == 429) {
    ++requests.refused;
  } else if (status >= 400 && status < 500 && status != 421) {
    ++requests.bad;
  }
  const std::lock_guard lock(mutex_);
  answers_[static_cast<std::size_t>(kind)].record(after, RecentPeak::Clock::now());
}

void Metrics::planned(RecentPeak::Clock::duration took) {
  const std::lock_guard lock(mutex_);
  passes_.record(took, RecentPeak::Clock::now());
}

std::chrono::milliseconds Metrics::slowest(Kind kind) {
  const std::lock_guard lock(mutex_);
  return answers_[static_cast<std::size_t>(kind)].longest(RecentPeak::Clock::now());
}

std::chrono::milliseconds Metrics::longest_pass() {
  const std::lock_guard lock(mutex_);
  return passes_.longest(RecentPeak::Clock::now());
}

}  // namespace foxshunt::node
