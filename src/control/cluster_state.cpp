#include "control/cluster_state.h"

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

// Returns until when the holder of a delegation may renew the machine's lease. If the machine's zone is known only from
// another controller's soft state, the machine may be in any zone, so that all delegations count.
Instant delegated_until(const zone::DelegationTable& delegations, const Machine& machine) {
  const std::string zone = guards::kept(guards::Guard::lease_zone_seen) ? machine.confirmed_zone() : machine.zone;
  return delegations.renewed_until(zone, machine.id);
}

}  // namespace

ClusterState::ClusterState(config::Settings cluster_settings)
    : settings(std::move(cluster_settings)),
      machines({.lease = agent_lease_timeout(settings),
                .silence = heartbeat_silence_timeout(settings),
                .reroute = heartbeat_reroute_timeout(settings)}) {}

void ClusterState::rebind_planned_nodes() {
  for (auto& [id, machine] : machines) {
    if (machine.plan_node != nullptr) machine.plan_node = planner.find_machine(id);
  }
}

Machine& ClusterState::find_or_add_machine(const MachineId& id, Instant now) {
  const inventory::MachineInventory::FindOrAddResult known = machines.find_or_add(id, now);
  if (known.is_new) register_image_cache(known.machine);
  return known.machine;
}

void ClusterState::register_image_cache(Machine& machine) {
  // The cache size is unknown until the machine type is known; zero is passed until then.
  const wire::MachineType* machine_type_info = find_machine_type(machine.type);
  const auto images =
      pools.first_seen(machine.id, machine_type_info == nullptr ? 0 : machine_type_info->cache_gb, machine.images);
  if (images) machine.images = *images;
}

void ClusterState::record_cached_image(Machine& machine, const wire::JobSpec& spec) {
  machine.images.insert(spec.image);
  for (const std::string& evicted : pools.used(machine.id, spec)) machine.images.erase(evicted);
}

void ClusterState::update_planner_machine(Machine& machine) {
  if (machine.plan_node != nullptr && machine.plan_node->spec.ready_at == machine.ready) return;
  const wire::MachineType* machine_type_info = find_machine_type(machine.type);
  if (machine_type_info == nullptr) return;
  planner.set_machine(
      {.id = machine.id,
       .type = machine.type,
       .zone = machine.zone,
       .spot = machine.spot,
       .capacity = ResourceAmounts::from(machine_type_info->cpus, machine_type_info->gpus, machine_type_info->ram_gb),
       .ready_at = machine.ready});
  machine.plan_node = planner.find_machine(machine.id);
  needs_planning = true;
}

void ClusterState::forget_machine(const MachineId& id) {
  if (!machines.remove(id)) return;
  pools.forget(id);
  planner.remove_machine(id);
  needs_planning = true;
}

bool ClusterState::is_schedulable(const Machine& machine, Instant now) const {
  return machines.can_accept_tasks(machine, now) && settings.in_service(machine.zone) &&
         zone_health.accepts_tasks(machine.zone);
}

bool ClusterState::is_plannable(const Machine& machine, Instant now) const {
  return machine.state == MachineState::booting ? can_rent_in_zone(machine.zone) : is_schedulable(machine, now);
}

Instant ClusterState::lease_end(const Machine& machine) const {
  return machines.lease_end(machine, older_leaders_until, delegated_until(delegations, machine));
}

bool ClusterState::is_lease_expired(const Machine& machine, Instant now) const {
  return machines.is_lease_expired(machine, older_leaders_until, delegated_until(delegations, machine), now);
}

const wire::MachineType* ClusterState::find_machine_type(const std::string& name) const {
  const auto found = std::ranges::find(machine_types, name, &wire::MachineType::name);
  return found == machine_types.end() ? nullptr : &*found;
}

Millis ClusterState::image_fetch_duration(const wire::JobSpec& spec, const std::string& machine_type) const {
  const wire::MachineType* machine_type_info = find_machine_type(machine_type);
  if (machine_type_info == nullptr || machine_type_info->fetch_gb_per_s <= 0) return Millis(0);
  return from_seconds(spec.image_gb / machine_type_info->fetch_gb_per_s);
}

Millis ClusterState::boot_duration(const std::string& type_name) const {
  const wire::MachineType* machine_type_info = find_machine_type(type_name);
  return from_seconds(machine_type_info == nullptr ? 0 : machine_type_info->boot_s);
}

bool ClusterState::can_rent_in_zone(const std::string& zone) const {
  return settings.in_service(zone) && zone_health.is_healthy(zone);
}

bool has_bookings(const Machine& machine) {
  return machine.plan_node != nullptr && !machine.plan_node->usage.usage_of(0).slots().empty();
}

}  // namespace foxshunt::control
