// The order in which waiting jobs are planned: by team guarantees, priorities and aging, and by job classes if the
// catalog defines any.
//
// Owns the ranking by class, which is kept from one pass to the next. The cluster state is passed in with each call;
// only Job::is_over_guarantee is changed there. Plans, places and stops nothing. Performs no I/O and reads no clock
// (`now` is passed in). Not thread-safe.
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

  // Returns the jobs that have pending or stranded tasks and are not in backoff, in planning order. Updates
  // Job::is_over_guarantee of all active jobs, and starts a new ranking if classes are in force.
  [[nodiscard]] std::vector<Job*> order_jobs(ClusterState& cluster, const GangCoordinator& gangs,
                                             const DemandEstimator& demand, Instant now);
  // Whether the class ranking forbids stopping `victim`, a part of `running_job`, to make room for `preempting_job`.
  // That is so if the victim's job would be ranked before the preempting job once it waits again, or if a job that
  // lacks room and may not preempt the victim itself would take the freed room. False if `running_job` is not ranked.
  [[nodiscard]] bool is_protected_by_rank(const Job& running_job, const preempt::Victim& victim,
                                          const Job& preempting_job) const;

 private:
  // Starts a new ranking over all jobs and reorders `jobs` by it. Job::is_over_guarantee is set as the ranking has it.
  void order_jobs_by_class(ClusterState& cluster, std::vector<Job*>& jobs, Instant now);

  classes::Ranking ranking_;
};

}  // namespace foxshunt::control
