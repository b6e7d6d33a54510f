// Deadlines of the calendar against the plan and against boots: when jobs end by the plan, how many of their tasks a machine
// that is rented now would still save, and what lacks where nothing does.
//
// Owns the due jobs, as the calendar's records ask for them. Given what it judges by with each call. Never changes any of
// that; it books nothing and rents nothing. Pure, with the time passed in; not thread-safe.
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

// What a deadline is judged by; for the length of a call.
struct PlanView {
  const ClusterState& cluster;
  const DemandEstimator& demand;
  const CloudCapacityTracker& capacity;
  const classes::Ranking& ranking;
};

class DeadlinePlanner {
 public:
  // Takes what the calendar's records ask of jobs. Whether that changes their order.
  bool on_due_jobs(foresight::DueJobs dues);
  // The steps of slack of the due jobs, by which they are ranked.
  [[nodiscard]] std::map<JobId, int> slack() const;

  // What becomes of the due jobs by the plan, and what lacks. `planned_at`: when the latest pass began.
  [[nodiscard]] std::map<JobId, foresight::DeadlineForecast> deadline_forecasts(const PlanView& view,
                                                                                Instant planned_at, Instant now) const;
  // When the plan says that other jobs end; those without a booking are left out.
  [[nodiscard]] std::map<JobId, Instant> planned_ends(const ClusterState& cluster) const;
  // How many of the tasks are planned to end too late, if machines rented now would keep the deadline.
  [[nodiscard]] std::uint32_t overdue(const PlanView& view, const Job& job,
                                      const std::vector<plan::Placement>& placements,
                                      const std::vector<plan::EligibleMachine>& places, Instant now) const;
  // How long a machine may take until it runs tasks of the job, for its calendar deadline.
  [[nodiscard]] Millis max_startup_for_deadline(const Job& job, Instant now) const;
  // How long the job's tasks may wait from now on before machines are rented for them.
  [[nodiscard]] Millis scale_out_delay(const Job& job, Instant now) const;

 private:
  foresight::DueJobs due_jobs_;
};

}  // namespace foxshunt::control
