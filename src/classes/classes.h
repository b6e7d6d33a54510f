// Where each waiting job stands, by the classes that operators declare: a pure function of the records, the catalog in
// force and the time of day in whole steps, so that every controller ranks alike. A class orders the queue and entitles
// to nothing: guarantees stand above it, and what may be stopped is src/preempt's to say.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "catalog/model.h"
#include "config/settings.h"
#include "ledger/jobs.h"

namespace foxshunt::classes {

// The time of day in whole steps of kRankStep: ranks change by waiting from one step to the next only.
using TimeStep = CountId<struct TimeStepTag>;
[[nodiscard]] TimeStep step_of(std::int64_t wall_ms);

// A node's steps. A clock that is set back by a little, as time services do, goes back over no step.
class StepClock {
 public:
  [[nodiscard]] TimeStep at(std::int64_t wall_ms);

 private:
  TimeStep latest_;
};

// What of a job's records counts for its rank.
struct Candidate {
  const wire::JobSpec* spec = nullptr;  // outlives the call
  std::int64_t submitted_wall_ms = 0;
  std::uint64_t done = 0;     // tasks
  std::uint64_t placed = 0;   // tasks that a record places on a machine
  std::uint64_t waiting = 0;  // all others
  bool cancelled = false;     // not ranked; what it still has on machines counts for caps
  std::optional<int> slack;   // steps that its calendar deadline leaves; 0 or less: none
};

struct Rank {
  JobId job;
  std::string team;
  std::optional<std::size_t> of;  // its class, as Table numbers them
  bool borrowed = false;          // does not fit into its team's guarantee
  std::uint32_t standing = 0;     // now
  std::uint32_t settled = 0;      // now, whatever becomes of its deadline
  std::uint32_t best = 0;         // that it can ever have: waiting only raises it
  std::uint32_t base = 0;         // that it has without rising
  std::uint32_t aged = 0;         // standings that it rises by waiting
  std::uint32_t hurried = 0;      // standings that it rises for want of slack
  bool overdue = false;           // has waited longer than its class may
  wire::Priority priority = wire::Priority::standard;
  std::int64_t submitted_wall_ms = 0;
  std::int64_t waited_s = 0;  // at the step's begin
  std::uint64_t waiting = 0;  // tasks
  std::uint64_t capped = 0;   // tasks of them that the class's cap for the team keeps queued
  std::size_t place = 0;      // among jobs with waiting tasks, from 1; 0: none of its tasks waits

  // A total order: the last member is the job's own. Strings are compared by bytes.
  [[nodiscard]] auto key() const {
    return std::tuple(borrowed, standing, -static_cast<int>(priority), submitted_wall_ms, std::string_view(job.text()));
  }
};

// A catalog's classes, made ready.
class Table {
 public:
  Table() = default;
  explicit Table(const catalog::Set& set);

  [[nodiscard]] bool empty() const { return classes_.empty(); }
  [[nodiscard]] const catalog::ClassDef& at(std::size_t number) const { return classes_.at(number); }
  // The first class, by order, that takes the job.
  [[nodiscard]] std::optional<std::size_t> class_of(const wire::JobSpec& spec) const;
  // The foremost standing that its jobs may have: behind all jobs of the classes that it never passes. Where classes
  // say so of each other in a circle, what would close the circle, from the first class by order on, counts for nothing.
  [[nodiscard]] std::uint32_t floor(std::size_t number) const { return floors_.at(number); }
  // Where its jobs stand without rising.
  [[nodiscard]] std::uint32_t base(std::size_t number) const;
  // Its cap for the team, CPUs; nothing where there is none. 0 is none, as in the settings' limits.
  [[nodiscard]] std::optional<double> cap(std::size_t number, const std::string& team) const;

 private:
  std::uint32_t find_floor(std::size_t number, std::vector<int>& state);

  std::vector<catalog::ClassDef> classes_;  // by order
  std::vector<std::uint32_t> floors_;
  // Classes that may take jobs of a job class, by order; `any_job_class_` may take all others.
  std::unordered_map<std::string, std::vector<std::size_t>> by_job_class_;
  std::vector<std::size_t> any_job_class_;
};

// Room that the caps leave. A job that is larger than its cap runs while nothing else of its class and team does, and a
// gang that does not fit yet keeps what is left for itself, so that a cap makes no job wait without end.
class Caps {
 public:
  Caps() = default;
  // What is placed of the jobs, each with its class.
  Caps(const std::vector<Candidate>& jobs, const std::vector<std::optional<std::size_t>>& classes, const Table& table);
  // How many of `wanted` tasks the cap of the job's class lets run; `whole`: all or none. Asked in the order of ranks.
  [[nodiscard]] std::uint64_t room(std::optional<std::size_t> of, const wire::JobSpec& spec, std::uint64_t wanted,
                                   bool whole);
  void take(std::optional<std::size_t> of, const wire::JobSpec& spec, std::uint64_t tasks);

 private:
  struct Held {
    double cap = 0;  // CPUs
    double cpus = 0;
    bool kept = false;  // for a gang that waits for it
  };
  Held* held_of(std::optional<std::size_t> of, const wire::JobSpec& spec);

  std::map<std::pair<std::size_t, std::string>, Held> held_;  // by class and team, where there is a cap
};

[[nodiscard]] std::vector<Candidate> candidates_of(const record_cache::Jobs& jobs, const std::map<JobId, int>& slack);

[[nodiscard]] std::vector<std::optional<std::size_t>> classes_of(const std::vector<Candidate>& jobs,
                                                                 const Table& table);

// All that are not withdrawn, each with its class, foremost first: those with waiting tasks have a place.
[[nodiscard]] std::vector<Rank> rank(const std::vector<Candidate>& jobs,
                                     const std::vector<std::optional<std::size_t>>& classes, const Table& table,
                                     const std::vector<config::Team>& teams, TimeStep step);
[[nodiscard]] std::vector<Rank> rank(const std::vector<Candidate>& jobs, const Table& table,
                                     const std::vector<config::Team>& teams, TimeStep step);

// Of what `rank` found about jobs with waiting tasks: equal for equal orders.
[[nodiscard]] std::uint64_t digest_of(const std::vector<Rank>& ranks, const Table& table);

// Why it stands there, for people.
[[nodiscard]] std::string reason(const Rank& rank, const Table& table);

}  // namespace foxshunt::classes
