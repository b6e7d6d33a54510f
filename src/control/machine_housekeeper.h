// Periodic review of the machines: expires agent leases, detects lost boots, returns empty drained machines and idle
// machines, and forgets machines that no longer exist.
//
// Stateless. Modifies the cluster state that is passed in, and asks leadership and the autoscaler (which machines are
// spare). Marks machines for return; the cloud loop returns them. Constructed for a single call and not kept. No I/O;
// not thread-safe.
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

  // Reviews all machines.
  void review_machines(Instant now);

 private:
  enum class ReviewResult : std::uint8_t {
    active,     // the machine stays, and may be idle
    returning,  // the machine is marked for return
    deleted,    // the machine no longer exists; it is to be forgotten
  };
  // Checks the machine's lease, boot and drain, and whether it still exists.
  [[nodiscard]] ReviewResult review(Machine& machine, Instant now);
  // Tracks since when the machine is idle, and marks it for return after its maximum idle time.
  void review_idle(Machine& machine, Instant now);
  // Whether the machine is up and has neither allocations nor bookings.
  [[nodiscard]] bool is_idle(const Machine& machine, Instant now) const;
  // Whether a machine that has been idle for `idle` may be returned.
  [[nodiscard]] bool can_scale_in(const Machine& machine, Millis idle, Instant now) const;
  // Marks the machine expired once its agent's lease has certainly ended, and its tasks as lost.
  void expire_lease(Machine& machine, Instant now);
  // Ends tasks that a record places on a machine that has not reported to any leader.
  void expire_tasks_of_unreported_machine(Machine& machine, Instant now);
  // Whether the machine is booting for so long that it is assumed never to come up.
  [[nodiscard]] bool is_boot_lost(const Machine& machine, Instant now) const;
  // Whether the machine does not exist any more: it was never heard from, and the cloud does not list it any more.
  [[nodiscard]] bool is_deleted(const Machine& machine, Instant now) const;
  // Whether the machine's zone is unreachable and its machines are kept until it returns.
  [[nodiscard]] bool is_zone_return_awaited(const Machine& machine, Instant now) const;

  ClusterState& cluster_;
  const Leadership& leadership_;
  const Autoscaler& autoscaler_;
  TaskLifecycle tasks_;
};

}  // namespace foxshunt::control
