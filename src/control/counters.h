// Event counters of the current leadership term, for operators and tests.
#pragma once

#include <cstdint>

namespace foxshunt::control {

struct Counters {
  std::uint64_t heartbeats = 0;
  std::uint64_t passes = 0;             // planning passes
  std::uint64_t portions = 0;           // portions that the passes were run in
  std::uint64_t jobs_planned = 0;       // jobs planned in the passes
  std::uint64_t machines_examined = 0;  // machines examined while planning these jobs
  std::uint64_t placed = 0;             // tasks placed
  std::uint64_t writes = 0;             // write transactions that have ended
  std::uint64_t writes_failed = 0;      // those without a successful answer
};

}  // namespace foxshunt::control
