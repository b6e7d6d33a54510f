// Sunrise at a place, by libnova: a function of the place and the day alone, the same on every machine.
#pragma once

#include <cstdint>
#include <optional>

#include "catalog/model.h"

namespace foxshunt::calendar {

// When the sun's upper edge rises there within [from_ms, to_ms), a local day or so, milliseconds since 1970, UTC, to the
// whole second; nothing when it does not. Within a minute, at sea level.
[[nodiscard]] std::optional<std::int64_t> sunrise(const catalog::Place& place, std::int64_t from_ms,
                                                  std::int64_t to_ms);

}  // namespace foxshunt::calendar
