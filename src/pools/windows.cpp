#include "pools/windows.h"

#include <algorithm>
#include <cstdio>

namespace foxshunt::pools {
namespace {

constexpr std::int64_t kDayMs = 86'400'000;
// A window lasts a day at most; both days of a clock change have an hour more or less.
constexpr std::int64_t kLookMs = kDayMs + 3 * 3'600'000;

}  // namespace

OpenNow opener(TimesOf times_of) {
  return [times_of = std::move(times_of)](const catalog::PoolDef& pool, std::int64_t wall_ms) {
    return std::ranges::any_of(pool.windows, [&](const catalog::PoolWindow& window) {
      const auto begins = times_of(window.time_zone, window.from, window.weekdays, wall_ms - kLookMs, wall_ms + 1);
      if (begins.empty()) return false;
      const auto ends = times_of(window.time_zone, window.to, {}, begins.back() + 1, wall_ms + 1);
      return ends.empty();
    });
  };
}

std::vector<std::int64_t> utc_times(const std::string& zone, const std::string& at,
                                    const std::vector<std::uint32_t>& weekdays, std::int64_t from_ms,
                                    std::int64_t to_ms) {
  unsigned hour = 0;
  unsigned minute = 0;
  if (zone != "UTC" || std::sscanf(at.c_str(), "%2u:%2u", &hour, &minute) != 2) {
    throw wire::Malformed("window: a time of day of UTC is needed");
  }
  std::vector<std::int64_t> times;
  for (std::int64_t day = from_ms / kDayMs - 1; day * kDayMs < to_ms; ++day) {
    const std::int64_t when = day * kDayMs + (hour * 60 + minute) * 60'000LL;
    const auto weekday = static_cast<std::uint32_t>((day + 3) % 7 + 1);  // 1970 began on a Thursday
    if (when < from_ms || when >= to_ms) continue;
    if (weekdays.empty() || std::ranges::find(weekdays, weekday) != weekdays.end()) times.push_back(when);
  }
  return times;
}

}  // namespace foxshunt::pools
