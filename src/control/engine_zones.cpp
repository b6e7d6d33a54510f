// Zones: what siblings are granted, which zones are there, and what would have to run elsewhere.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

// ---- grants ----

// Machines that only the leader may answer. One with tasks of a withdrawn job: its user was told so before the moment up
// to which the leader knows all changes, so that the fence's reckoning does not cover it and only a halt does. One with
// tasks that no record places there, for the same reason. And one that neither this leader nor the holder hears, though
// the holder is heard: it has most likely died, and its tasks need not wait for the grant's end to start elsewhere.
std::vector<MachineId> Engine::not_granted(const std::string& zone, Instant now) const {
  std::vector<MachineId> except;
  for (const auto& [id, machine] : cluster_.machines) {
    const std::string stands_in = machine.seen_zone();
    if (!stands_in.empty() && stands_in != zone) continue;
    const bool halting =
        (machine.strangers && kept(Guard::grant_strangers)) ||
        std::ranges::any_of(machine.runs, [this](const TaskKey& key) {
          const Job& job = cluster_.jobs.at(key.job);
          return (job.withdrawn && kept(Guard::grant_withdrawn)) || (job.reload && kept(Guard::grant_reload));
        });
    if (halting || (cluster_.machines.silent(machine, now) &&
                    !cluster_.delegations.used_within(zone, id, silence_span(cluster_.settings), now)))
      except.push_back(id);
  }
  return except;
}

std::optional<zone::Grant> Engine::on_ask(const zone::Ask& ask, Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  const auto sibling = std::ranges::find(cluster_.settings.siblings, ask.node, &config::Sibling::name);
  if (sibling == cluster_.settings.siblings.end()) return std::nullopt;
  const bool older_over = cluster_.delegations.older_terms_over();
  // First what the word tells: a machine that the sibling has answered is not taken for dead.
  if (!cluster_.delegations.hear(ask, leadership_.term(), now)) return std::nullopt;
  std::vector<MachineId> except;
  std::optional<Instant> known;
  if (cluster_.settings.operators.zone_grants) {
    except = not_granted(sibling->zone, now);
    if (except.size() <= constants::kGrantMachinesMost) known = leadership_.last_confirmed();
  }
  if (!older_over && cluster_.delegations.older_terms_over()) {
    cluster_.older_leaders_until = std::min(cluster_.older_leaders_until, now);
    spdlog::info("every sibling has left older terms");
  }
  return cluster_.delegations.give(ask.node, leadership_.term(), known, except, now);
}

// ---- view ----

void Engine::look_at_zones(Instant now) {
  std::map<std::string, zone::Sighting> seen;
  for (const std::string& name : cluster_.settings.zones) seen[name];
  for (const auto& [unused, machine] : cluster_.machines) {
    if (machine.zone.empty() || machine.state == MachineState::returning || machine.listed.failed) continue;
    zone::Sighting& zone = seen[machine.zone];
    if (machine.reported && !machine.expired && !cluster_.machines.silent(machine, now)) {
      ++zone.heard;
    } else if (machine.expired) {
      ++zone.ended;
    } else if (machine.reported ||
               ((machine.listed.running || !machine.runs.empty()) && cluster_.machines.silent(machine, now))) {
      ++zone.silent;
      zone.tasks += machine.runs.size();
    }
  }
  for (auto& [name, zone] : seen) {
    zone.own = name == cluster_.settings.zone;
    zone.sibling = cluster_.delegations.has_sibling(name);
    zone.sibling_silent = cluster_.delegations.silent_for(name, now);
  }
  for (const zone::Change& change : cluster_.zones.look(seen, now)) {
    spdlog::log(change.to == zone::State::whole || change.to == zone::State::returning ? spdlog::level::info
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

void Engine::move_replicas(Instant now) {
  if (cluster_.settings.operators.zones_out.empty()) return;
  Machine* next = nullptr;
  for (auto& [unused, machine] : cluster_.machines) {
    if (machine.runs.empty() || cluster_.settings.in_service(machine.zone)) continue;
    if (machine.state == MachineState::draining) return;  // one at a time
    const bool only_replicas = std::ranges::all_of(machine.runs, [this](const TaskKey& key) {
      return cluster_.jobs.at(key.job).spec.kind == wire::JobKind::service;
    });
    if (next == nullptr && machine.state == MachineState::up && only_replicas) next = &machine;
  }
  if (next != nullptr) drain(*next, "its zone is out of service", now);
}

}  // namespace foxshunt::control
