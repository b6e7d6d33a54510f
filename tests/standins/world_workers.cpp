// Reports of workers in the emulated world, the answers to them, and what their tasks do.
#include "standins/world.h"

#include <algorithm>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::standins {

using control::from_seconds;

namespace {

constexpr Millis kSettled{60'000};  // after the last trouble, an end is told in time

}  // namespace

bool World::reaches(std::size_t node, const Rented& machine) const {
  return !machine.cut && !nodes_[node].cut_from_workers && nodes_[node].alive &&
         !parted(nodes_[node].zone, machine.zone);
}

bool World::is_heard(std::size_t node, const Rented& machine) {
  if (!reaches(node, machine)) return false;
  if (now_ >= machine.deaf_until) return true;
  ++struck_["deaf"];
  return false;
}

void World::worker_step(const MachineId& id) {
  Rented& machine = machines_.at(id);
  if (machine.gone || !machine.worker->alive) return;
  if (machine.worker->advance(time_of(machine))) {
    machine.changed = true;
    machine.next_heartbeat = std::min(machine.next_heartbeat, now_ + Millis(100));
  }
  if (!machine.reporting && now_ >= machine.next_heartbeat && !machine.worker->hung) {
    machine.reporting = true;
    machine.changed = false;
    const wire::Heartbeat heartbeat = machine.worker->heartbeat();
    const Instant sent = now_;
    const std::size_t node = machine.node;
    const Millis way = delay() + slow_link();
    if (now_ < machine.mute_until) {
      ++struck_["mute"];
    } else {
      record_report(heartbeat, node);
      after(way, [this, id, heartbeat, sent, node] { deliver_heartbeat(id, heartbeat, sent, node); });
      copy_report(heartbeat);
    }
    // Without an answer within 4 s it turns to the next node.
    const std::uint64_t sequence = heartbeat.sequence;
    after(constants::kHeartbeatTimeout, [this, id, sequence, node] {
      Rented& waiting = machines_.at(id);
      if (waiting.gone || !waiting.reporting || waiting.worker->incarnation() == AgentIncarnation{}) return;
      if (waiting.node == node && sequence > 0) {
        waiting.reporting = false;
        waiting.node = (node + 1) % nodes_.size();
        waiting.next_heartbeat = now_ + Millis(1000);
      }
    });
  }
  after(worker_step_, [this, id] { worker_step(id); });
}

void World::deliver_heartbeat(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node) {
  Rented& machine = machines_.at(id);
  if (machine.gone) return;
  if (!nodes_[node].alive) {  // refused
    if (now_ < machine.deaf_until) return;
    machine.reporting = false;
    machine.node = (node + 1) % nodes_.size();
    machine.next_heartbeat = now_ + Millis(1000);
    return;
  }
  if (!reaches(node, machine)) {
    const auto cut = cut_zones_.find(machine.zone);
    if ((machine.holds || (cut != cut_zones_.end() && cut->second)) && nodes_[node].alive) {
      after(kStep, [this, id, heartbeat, sent, node] { deliver_heartbeat(id, heartbeat, sent, node); });
    }
    return;
  }
  const Node& self = nodes_[node];
  const auto leader = node_of(self.leader_seen);
  if (!self.controller->is_leader() && late(node, Duty::heartbeats)) {
    after(kStep, [this, id, heartbeat, sent, node] { deliver_heartbeat(id, heartbeat, sent, node); });
    return;
  }
  if (!self.controller->is_leader() && (!leader || *leader == node)) {
    if (answer_by_delegation(id, heartbeat, sent, node, true)) return;
  } else if (!self.controller->is_leader()) {
    if (!nodes_[node].relay_policy.should_relay(id, heartbeat.term, self.term_seen, time_of(node))) {
      if (!answer_by_delegation(id, heartbeat, sent, node, false)) take_heartbeat(id, heartbeat, sent, node, node);
      return;
    }
    // Passed on by this node. If that fails the worker is sent to any other node.
    record_forwarded_report(node, *leader, heartbeat);
    after(delay(), [this, id, heartbeat, sent, leader, node] {
      if (hears(*leader, node)) {
        return take_heartbeat(id, heartbeat, sent, *leader, node);
      }
      if (answer_by_delegation(id, heartbeat, sent, node, true)) return;
      Rented& target = machines_.at(id);
      if (target.gone || !target.reporting || target.node != node || !is_heard(node, target)) return;
      target.reporting = false;
      target.node = (node + 1) % nodes_.size();
      target.next_heartbeat = now_ + Millis(1000);
    });
    return;
  }
  take_heartbeat(id, heartbeat, sent, node, node);
}

bool World::answer_by_delegation(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                                 bool leader_tried) {
  Node& self = nodes_[node];
  const bool near = self.leader_answered && now_ - *self.leader_answered < constants::kLeaderContactTimeout;
  if (!self.alive || (near && !leader_tried)) return false;
  const auto term = self.holder.try_answer(id, heartbeat.zone, heartbeat.term, time_of(node));
  if (!term) return false;
  ++answered_by_grant_;
  record_report_answer(id, node, *term, std::vector<wire::Command>{});
  after(kWordDelay, [this, id, term = *term, incarnation = heartbeat.incarnation, sent, node] {
    Rented& target = machines_.at(id);
    if (target.gone || !target.reporting || target.node != node || !target.worker->alive) return;
    if (!is_heard(node, target) || target.worker->hung) return;
    const auto hear = [this, id, term, incarnation, sent, node] {
      Rented& waiting = machines_.at(id);
      if (is_held(waiting)) return false;
      if (gave_up(waiting, sent, node)) return true;
      waiting.reporting = false;
      waiting.next_heartbeat = now_ + from_seconds(settings_.heartbeat_interval_s);
      waiting.worker->answer(term, {}, incarnation, time_of(waiting, sent), time_of(waiting));
      return true;
    };
    if (!hear()) repeat(kStep, hear);
  });
  return true;
}

void World::take_heartbeat(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                           std::size_t via) {
  if (late(node, Duty::heartbeats)) {
    after(kStep, [this, id, heartbeat, sent, node, via] { take_heartbeat(id, heartbeat, sent, node, via); });
    return;
  }
  const auto commands = nodes_[node].controller->on_heartbeat(heartbeat, time_of(node));
  copy_late([this, node, heartbeat] {
    if (nodes_[node].alive) (void)nodes_[node].controller->on_heartbeat(heartbeat, time_of(node));
  });
  if (now_ - sent > constants::kHeartbeatTimeout) return;  // the worker has given it up
  answer_report(id, heartbeat, commands, sent, now_, node, nodes_[node].life, via);
}

std::optional<std::size_t> World::node_of(const NodeName& name) const {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (NodeName("node-" + std::to_string(node)) == name) return node;
  }
  return std::nullopt;
}

// As src/node does: the answer waits a little for what the report has caused to become durable.
void World::answer_report(const MachineId& id, const wire::Heartbeat& heartbeat,
                          std::optional<std::vector<wire::Command>> commands, Instant sent, Instant came,
                          std::size_t node, std::uint64_t life, std::size_t via) {
  if (!nodes_[node].alive || nodes_[node].life != life) return;
  control::Controller& controller = *nodes_[node].controller;
  if (commands && !controller.is_settled(heartbeat) && now_ - came < constants::kHeartbeatSettleTimeout) {
    after(Millis(20), [this, id, heartbeat, commands, sent, came, node, life, via] {
      answer_report(id, heartbeat, commands, sent, came, node, life, via);
    });
    return;
  }
  if (commands && now_ > came) {
    if (const auto later = controller.follow_up_commands(heartbeat, time_of(node))) {
      for (const wire::Command& command : *later) {
        if (std::ranges::find(*commands, command) == commands->end()) commands->push_back(command);
      }
    } else {
      commands.reset();
    }
  }
  const Term term = controller.term();
  record_report_answer(id, node, term, commands);
  if (apart(node, via)) return;  // the way back to who passed the report on is cut
  after(delay() + slow_link(), [this, id, commands, term, incarnation = heartbeat.incarnation, sent, node = via] {
    Rented& target = machines_.at(id);
    if (target.gone || !target.reporting || target.node != node || !target.worker->alive) return;
    if (!is_heard(node, target) || target.worker->hung) return;  // lost, or too late when it goes on
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const auto hear = [this, id, commands, term, incarnation, sent, node, jitter] {
      Rented& waiting = machines_.at(id);
      if (is_held(waiting)) return false;
      if (gave_up(waiting, sent, node)) return true;
      hear_answer(waiting, commands, term, incarnation, sent, jitter);
      if (commands) copy_answer(id, *commands, term, incarnation, sent);
      return true;
    };
    if (!hear()) repeat(kStep, hear);
  });
}

bool World::is_held(const Rented& machine) {
  if (now_ >= machine.held_until) return false;
  ++struck_["hold_commands"];
  return true;
}

bool World::gave_up(const Rented& machine, Instant sent, std::size_t node) const {
  return machine.gone || !machine.worker->alive || !machine.reporting || machine.node != node ||
         now_ - sent > constants::kHeartbeatTimeout;
}

void World::hear_answer(Rented& machine, const std::optional<std::vector<wire::Command>>& commands, Term term,
                        AgentIncarnation incarnation, Instant sent, double jitter) {
  const std::size_t node = machine.node;
  machine.reporting = false;
  machine.next_heartbeat = now_ + from_seconds(settings_.heartbeat_interval_s * jitter);
  if (!commands) {
    const NodeName& leader = nodes_[node].leader_seen;
    machine.node = (node + 1) % nodes_.size();
    machine.next_heartbeat = now_ + Millis(1000);
    if (const auto other = node_of(leader); other && *other != node) {
      machine.node = *other;
      machine.next_heartbeat = now_ + Millis(200);
    }
    return;
  }
  machine.worker->answer(term, *commands, incarnation, time_of(machine, sent), time_of(machine));
  if (!commands->empty()) machine.next_heartbeat = now_ + Millis(500);
}

void World::copy_answer(const MachineId& id, const std::vector<wire::Command>& commands, Term term,
                        AgentIncarnation incarnation, Instant sent) {
  if (!late_copies_ || std::uniform_int_distribution<int>(0, 3)(copies_luck_) != 0) return;
  const auto most = static_cast<int>(constants::kHeartbeatTimeout.count());
  after(Millis(std::uniform_int_distribution<int>(0, most)(copies_luck_)),
        [this, id, commands, term, incarnation, sent] { hear_copy(id, commands, term, incarnation, sent); });
}

// The agent has the answer already, and drops what comes later than 4 s after its report.
void World::hear_copy(const MachineId& id, const std::vector<wire::Command>& commands, Term term,
                      AgentIncarnation incarnation, Instant sent) {
  Rented& machine = machines_.at(id);
  if (machine.gone || !machine.worker->alive || machine.worker->hung) return;
  if (now_ - sent > constants::kHeartbeatTimeout) return;
  ++struck_["late_copies"];
  machine.worker->answer(term, commands, incarnation, time_of(machine, sent), time_of(machine));
}

const wire::JobSpec* World::job(const JobId& id) {
  const auto found = submissions_.find(id);
  return found == submissions_.end() ? nullptr : &found->second.spec;
}

Millis World::run_left(const TaskKey& task) {
  return std::max(Millis(0), from_seconds(submissions_.at(task.job).run_s) - progress_[task]);
}

void World::on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& id) {
  served_.on_started(task, attempt, now_);
  const Rented& machine = machines_.at(id);
  // An agent ignores the start of an attempt that it knows, so that this one had been cleared.
  if (!started_attempts_.insert({task, attempt, id, machine.worker->incarnation()}).second)
    started_again_.push_back("started_again: " + task.text() + " on " + id.text());
  first_start_.try_emplace(task.job, now_);
  ++task_starts_[task];
  where_[task].insert(id);
  rules_.on_started(task, {.machine = id, .type = machine.type, .zone = machine.zone, .spot = machine.spot}, now_);
}

void World::on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& id, bool done) {
  served_.on_gone(task, attempt, now_);
  const bool completed = done && done_.insert(task).second;
  where_[task].erase(id);
  rules_.on_gone(task, id, done, now_);
  if (completed && all_done(task.job)) {
    const bool punctual = now_ - rules_.calm_since() > kSettled && now_ >= write_lost_until_;
    history_.on_ended(task.job, punctual, now_);
  }
  if (completed && now_ < close_looks_until_ && all_done(task.job)) look_closely(task.job);
  if (completed && now_ < cancels_at_end_.until && all_done(task.job) && lucky(cancels_at_end_.share)) {
    ++struck_["cancel_at_end"];
    cancel(task.job);
  }
}

std::vector<std::string> World::broken() const {
  std::vector<std::string> all = rules_.broken();
  all.insert(all.end(), history_.broken().begin(), history_.broken().end());
  all.insert(all.end(), started_again_.begin(), started_again_.end());
  return all;
}

std::vector<Rules::Machine> World::machines_for_rules() const {
  std::vector<Rules::Machine> found;
  for (const auto& [id, machine] : machines_) {
    if (machine.gone || !machine.worker || !machine.worker->alive) continue;
    const Worker& worker = *machine.worker;
    const wire::MachineType& type =
        std::ranges::find(supplies_, machine.type, [](const Supply& supply) { return supply.type.name; })->type;
    found.push_back({.place = {.machine = id, .type = machine.type, .zone = machine.zone, .spot = machine.spot},
                     .cpus = type.cpus,
                     .gpus = type.gpus,
                     .ram_gb = type.ram_gb,
                     .tasks = {},
                     .usable = !machine.cut && now_ >= std::max(machine.deaf_until, machine.mute_until) &&
                               !worker.hung && !worker.faulty && !worker.taken_at &&
                               settings_.in_service(machine.zone)});
    for (const auto& [key, attempt] : worker.attempts()) {
      if (attempt.state != wire::TaskState::ended) found.back().tasks.push_back(key.first);
    }
  }
  return found;
}

}  // namespace foxshunt::standins
