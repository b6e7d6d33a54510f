// Machines: known, up, drained, returned, lost; and what the cloud says of them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

void Engine::drain(Machine& machine, const std::string& why, Instant now) {
  if (machine.state == MachineState::draining || machine.state == MachineState::returning) return;
  spdlog::info("machine {} is drained: {}", machine.id.text(), why);
  machine.state = MachineState::draining;
  machine.why = why;
  const std::set<TaskKey> runs = machine.runs.copy();
  for (const TaskKey& key : runs) {
    Job& job = cluster_.jobs.at(key.job);
    const double grace_s = save_grace(job);
    if (job.spec.kind == wire::JobKind::gang) {
      // An orderly stop has to reach all tasks of the gang.
      for (Part& part : job.parts) {
        for (auto& [index, unused] : part.runs) halt(job, index, grace_s);
      }
    } else {
      halt(job, key.index, grace_s);
    }
  }
  (void)now;
  cluster_.plan_wanted = true;
}

void Engine::on_types(const std::vector<wire::MachineType>& types) {
  cluster_.types = types;
  for (auto& [unused, machine] : cluster_.machines) {
    cluster_.refresh_plan_machine(machine);
    cluster_.know_cache(machine);
  }
  cluster_.plan_wanted = true;
}

void Engine::on_machine_list(const std::vector<wire::ListedMachine>& listed, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const wire::ListedMachine& entry : listed) {
    const wire::MachineType* kind = cluster_.type(entry.type);
    const auto known = cluster_.machines.list(entry, from_seconds(kind == nullptr ? 0 : kind->boot_s), now);
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

std::optional<wire::RentRequest> Engine::next_rental(Instant now) {
  if (!leadership_.can_start(now)) return std::nullopt;
  return autoscaler_.next_rental(cluster_, leadership_.term(), now);
}

void Engine::on_rented(const wire::RentRequest& request, const std::vector<MachineId>& rented, Instant now) {
  if (leadership_.is_leader()) autoscaler_.on_rented(cluster_, request, rented, now);
}

void Engine::on_rent_refused(const wire::RentRequest& request, Instant now) {
  autoscaler_.on_rent_refused(cluster_, request, now);
}

bool Engine::cloud_wanted() const { return autoscaler_.cloud_wanted(cluster_); }

std::vector<MachineId> Engine::next_returns(Instant now) {
  return leadership_.can_start(now) ? Autoscaler::next_returns(cluster_) : std::vector<MachineId>();
}

void Engine::on_returned(const std::vector<MachineId>& names, Instant now) {
  if (!leadership_.is_leader()) return;
  for (const MachineId& id : names) {
    const auto entry = cluster_.machines.find(id);
    if (entry == cluster_.machines.end()) continue;
    spdlog::info("machine {} is returned: {}", id.text(), entry->second.why);
    cluster_.machines.on_returned(id);
    const std::set<TaskKey> runs = entry->second.runs.copy();
    for (const TaskKey& key : runs) {
      Job& job = cluster_.jobs.at(key.job);
      const bool had_run = cluster_.jobs.find_run(key)->running_since.has_value();
      prove_gone(job, key.index, "its machine was returned", now);
      lost_from_gang(job, had_run, now);
    }
    cluster_.forget_machine(id);
  }
}

// No worker reaches this node, and no sibling passes reports on: their leases end soon, whoever leads. Another node may
// hear them. Only while the state service answers, without which nobody could take the lead.
bool Engine::unheard(Instant now) const {
  return cluster_.machines.unheard(now) >= constants::kUnheardLeast && cluster_.settings.nodes > 1 &&
         leadership_.can_start(now);
}

void Engine::tick(Instant now) {
  if (!leadership_.is_leader()) return;
  if (unheard(now)) {
    leadership_.yield("no worker reaches it", now);
    return;
  }
  cluster_.planner.forget_before(now);
  // What waits for the end of a pause, its own or the cloud's, is not woken by any event.
  if (now - cycle_.planned_at() >= constants::kReplanEvery && std::ranges::any_of(cluster_.jobs, [](const auto& entry) {
        return !entry.second.withdrawn && entry.second.pending() > 0;
      })) {
    cluster_.plan_wanted = true;
  }
  cluster_.delegations.forget_before(now);
  move_replicas(now);
  if (cluster_.settings.operators.zone_watch) look_at_zones(now);
  std::vector<MachineId> forgotten;
  for (auto& [id, machine] : cluster_.machines) {
    const wire::MachineType* kind = cluster_.type(machine.type);
    // Expiry: nobody can have renewed its lease since.
    if (!machine.expired && machine.state != MachineState::booting && cluster_.lease_over(machine, now)) {
      machine.expired = true;
      const std::set<TaskKey> runs = machine.runs.copy();
      if (!runs.empty() || machine.reported) {
        // Of a zone that is gone one line tells, not hundreds.
        const bool alone = cluster_.zones.of(machine.zone) != zone::State::cut;
        spdlog::log(alone ? spdlog::level::info : spdlog::level::debug,
                    "machine {} is silent, its lease has ended with {} tasks", id.text(), runs.size());
      }
      for (const TaskKey& key : runs) {
        Job& job = cluster_.jobs.at(key.job);
        const bool had_run = cluster_.jobs.find_run(key)->running_since.has_value();
        prove_gone(job, key.index, "the machine's lease ended", now);
        lost_from_gang(job, had_run, now);
      }
    }
    // A machine of a record that never reported: its tasks count until its lease can't have been renewed.
    if (machine.state == MachineState::booting && !machine.runs.empty() && cluster_.lease_over(machine, now)) {
      const std::set<TaskKey> runs = machine.runs.copy();
      for (const TaskKey& key : runs) {
        Job& job = cluster_.jobs.at(key.job);
        prove_gone(job, key.index, "no leader has heard of its machine", now);
        if (job.spec.kind == wire::JobKind::gang) end_gang(job, now);
      }
    }
    const bool idle = machine.runs.empty();
    // A new leader hears of machines by the list before their workers report to it: those that are up must not
    // be taken for lost boots. They have the time in which a worker finds its leader.
    const Millis boot = from_seconds(kind == nullptr ? 0 : kind->boot_s);
    const Millis known = now - machine.known;
    const bool boot_lost = machine.listed.running || machine.hinted == inventory::Hinted::up
                               ? known > lease_span(cluster_.settings) * 2 + boot
                               : kind != nullptr && known > lease_span(cluster_.settings) &&
                                     now - machine.since > boot * constants::kBootLost;
    const bool kept = cluster_.settings.operators.zone_watch && cluster_.zones.keeps(machine.zone, now);
    if (machine.state == MachineState::booting && idle && boot_lost && !kept) {
      machine.state = MachineState::returning;
      machine.why = "it did not come up";
      continue;
    }
    if (machine.state == MachineState::draining && idle) {
      machine.state = MachineState::returning;
      continue;
    }
    // Dead machines stay listed for a while; one that is neither heard nor listed no longer exists.
    const Millis unlisted = from_seconds(cluster_.settings.cloud_list_lag_s * 3) + constants::kListEvery * 4;
    if (idle && machine.expired && !kept && now - machine.last_report > lease_span(cluster_.settings) * 2) {
      machine.state = MachineState::returning;
      if (machine.why.empty()) machine.why = "it is silent";
      continue;
    }
    // The same of one that only a sibling's word tells of: it may have been returned since.
    const bool hearsay = machine.type.empty() || machine.hinted != inventory::Hinted::no;
    if (idle && !machine.reported && hearsay && now - machine.listed.last > unlisted) {
      forgotten.push_back(id);
      continue;
    }
    // Idle machines cost; one that a waiting task is booked on is not idle.
    const bool booked = machine.planned != nullptr && !machine.planned->use.of(0).slots().empty();
    // A silent one of a zone that is waited for is wanted when it is back, most likely.
    if (!idle || booked || machine.state != MachineState::up || (kept && cluster_.machines.silent(machine, now))) {
      machine.idle_since.reset();
    } else if (!machine.idle_since) {
      machine.idle_since = now;
    } else if (cluster_.settings.operators.may_return && !autoscaler_.is_spare(id) && !cluster_.pools.keeps(id) &&
               leadership_.can_start(now) &&
               now - *machine.idle_since > autoscaler_.pricing(cluster_).idle_most(machine)) {
      machine.state = MachineState::returning;
      machine.why = "it is idle";
    }
  }
  for (const MachineId& id : forgotten) cluster_.forget_machine(id);
}

}  // namespace foxshunt::control
