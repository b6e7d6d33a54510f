// Civil time to instants, by the machine's own zone files. The files are read at the first call that needs them, which
// takes tens of milliseconds: on a thread that nobody waits for.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "catalog/model.h"

namespace foxshunt::calendar {

// An entry can't be reckoned on this machine: its zone is unknown here, there are no zone files, or a field is no good.
class Unknown : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct CivilTime {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int minute = 0;  // of the day
};

// Milliseconds since 1970, UTC. A time that clocks skip is the first instant after the gap; one that comes twice is the
// first of the two. Throws Unknown.
[[nodiscard]] std::int64_t instant_of(const std::string& zone, const CivilTime& time);

struct Due {
  std::int64_t due_ms = 0;
  std::string local;  // as declared, "2027-03-28 05:30"; of a skipped time, the time that was skipped
  friend bool operator==(const Due&, const Due&) = default;
};

// All due times in [from_ms, to_ms), in order. Throws Unknown. `sunless`: gains the days of an entry by sunrise on which the
// sun does not rise there, so that it is not due.
[[nodiscard]] std::vector<Due> dues(const catalog::CalendarDef& entry, std::int64_t from_ms, std::int64_t to_ms,
                                    std::vector<std::string>* sunless = nullptr);

// Whether this machine's zone files have a zone of that name. Reads them.
[[nodiscard]] bool zone_exists(const std::string& name);

// Why the entry can't be declared, beginning with the name of the field; nothing if it can. Reads the zone files.
[[nodiscard]] std::optional<std::string> problem(const catalog::CalendarDef& entry);

// "2027-03-28T02:30:00Z"
[[nodiscard]] std::string utc_text(std::int64_t ms);

}  // namespace foxshunt::calendar
