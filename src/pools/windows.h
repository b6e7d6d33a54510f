// Whether a pool's windows are open, by the times of day at which they begin and end.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pools/keeper.h"

namespace foxshunt::pools {

// When it is `at` ("05:30") by a zone's clocks on the weekdays (none: each day) in [from_ms, to_ms), in order.
using TimesOf = std::function<std::vector<std::int64_t>(const std::string& zone, const std::string& at,
                                                        const std::vector<std::uint32_t>& weekdays,
                                                        std::int64_t from_ms, std::int64_t to_ms)>;

[[nodiscard]] OpenNow opener(TimesOf times_of);
// Of the zone "UTC" alone; for any other it throws Malformed.
[[nodiscard]] std::vector<std::int64_t> utc_times(const std::string& zone, const std::string& at,
                                                  const std::vector<std::uint32_t>& weekdays, std::int64_t from_ms,
                                                  std::int64_t to_ms);

}  // namespace foxshunt::pools
