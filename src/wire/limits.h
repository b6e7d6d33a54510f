// PROTOCOL's limits that messages are checked against.
#pragma once

#include <cstdint>

namespace foxshunt::wire {

inline constexpr std::uint64_t kTasksPerJobMost = 100'000;

}  // namespace foxshunt::wire
