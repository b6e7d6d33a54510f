// Why a job's tasks wait and when the next is planned to start, in words for operators and users.
//
// A view for the length of a call: it holds references to what it was made of, owns nothing, changes nothing, and must not be
// stored. Pure.
#pragma once

#include <optional>
#include <string>

#include "classes/ranking.h"
#include "control/cluster_state.h"
#include "control/cloud_capacity_tracker.h"

namespace foxshunt::control {

class Explanation {
 public:
  // `can_start`: whether the controller may start anything now.
  Explanation(const ClusterState& cluster, const classes::Ranking& ranking, const CloudCapacityTracker& capacity,
              bool can_start)
      : cluster_(cluster), ranking_(ranking), capacity_(capacity), can_start_(can_start) {}

  // Nothing if no such job is known.
  [[nodiscard]] std::optional<std::string> of(const JobId& job, Instant now) const;

 private:
  // Each gives the text that follows, if any.
  [[nodiscard]] std::optional<std::string> hold(const Job& job, Instant now) const;
  [[nodiscard]] std::optional<std::string> wait(const Job& job) const;
  [[nodiscard]] std::string rank(const Job& job) const;
  [[nodiscard]] std::string plan(const Job& job, Instant now) const;
  [[nodiscard]] std::string renting() const;

  const ClusterState& cluster_;
  const classes::Ranking& ranking_;
  const CloudCapacityTracker& capacity_;
  bool can_start_;
};

}  // namespace foxshunt::control
