// Controller: machine types, machine lists, scaling and periodic maintenance.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "control/controller.h"
#include "control/machine_housekeeper.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

// Returns whether no agent reaches this node, neither directly nor through another controller. The agents' leases then
// expire soon under this leader, while another node may still receive their heartbeats. Always false while the state
// service does not answer, because no other controller could become leader then.
bool is_unreachable(const ClusterState& cluster, const Leadership& leadership, Instant now) {
  return cluster.machines.count_if_all_unheard(now) >= constants::kMinUnreachableMachines &&
         cluster.settings.nodes > 1 && leadership.can_modify_cluster(now);
}

}  // namespace

void Controller::on_machine_types(const std::vector<wire::MachineType>& types) {
  cluster_.machine_types = types;
  for (auto& [unused, machine] : cluster_.machines) {
    cluster_.update_planner_machine(machine);
    cluster_.register_image_cache(machine);
  }
  cluster_.needs_planning = true;
}

void Controller::on_machine_list(const std::vector<wire::ListedMachine>& listed, Instant requested, Instant now) {
  if (!leadership_.is_leader()) return;
  cluster_.machines.mark_deleted(listed, requested - max_cloud_list_delay(cluster_.settings));
  for (const wire::ListedMachine& entry : listed) {
    const auto known = cluster_.machines.apply_listing(entry, cluster_.boot_duration(entry.type), now);
    if (!known) continue;  // the entry is from an outdated list
    Machine& machine = known->machine;
    if (known->is_new) cluster_.register_image_cache(machine);
    if (!machine.has_reported) cluster_.update_planner_machine(machine);
    if (entry.state == wire::ListedState::failed && machine.state != MachineState::returning) {
      spdlog::info("machine_failed machine={}", entry.id.text());
      machine.listed.failed = true;
      machine.state = MachineState::returning;
      machine.release_reason = "the cloud lists it as failed";
    }
  }
}

std::optional<wire::ScaleOutRequest> Controller::next_scale_out(Instant now) {
  if (!leadership_.can_modify_cluster(now)) return std::nullopt;
  return autoscaler_.next_scale_out(cluster_, leadership_.term(), now);
}

void Controller::on_scaled_out(const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented,
                               Instant now) {
  if (leadership_.is_leader()) autoscaler_.on_scaled_out(cluster_, request, rented, now);
}

void Controller::on_scale_out_refused(const wire::ScaleOutRequest& request, Instant now) {
  autoscaler_.on_scale_out_refused(cluster_, request, now);
}

bool Controller::needs_scaling() const { return autoscaler_.has_pending_cloud_work(cluster_); }

std::vector<MachineId> Controller::next_scale_in(Instant now) {
  return leadership_.can_modify_cluster(now) ? Autoscaler::next_scale_in(cluster_) : std::vector<MachineId>();
}

void Controller::on_scaled_in(const std::vector<MachineId>& returned, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const MachineId& id : returned) {
    const auto entry = cluster_.machines.find(id);
    if (entry == cluster_.machines.end()) continue;
    spdlog::info("machine_returned machine={} reason=\"{}\"", id.text(), entry->second.release_reason);
    cluster_.machines.on_scaled_in(id);
    const std::set<TaskKey> task_keys = entry->second.allocations.copy();
    for (const TaskKey& key : task_keys)
      task_lifecycle().mark_task_lost(key, "its machine was returned to the cloud", now);
    cluster_.forget_machine(id);
  }
}

void Controller::tick(Instant now) {
  if (!leadership_.is_leader()) return;
  if (is_unreachable(cluster_, leadership_, now)) return leadership_.yield("no agent can reach this node", now);
  cluster_.planner.forget_before(now);
  scheduling_cycle_.request_periodic_pass(cluster_, now);
  cluster_.delegations.prune_expired(now);
  ZoneCoordinator zones = zone_coordinator();
  zones.drain_zones_out_of_service();
  if (cluster_.settings.operators.zone_watch) zones.observe_zones(now);
  MachineHousekeeper(cluster_, leadership_, autoscaler_).review_machines(now);
}

}  // namespace foxshunt::control
