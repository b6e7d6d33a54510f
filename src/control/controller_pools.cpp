// Controller: interface to the warm pools. Accepts their directives and reports the fleet state to them.
#include "control/controller.h"

namespace foxshunt::control {

void Controller::set_pool_directives(pools::PoolDirectives directives) {
  const bool was_on = cluster_.pools.on();
  cluster_.pools.take(std::move(directives));
  if (!leadership_.is_leader()) return;
  for (auto& [unused, machine] : cluster_.machines) cluster_.register_image_cache(machine);
  if (cluster_.pools.on() != was_on) cluster_.needs_planning = true;
}

pools::FleetObservation Controller::observe_for_pools(Instant now) {
  pools::FleetObservation fleet;
  if (!leadership_.is_leader()) return fleet;
  fleet.answers = cluster_.pools.answers();
  fleet.can_scale_out = cluster_.settings.operators.can_scale_out;
  fleet.types = cluster_.machine_types;
  for (const std::string& zone : cluster_.settings.zones) {
    if (!cluster_.can_rent_in_zone(zone)) fleet.left_zones.insert(zone);
  }
  if (!cluster_.pools.on()) return fleet;
  fleet.settled = cluster_.pools.settled(now);
  fleet.starts = cluster_.pools.take_starts();
  for (const auto& [id, machine] : cluster_.machines) {
    if (machine.type.empty()) continue;
    pools::MachineObservation observation{.id = id, .type = machine.type, .zone = machine.zone, .spot = machine.spot};
    observation.leaving = machine.state == MachineState::draining || machine.state == MachineState::returning;
    const bool booked = has_bookings(machine);
    observation.spare =
        machine.allocations.empty() && !booked && !autoscaler_.is_spare(id) && cluster_.is_schedulable(machine, now);
    for (const TaskKey& key : machine.allocations) {
      const Job& job = cluster_.jobs.at(key.job);
      cluster_.pools.look(observation, job.spec);
    }
    const pools::Cache* const cache = cluster_.pools.cache(id);
    if (cache != nullptr && cluster_.pools.of_interest(*cache)) observation.images = cache->images();
    fleet.machines.push_back(std::move(observation));
  }
  for (const auto& [id, unused] : cluster_.pools.members()) {
    if (cluster_.machines.is_returned(id)) fleet.gone.insert(id);
  }
  return fleet;
}

}  // namespace foxshunt::control
