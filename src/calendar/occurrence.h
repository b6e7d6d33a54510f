// The durable record of one occurrence of a calendar entry, at
//
//   calendar/<entry>/<due, UTC>      such as calendar/dawn_forecast/2027-03-28T02:30:00Z
//
// It is written on the condition that it is as it was read (or not there). Once it is closed it is not written again,
// except for who took note, or when the catalog that waived it declares it again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/model.h"
#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::calendar {

inline constexpr const char* kPrefix = "calendar/";
inline constexpr std::uint64_t kForm = 1;  // of the records that this program writes

enum class State : std::uint8_t { expected, gathering, at_risk, met, missed, waived };
[[nodiscard]] std::string_view name_of(State state);
[[nodiscard]] constexpr bool closed(State state) { return state >= State::met; }

enum class End : std::uint8_t { open, done, cancelled, unknown };  // unknown: no record tells how it ended

struct Counted {
  JobId job;
  std::int64_t submitted_ms = 0;
  std::int64_t deadline_ms = 0;  // the earlier of its own and the occurrence's
  std::uint64_t tasks = 0;
  End end = End::open;
  std::int64_t seen_ms = 0;  // of its end: the leader's time of day when the record of it came; it was not later
  std::optional<int> step;   // of slack: 0 none is left, kMaxCalendarSteps plenty
  friend bool operator==(const Counted&, const Counted&) = default;
};

// Ended jobs that gave their place in the list to others.
struct Folded {
  std::uint64_t in_time = 0;
  std::uint64_t tasks_in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t cancelled = 0;
  friend bool operator==(const Folded&, const Folded&) = default;
};

struct Word {  // of an operator
  std::string by;
  std::string why;
  std::int64_t at_ms = 0;
  friend bool operator==(const Word&, const Word&) = default;
};

struct Occurrence {
  std::string entry;
  std::string local;  // by the entry's zone, "2027-03-28 05:30"
  std::string zone;
  std::int64_t due_ms = 0;
  std::int64_t opens_ms = 0;  // jobs submitted from here on count
  std::int64_t tell_ms = 0;   // what is missing then is told
  std::uint64_t expected_jobs = 0;
  std::uint64_t expected_tasks = 0;
  catalog::Version version;  // of the catalog it was last decided by
  State state = State::expected;
  std::vector<Counted> jobs;  // by time of submission
  Folded folded;
  std::uint64_t beyond = 0;  // open jobs for which the list has no room now
  std::vector<std::string> reasons;
  std::uint64_t of_plan = 0;  // the last of these, which the leader's plan told
  std::int64_t opened_ms = 0;
  std::int64_t told_ms = 0;     // when it came to be at risk
  std::int64_t stepped_ms = 0;  // when steps or reasons were last written
  std::int64_t closed_ms = 0;
  std::optional<Word> noted;   // who took note
  std::optional<Word> waived;  // by an operator
  friend bool operator==(const Occurrence&, const Occurrence&) = default;
};

[[nodiscard]] std::string slug_of(const std::string& entry);
[[nodiscard]] std::string entry_prefix(const std::string& entry);
[[nodiscard]] std::string key_of(const std::string& entry, std::int64_t due_ms);

[[nodiscard]] wire::Value to_value(const Occurrence& occurrence);
// Throws Malformed; nothing for a record of a form that this program does not know.
[[nodiscard]] std::optional<Occurrence> occurrence_from(const wire::Value& value);

// What an operator asks for, as a transaction on the condition that the record is as it was read, or why it can't be.
struct Order {
  std::optional<kv::Txn> txn;
  std::string refusal;
};
[[nodiscard]] Order waive(const std::string& key, const Occurrence& seen, Revision revision, Word word);
[[nodiscard]] Order acknowledge(const std::string& key, const Occurrence& seen, Revision revision, Word word);

// What still counts, as of now.
struct Tally {
  std::uint64_t open = 0;  // listed or beyond the list
  std::uint64_t in_time = 0;
  std::uint64_t tasks = 0;          // of open jobs and of those done in time
  std::uint64_t tasks_in_time = 0;  // of jobs done in time
  std::uint64_t late = 0;           // done, but maybe after the deadline; or nobody knows how they ended
  std::uint64_t missing_jobs = 0;   // not submitted
  std::uint64_t missing_tasks = 0;
  [[nodiscard]] bool missing() const { return missing_jobs > 0 || missing_tasks > 0; }
};
// `skew_ms`: what may have been seen after the deadline counts as late.
[[nodiscard]] Tally tally_of(const Occurrence& occurrence, std::int64_t skew_ms);

// The step of so much slack, given the one that is recorded: it rises only well beyond its edge.
[[nodiscard]] int step_of(std::int64_t slack_ms, std::optional<int> recorded);

}  // namespace foxshunt::calendar
