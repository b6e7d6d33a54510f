// Machines: known, up, drained, returned, lost; and what the cloud says of them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/controller.h"
#include "control/machine_housekeeper.h"
#include "control/times.h"

namespace foxshunt::control {

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
    const auto known = cluster_.machines.list(entry, cluster_.boot_time(entry.type), now);
    if (!known) continue;  // an old list
    Machine& machine = known->machine;
    if (known->fresh) cluster_.know_cache(machine);
    if (!machine.reported) cluster_.refresh_plan_machine(machine);
    if (entry.state == wire::ListedState::failed && machine.state != MachineState::returning) {
      spdlog::info("machine {} has failed", entry.id.text());
      machine.listed.failed = true;
      machine.state = MachineState::returning;
      machine.why = "it has failed";
    }
  }
}

std::optional<wire::RentRequest> Controller::next_rental(Instant now) {
  if (!leadership_.can_start(now)) return std::nullopt;
  return autoscaler_.next_rental(cluster_, leadership_.term(), now);
}

void Controller::on_rented(const wire::RentRequest& request, const std::vector<MachineId>& rented, Instant now) {
  if (leadership_.is_leader()) autoscaler_.on_rented(cluster_, request, rented, now);
}

void Controller::on_rent_refused(const wire::RentRequest& request, Instant now) {
  autoscaler_.on_rent_refused(cluster_, request, now);
}

bool Controller::cloud_wanted() const { return autoscaler_.cloud_wanted(cluster_); }

std::vector<MachineId> Controller::next_returns(Instant now) {
  return leadership_.can_start(now) ? Autoscaler::next_returns(cluster_) : std::vector<MachineId>();
}

void Controller::on_returned(const std::vector<MachineId>& names, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const MachineId& id : names) {
    const auto entry = cluster_.machines.find(id);
    if (entry == cluster_.machines.end()) continue;
    spdlog::info("machine {} is returned: {}", id.text(), entry->second.why);
    cluster_.machines.on_returned(id);
    const std::set<TaskKey> runs = entry->second.runs.copy();
    for (const TaskKey& key : runs) tasks().lose_task(key, "its machine was returned", now);
    cluster_.forget_machine(id);
  }
}

bool Controller::is_unreachable(Instant now) const {
  return cluster_.machines.unheard(now) >= constants::kUnheardLeast && cluster_.settings.nodes > 1 &&
         leadership_.can_start(now);
}

void Controller::tick(Instant now) {
  if (!leadership_.is_leader()) return;
  if (is_unreachable(now)) return leadership_.yield("no worker reaches it", now);
  cluster_.planner.forget_before(now);
  request_overdue_pass(now);
  cluster_.delegations.forget_before(now);
  ZoneCoordinator zones = zone_coordinator();
  zones.move_services_out();
  if (cluster_.settings.operators.zone_watch) zones.observe_zones(now);
  review_machines(now);
}

void Controller::request_overdue_pass(Instant now) {
  if (now - cycle_.planned_at() < constants::kReplanEvery) return;
  const bool any_pending = std::ranges::any_of(
      cluster_.jobs, [](const auto& entry) { return !entry.second.withdrawn && entry.second.pending() > 0; });
  if (any_pending) cluster_.plan_wanted = true;
}

void Controller::review_machines(Instant now) {
  MachineHousekeeper housekeeper(cluster_, leadership_);
  std::vector<MachineId> vanished;
  for (auto& [id, machine] : cluster_.machines) {
    const MachineHousekeeper::Verdict verdict = housekeeper.review(machine, now);
    if (verdict == MachineHousekeeper::Verdict::vanished) vanished.push_back(id);
    if (verdict != MachineHousekeeper::Verdict::stays) continue;
    if (!housekeeper.is_idle(machine, now)) {
      machine.idle_since.reset();
    } else if (!machine.idle_since) {
      machine.idle_since = now;
    } else if (may_return_idle(machine, now)) {
      machine.state = MachineState::returning;
      machine.why = "it is idle";
    }
  }
  for (const MachineId& id : vanished) cluster_.forget_machine(id);
}

bool Controller::may_return_idle(const Machine& machine, Instant now) const {
  const bool kept = autoscaler_.is_spare(machine.id) || cluster_.pools.keeps(machine.id);
  return cluster_.settings.operators.may_return && !kept && leadership_.can_start(now) &&
         now - *machine.idle_since > autoscaler_.pricing(cluster_).max_idle(machine);
}

}  // namespace foxshunt::control
