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
    machine.next_report = std::min(machine.next_report, now_ + Millis(100));
  }
  if (!machine.reporting && now_ >= machine.next_report && !machine.worker->hung) {
    machine.reporting = true;
    machine.changed = false;
    const wire::Report report = machine.worker->report();
    const Instant sent = now_;
    const std::size_t node = machine.node;
    const Millis way = delay() + slow_link();
    if (now_ < machine.mute_until) {
      ++struck_["mute"];
    } else {
      record_report(report, node);
      after(way, [this, id, report, sent, node] { deliver_report(id, report, sent, node); });
      copy_report(report);
    }
    // Without an answer within 4 s it turns to the next node.
    const std::uint64_t sequence = report.sequence;
    after(constants::kReportAnswerLimit, [this, id, sequence, node] {
      Rented& waiting = machines_.at(id);
      if (waiting.gone || !waiting.reporting || waiting.worker->session() == SessionNo{}) return;
      if (waiting.node == node && sequence > 0) {
        waiting.reporting = false;
        waiting.node = (node + 1) % nodes_.size();
        waiting.next_report = now_ + Millis(1000);
      }
    });
  }
  after(worker_step_, [this, id] { worker_step(id); });
}

void World::deliver_report(const MachineId& id, const wire::Report& report, Instant sent, std::size_t node) {
  Rented& machine = machines_.at(id);
  if (machine.gone) return;
  if (!nodes_[node].alive) {  // refused
    if (now_ < machine.deaf_until) return;
    machine.reporting = false;
    machine.node = (node + 1) % nodes_.size();
    machine.next_report = now_ + Millis(1000);
    return;
  }
  if (!reaches(node, machine)) {
    const auto cut = cut_zones_.find(machine.zone);
    if ((machine.holds || (cut != cut_zones_.end() && cut->second)) && nodes_[node].alive) {
      after(kStep, [this, id, report, sent, node] { deliver_report(id, report, sent, node); });
    }
    return;
  }
  const Node& self = nodes_[node];
  const auto leader = node_of(self.leader_seen);
  if (!self.engine->leading() && late(node, Duty::reports)) {
    after(kStep, [this, id, report, sent, node] { deliver_report(id, report, sent, node); });
    return;
  }
  if (!self.engine->leading() && (!leader || *leader == node)) {
    if (answer_by_grant(id, report, sent, node, true)) return;
  } else if (!self.engine->leading()) {
    if (!nodes_[node].unreached.passes(id, report.term, self.term_seen, time_of(node))) {
      if (!answer_by_grant(id, report, sent, node, false)) take_report(id, report, sent, node, node);
      return;
    }
    // Passed on by this node. If that fails the worker is sent to any other node.
    record_forwarded_report(node, *leader, report);
    after(delay(), [this, id, report, sent, leader, node] {
      if (hears(*leader, node)) {
        return take_report(id, report, sent, *leader, node);
      }
      if (answer_by_grant(id, report, sent, node, true)) return;
      Rented& target = machines_.at(id);
      if (target.gone || !target.reporting || target.node != node || !is_heard(node, target)) return;
      target.reporting = false;
      target.node = (node + 1) % nodes_.size();
      target.next_report = now_ + Millis(1000);
    });
    return;
  }
  take_report(id, report, sent, node, node);
}

bool World::answer_by_grant(const MachineId& id, const wire::Report& report, Instant sent, std::size_t node,
                            bool leader_tried) {
  Node& self = nodes_[node];
  const bool near = self.leader_answered && now_ - *self.leader_answered < constants::kContactLost;
  if (!self.alive || (near && !leader_tried)) return false;
  const auto term = self.holder.answers(id, report.zone, report.term, time_of(node));
  if (!term) return false;
  ++answered_by_grant_;
  record_report_answer(id, node, *term, std::vector<wire::Command>{});
  after(kWordDelay, [this, id, term = *term, session = report.session, sent, node] {
    Rented& target = machines_.at(id);
    if (target.gone || !target.reporting || target.node != node || !target.worker->alive) return;
    if (!is_heard(node, target) || target.worker->hung) return;
    const auto hear = [this, id, term, session, sent, node] {
      Rented& waiting = machines_.at(id);
      if (is_held(waiting)) return false;
      if (gave_up(waiting, sent, node)) return true;
      waiting.reporting = false;
      waiting.next_report = now_ + from_seconds(settings_.report_s);
      waiting.worker->answer(term, {}, session, time_of(waiting, sent), time_of(waiting));
      return true;
    };
    if (!hear()) repeat(kStep, hear);
  });
  return true;
}

void World::take_report(const MachineId& id, const wire::Report& report, Instant sent, std::size_t node,
                        std::size_t via) {
  if (late(node, Duty::reports)) {
    after(kStep, [this, id, report, sent, node, via] { take_report(id, report, sent, node, via); });
    return;
  }
  const auto commands = nodes_[node].engine->on_report(report, time_of(node));
  copy_late([this, node, report] {
    if (nodes_[node].alive) (void)nodes_[node].engine->on_report(report, time_of(node));
  });
  if (now_ - sent > constants::kReportAnswerLimit) return;  // the worker has given it up
  answer_report(id, report, commands, sent, now_, node, nodes_[node].life, via);
}

std::optional<std::size_t> World::node_of(const NodeName& name) const {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (NodeName("node-" + std::to_string(node)) == name) return node;
  }
  return std::nullopt;
}

// As src/node does: the answer waits a little for what the report has caused to become durable.
void World::answer_report(const MachineId& id, const wire::Report& report,
                          std::optional<std::vector<wire::Command>> commands, Instant sent, Instant came,
                          std::size_t node, std::uint64_t life, std::size_t via) {
  if (!nodes_[node].alive || nodes_[node].life != life) return;
  control::Engine& engine = *nodes_[node].engine;
  if (commands && !engine.settled(report) && now_ - came < constants::kReportSettle) {
    after(Millis(20), [this, id, report, commands, sent, came, node, life, via] {
      answer_report(id, report, commands, sent, came, node, life, via);
    });
    return;
  }
  if (commands && now_ > came) {
    if (const auto later = engine.later_commands(report, time_of(node))) {
      for (const wire::Command& command : *later) {
        if (std::ranges::find(*commands, command) == commands->end()) commands->push_back(command);
      }
    } else {
      commands.reset();
    }
  }
  const Term term = engine.term();
  record_report_answer(id, node, term, commands);
  if (apart(node, via)) return;  // the way back to who passed the report on is cut
  after(delay() + slow_link(), [this, id, commands, term, session = report.session, sent, node = via] {
    Rented& target = machines_.at(id);
    if (target.gone || !target.reporting || target.node != node || !target.worker->alive) return;
    if (!is_heard(node, target) || target.worker->hung) return;  // lost, or too late when it goes on
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const auto hear = [this, id, commands, term, session, sent, node, jitter] {
      Rented& waiting = machines_.at(id);
      if (is_held(waiting)) return false;
      if (!gave_up(waiting, sent, node)) hear_answer(waiting, commands, term, session, sent, jitter);
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
         now_ - sent > constants::kReportAnswerLimit;
}

void World::hear_answer(Rented& machine, const std::optional<std::vector<wire::Command>>& commands, Term term,
                        SessionNo session, Instant sent, double jitter) {
  const std::size_t node = machine.node;
  machine.reporting = false;
  machine.next_report = now_ + from_seconds(settings_.report_s * jitter);
  if (!commands) {
    const NodeName& leader = nodes_[node].leader_seen;
    machine.node = (node + 1) % nodes_.size();
    machine.next_report = now_ + Millis(1000);
    if (const auto other = node_of(leader); other && *other != node) {
      machine.node = *other;
      machine.next_report = now_ + Millis(200);
    }
    return;
  }
  machine.worker->answer(term, *commands, session, time_of(machine, sent), time_of(machine));
  if (!commands->empty()) machine.next_report = now_ + Millis(500);
}

const wire::JobSpec* World::job(const JobId& id) {
  const auto found = submissions_.find(id);
  return found == submissions_.end() ? nullptr : &found->second.spec;
}

Millis World::run_left(const TaskKey& task) {
  return std::max(Millis(0), from_seconds(submissions_.at(task.job).run_s) - progress_[task]);
}

void World::on_started(const TaskKey& task, AttemptNo attempt, const MachineId& id) {
  served_.on_started(task, attempt, now_);
  const Rented& machine = machines_.at(id);
  first_start_.try_emplace(task.job, now_);
  ++task_starts_[task];
  where_[task].insert(id);
  rules_.on_started(task, {.machine = id, .type = machine.type, .zone = machine.zone, .spot = machine.spot}, now_);
}

void World::on_gone(const TaskKey& task, AttemptNo attempt, const MachineId& id, bool done) {
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
