#include "inventory/machine_inventory.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::inventory {

using guards::Guard;
using guards::kept;

void SentStarts::add(const TaskKey& task, AttemptNumber attempt, Instant now) {
  repeated_until_[{task, attempt}] = now + constants::kAnswerCopyLifetime;
}

bool SentStarts::may_be_repeated(const TaskKey& task, AttemptNumber attempt, Instant now) const {
  const auto sent = repeated_until_.find({task, attempt});
  return sent != repeated_until_.end() && now <= sent->second;
}

void SentStarts::drop_expired(Instant now) {
  std::erase_if(repeated_until_, [now](const auto& sent) { return now > sent.second; });
}

MachineInventory::FindOrAddResult MachineInventory::find_or_add(const MachineId& id, Instant now) {
  const auto [entry, is_new] = machines_.try_emplace(id);
  Machine& machine = entry->second;
  if (is_new) {
    machine.id = id;
    machine.since = now;
    machine.first_seen = now;
    machine.ready = now;
    machine.listed.last = now;
    machine.listed.created_by = now;
  }
  return {.machine = machine, .is_new = is_new};
}

bool MachineInventory::should_accept(const wire::Heartbeat& heartbeat) const {
  if (returned_ids_.contains(heartbeat.machine) && kept(Guard::report_returned)) return false;
  const auto known = machines_.find(heartbeat.machine);
  if (known == machines_.end() || !known->second.has_reported || !kept(Guard::report_order)) return true;
  return std::tie(heartbeat.incarnation, heartbeat.sequence) >
         std::tie(known->second.incarnation, known->second.sequence);
}

bool MachineInventory::is_latest(const wire::Heartbeat& heartbeat) const {
  const auto known = machines_.find(heartbeat.machine);
  return known != machines_.end() && std::tie(heartbeat.incarnation, heartbeat.sequence) ==
                                         std::tie(known->second.incarnation, known->second.sequence);
}

bool MachineInventory::apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, Term term, Instant now) {
  const bool was_booting = machine.state == MachineState::booting;
  if (!machine.has_reported || was_booting || machine.type.empty()) {
    machine.address = heartbeat.address;
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    if (was_booting) {
      machine.state = MachineState::up;
      spdlog::info("machine_up machine={} type={} zone={} spot={} boot_s={:.1f}", machine.id.text(), machine.type,
                   machine.zone, machine.spot, std::chrono::duration<double>(now - machine.since).count());
    }
    machine.ready = now;
  }
  machine.has_reported = true;
  machine.peer_hint = PeerHint::none;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.last_heartbeat = now;
  machine.has_seen_term = heartbeat.term == term;
  machine.listed.deleted = false;
  machine.expired = false;
  return was_booting;
}

std::optional<MachineInventory::FindOrAddResult> MachineInventory::apply_listing(const wire::ListedMachine& entry,
                                                                                 Millis boot, Instant now) {
  if (returned_ids_.contains(entry.id)) return std::nullopt;
  const FindOrAddResult known = find_or_add(entry.id, now);
  Machine& machine = known.machine;
  machine.listed.running = entry.state == wire::ListedState::running;
  machine.listed.deleted = false;
  machine.listed.last = now;
  // The age is as of the time that the list describes, which is not later than now.
  const Instant created_by = now - std::chrono::floor<Millis>(std::chrono::duration<double>(entry.age_s));
  machine.listed.created_by = std::min(machine.listed.created_by, created_by);
  if (machine.type.empty() || machine.peer_hint != PeerHint::none) {
    machine.peer_hint = PeerHint::none;
    machine.type = entry.type;
    machine.zone = entry.zone;
    machine.spot = entry.spot;
  }
  if (machine.address.empty()) machine.address = entry.address;
  if (known.is_new) {
    machine.since = now - std::chrono::ceil<Millis>(std::chrono::duration<double>(entry.age_s));
    machine.ready = std::max(now, machine.since + boot);
    spdlog::info("machine_listed machine={} type={} zone={} spot={}", entry.id.text(), entry.type, entry.zone,
                 entry.spot);
  }
  return known;
}

void MachineInventory::mark_deleted(const std::vector<wire::ListedMachine>& listing, Instant as_of) {
  std::set<MachineId> listed;
  for (const wire::ListedMachine& entry : listing) listed.insert(entry.id);
  for (auto& [id, machine] : machines_) {
    if (machine.listed.created_by < as_of && !listed.contains(id)) machine.listed.deleted = true;
  }
}

bool MachineInventory::remove(const MachineId& id) {
  const auto known = machines_.find(id);
  if (known == machines_.end()) return true;
  // Tasks whose termination is not confirmed may still run there, and their allocations refer to the machine's entry.
  if (!known->second.allocations.empty()) {
    spdlog::error("machine_kept machine={} allocations={}", id.text(), known->second.allocations.size());
    return false;
  }
  machines_.erase(known);
  return true;
}

bool MachineInventory::is_silent(const Machine& machine, Instant now) const {
  if (machine.has_reported) return now - machine.last_heartbeat >= timeouts_.silence;
  // Until `reroute` has passed, its worker may still be looking for this leader.
  return now - machine.first_seen > timeouts_.reroute;
}

bool MachineInventory::can_accept_tasks(const Machine& machine, Instant now) const {
  return machine.state == MachineState::up && machine.has_reported &&
         (!machine.has_unknown_tasks || !kept(Guard::stranger_unusable)) &&
         (!machine.expired || !kept(Guard::expired_unusable)) && !is_silent(machine, now);
}

Instant MachineInventory::lease_end(const Machine& machine, Instant older_leaders_until,
                                    Instant delegated_until) const {
  // Any leader whose answer the worker accepts may renew its lease. Once the worker has seen this leader's term, that
  // is this leader alone. Before that, leaders of earlier terms may renew it too, until their fencing timeout.
  Instant renewed = machine.has_reported && kept(Guard::lease_last_report) ? machine.last_heartbeat : Instant{};
  if (!machine.has_seen_term && kept(Guard::lease_older_leaders)) renewed = std::max(renewed, older_leaders_until);
  // In this leader's term the holder of a grant for the machine's zone may renew it as well.
  if (kept(Guard::lease_grants)) renewed = std::max(renewed, delegated_until);
  return renewed + timeouts_.lease;
}

bool MachineInventory::is_lease_expired(const Machine& machine, Instant older_leaders_until, Instant delegated_until,
                                        Instant now) const {
  return (!machine.has_reported || now > machine.last_heartbeat + timeouts_.lease || !kept(Guard::lease_last_report)) &&
         now > lease_end(machine, older_leaders_until, delegated_until);
}

std::size_t MachineInventory::count_if_all_unheard(Instant now) const {
  std::size_t unheard = 0;
  for (const auto& [unused, machine] : machines_) {
    if (!machine.has_reported || machine.expired) continue;
    if (now - machine.last_heartbeat <= timeouts_.reroute) return 0;
    ++unheard;
  }
  return unheard;
}

std::map<MachineKind, std::size_t> MachineInventory::count_by_kind() const {
  std::map<MachineKind, std::size_t> counts;
  for (const auto& [unused, machine] : machines_) {
    if (!machine.listed.failed) ++counts[{machine.type, machine.zone, machine.spot}];
  }
  return counts;
}

}  // namespace foxshunt::inventory
