// The troubles of the emulated world.
#include "standins/world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::standins {

using control::from_seconds;

namespace {

constexpr double kLateWriteLeast = 2;   // s
constexpr double kLateWriteMost = 12;   // s
constexpr double kLateReportLeast = 2;  // s
constexpr double kLateReportLeases = 2.5;
constexpr double kLateCommandLeast = 2;  // s
constexpr double kLateCommandMost = 16;  // s
constexpr double kSlowStateLeast = 0.1;  // s, of a call and its answer together
constexpr double kSlowStateMost = 2.4;   // s; the longest are given up by the caller
constexpr double kSlowLinkLeast = 0.1;   // s, one way between a controller and a worker
constexpr double kSlowLinkMost = 2.5;    // s; a worker gives up after 4 s there and back
constexpr double kCancelsWithin = 0.2;   // s
constexpr std::size_t kHangingMost = 8;  // machines

}  // namespace

void World::crash(std::size_t node, double for_s) {
  trouble(for_s);
  Node& self = nodes_[node];
  if (!self.alive) return;
  self.alive = false;
  ++self.life;
  after(from_seconds(for_s), [this, node] {
    Node fresh;
    fresh.life = nodes_[node].life + 1;
    fresh.cut_from_state = nodes_[node].cut_from_state;
    fresh.state_holds = nodes_[node].state_holds;
    fresh.cut_from_workers = nodes_[node].cut_from_workers;
    fresh.refused_from = nodes_[node].refused_from;
    fresh.refused_until = nodes_[node].refused_until;
    fresh.alone_until = nodes_[node].alone_until;
    fresh.drift = nodes_[node].drift;
    nodes_[node] = std::move(fresh);
    begin_life(node);
    duties(node, nodes_[node].life);
  });
}

void World::state_outage(double for_s) {
  trouble(for_s);
  state_out_ = true;
  after(from_seconds(for_s), [this] {
    state_out_ = false;
    store_.renew_all(now_);
  });
}

void World::cloud_outage(double for_s) {
  trouble(for_s);
  cloud_out_ = true;
  after(from_seconds(for_s), [this] { cloud_out_ = false; });
}

void World::cut_node_from_state(std::size_t node, double for_s, bool hold) {
  trouble(for_s);
  nodes_[node].cut_from_state = true;
  nodes_[node].state_holds = hold;
  after(from_seconds(for_s), [this, node] { nodes_[node].cut_from_state = false; });
}

void World::cut_node_from_workers(std::size_t node, double for_s) {
  trouble(for_s);
  nodes_[node].cut_from_workers = true;
  after(from_seconds(for_s), [this, node] { nodes_[node].cut_from_workers = false; });
}

void World::cut_siblings(double for_s) {
  trouble(for_s);
  siblings_cut_ = true;
  after(from_seconds(for_s), [this] { siblings_cut_ = false; });
}

void World::cut_zone(const std::string& zone, double for_s, bool hold) {
  trouble(for_s);
  cut_zones_[zone] = hold;
  after(from_seconds(for_s), [this, zone] { cut_zones_.erase(zone); });
}

void World::lose_zone(const std::string& zone, double for_s) {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (nodes_[node].zone == zone) crash(node, for_s);
  }
  for (const MachineId& id : machine_names()) {
    if (machines_.at(id).zone == zone) die(id);
  }
}

void World::cut_worker(const MachineId& id, double for_s, bool hold) {
  trouble(for_s);
  machines_.at(id).cut = true;
  machines_.at(id).holds = hold;
  after(from_seconds(for_s), [this, id] { machines_.at(id).cut = false; });
}

void World::hang(const MachineId& id, double for_s) {
  trouble(for_s);
  if (!machines_.at(id).worker) return;
  machines_.at(id).worker->hung = true;
  after(from_seconds(for_s), [this, id] { machines_.at(id).worker->hung = false; });
}

void World::die(const MachineId& id) {
  trouble(0);
  Rented& machine = machines_.at(id);
  if (machine.gone || !machine.worker) return;
  machine.worker->kill(time_of(machine));
  machine.failed = true;
}

void World::notice(const MachineId& id, double notice_s) {
  trouble(notice_s);
  Rented& machine = machines_.at(id);
  if (machine.gone || !machine.worker) return;
  machine.worker->taken_at = time_of(machine) + from_seconds(notice_s);
  machine.next_heartbeat = now_;
  after(from_seconds(notice_s), [this, id] {
    Rented& taken = machines_.at(id);
    if (taken.gone) return;
    taken.gone = now_;
    taken.worker->kill(time_of(taken));
  });
}

void World::make_faulty(const MachineId& id) {
  trouble(0);
  if (machines_.at(id).worker) machines_.at(id).worker->faulty = true;
}

bool World::lucky(double share) { return between(0, 1) < share; }

double World::between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(troubles_luck_);
}

std::size_t World::struck(const std::string& trouble) const {
  const auto found = struck_.find(trouble);
  return found == struck_.end() ? 0 : found->second;
}

void World::refuse_state(std::size_t node, double for_s) {
  trouble(for_s);
  Node& self = nodes_[node];
  if (!refused(node)) self.refused_from = now_;
  self.refused_until = std::max(self.refused_until, now_ + from_seconds(for_s));
}

void World::late_writes(double share, double for_s, bool at_once) {
  trouble(for_s + (at_once ? 0 : kLateWriteMost));
  late_writes_ = {.share = share, .until = now_ + from_seconds(for_s), .at_once = at_once};
}

void World::late_commands(double share, double for_s) {
  trouble(for_s + kLateCommandMost);
  late_commands_ = {.share = share, .until = now_ + from_seconds(for_s)};
}

std::optional<Millis> World::late_command() {
  if (now_ >= late_commands_.until || !lucky(late_commands_.share)) return std::nullopt;
  ++struck_["late_commands"];
  return from_seconds(between(kLateCommandLeast, kLateCommandMost));
}

void World::slow_state(double for_s) {
  trouble(for_s + control::to_seconds(constants::kStoreCallTimeout));
  slow_state_until_ = std::max(slow_state_until_, now_ + from_seconds(for_s));
}

Millis World::slow_state() {
  if (now_ >= slow_state_until_) return Millis(0);
  ++struck_["slow_state"];
  return from_seconds(between(kSlowStateLeast, kSlowStateMost));
}

void World::slow_links(double for_s) {
  trouble(for_s + kSlowLinkMost);
  slow_links_until_ = std::max(slow_links_until_, now_ + from_seconds(for_s));
}

Millis World::slow_link() {
  if (now_ >= slow_links_until_) return Millis(0);
  ++struck_["slow_links"];
  return from_seconds(between(kSlowLinkLeast, kSlowLinkMost));
}

World::Fate World::fate() {
  if (now_ >= late_writes_.until || !lucky(late_writes_.share)) return Fate::answered;
  ++struck_["late_writes"];
  return late_writes_.at_once ? Fate::unanswered : Fate::late;
}

void World::carry_out_late(std::function<void(StateStore&)> what) {
  repeat(from_seconds(between(kLateWriteLeast, kLateWriteMost)), [this, what = std::move(what)] {
    if (state_out_) return false;
    what(store_);
    return true;
  });
}

void World::late_reports(double share, double for_s, bool for_next) {
  trouble(for_s + kLateReportLeases * settings_.lease_s);
  late_reports_ = {.share = share, .until = now_ + from_seconds(for_s), .for_next = for_next};
}

void World::copy_report(const wire::Heartbeat& heartbeat) {
  if (now_ >= late_reports_.until || !lucky(late_reports_.share)) return;
  if (late_reports_.for_next) return reports_for_next_.push_back(heartbeat);
  after(from_seconds(between(kLateReportLeast, kLateReportLeases * settings_.lease_s)), [this, heartbeat] {
    for (std::size_t node = 0; node < nodes_.size(); ++node) hear_copy(node, heartbeat);
  });
}

void World::on_new_leader() {
  for (const wire::Heartbeat& heartbeat : std::exchange(reports_for_next_, {})) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) hear_copy(node, heartbeat);
  }
}

// As a report that has just been sent, but nobody waits for the answer.
void World::hear_copy(std::size_t node, const wire::Heartbeat& heartbeat) {
  Node& self = nodes_[node];
  if (!self.alive || self.cut_from_workers || parted(self.zone, heartbeat.zone)) return;
  ++struck_["late_reports"];
  if (self.controller->is_leader()) {
    (void)self.controller->on_heartbeat(heartbeat, time_of(node));
    return;
  }
  const auto leader = node_of(self.leader_seen);
  if (leader && *leader != node && hears(*leader, node) &&
      self.relay_policy.should_relay(heartbeat.machine, heartbeat.term, self.term_seen, time_of(node))) {
    (void)nodes_[*leader].controller->on_heartbeat(heartbeat, time_of(*leader));
    return;
  }
  (void)self.holder.try_answer(heartbeat.machine, heartbeat.zone, heartbeat.term, time_of(node));
}

void World::make_deaf(const MachineId& id, double for_s) {
  trouble(for_s);
  Rented& machine = machines_.at(id);
  machine.deaf_until = std::max(machine.deaf_until, now_ + from_seconds(for_s));
}

void World::make_mute(const MachineId& id, double for_s) {
  trouble(for_s);
  Rented& machine = machines_.at(id);
  machine.mute_until = std::max(machine.mute_until, now_ + from_seconds(for_s));
}

std::optional<Instant> World::runs_until(const JobId& job) const {
  std::optional<Instant> until;
  for (auto at = where_.lower_bound({job, 0}); at != where_.end() && at->first.job == job; ++at) {
    for (const MachineId& id : at->second) {
      for (const auto& [key, attempt] : machines_.at(id).worker->attempts()) {
        if (key.first != at->first || attempt.state != wire::TaskState::running) continue;
        const bool service = attempt.spec.kind == wire::JobKind::service;
        until = std::max(until.value_or(Instant{}), service ? Instant::max() : *attempt.began + attempt.length);
      }
    }
  }
  return until;
}

bool World::all_done(const JobId& job) const {
  const std::uint32_t tasks = submissions_.at(job).spec.tasks;
  return std::distance(done_.lower_bound({job, 0}), done_.lower_bound({job, tasks})) == tasks;
}

void World::cancel_now(std::size_t count, double hang_s) {
  trouble(hang_s);
  std::vector<std::pair<Instant, JobId>> running;
  for (const JobId& id : accepted_) {
    if (cancelled_.contains(id)) continue;
    if (const auto until = runs_until(id)) running.emplace_back(*until, id);
  }
  std::ranges::sort(running, std::greater{});
  running.resize(std::min(count, running.size()));
  std::vector<MachineId> theirs;
  for (const auto& [unused, id] : running) {
    ++struck_["cancel_now"];
    after(from_seconds(between(0, kCancelsWithin)), [this, id = id] { cancel(id); });
    for (auto at = where_.lower_bound({id, 0}); at != where_.end() && at->first.job == id; ++at) {
      theirs.insert(theirs.end(), at->second.begin(), at->second.end());
    }
  }
  std::ranges::sort(theirs);
  theirs.erase(std::unique(theirs.begin(), theirs.end()), theirs.end());
  std::shuffle(theirs.begin(), theirs.end(), troubles_luck_);
  theirs.resize(hang_s > 0 ? std::min(kHangingMost, theirs.size()) : 0);
  for (const MachineId& id : theirs) hang(id, hang_s);
}

void World::cancel_at_end(double share, double for_s) {
  trouble(for_s);
  cancels_at_end_ = {.share = share, .until = now_ + from_seconds(for_s)};
}

void World::cut_node_from_siblings(std::size_t node, double for_s) {
  trouble(for_s);
  Instant& until = nodes_[node].alone_until;
  until = std::max(until, now_ + from_seconds(for_s));
}

void World::hold_commands(const MachineId& id, double for_s) {
  trouble(for_s);
  Instant& until = machines_.at(id).held_until;
  until = std::max(until, now_ + from_seconds(for_s));
}

void World::quick_boots(double for_s) {
  trouble(for_s);
  quick_boots_until_ = now_ + from_seconds(for_s);
}

std::vector<MachineId> World::some_machines(double share) {
  std::vector<MachineId> names = machine_names();
  std::shuffle(names.begin(), names.end(), troubles_luck_);
  names.resize(static_cast<std::size_t>(std::ceil(share * static_cast<double>(names.size()))));
  return names;
}

std::vector<MachineId> World::machines_in(const std::string& zone) const {
  std::vector<MachineId> names = machine_names();
  std::erase_if(names, [&](const MachineId& id) { return machines_.at(id).zone != zone; });
  return names;
}

}  // namespace foxshunt::standins
