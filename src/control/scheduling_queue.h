// The order in which waiting jobs are planned: by guaranteed shares, priorities and aging, and by the catalog's classes where
// there are any.
//
// Owns the ranking by classes, which lasts from one pass to the next. Given the cluster state with each call; it marks in each
// job there whether it is over its team's guaranteed share, and changes nothing else. Never plans, places or stops anything.
// Pure, with the time passed in; not thread-safe.
#pragma once

#include <vector>

#include "classes/ranking.h"
#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/gang_coordinator.h"
#include "preempt/preempt.h"

namespace foxshunt::control {

class SchedulingQueue {
 public:
  [[nodiscard]] classes::Ranking& ranking() { return ranking_; }
  [[nodiscard]] const classes::Ranking& ranking() const { return ranking_; }

  // The jobs that wait, first the one that is planned first. Begins a new ranking.
  [[nodiscard]] std::vector<Job*> order_jobs(ClusterState& cluster, const GangCoordinator& gangs,
                                             const DemandEstimator& demand, Instant now);
  // Whether the room that running work would make is not the asking job's: the work would be ranked before it when it
  // waits again, or what is ranked before it would take the room without being entitled to.
  [[nodiscard]] bool is_protected_by_rank(const Job& runs, const preempt::Victim& victim, const Job& asks) const;

 private:
  // The same jobs in the order of their classes.
  void order_jobs_by_class(ClusterState& cluster, std::vector<Job*>& jobs, Instant now);

  classes::Ranking ranking_;
};

}  // namespace foxshunt::control
