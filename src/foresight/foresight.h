// Forecasts whether work ends by its deadline on the present machines, those that boot and those that can be rented.
// If it does not, the forecast says what is short and what would help. Pure functions without state.
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

// The deadline that the calendar's records set for a job.
struct JobDeadline {
  // By the clock that is ahead of all others: the limit of the clock skew is already subtracted.
  Instant deadline;
  int slack_step = 0;  // the slack step as recorded
};
using DueJobs = std::map<JobId, JobDeadline>;

// A machine type that has room for at least one task of the work.
struct MachineOption {
  std::string name;
  Millis boot_time{};                   // from the rental request until the machine is up
  Millis fetch_time{};                  // to fetch the work's image
  std::uint64_t tasks_per_machine = 1;  // tasks that run on one machine at the same time
  bool can_scale_out = false;           // one more can be rented at a price that is acceptable for late work
  // From the rental request until a task can start.
  [[nodiscard]] Millis startup_time() const { return boot_time + fetch_time; }
};

// The pending tasks of a job that has a deadline, and the machines they could use.
struct DeadlineWork {
  Instant deadline;
  Millis run_time{};                // estimated run time of one task
  std::uint64_t waiting_tasks = 0;  // tasks that are not placed on a machine
  std::uint64_t late_tasks = 0;     // waiting tasks that are not booked, or booked to end after the deadline
  bool is_gang = false;             // the tasks must run all at the same time
  std::optional<Instant> end;       // planned end of the job; empty if a task is neither placed nor booked
  std::optional<std::uint64_t> remaining_quota;  // tasks that the team's limit still admits; empty if it has no limit
  std::uint64_t held_by_class_cap = 0;           // waiting tasks held back by the class's cap for the team
  bool can_scale_out = true;                     // the settings permit renting
  std::vector<MachineOption> machine_options;
};

// Why work is forecast to miss its deadline.
enum class ShortfallReason : std::uint8_t {
  none,
  not_enough_time,   // too late even if all waiting tasks started now, or no task waits
  no_fitting_type,   // no permitted machine type has room for a task
  team_limit,        // the team's limit admits too few tasks at the same time
  class_cap,         // the class's cap for the team admits too few tasks at the same time
  boot_too_slow,     // a machine rented now would be up too late
  renting_disabled,  // the settings forbid renting
  no_offer,          // the cloud offers no machine, or none at an acceptable price
};

// The result of a forecast. After a shortfall, either `tasks` or the machine fields say what would help; all are empty
// for not_enough_time and no_fitting_type.
struct DeadlineForecast {
  ShortfallReason shortfall_reason = ShortfallReason::none;
  std::optional<Instant> end;  // expected end: as planned, or on machines that are rented now
  std::uint64_t tasks = 0;     // for team_limit and class_cap: how many more tasks have to be admitted at the same time
  std::string kind;            // name of the suggested machine type
  std::uint64_t machines = 0;  // how many more machines of that type are needed
  Instant up_by;               // when these machines have to be up
};

// Forecasts whether the work ends by its deadline on the present machines, those that boot and those that can be
// rented. If it does not, says what is short and what would help.
[[nodiscard]] DeadlineForecast forecast_deadline(const DeadlineWork& work, Instant now);

// Returns whether a machine of this type, requested now, would finish a task of the work by the deadline.
[[nodiscard]] bool can_finish_in_time(const DeadlineWork& work, const MachineOption& option, Instant now);

// One shortfall that is shared by one or more jobs.
struct Shortfall {
  ShortfallReason shortfall_reason = ShortfallReason::none;
  std::string job;             // id of one of the jobs
  std::uint64_t jobs = 1;      // number of jobs
  std::string kind;            // as in DeadlineForecast
  std::uint64_t tasks = 0;     // as in DeadlineForecast
  std::uint64_t machines = 0;  // as in DeadlineForecast
  std::int64_t up_by_ms = 0;   // wall-clock time in UTC, since 1970; only the time of day is shown
};

// Returns a sentence that says what is short and what would help. Numbers are rounded up to coarse steps. A text from
// `previous_texts` is returned again as long as it asks for at most one step more than needed and its time differs by
// at most a minute, so that records are not rewritten for every change of the plan.
[[nodiscard]] std::string describe_shortfall(const Shortfall& shortfall,
                                             const std::vector<std::string>& previous_texts);

}  // namespace foxshunt::foresight
