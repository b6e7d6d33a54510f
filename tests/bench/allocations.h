// Counts what operator new hands out, in the whole process.
#pragma once

#include <cstdint>

namespace foxshunt::bench {

[[nodiscard]] std::uint64_t allocations();

}  // namespace foxshunt::bench
