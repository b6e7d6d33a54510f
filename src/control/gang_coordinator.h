// Gang scheduling: the start barrier at which the tasks of a gang wait for each other, the replacement of members that
// are lost before the start, and the backfill reservation.
//
// Owns the backfill reservation. The cluster state is passed in with each call; of a job it changes the barrier
// (Job::barrier_deadline, Job::is_placed_in_stages) and the planned bookings. Places and stops no task: the caller is
// told when an attempt has to end. Performs no I/O except logging and reads no clock (`now` is passed in). Not
// thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/gang_reservation.h"
#include "plan/planner.h"

namespace foxshunt::control {

// What to do about the missing members of a partly placed gang.
enum class MissingMemberAction : std::uint8_t {
  none,         // nothing: no barrier is held, or the placed members do not wait at it
  replace,      // place replacements in the same attempt
  end_attempt,  // end the attempt: the barrier has timed out
};

class GangCoordinator {
 public:
  // ---- start barrier ----
  // Whether the gang has placed members and none of them can have started: each fetches its image, waits for the
  // others, or was placed by this leader and has not been reported yet. False if a member is being stopped.
  [[nodiscard]] static bool is_waiting_at_barrier(const Job& job);
  // Makes the placed members wait for replacements until the barrier timeout. Does not prolong a barrier that is held
  // already. Requests a planning pass.
  static void hold_start_barrier(ClusterState& cluster, Job& job, Instant now);
  // Handles a member that was lost together with its machine. `had_run`: whether the member had started. Returns true
  // if the attempt continues with a replacement, which requires that no other member has started; otherwise the caller
  // ends the attempt.
  [[nodiscard]] static bool handle_member_loss(ClusterState& cluster, Job& job, bool had_run, Instant now);
  // Decides what to do about the missing members. Prolongs a barrier that is held while placed members still fetch
  // their image.
  [[nodiscard]] static MissingMemberAction choose_missing_member_action(const ClusterState& cluster, Job& job,
                                                                        Instant now);
  // Returns the placements whose tasks are to be placed now, and books the other ones. If image fetch times differ too
  // much, the tasks with the longest fetches are placed first, see docs/design/gathering.md.
  [[nodiscard]] static std::vector<plan::Placement> select_members_to_place(
      ClusterState& cluster, Job& job, const std::vector<plan::Placement>& placements, Instant now);

  // ---- backfill reservation ----
  // Called at the beginning of each planning pass.
  void choose_reservation_holder(const ClusterState& cluster, const DemandEstimator& demand, Instant now);
  [[nodiscard]] bool holds_reservation(const JobId& job) const { return reservation_.is_held_by(job); }
  // Plans the gang that holds the reservation. Prefers the machines that are kept free for it, and for a one-zone job
  // the reserved zone.
  [[nodiscard]] std::vector<plan::Placement> plan_reservation_holder(const plan::Planner& planner,
                                                                     plan::PlacementRequest request) const;
  // Books each planned machine from the time when it becomes free until the gang's planned start, so that no other work
  // is backfilled there.
  void reserve_machines(ClusterState& cluster, Job& job, const std::vector<plan::Placement>& placements, Instant now);

 private:
  GangReservation reservation_;
};

}  // namespace foxshunt::control
