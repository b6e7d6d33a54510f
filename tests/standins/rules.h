// Checks PROTOCOL's rules over what happens on machines and what users are told. What a user may be told when is
// history.h's; here the order of calls within a millisecond does not count.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "plan/usage_vector.h"
#include "wire/messages.h"

namespace foxshunt::standins {

using plan::Instant;

class Rules {
 public:
  explicit Rules(const config::Settings& settings) : settings_(settings) {}

  struct Place {
    MachineId machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };
  struct Machine {
    Place place;
    double cpus = 0;  // all that it has
    double gpus = 0;
    double ram_gb = 0;
    std::vector<TaskKey> tasks;  // which take room of it, from the acceptance of their start on
    bool usable = true;          // it can be reached, and tasks don't fail on it for its own fault
  };
  void on_types(const std::vector<wire::MachineType>& types) { types_ = types; }
  void on_submitted(const wire::JobSpec& spec) { specs_[spec.id] = spec; }
  // It has its image.
  void on_started(const TaskKey& task, const Place& place, Instant now);
  // It has exited or was killed, or its machine is gone.
  void on_gone(const TaskKey& task, const MachineId& machine, bool done, Instant now);
  void on_created(const JobId& job);  // its first record was written
  void on_accepted(const JobId& job, Instant now);
  // The answer to the submission as it was sent; one that PROTOCOL has refused is a breach.
  void on_accepted(const wire::Value& submission, Instant now);
  // The answer to a question that was asked at `asked`, if that is earlier.
  void on_told(const JobId& job, wire::JobState state, Instant now, std::optional<Instant> asked = {});
  void on_told_unknown(const JobId& job, std::optional<Instant> asked = {});
  // Something is wrong with the deployment until then.
  void on_trouble(Instant until) { calm_since_ = std::max(calm_since_, until); }
  void check(Instant now);  // at the end of the day at the latest
  // Whether users still hear of their jobs, once the troubles are over; to be called when they have asked.
  void check_answers(Instant now);
  // Whether a job of which nothing is on a machine or on its way to one was left waiting for 90 s since the last
  // trouble, while its next task (of a gang: all tasks at once) had room on usable machines and under its team's limit;
  // with all machines that are up, to be called every few seconds.
  void check_waiting(const std::vector<Machine>& machines, Instant now);

  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  [[nodiscard]] bool is_over(const JobId& job) const;
  // When its user was told that it is cancelled.
  [[nodiscard]] std::optional<Instant> cancelled_at(const JobId& job) const;
  [[nodiscard]] std::size_t starts() const { return starts_; }
  // Starts of tasks after their user was told of the cancellation, though within cancel_s. They break no rule.
  [[nodiscard]] std::size_t starts_after_cancel() const { return starts_after_cancel_; }
  [[nodiscard]] Instant calm_since() const { return calm_since_; }

 private:
  struct Held {
    Place place;
    std::size_t attempts = 0;
  };
  struct Use {
    double cpus = 0;
    double gpus = 0;
  };
  using Zones = std::map<std::string, std::uint32_t>;  // tasks in each

  void breach(const std::string& what);  // each once
  // Whether so long has passed since the user was told of its cancellation that none of its tasks may be left.
  [[nodiscard]] bool is_too_late(const JobId& job, Instant now) const;
  // Why PROTOCOL has the submission refused; nothing if it is in order.
  [[nodiscard]] std::optional<std::string> refusal(const wire::Value& submission) const;
  [[nodiscard]] bool under_limit(const wire::JobSpec& spec, double tasks, const Use& used) const;

  config::Settings settings_;
  std::vector<wire::MachineType> types_;
  std::map<JobId, wire::JobSpec> specs_;
  std::map<TaskKey, std::map<MachineId, Held>> on_;
  std::map<std::string, Use> used_;  // by team
  std::map<JobId, std::set<std::uint32_t>> done_;
  std::map<JobId, Instant> withdrawn_;
  std::map<JobId, wire::JobState> told_;
  std::map<JobId, Instant> over_told_;    // since when its user knows that it is done or cancelled
  std::map<JobId, Instant> known_since_;  // its user was told that it is accepted
  std::map<JobId, Instant> accepted_;     // when a question about it was last answered
  std::map<JobId, Instant> waits_since_;  // though it could run
  std::set<JobId> created_;
  std::set<JobId> forgotten_;
  Instant calm_since_;
  std::set<std::string> breaches_;
  std::vector<std::string> broken_;
  std::size_t starts_ = 0;
  std::size_t starts_after_cancel_ = 0;
};

}  // namespace foxshunt::standins
