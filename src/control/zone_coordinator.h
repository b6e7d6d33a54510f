// Zones: which of them are there, to which other controllers the right to renew agents' leases is delegated, and services that have
// to leave a zone.
//
// The delegations and the view of zones stand in the cluster state; this module alone changes them. Is given the cluster state
// and leadership, which it asks. Never moves a batch task: where a zone is lost, its tasks start again elsewhere once they are
// confirmed terminated. Made for the moment of a call and not kept; pure; not thread-safe.
#pragma once

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

  // What another controller that asks is delegated; nothing when it is none of the settings, its request is stale, or nothing
  // can be delegated now.
  [[nodiscard]] std::optional<zone::LeaseDelegation> on_delegation_request(const zone::DelegationRequest& request,
                                                                           Instant now);
  // Looks at the machines of each zone and logs what has changed.
  void observe_zones(Instant now);
  // Moves services out of zones that are out of service, one machine after the other; all other work runs out.
  void drain_zones_out_of_service();

 private:
  [[nodiscard]] std::vector<MachineId> machines_excluded_from_delegation(const std::string& zone, Instant now) const;
  [[nodiscard]] bool has_tasks_to_stop(const Machine& machine) const;
  [[nodiscard]] std::map<std::string, zone::ZoneObservation> collect_zone_observations(Instant now) const;

  ClusterState& cluster_;
  const Leadership& leadership_;
};

}  // namespace foxshunt::control
