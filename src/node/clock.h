// The clocks of a node, and spans as counters show them.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "net/socket.h"
#include "plan/planner.h"

namespace foxshunt::node {

inline plan::Instant now() { return std::chrono::floor<plan::Millis>(net::Clock::now()); }
inline std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A span as a count of whole milliseconds, never negative.
inline std::uint64_t count_ms(std::chrono::milliseconds span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

}  // namespace foxshunt::node
