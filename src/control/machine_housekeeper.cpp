#include "control/machine_housekeeper.h"

#include <spdlog/spdlog.h>

#include <set>
#include <vector>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::control {

void MachineHousekeeper::review_machines(Instant now) {
  std::vector<MachineId> vanished;
  for (auto& [id, machine] : cluster_.machines) {
    const Verdict verdict = review(machine, now);
    if (verdict == Verdict::vanished) vanished.push_back(id);
    if (verdict == Verdict::stays) review_idle(machine, now);
  }
  for (const MachineId& id : vanished) cluster_.forget_machine(id);
}

MachineHousekeeper::Verdict MachineHousekeeper::review(Machine& machine, Instant now) {
  expire_lease(machine, now);
  give_up_unheard_tasks(machine, now);
  if (!machine.allocations.empty()) return Verdict::stays;
  const bool awaited = is_zone_awaited(machine, now);
  if (machine.state == MachineState::booting && is_boot_lost(machine, now) && !awaited) {
    machine.state = MachineState::returning;
    machine.release_reason = "it did not come up";
    return Verdict::returning;
  }
  if (machine.state == MachineState::draining) {
    machine.state = MachineState::returning;
    return Verdict::returning;
  }
  // Dead machines stay listed for a while.
  if (machine.expired && !awaited && now - machine.last_heartbeat > lease_span(cluster_.settings) * 2) {
    machine.state = MachineState::returning;
    if (machine.release_reason.empty()) machine.release_reason = "it is silent";
    return Verdict::returning;
  }
  return has_vanished(machine, now) ? Verdict::vanished : Verdict::stays;
}

void MachineHousekeeper::expire_lease(Machine& machine, Instant now) {
  // Nobody can have renewed its lease since.
  if (machine.expired || machine.state == MachineState::booting || !cluster_.is_lease_expired(machine, now)) return;
  machine.expired = true;
  const std::set<TaskKey> runs = machine.allocations.copy();
  if (!runs.empty() || machine.has_reported) {
    // Of a zone that is gone one line tells, not hundreds.
    const bool alone = cluster_.zones.state_of(machine.zone) != zone::ZoneState::cut;
    spdlog::log(alone ? spdlog::level::info : spdlog::level::debug,
                "machine {} is silent, its lease has ended with {} tasks", machine.id.text(), runs.size());
  }
  for (const TaskKey& key : runs) tasks_.lose_task(key, "the machine's lease ended", now);
}

void MachineHousekeeper::give_up_unheard_tasks(Machine& machine, Instant now) {
  // They count until the lease can't have been renewed.
  if (machine.state != MachineState::booting || machine.allocations.empty() || !cluster_.is_lease_expired(machine, now))
    return;
  const std::set<TaskKey> runs = machine.allocations.copy();
  for (const TaskKey& key : runs) {
    Job& job = cluster_.jobs.at(key.job);
    tasks_.confirm_terminated(job, key.index, "no leader has heard of its machine", now);
    tasks_.end_gang_attempt(job);
  }
}

bool MachineHousekeeper::is_boot_lost(const Machine& machine, Instant now) const {
  // A new leader hears of machines by the list before their agents send it heartbeats: those that are up must not be taken for
  // lost boots. They have the time in which an agent finds its leader.
  const Millis boot = cluster_.boot_time(machine.type);
  const Millis lease = lease_span(cluster_.settings);
  const Millis known = now - machine.first_seen;
  if (machine.listed.running || machine.peer_hint == inventory::PeerHint::up) return known > lease * 2 + boot;
  const bool type_known = cluster_.type(machine.type) != nullptr;
  return type_known && known > lease && now - machine.since > boot * constants::kBootLostFactor;
}

bool MachineHousekeeper::has_vanished(const Machine& machine, Instant now) const {
  // One that is neither heard nor listed no longer exists. The same of one that only a standby's word tells of: it may have
  // been returned since.
  const Millis unlisted = from_seconds(cluster_.settings.cloud_list_delay_s * 3) + constants::kCloudListInterval * 4;
  const bool hearsay = machine.type.empty() || machine.peer_hint != inventory::PeerHint::none;
  return !machine.has_reported && hearsay && now - machine.listed.last > unlisted;
}

bool MachineHousekeeper::is_zone_awaited(const Machine& machine, Instant now) const {
  return cluster_.settings.operators.zone_watch && cluster_.zones.retains_silent_machines(machine.zone, now);
}

void MachineHousekeeper::review_idle(Machine& machine, Instant now) {
  if (!is_idle(machine, now)) {
    machine.idle_since.reset();
  } else if (!machine.idle_since) {
    machine.idle_since = now;
  } else if (can_scale_in(machine, now - *machine.idle_since, now)) {
    machine.state = MachineState::returning;
    machine.release_reason = "it is idle";
  }
}

bool MachineHousekeeper::can_scale_in(const Machine& machine, Millis idle, Instant now) const {
  const bool kept = autoscaler_.is_spare(machine.id) || cluster_.pools.keeps(machine.id);
  return cluster_.settings.operators.can_scale_in && !kept && leadership_.can_start(now) &&
         idle > autoscaler_.pricing(cluster_).max_idle(machine);
}

bool MachineHousekeeper::is_idle(const Machine& machine, Instant now) const {
  // One that a waiting task is booked on is not idle.
  if (!machine.allocations.empty() || has_bookings(machine) || machine.state != MachineState::up) return false;
  // A silent one of a zone that is waited for is wanted when it is back, most likely.
  return !(is_zone_awaited(machine, now) && cluster_.machines.is_silent(machine, now));
}

}  // namespace foxshunt::control
