// What operators count at the end of a day: which share of a class, of a team and of a class's largest jobs was
// served, how long the jobs waited, and what of it is too little.
#pragma once

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

class Served {
 public:
  struct Share {
    std::string of;  // "class c", "team t" or "largest of c"
    std::size_t jobs = 0;
    std::size_t served = 0;
    double longest_wait_s = 0;  // of what began, and of what still waits; from the first attempt to submit
    std::vector<JobId> unserved;

    [[nodiscard]] double share() const { return static_cast<double>(served) / static_cast<double>(jobs); }
    [[nodiscard]] std::string text() const;
  };

  explicit Served(std::vector<config::Team> teams = {}) : teams_(std::move(teams)) {}

  void on_submitted(const wire::JobSpec& spec, Instant now);
  void on_started(const TaskKey& task, AttemptNumber attempt, Instant now);
  void on_gone(const TaskKey& task, AttemptNumber attempt, Instant now);
  void on_over(const JobId& job);  // its user was told that it is done or cancelled

  [[nodiscard]] std::vector<Share> shares(Instant now) const;
  // Less than half of a class, of a team or of a class's largest jobs is served; or one of the largest has not begun
  // within four minutes in which its team's limit allowed it. What the team uses for jobs that were submitted before it
  // or are of a higher priority counts against the limit; what later ones have taken is no excuse.
  [[nodiscard]] std::vector<std::string> verdicts(Instant now) const;

 private:
  struct Job {
    wire::JobSpec spec;
    Instant submitted;
    std::optional<Instant> began;  // a gang with all tasks at once, others with their first
    bool over = false;
    std::map<AttemptNumber, std::set<std::uint32_t>> there;  // of a gang that has not begun
  };

  // A task came to a machine, or left it.
  struct Change {
    Instant at;
    JobId job;
    int tasks = 0;
  };
  [[nodiscard]] std::map<std::string, std::uint32_t> largest() const;  // tasks, by class
  // From the submission to the begin, or until now, without the time in which the team's limit did not allow it.
  [[nodiscard]] plan::Millis waited(const Job& job, Instant now) const;

  std::vector<config::Team> teams_;
  std::map<JobId, Job> jobs_;
  std::map<std::string, std::vector<Change>> changes_;  // by team
};

}  // namespace foxshunt::standins
