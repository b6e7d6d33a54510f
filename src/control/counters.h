// What this leader has done so far, for operators and tests.
#pragma once

#include <cstdint>

namespace foxshunt::control {

struct Counters {
  std::uint64_t heartbeats = 0;
  std::uint64_t passes = 0;
  std::uint64_t portions = 0;           // of the passes
  std::uint64_t jobs_planned = 0;       // in them
  std::uint64_t machines_examined = 0;  // machines looked at for these jobs
  std::uint64_t placed = 0;             // tasks
  std::uint64_t writes = 0;             // transactions
  std::uint64_t writes_failed = 0;
};

}  // namespace foxshunt::control
