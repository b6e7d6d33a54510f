#include "calendar/civil.h"

#include <date/tz.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "calendar/sunrise.h"
#include "config/constants.h"

namespace foxshunt::calendar {
namespace {

using catalog::CalendarDef;
using std::chrono::milliseconds;

constexpr int kMinutesADay = 24 * 60;

std::optional<int> digits(const std::string& text, std::size_t from, std::size_t count) {
  int number = 0;
  for (std::size_t at = from; at < from + count; ++at) {
    if (at >= text.size() || text[at] < '0' || text[at] > '9') return std::nullopt;
    number = number * 10 + (text[at] - '0');
  }
  return number;
}

// "05:30"; "24:00" is tomorrow's midnight and no time of this day.
std::optional<int> minute_of(const std::string& text) {
  const auto hour = digits(text, 0, 2);
  const auto minute = digits(text, 3, 2);
  if (text.size() != 5 || text[2] != ':' || !hour || !minute || *hour > 23 || *minute > 59) return std::nullopt;
  return *hour * 60 + *minute;
}

std::optional<date::year_month_day> day_of(const std::string& text) {
  const auto year = digits(text, 0, 4);
  const auto month = digits(text, 5, 2);
  const auto day = digits(text, 8, 2);
  if (text.size() != 10 || text[4] != '-' || text[7] != '-' || !year || !month || !day) return std::nullopt;
  const date::year_month_day found{date::year(*year), date::month(static_cast<unsigned>(*month)),
                                   date::day(static_cast<unsigned>(*day))};
  if (!found.ok()) return std::nullopt;
  return found;
}

std::set<date::local_days> days_of(const std::vector<std::string>& texts, const char* field) {
  std::set<date::local_days> days;
  for (const std::string& text : texts) {
    const auto day = day_of(text);
    if (!day) throw Unknown(std::string(field) + ": \"" + text + "\" is no date such as 2027-03-28");
    days.insert(date::local_days(*day));
  }
  return days;
}

// The library throws of its own when there are no zone files, or one that it can't read.
const date::time_zone& zone_of(const std::string& name) {
  try {
    return *date::locate_zone(name);
  } catch (const std::exception& error) {
    throw Unknown("time-zone: \"" + name + "\" is unknown to this machine: " + error.what());
  }
}

std::int64_t instant_in(const date::time_zone& zone, date::local_seconds local) {
  try {
    const date::local_info info = zone.get_info(local);
    const date::sys_seconds at = info.result == date::local_info::nonexistent
                                     ? info.first.end
                                     : date::sys_seconds(local.time_since_epoch() - info.first.offset);
    return milliseconds(at.time_since_epoch()).count();
  } catch (const std::exception& error) {
    throw Unknown("time-zone: \"" + zone.name() + "\" can't be reckoned on this machine: " + error.what());
  }
}

std::string local_at(const date::time_zone& zone, std::int64_t ms) {
  return date::format("%F %H:%M",
                      zone.to_local(date::floor<std::chrono::minutes>(date::sys_time<milliseconds>(milliseconds(ms)))));
}

std::string local_text(date::local_days day, int minute) {
  return date::format("%F", day) + " " + date::format("%H:%M", date::local_seconds(day) + std::chrono::minutes(minute));
}

}  // namespace

std::int64_t instant_of(const std::string& zone, const CivilTime& time) {
  const date::year_month_day day{date::year(time.year), date::month(time.month), date::day(time.day)};
  if (!day.ok() || time.minute < 0 || time.minute >= kMinutesADay) throw Unknown("time: there is no such time");
  return instant_in(zone_of(zone), date::local_days(day) + std::chrono::minutes(time.minute));
}

std::vector<Due> dues(const CalendarDef& entry, std::int64_t from_ms, std::int64_t to_ms,
                      std::vector<std::string>* sunless) {
  const auto minute = entry.sunrise ? 0 : minute_of(entry.at);
  if (!minute) throw Unknown("at: \"" + entry.at + "\" is no time such as 05:30");
  const std::set<date::local_days> dates = days_of(entry.dates, "date");
  const std::set<date::local_days> except = days_of(entry.except, "except");
  const date::time_zone& zone = zone_of(entry.time_zone);
  const bool any_day = entry.weekdays.empty() && entry.dates.empty();
  // Local days are up to a day away from those of UTC.
  const auto day_at = [](std::int64_t ms) { return date::local_days(date::floor<date::days>(milliseconds(ms))); };
  std::vector<Due> found;
  for (date::local_days day = day_at(from_ms) - date::days(1); day <= day_at(to_ms) + date::days(1);
       day += date::days(1)) {
    const bool weekday =
        any_day || std::ranges::find(entry.weekdays, date::weekday(day).iso_encoding()) != entry.weekdays.end();
    if ((!weekday && !dates.contains(day)) || except.contains(day)) continue;
    if (entry.sunrise) {
      // Of the day between two midnights; a whole minute, so that the last digits of a machine's sines don't matter.
      const std::int64_t midnight = instant_in(zone, day);
      const auto rise = sunrise(*entry.sunrise, midnight, instant_in(zone, day + date::days(1)));
      const std::int64_t due = rise ? (*rise - std::llround(entry.minus_s * 1000)) / 60'000 * 60'000 : midnight;
      if (due < from_ms || due >= to_ms) continue;
      if (!rise && sunless != nullptr) sunless->push_back(date::format("%F", day));
      if (rise) found.push_back({.due_ms = due, .local = local_at(zone, due)});
      continue;
    }
    const std::int64_t due = instant_in(zone, day + std::chrono::minutes(*minute));
    if (due < from_ms || due >= to_ms) continue;
    // Where a whole day was skipped, two days have the same first instant after the gap: it is due once.
    if (!found.empty() && found.back().due_ms == due) continue;
    found.push_back({.due_ms = due, .local = local_text(day, *minute)});
  }
  return found;
}

bool zone_exists(const std::string& name) {
  try {
    (void)zone_of(name);
    return true;
  } catch (const Unknown&) {
    return false;
  }
}

std::optional<std::string> problem(const CalendarDef& entry) {
  const auto seconds = [](double value, const char* field, bool zero) -> std::optional<std::string> {
    const double most = std::chrono::duration<double>(constants::kMaxCalendarAhead).count();
    if (std::isfinite(value) && value <= most && (value > 0 || (zero && value == 0))) return std::nullopt;
    return std::string(field) + ": must be " + (zero ? "0 to " : "above 0 and up to ") +
           std::to_string(static_cast<long>(most)) + " s";
  };
  for (const std::uint32_t day : entry.weekdays) {
    if (day < 1 || day > 7) return "weekday: must be 1 (Monday) to 7 (Sunday)";
  }
  if (auto bad = seconds(entry.opens_before_s, "opens-before", false)) return bad;
  if (auto bad = seconds(entry.lead_s, "lead", true)) return bad;
  if (entry.jobs.empty()) return "jobs: an entry must say which jobs count for it";
  try {
    (void)dues(entry, 0, 1);
  } catch (const Unknown& error) {
    return error.what();
  }
  return std::nullopt;
}

std::string utc_text(std::int64_t ms) {
  return date::format("%FT%TZ", date::sys_seconds(date::floor<std::chrono::seconds>(milliseconds(ms))));
}

}  // namespace foxshunt::calendar
