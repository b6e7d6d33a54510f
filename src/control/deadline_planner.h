// Checks calendar deadlines against the plan and against machine boots: when jobs are planned to end, how many late
// tasks a machine rented now would still finish in time, and what a job lacks to meet its deadline.
//
// Owns the jobs with calendar deadlines, as the calendar's records give them. The state to check against is passed in
// with each call and is not changed. Books and rents nothing. Performs no I/O and reads no clock (`now` is passed in).
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "classes/ranking.h"
#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/cloud_capacity_tracker.h"
#include "foresight/foresight.h"
#include "plan/planner.h"

namespace foxshunt::control {

// The state against which deadlines are checked. Holds references; valid only during the call.
struct DeadlineContext {
  const ClusterState& cluster;
  const DemandEstimator& demand;
  const CloudCapacityTracker& capacity;
  const classes::Ranking& ranking;
};

class DeadlinePlanner {
 public:
  // Replaces the jobs with calendar deadlines. Returns whether their set or a slack step changed, which affects the
  // planning order.
  bool on_due_jobs(foresight::DueJobs due_jobs);
  // The slack steps of the jobs with calendar deadlines, by which they are ranked.
  [[nodiscard]] std::map<JobId, int> slack_steps() const;

  // Forecasts the end of each job with a calendar deadline by the plan, and what it lacks to meet the deadline. Jobs
  // that the latest pass cannot have planned are left out: `last_pass_started_at` is when it began.
  [[nodiscard]] std::map<JobId, foresight::DeadlineForecast> deadline_forecasts(const DeadlineContext& context,
                                                                                Instant last_pass_started_at,
                                                                                Instant now) const;
  // The planned ends of the jobs without calendar deadlines. Jobs with tasks that are neither allocated nor booked are
  // left out, and so are services.
  [[nodiscard]] std::map<JobId, Instant> planned_ends(const ClusterState& cluster) const;
  // How many of the planned tasks end after the job's calendar deadline although machines rented now would finish them
  // in time. Zero if no machine type would, or if the machines in `places` have room for all these tasks in time.
  [[nodiscard]] std::uint32_t count_overdue_tasks(const DeadlineContext& context, const Job& job,
                                                  const std::vector<plan::Placement>& placements,
                                                  const std::vector<plan::EligibleMachine>& places, Instant now) const;
  // How long a machine may take from now until it runs tasks of the job, so that they meet its calendar deadline.
  // Negative if the deadline cannot be met any more; Millis::max() if the job has none.
  [[nodiscard]] Millis max_startup_for_deadline(const Job& job, Instant now) const;
  // How long the job's tasks may wait from now on before machines are rented for them. Zero if the job specifies no
  // deadline.
  [[nodiscard]] Millis scale_out_delay(const Job& job, Instant now) const;

 private:
  foresight::DueJobs due_jobs_;
};

}  // namespace foxshunt::control
