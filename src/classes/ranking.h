// The order of one planning pass after the other, as the leader uses it: the same as `rank` gives on any node.
#pragma once

#include <chrono>

#include "classes/classes.h"

namespace foxshunt::classes {

class Ranking {
 public:
  using Moment = std::chrono::steady_clock::time_point;

  // Takes a catalog's classes into force.
  void on_catalog(const catalog::Set& set);
  // What the calendar's records say of each job that has a deadline there; the others have none.
  void on_slack(std::map<JobId, int> slack) { slack_ = std::move(slack); }
  // The time of day at a moment of the steady clock.
  void tell_time(std::int64_t wall_ms, Moment now);

  // Whether classes are in force, or jobs have deadlines of a calendar; without any, nothing else here is asked.
  [[nodiscard]] bool on() const { return !table_.empty() || !slack_.empty(); }
  [[nodiscard]] const Table& table() const { return table_; }
  [[nodiscard]] TimeStep step() const { return step_; }

  // Begins a pass over all jobs; their slack is added.
  void begin(std::vector<Candidate> jobs, const std::vector<config::Team>& teams, Moment now);
  [[nodiscard]] const std::vector<Rank>& order() const { return order_; }
  // Nothing for a job that came after the pass began.
  [[nodiscard]] const Rank* find(const JobId& job) const;

  // What the pass may plan of a job under its class's cap, and what it has planned; in the order of ranks.
  [[nodiscard]] std::uint64_t room(const wire::JobSpec& spec, std::uint64_t wanted, bool whole);
  void take(const wire::JobSpec& spec, std::uint64_t tasks);

  // Planned in this pass, and would take more room at once if there were any: what is ranked behind gets none that is
  // made before. In the order of ranks.
  void lacks_room(const JobId& job);
  [[nodiscard]] const std::vector<const Rank*>& lacking() const { return lacking_; }
  // Whether the first is ranked before the second, and stays so if the second waits however long.
  [[nodiscard]] bool goes_first(const JobId& first, const JobId& second) const;

 private:
  Table table_;
  std::map<JobId, int> slack_;
  std::int64_t wall_offset_ms_ = 0;  // of the time of day against the steady clock
  StepClock clock_;
  TimeStep step_;
  std::vector<Rank> order_;
  std::unordered_map<JobId, std::size_t> at_;
  Caps caps_;
  std::vector<const Rank*> lacking_;  // into order_
};

}  // namespace foxshunt::classes
