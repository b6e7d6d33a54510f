// The backfill reservation: which waiting gang has the machines kept free that its planned start needs.
//
// A gang's planned start hangs on estimates. Small work that should end before that start is backfilled onto the gang's
// machines; where it runs longer than estimated, the start moves on, again and again. The holder of the reservation is
// planned before younger work, stays in one zone from pass to pass, and its machines get no other work once they are free.
//
// The cost to other work is bounded: one gang holds the reservation at a time, for a limited span, and a pause follows
// in which freed machines go to whoever is first.
//
// Owned by the controller and used by the thread that plans; pure, with no clock of its own.
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
  // A gang that waits as a whole and has waited long enough.
  struct Candidate {
    JobId job;
    plan::Instant submitted;
  };

  // Begins a planning pass: the holder keeps the reservation while it is a candidate and its span has not passed; else the
  // candidate that was submitted first gets it, unless the pause after the last holder lasts.
  void choose_holder(std::span<const Candidate> candidates, plan::Instant now);
  [[nodiscard]] bool is_held_by(const JobId& job) const { return holder_ && *holder_ == job; }

  // The zone of the holder's latest plan; empty before its first.
  [[nodiscard]] const std::string& zone() const { return zone_; }
  // Whether the machine is kept for the holder since an earlier pass.
  [[nodiscard]] bool is_machine_kept(const MachineId& machine) const { return machines_.contains(machine); }
  // Takes the holder's plan of this pass. `machines`: those that are kept free from now on until its start.
  void record_plan(std::string zone, std::set<MachineId> machines);

 private:
  void end(plan::Instant now);

  std::optional<JobId> holder_;
  plan::Instant until_;       // the holder's span
  plan::Instant not_before_;  // of the next holder
  std::string zone_;
  std::set<MachineId> machines_;
};

}  // namespace foxshunt::control
