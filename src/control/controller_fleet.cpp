// Machines, as the cloud tells of them and as time passes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "control/controller.h"
#include "control/machine_housekeeper.h"

namespace foxshunt::control {

namespace {

// Whether no agent reaches this node, and no other controller passes heartbeats on: the agents' leases end soon, whoever leads,
// and another node may hear them. Only while the state service answers, without which nobody could take the lead.
bool is_unreachable(const ClusterState& cluster, const Leadership& leadership, Instant now) {
  return cluster.machines.count_if_all_unheard(now) >= constants::kMinUnreachableMachines &&
         cluster.settings.nodes > 1 && leadership.can_start(now);
}

}  // namespace

void Controller::on_types(const std::vector<wire::MachineType>& types) {
  cluster_.types = types;
  for (auto& [unused, machine] : cluster_.machines) {
    cluster_.refresh_plan_machine(machine);
    cluster_.know_cache(machine);
  }
  cluster_.plan_wanted = true;
}

void Controller::on_machine_list(const std::vector<wire::ListedMachine>& listed, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const wire::ListedMachine& entry : listed) {
    const auto known = cluster_.machines.apply_listing(entry, cluster_.boot_time(entry.type), now);
    if (!known) continue;  // an old list
    Machine& machine = known->machine;
    if (known->is_new) cluster_.know_cache(machine);
    if (!machine.has_reported) cluster_.refresh_plan_machine(machine);
    if (entry.state == wire::ListedState::failed && machine.state != MachineState::returning) {
      spdlog::info("machine {} has failed", entry.id.text());
      machine.listed.failed = true;
      machine.state = MachineState::returning;
      machine.release_reason = "it has failed";
    }
  }
}

std::optional<wire::ScaleOutRequest> Controller::next_scale_out(Instant now) {
  if (!leadership_.can_start(now)) return std::nullopt;
  return autoscaler_.next_scale_out(cluster_, leadership_.term(), now);
}

void Controller::on_scaled_out(const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented,
                               Instant now) {
  if (leadership_.is_leader()) autoscaler_.on_scaled_out(cluster_, request, rented, now);
}

void Controller::on_scale_out_refused(const wire::ScaleOutRequest& request, Instant now) {
  autoscaler_.on_scale_out_refused(cluster_, request, now);
}

bool Controller::cloud_wanted() const { return autoscaler_.cloud_wanted(cluster_); }

std::vector<MachineId> Controller::next_scale_in(Instant now) {
  return leadership_.can_start(now) ? Autoscaler::next_scale_in(cluster_) : std::vector<MachineId>();
}

void Controller::on_scaled_in(const std::vector<MachineId>& names, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const MachineId& id : names) {
    const auto entry = cluster_.machines.find(id);
    if (entry == cluster_.machines.end()) continue;
    spdlog::info("machine {} is returned: {}", id.text(), entry->second.release_reason);
    cluster_.machines.on_scaled_in(id);
    const std::set<TaskKey> runs = entry->second.allocations.copy();
    for (const TaskKey& key : runs) tasks().lose_task(key, "its machine was returned", now);
    cluster_.forget_machine(id);
  }
}

void Controller::tick(Instant now) {
  if (!leadership_.is_leader()) return;
  if (is_unreachable(cluster_, leadership_, now)) return leadership_.yield("no worker reaches it", now);
  cluster_.planner.forget_before(now);
  cycle_.request_overdue_pass(cluster_, now);
  cluster_.delegations.prune_expired(now);
  ZoneCoordinator zones = zone_coordinator();
  zones.move_services_out();
  if (cluster_.settings.operators.zone_watch) zones.observe_zones(now);
  MachineHousekeeper(cluster_, leadership_, autoscaler_).review_machines(now);
}

}  // namespace foxshunt::control
