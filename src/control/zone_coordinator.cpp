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

// ---- delegations of lease renewal ----

bool ZoneCoordinator::has_tasks_to_stop(const Machine& machine) const {
  if (machine.has_unknown_tasks && kept(Guard::grant_strangers)) return true;
  return std::ranges::any_of(machine.allocations, [this](const TaskKey& key) {
    const Job& job = cluster_.jobs.at(key.job);
    return (job.cancelled && kept(Guard::grant_withdrawn)) || (job.reload && kept(Guard::grant_reload));
  });
}

// Excluded are:
// - machines with tasks of a cancelled job. The user was told of the cancellation before the time up to which the
//   leader knows all changes. The fence does not cover such a task, so only a stop command ends it.
// - machines with tasks that no record places there, for the same reason.
// - machines that neither the leader nor the delegate hears, although the delegate itself is heard. They have most
//   likely failed, and their tasks can start elsewhere without waiting for the end of the delegation.
std::vector<MachineId> ZoneCoordinator::machines_excluded_from_delegation(const std::string& zone, Instant now) const {
  std::vector<MachineId> excluded;
  for (const auto& [id, machine] : cluster_.machines) {
    const std::string machine_zone = machine.confirmed_zone();
    if (!machine_zone.empty() && machine_zone != zone) continue;
    if (has_tasks_to_stop(machine) ||
        (cluster_.machines.is_silent(machine, now) &&
         !cluster_.delegations.used_within(zone, id, heartbeat_silence_timeout(cluster_.settings), now)))
      excluded.push_back(id);
  }
  return excluded;
}

std::optional<zone::LeaseDelegation> ZoneCoordinator::on_delegation_request(const zone::DelegationRequest& request,
                                                                            Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  const auto sibling = std::ranges::find(cluster_.settings.siblings, request.node, &config::Sibling::name);
  if (sibling == cluster_.settings.siblings.end()) return std::nullopt;
  const bool older_terms_had_ended = cluster_.delegations.have_older_terms_ended();
  // The request is processed first: it names the machines that the sibling has answered, which must not be taken for
  // failed.
  if (!cluster_.delegations.apply_request(request, leadership_.term(), now)) return std::nullopt;
  std::vector<MachineId> excluded;
  std::optional<Instant> confirmed_until;
  if (cluster_.settings.operators.zone_lease_delegation) {
    excluded = machines_excluded_from_delegation(sibling->zone, now);
    if (excluded.size() <= constants::kMaxDelegationMachines) confirmed_until = leadership_.last_confirmed();
  }
  if (!older_terms_had_ended && cluster_.delegations.have_older_terms_ended()) {
    cluster_.older_leaders_until = std::min(cluster_.older_leaders_until, now);
    spdlog::info("older_terms_ended reason=\"no other controller can renew leases of an older term\"");
  }
  return cluster_.delegations.issue_delegation(request.node, leadership_.term(), confirmed_until, excluded, now);
}

// ---- zone health ----

ZoneCoordinator::Presence ZoneCoordinator::presence_of(const Machine& machine, Instant now) const {
  if (machine.state == MachineState::returning || machine.listed.failed) return Presence::not_expected;
  // The silence of a machine that the cloud has deleted tells nothing about its zone.
  if (machine.listed.deleted && machine.allocations.empty()) return Presence::not_expected;
  if (machine.expired) return Presence::ended;
  const bool is_silent = cluster_.machines.is_silent(machine, now);
  if (machine.has_reported) return is_silent ? Presence::silent : Presence::heard;
  // A machine that has not reported to this leader may still boot, unless the cloud or a record says that it was up.
  const bool was_up = machine.listed.running || !machine.allocations.empty();
  if (!was_up || !is_silent) return Presence::not_expected;
  return cluster_.is_lease_expired(machine, now) ? Presence::ended : Presence::silent;
}

std::map<std::string, zone::ZoneObservation> ZoneCoordinator::collect_zone_observations(Instant now) const {
  std::map<std::string, zone::ZoneObservation> seen;
  for (const std::string& name : cluster_.settings.zones) seen[name];
  for (const auto& [unused, machine] : cluster_.machines) {
    if (machine.zone.empty()) continue;
    zone::ZoneObservation& zone = seen[machine.zone];
    switch (presence_of(machine, now)) {
      case Presence::not_expected: break;
      case Presence::heard: ++zone.heard; break;
      case Presence::ended: ++zone.ended; break;
      case Presence::silent:
        ++zone.silent;
        zone.tasks += machine.allocations.size();
        break;
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
  for (const zone::ZoneChange& change : cluster_.zone_health.update(collect_zone_observations(now), now)) {
    spdlog::log(change.to == zone::ZoneState::whole || change.to == zone::ZoneState::returning ? spdlog::level::info
                                                                                               : spdlog::level::warn,
                "zone_state_changed zone={} state={} previous={} heard={} silent={} silent_tasks={} expired={}{}",
                change.zone, zone::name_of(change.to), zone::name_of(change.from), change.seen.heard,
                change.seen.silent, change.seen.tasks, change.seen.ended,
                !change.seen.sibling ? ""
                : !change.seen.sibling_silent
                    ? " controller_last_heard=never"
                    : " controller_last_heard=\"" + std::to_string(change.seen.sibling_silent->count()) + " ms ago\"");
    cluster_.needs_planning = true;
  }
}

// ---- zones out of service ----

void ZoneCoordinator::drain_zones_out_of_service() {
  if (cluster_.settings.operators.zones_out.empty()) return;
  Machine* next = nullptr;
  for (auto& [unused, machine] : cluster_.machines) {
    if (machine.allocations.empty() || cluster_.settings.in_service(machine.zone)) continue;
    if (machine.state == MachineState::draining) return;  // one at a time
    const bool only_services = std::ranges::all_of(machine.allocations, [this](const TaskKey& key) {
      return cluster_.jobs.at(key.job).spec.kind == wire::JobKind::service;
    });
    if (next == nullptr && machine.state == MachineState::up && only_services) next = &machine;
  }
  if (next != nullptr) TaskLifecycle(cluster_, leadership_).drain_machine(*next, "its zone is out of service");
}

}  // namespace foxshunt::control
