#include "control/cluster_state.h"

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

// Up to when the holder of a delegation may renew the machine's lease. A machine that only another controller's word places in
// a zone may stand in any: all delegations count.
Instant delegated_until(const zone::DelegationTable& delegations, const Machine& machine) {
  const std::string zone = guards::kept(guards::Guard::lease_zone_seen) ? machine.confirmed_zone() : machine.zone;
  return delegations.renewed_until(zone, machine.id);
}

}  // namespace

ClusterState::ClusterState(config::Settings made_from)
    : settings(std::move(made_from)),
      machines({.lease = lease_span(settings), .silence = silence_span(settings), .reroute = detour_span(settings)}) {}

void ClusterState::rebind_planned_nodes() {
  for (auto& [id, machine] : machines) {
    if (machine.plan_node != nullptr) machine.plan_node = planner.node(id);
  }
}

Machine& ClusterState::know_machine(const MachineId& id, Instant now) {
  const inventory::MachineInventory::FindOrAddResult known = machines.find_or_add(id, now);
  if (known.is_new) know_cache(known.machine);
  return known.machine;
}

void ClusterState::know_cache(Machine& machine) {
  // Before its type is known, its room is not.
  const wire::MachineType* kind = type(machine.type);
  const auto images = pools.first_seen(machine.id, kind == nullptr ? 0 : kind->cache_gb, machine.images);
  if (images) machine.images = *images;
}

void ClusterState::know_image(Machine& machine, const wire::JobSpec& spec) {
  machine.images.insert(spec.image);
  for (const std::string& gone : pools.used(machine.id, spec)) machine.images.erase(gone);
}

void ClusterState::refresh_plan_machine(Machine& machine) {
  if (machine.plan_node != nullptr && machine.plan_node->info.ready == machine.ready) return;
  const wire::MachineType* kind = type(machine.type);
  if (kind == nullptr) return;
  planner.set_machine({.id = machine.id,
                       .type = machine.type,
                       .zone = machine.zone,
                       .spot = machine.spot,
                       .capacity = Amounts::from(kind->cpus, kind->gpus, kind->ram_gb),
                       .ready = machine.ready});
  machine.plan_node = planner.node(machine.id);
  plan_wanted = true;
}

void ClusterState::forget_machine(const MachineId& id) {
  if (!machines.remove(id)) return;
  pools.forget(id);
  planner.remove_machine(id);
  plan_wanted = true;
}

bool ClusterState::usable(const Machine& machine, Instant now) const {
  return machines.can_accept_tasks(machine, now) && settings.in_service(machine.zone) &&
         zones.accepts_tasks(machine.zone);
}

Instant ClusterState::lease_end(const Machine& machine) const {
  return machines.lease_end(machine, older_leaders_until, delegated_until(delegations, machine));
}

bool ClusterState::is_lease_expired(const Machine& machine, Instant now) const {
  return machines.is_lease_expired(machine, older_leaders_until, delegated_until(delegations, machine), now);
}

const wire::MachineType* ClusterState::type(const std::string& name) const {
  const auto found = std::ranges::find(types, name, &wire::MachineType::name);
  return found == types.end() ? nullptr : &*found;
}

Millis ClusterState::fetch_time(const wire::JobSpec& spec, const std::string& machine_type) const {
  const wire::MachineType* kind = type(machine_type);
  if (kind == nullptr || kind->fetch_gb_per_s <= 0) return Millis(0);
  return from_seconds(spec.image_gb / kind->fetch_gb_per_s);
}

Millis ClusterState::boot_time(const std::string& type_name) const {
  const wire::MachineType* kind = type(type_name);
  return from_seconds(kind == nullptr ? 0 : kind->boot_s);
}

bool ClusterState::counted_on(const std::string& zone) const {
  return settings.in_service(zone) && zones.is_healthy(zone);
}

bool has_bookings(const Machine& machine) {
  return machine.plan_node != nullptr && !machine.plan_node->use.of(0).slots().empty();
}

}  // namespace foxshunt::control
