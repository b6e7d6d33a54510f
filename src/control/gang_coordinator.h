// Gangs: the barrier at which the tasks of a gang wait for each other before they start, members that are lost before the
// start, and the backfill reservation.
//
// Owns the backfill reservation. Given the cluster state with each call; there it changes a gang's barrier (Job::gather_until,
// Job::in_stages) and books machines ahead. Never places or stops a task: it tells its caller when an attempt has to end.
// Pure, with the time passed in; not thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/gang_reservation.h"
#include "plan/planner.h"

namespace foxshunt::control {

// What a gang that is placed in part needs.
enum class MissingMembers : std::uint8_t {
  none,     // nothing: the rest does not wait at the barrier
  replace,  // members that join the rest
  overdue,  // the end of the attempt: the rest has waited too long
};

class GangCoordinator {
 public:
  // ---- start barrier ----
  // Whether all that is left of a gang's attempt is known to wait for the others.
  [[nodiscard]] static bool waits_at_barrier(const Job& job);
  // Lets the rest of the gang wait for members that join it, up to a timeout.
  static void hold_start_barrier(ClusterState& cluster, Job& job, Instant now);
  // A task of the gang is gone together with its machine. Whether the attempt goes on: another task joins the rest if they
  // have not begun.
  [[nodiscard]] static bool survives_loss(ClusterState& cluster, Job& job, bool had_run, Instant now);
  [[nodiscard]] static MissingMembers missing_members(const ClusterState& cluster, Job& job, Instant now);
  // Of a gang's tasks those that are to be placed now; the others' places are booked, see docs/design/gathering.md.
  [[nodiscard]] static std::vector<plan::Placement> members_due(ClusterState& cluster, Job& job,
                                                                const std::vector<plan::Placement>& placements,
                                                                Instant now);

  // ---- backfill reservation ----
  // Begins a planning pass.
  void choose_holder(const ClusterState& cluster, const DemandEstimator& demand, Instant now);
  [[nodiscard]] bool holds_reservation(const JobId& job) const { return reservation_.held_by(job); }
  // Plans the gang that holds the reservation: in the zone and on the machines that are kept for it.
  [[nodiscard]] std::vector<plan::Placement> plan_reserved(const plan::Planner& planner,
                                                           plan::PlacementRequest request) const;
  // Books the span from which each of the gang's machines is free until its planned start.
  void keep_machines_free(ClusterState& cluster, Job& job, const std::vector<plan::Placement>& placements, Instant now);

 private:
  GangReservation reservation_;
};

}  // namespace foxshunt::control
