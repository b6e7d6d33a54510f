// Explains in words, for operators and users, why a job's tasks wait and when the next one is planned to start.
//
// Explanation is a read-only view for the duration of a call. It holds references to its arguments and must not be
// stored.
#pragma once

#include <optional>
#include <string>

#include "classes/ranking.h"
#include "control/cluster_state.h"
#include "control/cloud_capacity_tracker.h"

namespace foxshunt::control {

class Explanation {
 public:
  // `can_start`: whether the controller may start tasks now.
  Explanation(const ClusterState& cluster, const classes::Ranking& ranking, const CloudCapacityTracker& capacity,
              bool can_start)
      : cluster_(cluster), ranking_(ranking), capacity_(capacity), can_start_(can_start) {}

  // Returns nullopt if the job is unknown.
  [[nodiscard]] std::optional<std::string> describe(const JobId& job, Instant now) const;

 private:
  // Parts of the text, each beginning with its separator; empty or nullopt if there is nothing to say.
  [[nodiscard]] std::optional<std::string> planning_blocker(const Job& job, Instant now) const;
  [[nodiscard]] std::optional<std::string> placement_blocker(const Job& job) const;
  [[nodiscard]] std::string rank_text(const Job& job) const;
  [[nodiscard]] std::string plan_text(const Job& job, Instant now) const;
  [[nodiscard]] std::string renting_text() const;

  const ClusterState& cluster_;
  const classes::Ranking& ranking_;
  const CloudCapacityTracker& capacity_;
  bool can_start_;
};

}  // namespace foxshunt::control
