#include "calendar/sunrise.h"

#include <libnova/dynamical_time.h>
#include <libnova/ln_types.h>
#include <libnova/precession.h>
#include <libnova/solar.h>
#include <libnova/transform.h>

#include <algorithm>
#include <cmath>

namespace foxshunt::calendar {
namespace {

constexpr double kJulianOf1970 = 2440587.5;  // days
constexpr double kDayMs = 86'400'000;
constexpr double kHorizon = -0.8333;   // degrees: refraction and half the disc
constexpr double kScan = 20.0 / 1440;  // days; a shorter day than that, at the edge of the polar night, may be missed
constexpr double kSecond = 1.0 / 86'400;  // days
constexpr int kPositions = 3;             // of the sun, which moves by a degree a day

// The library's own times of rise leave out precession, and are off by 3 to 4 s more each year since 2000.
ln_equ_posn sun_at(double julian) {
  ln_equ_posn of_2000{};
  ln_get_solar_equ_coords(julian + ln_get_dynamical_time_diff(julian) * kSecond, &of_2000);
  ln_equ_posn of_date{};
  ln_get_equ_prec(&of_2000, julian, &of_date);
  return of_date;
}

bool is_up(ln_lnlat_posn observer, ln_equ_posn sun, double julian) {
  ln_hrz_posn seen{};
  ln_get_hrz_from_equ(&sun, &observer, julian, &seen);
  return seen.alt >= kHorizon;
}

// When it rises if the sun stands still among the stars.
std::optional<double> rise_of(ln_lnlat_posn observer, ln_equ_posn sun, double from, double to) {
  double night = from;
  bool was_up = is_up(observer, sun, from);
  for (double at = from; at < to;) {
    at = std::min(to, at + kScan);
    const bool up = is_up(observer, sun, at);
    if (up && !was_up) {
      double day = at;
      while (day - night > kSecond / 4) {
        const double middle = (night + day) / 2;
        (is_up(observer, sun, middle) ? day : night) = middle;
      }
      return day;
    }
    was_up = up;
    night = at;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::int64_t> sunrise(const catalog::Place& place, std::int64_t from_ms, std::int64_t to_ms) {
  const ln_lnlat_posn observer{.lng = place.longitude, .lat = place.latitude};
  const double from = kJulianOf1970 + static_cast<double>(from_ms) / kDayMs;
  const double to = kJulianOf1970 + static_cast<double>(to_ms) / kDayMs;
  std::optional<double> rise = (from + to) / 2;
  for (int round = 0; round < kPositions && rise; ++round) {
    const ln_equ_posn sun = sun_at(*rise);
    rise = round == 0 ? rise_of(observer, sun, from, to) : rise_of(observer, sun, *rise - kScan, *rise + kScan);
  }
  if (!rise) return std::nullopt;
  const auto rise_ms = static_cast<std::int64_t>(std::llround((*rise - kJulianOf1970) * kDayMs / 1000)) * 1000;
  if (rise_ms < from_ms || rise_ms >= to_ms) return std::nullopt;
  return rise_ms;
}

}  // namespace foxshunt::calendar
