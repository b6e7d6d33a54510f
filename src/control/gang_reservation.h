// The backfill reservation: keeps free the machines that the planned start of one waiting gang needs.
//
// A gang's planned start depends on estimated run times. Small jobs that should end before that start are backfilled
// onto the gang's machines; when they run longer than estimated, the start is postponed, possibly again and again. The
// holder of the reservation is therefore planned before younger jobs, stays in one zone from pass to pass, and its
// machines get no other work once they are free.
//
// The cost to other jobs is bounded: one gang holds the reservation at a time, for at most kMaxReservation, and during
// the following kReservationBackoff freed machines go to the first job in the queue.
//
// Owned by GangCoordinator and used by the planning thread. Performs no I/O and reads no clock (`now` is passed in).
// Not thread-safe.
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::control {

class GangReservation {
 public:
  // A gang without placed tasks that has waited long enough for a reservation.
  struct Candidate {
    JobId job;
    plan::Instant submitted;
  };

  // Called at the beginning of each planning pass. The holder keeps the reservation while it is a candidate and its
  // time is not up. Otherwise the reservation ends; after kReservationBackoff the candidate that was submitted first
  // gets it.
  void choose_holder(std::span<const Candidate> candidates, plan::Instant now);
  [[nodiscard]] bool is_held_by(const JobId& job) const { return holder_ && *holder_ == job; }

  // The zone in which the holder was last planned; empty before its first plan and if the gang need not run in one
  // zone.
  [[nodiscard]] const std::string& zone() const { return zone_; }
  // Whether the machine has been kept free for the holder since an earlier pass.
  [[nodiscard]] bool is_machine_kept(const MachineId& machine) const { return machines_.contains(machine); }
  // Records the holder's plan of this pass. `machines`: the machines that are kept free from now until its planned
  // start.
  void record_plan(std::string zone, std::set<MachineId> machines);

 private:
  void release(plan::Instant now);

  std::optional<JobId> holder_;
  plan::Instant held_until_;
  plan::Instant next_holder_not_before_;  // end of the backoff after the previous reservation
  std::string zone_;
  std::set<MachineId> machines_;
};

}  // namespace foxshunt::control
