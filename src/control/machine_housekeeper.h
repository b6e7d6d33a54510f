// Housekeeping of machines as time passes: agent leases that have ended, boots that are lost, drained machines that are empty, and
// machines that no longer exist or are idle.
//
// Owns no state of its own. Is given the cluster state, which it changes, leadership, and the autoscaler, which it asks what is kept
// idle. Marks machines to be returned, and never returns one itself. Made for the moment of a call and not kept; pure; not thread-safe.
#pragma once

#include <cstdint>

#include "control/autoscaler.h"
#include "control/cluster_state.h"
#include "control/leadership.h"
#include "control/task_lifecycle.h"

namespace foxshunt::control {

class MachineHousekeeper {
 public:
  MachineHousekeeper(ClusterState& cluster, const Leadership& leadership, const Autoscaler& autoscaler)
      : cluster_(cluster), leadership_(leadership), autoscaler_(autoscaler), tasks_(cluster, leadership) {}

  void review_machines(Instant now);

 private:
  enum class ReviewResult : std::uint8_t {
    active,
    returning,  // it is marked to be returned
    deleted,    // it no longer exists and is to be forgotten
  };
  [[nodiscard]] ReviewResult review(Machine& machine, Instant now);
  // Marks a machine that has been idle for long enough to be returned.
  void review_idle(Machine& machine, Instant now);
  // Whether it is up and has nothing to do, now and by the plan.
  [[nodiscard]] bool is_idle(const Machine& machine, Instant now) const;
  [[nodiscard]] bool can_scale_in(const Machine& machine, Millis idle, Instant now) const;
  void expire_lease(Machine& machine, Instant now);
  // Tasks that a record places on a machine that no leader has heard of.
  void expire_tasks_of_unreported_machine(Machine& machine, Instant now);
  [[nodiscard]] bool is_boot_lost(const Machine& machine, Instant now) const;
  [[nodiscard]] bool is_deleted(const Machine& machine, Instant now) const;
  // Whether the machine's zone is lost and waited for.
  [[nodiscard]] bool is_zone_return_awaited(const Machine& machine, Instant now) const;

  ClusterState& cluster_;
  const Leadership& leadership_;
  const Autoscaler& autoscaler_;
  TaskLifecycle tasks_;
};

}  // namespace foxshunt::control
