// Whether work that is due at a time can be done by then with the machines there are, those that boot and those that may
// be rented; if not, what it lacks and what would help. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::foresight {

using plan::Instant;
using plan::Millis;

// What a calendar's records ask of a job.
struct JobDeadline {
  Instant deadline;    // by the clock that is ahead of all others
  int slack_step = 0;  // of slack, as recorded
};
using DueJobs = std::map<JobId, JobDeadline>;

// A kind of machine that one task of the work fits.
struct MachineOption {
  std::string name;
  Millis boot_time{};                   // from the wish for one until it is up
  Millis fetch_time{};                  // of the work's image
  std::uint64_t tasks_per_machine = 1;  // tasks at once
  bool can_scale_out = false;           // one more may be had at a price that is paid for late work
  [[nodiscard]] Millis startup_time() const { return boot_time + fetch_time; }
};

struct DeadlineWork {
  Instant deadline;
  Millis run_time{};                             // of a task, by its estimate
  std::uint64_t waiting_tasks = 0;               // tasks without a place
  std::uint64_t late_tasks = 0;                  // of these: booked to end after `by`, or not booked
  bool is_gang = false;                          // all at once or none
  std::optional<Instant> end;                    // by the plan; nothing: some task has neither a place nor a booking
  std::optional<std::uint64_t> remaining_quota;  // more tasks that the team's limit lets run now; nothing: it has none
  std::uint64_t held_by_class_cap = 0;           // of those that wait, kept back by the class's cap for the team
  bool can_scale_out = true;                     // by the settings
  std::vector<MachineOption> machine_options;
};

enum class ShortfallReason : std::uint8_t {
  none,
  not_enough_time,   // it would end too late if all of it began now
  no_fitting_type,   // no kind of machine has room for a task
  team_limit,        // too few may run at once
  class_cap,         // the same
  boot_too_slow,     // what is rented now is up too late
  renting_disabled,  // none may be rented, by the settings
  no_offer,          // the cloud has none, or none at that price
};

struct DeadlineForecast {
  ShortfallReason shortfall_reason = ShortfallReason::none;
  std::optional<Instant> end;  // when it is expected to end: by the plan, or on machines that are rented now
  std::uint64_t tasks = 0;     // more of them at once would help, for want of a limit or a cap
  std::string kind;            // or this kind of machine,
  std::uint64_t machines = 0;  // so many,
  Instant up_by;               // up by then
};

[[nodiscard]] DeadlineForecast forecast_deadline(const DeadlineWork& work, Instant now);

// Whether machines of the kind that are asked for now would run a task of the work in time.
[[nodiscard]] bool can_finish_in_time(const DeadlineWork& work, const MachineOption& kind, Instant now);

// The same for several jobs that lack the same.
struct Shortfall {
  ShortfallReason shortfall_reason = ShortfallReason::none;
  std::string job;  // one of them
  std::uint64_t jobs = 1;
  std::string kind;
  std::uint64_t tasks = 0;
  std::uint64_t machines = 0;
  std::int64_t up_by_ms = 0;  // time of day
};

// Numbers are rounded up, and a wording among `told` stands as long as it says little more than what is needed, so that
// records are not rewritten for every change of the plan.
[[nodiscard]] std::string describe_shortfall(const Shortfall& shortfall,
                                             const std::vector<std::string>& previous_texts);

}  // namespace foxshunt::foresight
