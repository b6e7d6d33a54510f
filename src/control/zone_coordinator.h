// Handles zones: tracks their health, delegates the right to renew agents' leases to other controllers, and drains
// services from zones that are out of service.
//
// The delegation table and the zone health monitor are part of the cluster state and changed only here. Asks
// leadership. Does not move batch tasks: when a zone is lost, its tasks are started elsewhere once they are confirmed
// terminated. Constructed for a single call and not kept. No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/cluster_state.h"
#include "control/leadership.h"
#include "zone/delegated_lease.h"
#include "zone/delegation_table.h"
#include "zone/zone_health.h"

namespace foxshunt::control {

class ZoneCoordinator {
 public:
  ZoneCoordinator(ClusterState& cluster, const Leadership& leadership) : cluster_(cluster), leadership_(leadership) {}

  // Handles another controller's request for a delegation and returns what is delegated. None if this controller does
  // not lead, the sender is not configured as a sibling, or the request is stale. If nothing can be delegated now, the
  // returned delegation has already expired and only answers the request.
  [[nodiscard]] std::optional<zone::LeaseDelegation> on_delegation_request(const zone::DelegationRequest& request,
                                                                           Instant now);
  // Updates the health of each zone from its machines' heartbeats and logs changes.
  void observe_zones(Instant now);
  // Drains machines that run only services in zones that are out of service, one machine at a time. Other jobs run to
  // their end.
  void drain_zones_out_of_service();

 private:
  // The machines of the zone whose leases only the leader may renew.
  [[nodiscard]] std::vector<MachineId> machines_excluded_from_delegation(const std::string& zone, Instant now) const;
  // Whether the machine has tasks that only a command of the leader stops.
  [[nodiscard]] bool has_tasks_to_stop(const Machine& machine) const;
  // What a machine tells about the reachability of its zone.
  enum class Presence : std::uint8_t {
    not_expected,  // nothing: no heartbeat of it is due
    heard,         // it sends heartbeats
    silent,        // its heartbeats are overdue, and it may still run tasks
    ended,         // its heartbeats are overdue, and its lease has certainly ended
  };
  [[nodiscard]] Presence presence_of(const Machine& machine, Instant now) const;
  // Counts the machines of each zone by state, and says when each zone's controller was last heard.
  [[nodiscard]] std::map<std::string, zone::ZoneObservation> collect_zone_observations(Instant now) const;

  ClusterState& cluster_;
  const Leadership& leadership_;
};

}  // namespace foxshunt::control
