#include "control/machine_housekeeper.h"

#include <spdlog/spdlog.h>

#include <set>
#include <vector>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::control {

void MachineHousekeeper::review_machines(Instant now) {
  std::vector<MachineId> deleted;
  for (auto& [id, machine] : cluster_.machines) {
    const ReviewResult result = review(machine, now);
    if (result == ReviewResult::deleted) deleted.push_back(id);
    if (result == ReviewResult::active) review_idle(machine, now);
  }
  for (const MachineId& id : deleted) {
    const Machine& machine = cluster_.machines.at(id);
    spdlog::info("machine_forgotten machine={} zone={} reason=\"never heard, and not listed any more\"", id.text(),
                 machine.zone);
    cluster_.forget_machine(id);
  }
}

MachineHousekeeper::ReviewResult MachineHousekeeper::review(Machine& machine, Instant now) {
  expire_lease(machine, now);
  expire_tasks_of_unreported_machine(machine, now);
  if (!machine.allocations.empty()) return ReviewResult::active;
  const bool zone_awaited = is_zone_return_awaited(machine, now);
  if (machine.state == MachineState::booting && is_boot_lost(machine, now) && !zone_awaited) {
    machine.state = MachineState::returning;
    machine.release_reason = "boot timed out";
    return ReviewResult::returning;
  }
  if (machine.state == MachineState::draining) {
    machine.state = MachineState::returning;
    return ReviewResult::returning;
  }
  // A machine whose lease has expired is returned only two lease times after its last heartbeat.
  if (machine.expired && !zone_awaited && now - machine.last_heartbeat > agent_lease_timeout(cluster_.settings) * 2) {
    machine.state = MachineState::returning;
    if (machine.release_reason.empty()) machine.release_reason = "no heartbeats received";
    return ReviewResult::returning;
  }
  return is_deleted(machine, now) ? ReviewResult::deleted : ReviewResult::active;
}

void MachineHousekeeper::expire_lease(Machine& machine, Instant now) {
  // is_lease_expired() implies that no controller can have renewed the lease.
  if (machine.expired || machine.state == MachineState::booting || !cluster_.is_lease_expired(machine, now)) return;
  machine.expired = true;
  const std::set<TaskKey> tasks = machine.allocations.copy();
  if (!tasks.empty() || machine.has_reported) {
    // The loss of a whole zone is logged once for the zone, so its machines are only logged at debug level.
    const bool log_each = cluster_.zone_health.state_of(machine.zone) != zone::ZoneState::cut;
    spdlog::log(log_each ? spdlog::level::info : spdlog::level::debug, "machine_lease_expired machine={} tasks={}",
                machine.id.text(), tasks.size());
  }
  for (const TaskKey& key : tasks) tasks_.mark_task_lost(key, "the agent lease expired", now);
}

void MachineHousekeeper::expire_tasks_of_unreported_machine(Machine& machine, Instant now) {
  // The tasks count as running until the lease has certainly expired.
  if (machine.state != MachineState::booting || machine.allocations.empty() || !cluster_.is_lease_expired(machine, now))
    return;
  const std::set<TaskKey> tasks = machine.allocations.copy();
  for (const TaskKey& key : tasks) {
    Job& job = cluster_.jobs.at(key.job);
    tasks_.confirm_terminated(job, key.index, "the machine has never reported", now);
    tasks_.end_gang_attempt(job);
  }
}

bool MachineHousekeeper::is_boot_lost(const Machine& machine, Instant now) const {
  // A new leader may learn of a running machine from the cloud's list before the agent's first heartbeat. Such a
  // machine must not count as a lost boot, so agents get time to find the new leader.
  const Millis boot = cluster_.boot_duration(machine.type);
  const Millis lease_time = agent_lease_timeout(cluster_.settings);
  const Millis known_for = now - machine.first_seen;
  if (machine.listed.running || machine.peer_hint == inventory::PeerHint::up) return known_for > lease_time * 2 + boot;
  const bool type_known = cluster_.find_machine_type(machine.type) != nullptr;
  return type_known && known_for > lease_time && now - machine.since > boot * constants::kBootLostFactor;
}

bool MachineHousekeeper::is_deleted(const Machine& machine, Instant now) const {
  if (machine.has_reported || machine.state == MachineState::returning) return false;
  if (machine.listed.deleted) return true;
  // A machine without a known type was only named by a record, one with a hinted state only by a standby controller's
  // hint. If it neither reports nor is listed, it does not exist any more: it may have been returned since.
  const Millis unlisted_timeout =
      from_seconds(cluster_.settings.cloud_list_delay_s * 3) + constants::kCloudListInterval * 4;
  const bool only_hinted = machine.type.empty() || machine.peer_hint != inventory::PeerHint::none;
  return only_hinted && now - machine.listed.last > unlisted_timeout;
}

bool MachineHousekeeper::is_zone_return_awaited(const Machine& machine, Instant now) const {
  return cluster_.settings.operators.zone_watch && !machine.listed.deleted &&
         cluster_.zone_health.retains_silent_machines(machine.zone, now);
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
  const bool reserved = autoscaler_.is_spare(machine.id) || cluster_.pools.keeps(machine.id);
  return cluster_.settings.operators.can_scale_in && !reserved && leadership_.can_modify_cluster(now) &&
         idle > autoscaler_.pricing(cluster_).max_idle_time(machine);
}

bool MachineHousekeeper::is_idle(const Machine& machine, Instant now) const {
  // A machine with a booking for a waiting task is not idle.
  if (!machine.allocations.empty() || has_bookings(machine) || machine.state != MachineState::up) return false;
  // A silent machine of a zone that is expected back will most likely be needed when the zone returns.
  return !(is_zone_return_awaited(machine, now) && cluster_.machines.is_silent(machine, now));
}

}  // namespace foxshunt::control
