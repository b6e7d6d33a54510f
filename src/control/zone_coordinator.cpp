#include "control/zone_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/task_lifecycle.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

// ---- delegations ----

bool ZoneCoordinator::must_stop_tasks(const Machine& machine) const {
  if (machine.has_unknown_tasks && kept(Guard::grant_strangers)) return true;
  return std::ranges::any_of(machine.allocations, [this](const TaskKey& key) {
    const Job& job = cluster_.jobs.at(key.job);
    return (job.cancelled && kept(Guard::grant_withdrawn)) || (job.reload && kept(Guard::grant_reload));
  });
}

// Machines that only the leader may answer. One with tasks of a withdrawn job: its user was told so before the moment up
// to which the leader knows all changes, so that the fence's reckoning does not cover it and only a halt does. One with
// tasks that no record places there, for the same reason. And one that neither this leader nor the holder hears, though
// the holder is heard: it has most likely died, and its tasks need not wait for the grant's end to start elsewhere.
std::vector<MachineId> ZoneCoordinator::delegation_exceptions(const std::string& zone, Instant now) const {
  std::vector<MachineId> except;
  for (const auto& [id, machine] : cluster_.machines) {
    const std::string stands_in = machine.confirmed_zone();
    if (!stands_in.empty() && stands_in != zone) continue;
    if (must_stop_tasks(machine) || (cluster_.machines.is_silent(machine, now) &&
                                     !cluster_.delegations.used_within(zone, id, silence_span(cluster_.settings), now)))
      except.push_back(id);
  }
  return except;
}

std::optional<zone::LeaseDelegation> ZoneCoordinator::on_delegation_request(const zone::DelegationRequest& request,
                                                                            Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  const auto sibling = std::ranges::find(cluster_.settings.siblings, request.node, &config::Sibling::name);
  if (sibling == cluster_.settings.siblings.end()) return std::nullopt;
  const bool older_over = cluster_.delegations.have_older_terms_ended();
  // First what the word tells: a machine that the sibling has answered is not taken for dead.
  if (!cluster_.delegations.apply_request(request, leadership_.term(), now)) return std::nullopt;
  std::vector<MachineId> except;
  std::optional<Instant> known;
  if (cluster_.settings.operators.zone_lease_delegation) {
    except = delegation_exceptions(sibling->zone, now);
    if (except.size() <= constants::kMaxDelegationMachines) known = leadership_.last_confirmed();
  }
  if (!older_over && cluster_.delegations.have_older_terms_ended()) {
    cluster_.older_leaders_until = std::min(cluster_.older_leaders_until, now);
    spdlog::info("every sibling has left older terms");
  }
  return cluster_.delegations.issue_delegation(request.node, leadership_.term(), known, except, now);
}

// ---- zone health ----

std::map<std::string, zone::ZoneObservation> ZoneCoordinator::sight_zones(Instant now) const {
  std::map<std::string, zone::ZoneObservation> seen;
  for (const std::string& name : cluster_.settings.zones) seen[name];
  for (const auto& [unused, machine] : cluster_.machines) {
    if (machine.zone.empty() || machine.state == MachineState::returning || machine.listed.failed) continue;
    zone::ZoneObservation& zone = seen[machine.zone];
    if (machine.has_reported && !machine.expired && !cluster_.machines.is_silent(machine, now)) {
      ++zone.heard;
    } else if (machine.expired) {
      ++zone.ended;
    } else if (machine.has_reported || ((machine.listed.running || !machine.allocations.empty()) &&
                                        cluster_.machines.is_silent(machine, now))) {
      ++zone.silent;
      zone.tasks += machine.allocations.size();
    }
  }
  for (auto& [name, zone] : seen) {
    zone.own = name == cluster_.settings.zone;
    zone.sibling = cluster_.delegations.has_sibling(name);
    zone.sibling_silent = cluster_.delegations.silence_of(name, now);
  }
  return seen;
}

void ZoneCoordinator::observe_zones(Instant now) {
  for (const zone::ZoneChange& change : cluster_.zones.update(sight_zones(now), now)) {
    spdlog::log(change.to == zone::ZoneState::whole || change.to == zone::ZoneState::returning ? spdlog::level::info
                                                                                               : spdlog::level::warn,
                "zone {} is {}, it was {}: {} machines heard, {} silent with {} tasks, {} with ended leases{}",
                change.zone, zone::name_of(change.to), zone::name_of(change.from), change.seen.heard,
                change.seen.silent, change.seen.tasks, change.seen.ended,
                !change.seen.sibling ? ""
                : !change.seen.sibling_silent
                    ? ", its controller was never heard"
                    : ", its controller was heard " + std::to_string(change.seen.sibling_silent->count()) + " ms ago");
    cluster_.plan_wanted = true;
  }
}

// ---- work of zones that are left ----

void ZoneCoordinator::move_services_out() {
  if (cluster_.settings.operators.zones_out.empty()) return;
  Machine* next = nullptr;
  for (auto& [unused, machine] : cluster_.machines) {
    if (machine.allocations.empty() || cluster_.settings.in_service(machine.zone)) continue;
    if (machine.state == MachineState::draining) return;  // one at a time
    const bool only_replicas = std::ranges::all_of(machine.allocations, [this](const TaskKey& key) {
      return cluster_.jobs.at(key.job).spec.kind == wire::JobKind::service;
    });
    if (next == nullptr && machine.state == MachineState::up && only_replicas) next = &machine;
  }
  if (next != nullptr) TaskLifecycle(cluster_, leadership_).drain(*next, "its zone is out of service");
}

}  // namespace foxshunt::control
