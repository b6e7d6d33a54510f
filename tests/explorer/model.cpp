#include "explorer/model.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "control/readiness.h"
#include "control/times.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::explorer {

using kv::Status;
using Request = standins::History::Request;

namespace {

constexpr Millis kQuantum{1000};  // of rounds, while time passes
constexpr std::size_t kDuties = 5;
constexpr Millis kFine{250};    // of workers' clocks
constexpr double kReportS = 2;  // small figures, so that few rounds pass until a lease ends
constexpr double kLeaseS = 8;
constexpr double kCancelS = 18;           // the fence is then 8 s
constexpr std::size_t kMachinesMost = 8;  // those that were returned among them
constexpr std::size_t kHops = 3;          // redirections of one report
constexpr std::int64_t kWallStart = 1'800'000'000'000;

NodeName name_of(std::size_t node) { return NodeName("node-" + std::to_string(node)); }
std::string zone_of(std::size_t node) { return node % 2 == 0 ? "a" : "b"; }

wire::MachineType type() {
  return {.name = "g",
          .cpus = kMachineCpus,
          .gpus = 0,
          .ram_gb = 64,
          .cache_gb = 100,
          .fetch_gb_per_s = 1,
          .price = 1,
          .spot_price = 1,
          .boot_s = 60,
          .zones = {"a", "b"}};
}

}  // namespace

// ---- workers' surroundings ----

const wire::JobSpec* Model::Stage::job(const JobId& id) {
  const auto& jobs = model->setup_->jobs;
  const auto found = std::ranges::find(jobs, id, &wire::JobSpec::id);
  return found == jobs.end() ? nullptr : &*found;
}

Millis Model::Stage::run_left(const TaskKey&) { return control::from_seconds(model->setup_->run_s); }

void Model::Stage::on_started(const TaskKey& task, AttemptNumber, const MachineId& id) {
  const auto machine = std::ranges::find(model->machines_, id, [](const Machine& one) { return one.worker.id(); });
  model->rules_.on_started(task, {.machine = id, .type = "g", .zone = machine->zone, .spot = false}, model->now_);
}

void Model::Stage::on_gone(const TaskKey& task, AttemptNumber, const MachineId& machine, bool done) {
  model->rules_.on_gone(task, machine, done, model->now_);
  if (!done || !model->done_.insert(task).second) return;
  const auto all = std::ranges::count(model->done_, task.job, &TaskKey::job);
  if (all == job(task.job)->tasks) model->history_.on_ended(task.job, false, model->now_);
}

// ---- beginnings ----

Model::Node::Node(const Node& other)
    : controller(other.controller.copy()),
      life(other.life),
      frozen(other.frozen),
      refused(other.refused),
      stalled(other.stalled),
      lease(other.lease),
      taking(other.taking),
      watch_from(other.watch_from),
      leader_seen(other.leader_seen),
      term_seen(other.term_seen),
      holder(other.holder),
      leader_answered(other.leader_answered),
      writing(other.writing),
      ended(other.ended),
      lease_at(other.lease_at),
      read_at(other.read_at),
      older_leaders_until(other.older_leaders_until) {}

Model::Model(const Setup& setup)
    : setup_(&setup), stage_(std::make_shared<Stage>()), now_(Millis(1'000'000)), rules_(settings_of(0)) {
  stage_->model = this;
  rules_.on_types({type()});
  for (std::size_t node = 0; node < setup.nodes; ++node) nodes_.push_back(new_node(node, 1));
  for (const std::string& zone : setup.machines) add_machine(zone);
  round(false);
  for (const Action& action : setup.begins) (void)apply(action);
}

Model::Model(const Model& other) = default;

void Model::add_machine(const std::string& zone) {
  machines_.push_back({.worker = {MachineId("m-00000" + std::to_string(machines_.size() + 1)), type(), zone, false,
                                  control::from_seconds(kLeaseS), *stage_, now_},
                       .zone = zone,
                       .lease_from = now_});
  machines_.back().worker.gang_ready = [stage = stage_.get()](const JobId& id, AttemptNumber attempt) {
    std::set<std::uint32_t> ready;
    for (Machine& machine : stage->model->machines_) {
      for (const auto& [key, there] : machine.worker.attempts()) {
        if (key.first.job == id && key.second == attempt && there.on_machine) ready.insert(key.first.index);
      }
    }
    return ready.size() == stage->job(id)->tasks;
  };
}

config::Settings Model::settings_of(std::size_t node) const {
  config::Settings settings;
  settings.name = name_of(node);
  settings.zone = zone_of(node);
  settings.nodes = setup_->nodes;
  settings.zones = {"a", "b"};
  for (std::size_t other = 0; other < setup_->nodes; ++other) {
    if (other != node) settings.siblings.push_back({.name = name_of(other), .zone = zone_of(other), .endpoint = {}});
  }
  settings.teams = {{.name = "red", .cpus = 0, .cpus_max = setup_->team_cpus_most, .gpus = 0, .gpus_max = 0}};
  settings.heartbeat_interval_s = kReportS;
  settings.lease_s = kLeaseS;
  settings.cancel_s = kCancelS;
  settings.gang_wait_s = 30;
  settings.gang_peer_s = 5;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 16;
  settings.cloud_list_delay_s = 5;
  settings.operators.can_scale_out = false;
  settings.operators.can_scale_in = false;
  settings.operators.zone_lease_delegation = setup_->delegations;
  return settings;
}

Model::Node Model::new_node(std::size_t node, std::uint64_t life) const {
  const config::Settings settings = settings_of(node);
  Node made{control::Controller(settings)};
  made.controller.on_machine_types({type()});
  made.life = life;
  made.holder = zone::DelegatedLease(settings.name, settings.zone, life, control::delegation_spans(settings));
  return made;
}

std::int64_t Model::wall_ms() const { return kWallStart + now_.time_since_epoch().count(); }

std::optional<std::size_t> Model::node_of(const NodeName& name) const {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (name_of(node) == name) return node;
  }
  return std::nullopt;
}

std::optional<Fate> Model::fate(Sort sort, std::size_t who) {
  const auto found = armed_.find({sort, who});
  if (found == armed_.end()) return std::nullopt;
  const Fate fate = found->second;
  armed_.erase(found);
  return fate;
}

// ---- actions ----

bool Model::apply(const Action& action) {
  stage_->model = this;
  if (!apply_choice(action)) return false;
  rules_.check(now_);
  for (const Node& node : nodes_) {
    if (!fault_ && node.controller.is_leader()) fault_ = node.controller.find_inconsistency();
  }
  return true;
}

bool Model::apply_choice(const Action& action) {
  const std::size_t a = action.a;
  const std::size_t b = action.b;
  const auto flip = [](auto& set, const auto& entry) {
    if (set.erase(entry) == 0) set.insert(entry);
    return true;
  };
  switch (action.kind) {
    case Kind::pass: return a < kSpans.size() && (pass(kSpans[a], b == 1), true);
    case Kind::turn: return a < nodes_.size() && !nodes_[a].frozen && (turn(a, static_cast<Duty>(b)), true);
    case Kind::heartbeat:
      if (a >= machines_.size() || !machines_[a].worker.alive || machines_[a].worker.hung || machines_[a].waits_until)
        return false;
      machines_[a].next_heartbeat = now_;
      report_turn(a);
      return true;
    case Kind::submit:
      if (a >= setup_->jobs.size() || b >= nodes_.size() || nodes_[b].frozen) return false;
      submit(setup_->jobs[a], b);
      return true;
    case Kind::cancel:
    case Kind::ask:
      if (a >= setup_->jobs.size() || b >= nodes_.size() || nodes_[b].frozen) return false;
      action.kind == Kind::ask ? ask(setup_->jobs[a].id, b) : cancel(setup_->jobs[a].id, b);
      return true;
    case Kind::crash:
      if (a >= nodes_.size()) return false;
      {
        Node fresh = new_node(a, nodes_[a].life + 1);
        fresh.refused = nodes_[a].refused;
        nodes_[a] = std::move(fresh);
      }
      return true;
    case Kind::freeze: return a < nodes_.size() && (nodes_[a].frozen = !nodes_[a].frozen, true);
    case Kind::refuse: return a < nodes_.size() && (nodes_[a].refused = !nodes_[a].refused, true);
    case Kind::stall: return a < nodes_.size() && b < kDuties && flip(nodes_[a].stalled, static_cast<Duty>(b));
    case Kind::outage:
      outage_ = !outage_;
      if (outage_) return true;
      store_.renew_all(now_);
      for (auto& [unused, until] : leases_) until = now_ + constants::kLeaderLeaseTtl;
      return true;
    case Kind::part: return parted_ = !parted_, true;
    case Kind::cut: return a < machines_.size() && b < nodes_.size() && flip(cuts_, std::pair(a, b));
    case Kind::hang: return a < machines_.size() && (machines_[a].worker.hung = !machines_[a].worker.hung, true);
    case Kind::deaf: return a < machines_.size() && (machines_[a].deaf = !machines_[a].deaf, true);
    case Kind::capture: {
      if (captured_.size() + armed_.size() >= setup_->captured_most) return false;
      return armed_.emplace(std::pair(static_cast<Sort>(a), b), static_cast<Fate>(action.c)).second;
    }
    case Kind::arrive: return arrive(a);
  }
  return false;
}

std::vector<Action> Model::choices(bool all) const {
  std::vector<Action> found;
  const auto add = [&](Kind kind, std::size_t a = 0, std::size_t b = 0, std::size_t c = 0) {
    if (!all && !setup_->kinds.contains(kind)) return;
    found.push_back({kind, static_cast<std::uint8_t>(a), static_cast<std::uint8_t>(b), static_cast<std::uint8_t>(c)});
  };
  for (std::size_t span = 0; span < kSpans.size(); ++span) add(Kind::pass, span);
  if (all) add(Kind::pass, 0, 1);
  for (std::size_t job = 0; job < setup_->jobs.size(); ++job) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (nodes_[node].frozen) continue;
      add(Kind::submit, job, node);
      if (told_.contains(setup_->jobs[job].id)) add(Kind::cancel, job, node);
      add(Kind::ask, job, node);
    }
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    for (std::size_t duty = 0; duty < kDuties; ++duty) {
      if (nodes_[node].frozen || (static_cast<Duty>(duty) == Duty::ask && !setup_->delegations)) continue;
      add(Kind::turn, node, duty);
      add(Kind::stall, node, duty);
    }
    add(Kind::crash, node);
    add(Kind::freeze, node);
    add(Kind::refuse, node);
  }
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    if (!machines_[machine].worker.alive) continue;
    add(Kind::heartbeat, machine);
    add(Kind::hang, machine);
    add(Kind::deaf, machine);
    for (std::size_t node = 0; node < nodes_.size(); ++node) add(Kind::cut, machine, node);
  }
  add(Kind::outage);
  add(Kind::part);
  for (std::size_t at = 0; at < captured_.size(); ++at) add(Kind::arrive, at);
  if (captured_.size() + armed_.size() >= setup_->captured_most) return found;
  const auto arm = [&](Sort sort, std::size_t who, std::initializer_list<Fate> fates) {
    if (!all && !setup_->captures.contains(sort)) return;
    if (armed_.contains({sort, who})) return;
    for (const Fate fate : fates)
      add(Kind::capture, static_cast<std::size_t>(sort), who, static_cast<std::size_t>(fate));
  };
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    arm(Sort::lead, node, {Fate::late, Fate::lost, Fate::slow});
    arm(Sort::write, node, {Fate::late, Fate::lost, Fate::slow, Fate::held});
    arm(Sort::user, node, {Fate::late, Fate::lost});
    if (setup_->delegations) arm(Sort::ask, node, {Fate::late});
    if (setup_->delegations) arm(Sort::delegation, node, {Fate::slow});
  }
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    arm(Sort::heartbeat, machine, {Fate::late, Fate::held});
    arm(Sort::answer, machine, {Fate::slow, Fate::held});
    arm(Sort::halt, machine, {Fate::late});
  }
  return found;
}

void Model::pass(Millis span, bool reversed) {
  for (const Instant end = now_ + span; now_ < end;) {
    const Instant next = std::min(end, now_ + kQuantum);
    while (now_ < next) {
      now_ += std::min<Millis>(kFine, next - now_);
      advance();
    }
    round(reversed);
  }
}

// A call without an answer is given up, unless its node stands still; what it asked may be carried out yet.
void Model::give_up_calls() {
  for (auto message = captured_.begin(); message != captured_.end();) {
    Node& node = nodes_[message->node];
    const bool waits = message->sort == Sort::write && (message->fate == Fate::slow || message->fate == Fate::held) &&
                       message->life == node.life && node.writing;
    if (!waits || node.frozen || node.stalled.contains(Duty::write) ||
        now_ - message->sent < constants::kStoreCallTimeout) {
      ++message;
      continue;
    }
    node.writing = false;
    node.controller.end_write(*message->batch, {.status = Status::unknown}, now_);
    if (message->fate == Fate::held) {
      message->fate = Fate::late;
      ++message;
    } else {
      message = captured_.erase(message);
    }
  }
}

void Model::advance() {
  if (!outage_) store_.expire(now_);
  give_up_calls();
  for (Machine& machine : machines_) {
    const AgentIncarnation before = machine.worker.incarnation();
    if (machine.worker.advance(now_)) {
      machine.changed = true;
      machine.next_heartbeat = std::min(machine.next_heartbeat, now_ + Millis(100));
    }
    if (machine.worker.incarnation() != before) machine.lease_from = now_;
    if (machine.waits_until && now_ >= *machine.waits_until) {
      turn_to(static_cast<std::size_t>(&machine - machines_.data()), (machine.node + 1) % nodes_.size(), Millis(1000));
    }
  }
  rules_.check(now_);
}

// What comes to its turn in a second in which nothing is chosen, in one order or the other.
void Model::round(bool reversed) {
  std::vector<std::size_t> order(nodes_.size());
  for (std::size_t at = 0; at < order.size(); ++at) order[at] = reversed ? order.size() - 1 - at : at;
  const auto heartbeats = [this] {
    for (std::size_t machine = 0; machine < machines_.size(); ++machine) report_turn(machine);
  };
  advance();
  if (reversed) heartbeats();
  for (const std::size_t node : order) {
    for (const Duty duty : {Duty::lead, Duty::lead, Duty::watch, Duty::plan, Duty::write, Duty::ask}) turn(node, duty);
  }
  if (!reversed) heartbeats();
  for (const std::size_t node : order) {
    turn(node, Duty::plan);
    turn(node, Duty::write);
  }
  advance();
}

void Model::turn(std::size_t node, Duty duty) {
  if (nodes_[node].frozen || nodes_[node].stalled.contains(duty)) return;
  switch (duty) {
    case Duty::lead: return lead_turn(node);
    case Duty::watch: return follow_turn(node);
    case Duty::plan: return plan_turn(node);
    case Duty::write: return write_turn(node);
    case Duty::ask: return ask_turn(node);
  }
}

// ---- controllers ----

kv::TxnResult Model::carry_out(const kv::Txn& txn, const std::optional<JobId>& creates) {
  kv::TxnResult result = store_.txn(txn);
  if (creates && result.status == Status::ok) rules_.on_created(*creates);
  return result;
}

void Model::capture(Message message) {
  message.life = nodes_[message.node].life;
  captured_.push_back(std::move(message));
}

void Model::lead_turn(std::size_t node) {
  Node& self = nodes_[node];
  if (self.taking) return read_records(node);
  if (!served(node)) return;
  if (self.controller.is_leader()) {
    const Status status = store_.touch(self.lease, now_);
    if (status == Status::not_found) return self.controller.step_down("its lease has ended");
    leases_[self.lease.number] = now_ + constants::kLeaderLeaseTtl;
    self.controller.on_leader_lease_renewed(now_);
    self.lease_at = now_;
    return;
  }
  if (self.lease.number != 0) store_.revoke(std::exchange(self.lease, {}));
  const state::LeadershipView view = state::leadership_view(store_.get(state::kLeaderKey), store_.get(state::kTermKey));
  const bool held = view.leader_revision != Revision{};
  self.leader_seen = held ? view.record.leader : NodeName{};
  self.term_seen = view.record.term;
  self.holder.observe_term(self.term_seen);
  if ((held && view.record.leader != name_of(node)) || self.controller.should_yield_leadership(now_)) return;
  acquire_leadership(node, view);
}

void Model::acquire_leadership(std::size_t node, const state::LeadershipView& view) {
  Node& self = nodes_[node];
  const kv::LeaseId lease = store_.grant_lease(constants::kLeaderLeaseTtl, now_);
  leases_[lease.number] = now_ + constants::kLeaderLeaseTtl;
  const std::int64_t until = state::older_leaders_deadline(
      view, wall_ms(), control::fencing_timeout(settings_of(node)).count(), static_cast<std::int64_t>(0));
  const kv::Txn txn = state::acquire_leadership_txn(view, name_of(node), lease, until);
  const auto found = fate(Sort::lead, node);
  if (found == Fate::late || found == Fate::held) {
    return capture({.sort = Sort::lead, .fate = Fate::late, .node = node, .sent = now_, .left = 2, .txn = txn});
  }
  const kv::TxnResult result = store_.txn(txn);
  if (result.status != Status::ok) return store_.revoke(lease);
  self.lease = lease;
  const Node::Taking taking{
      .term = view.record.term.next(), .revision = result.revision, .until_wall_ms = until, .asked = now_};
  // With no answer it looks once more and finds itself.
  if (found == Fate::slow)
    return capture({.sort = Sort::lead, .fate = Fate::slow, .node = node, .sent = now_, .taking = taking});
  self.taking = taking;
}

// Its node may have stood still since it took the lead.
void Model::read_records(std::size_t node) {
  Node& self = nodes_[node];
  if (!served(node)) return;
  const Node::Taking taking = *std::exchange(self.taking, std::nullopt);
  const kv::ListResult live = store_.list(state::kActiveJobPrefix);
  const kv::GetResult term = store_.get(state::kTermKey);
  const control::FailoverSnapshot failover{
      .term = taking.term,
      .term_revision = taking.revision,
      .older_leaders_until = now_ + Millis(std::max<std::int64_t>(0, taking.until_wall_ms - wall_ms())),
      .active_jobs = live.entries,
      .terminating_jobs = store_.list(state::kTerminatingJobPrefix).entries,
      .shards = {},
      .wall_ms = wall_ms()};
  const control::Readiness found{
      .self = name_of(node),
      .term = taking.term,
      .term_revision = taking.revision,
      .record = state::term_record_from(term.entry.data),
      .record_revision = term.entry.revision,
      .records_revision = live.revision,
      .lease_renewal_requested = taking.asked,
      .older_leaders_until = failover.older_leaders_until,
      .min_older_leaders_until =
          taking.until_wall_ms == 0
              ? Instant{}
              : taking.asked + control::fencing_timeout(settings_of(node)) - constants::kClockRounding};
  if (control::first_unmet_condition(found, now_)) return store_.revoke(std::exchange(self.lease, {}));
  self.controller.become_leader(failover, taking.asked);
  self.watch_from = live.revision;
  self.writing = false;
  self.lease_at = self.read_at = taking.asked;
  self.older_leaders_until = failover.older_leaders_until;
  self.leader_seen = name_of(node);
  self.term_seen = taking.term;
}

void Model::follow_turn(std::size_t node) {
  Node& self = nodes_[node];
  if (!self.controller.is_leader() || !served(node)) return;
  const kv::WatchResult news = store_.watch(state::kActiveJobPrefix, self.watch_from);
  for (const kv::Event& event : news.events) {
    const auto id = state::job_of_key(event.key);
    if (event.data) {
      self.controller.on_job_record(*id, *event.data, event.revision, wall_ms(), now_);
    } else {
      self.controller.on_job_removed(*id, now_);
    }
  }
  self.controller.on_records_confirmed(now_);
  self.read_at = now_;
  self.watch_from = news.revision;
}

void Model::plan_turn(std::size_t node) {
  Node& self = nodes_[node];
  if (!self.controller.is_leader()) return;
  self.controller.tick(now_);
  if (self.controller.needs_planning()) self.controller.plan_pass(now_);
  if (const std::vector<MachineId> names = self.controller.next_scale_in(now_); !names.empty()) {
    std::vector<std::string> zones;
    for (Machine& machine : machines_) {
      if (!machine.worker.alive || std::ranges::find(names, machine.worker.id()) == names.end()) continue;
      machine.worker.kill(now_);
      zones.push_back(machine.zone);
    }
    if (machines_.size() < kMachinesMost) {  // its successor is up at once
      for (const std::string& zone : zones) add_machine(zone);
    }
    self.controller.on_scaled_in(names, now_);
  }
  for (const control::DirectStop& halt : self.controller.due_direct_stops(now_)) {
    const auto found = std::ranges::find(machines_, halt.machine, [](const Machine& one) { return one.worker.id(); });
    if (found == machines_.end()) continue;
    const auto machine = static_cast<std::size_t>(found - machines_.begin());
    if (fate(Sort::halt, machine)) {
      capture({.sort = Sort::halt,
               .node = node,
               .machine = machine,
               .sent = now_,
               .commands = halt.commands,
               .term = halt.term,
               .incarnation = halt.incarnation});
    } else if (!found->deaf && !found->worker.hung && found->worker.alive && !cut(machine, node)) {
      (void)found->worker.direct(halt.term, halt.incarnation, halt.commands, now_);
      found->changed = true;
    }
  }
}

void Model::write_turn(std::size_t node) {
  Node& self = nodes_[node];
  if (self.writing) return;
  while (served(node)) {
    const auto reload = self.controller.next_reload();
    if (!reload || !self.controller.is_leader()) break;
    const kv::GetResult found = store_.get(reload->key());
    self.controller.on_reloaded(*reload,
                                found.status == Status::ok ? std::optional(found.entry.revision) : std::nullopt, now_);
  }
  const auto batch = self.controller.begin_write(now_);
  if (!batch) return;
  if (!served(node)) return self.controller.end_write(*batch, {.status = Status::unavailable}, now_);
  const auto found = fate(Sort::write, node);
  if (!found) return self.controller.end_write(*batch, store_.txn(batch->txn), now_);
  Message message{.sort = Sort::write, .fate = *found, .node = node, .sent = now_, .txn = batch->txn, .batch = *batch};
  if (*found == Fate::late) message.left = 2;
  if (*found == Fate::lost || *found == Fate::slow) message.result = store_.txn(batch->txn);
  if (*found == Fate::late || *found == Fate::lost)
    self.controller.end_write(*batch, {.status = Status::unknown}, now_);
  if (*found == Fate::slow || *found == Fate::held) self.writing = true;
  if (*found != Fate::lost) capture(std::move(message));
}

void Model::ask_turn(std::size_t node) {
  Node& self = nodes_[node];
  const auto leader = node_of(self.leader_seen);
  if (!setup_->delegations || self.controller.is_leader() || !leader || *leader == node) return;
  Message message{
      .sort = Sort::ask, .node = node, .sent = now_, .left = 2, .ask = self.holder.next_request(self.term_seen, now_)};
  if (fate(Sort::ask, node)) return capture(std::move(message));
  message.life = self.life;
  on_delegation_request(message);
}

void Model::on_delegation_request(const Message& message) {
  // The leader that it asked; by now that may lead no longer.
  for (std::size_t leader = 0; leader < nodes_.size(); ++leader) {
    if (leader == message.node || nodes_[leader].frozen || parted_ ||
        nodes_[leader].controller.term() != message.ask.term)
      continue;
    const auto delegation = nodes_[leader].controller.on_delegation_request(message.ask, now_);
    Node& asker = nodes_[message.node];
    if (!delegation || asker.life != message.life) return;
    Message answer{.sort = Sort::delegation,
                   .fate = Fate::slow,
                   .node = message.node,
                   .sent = message.sent,
                   .delegation = *delegation};
    if (asker.frozen || fate(Sort::delegation, message.node)) return capture(std::move(answer));
    if (asker.holder.on_delegation(*delegation, message.sent)) asker.leader_answered = now_;
    return;
  }
}

// ---- workers ----

void Model::turn_to(std::size_t machine, std::size_t node, Millis pause) {
  machines_[machine].waits_until.reset();
  machines_[machine].node = node;
  machines_[machine].next_heartbeat = now_ + pause;
}

void Model::report_turn(std::size_t number) {
  for (std::size_t hop = 0; hop < kHops; ++hop) {
    Machine& machine = machines_[number];
    if (!machine.worker.alive || machine.worker.hung || machine.waits_until || now_ < machine.next_heartbeat) return;
    machine.changed = false;
    machine.waits_until = now_ + constants::kHeartbeatTimeout;
    const wire::Heartbeat heartbeat = machine.worker.heartbeat();
    const auto found = fate(Sort::heartbeat, number);
    if (found) {  // a copy, or the report itself
      capture({.sort = Sort::heartbeat,
               .fate = *found,
               .node = machine.node,
               .machine = number,
               .sent = now_,
               .left = 2,
               .heartbeat = heartbeat});
    }
    if (found != Fate::held) deliver_heartbeat(number, heartbeat, now_, machine.node);
  }
}

void Model::deliver_heartbeat(std::size_t number, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node) {
  Machine& machine = machines_[number];
  Node& self = nodes_[node];
  if (self.frozen) {
    if (captured_.size() < setup_->captured_most)
      capture({.sort = Sort::heartbeat,
               .fate = Fate::held,
               .node = node,
               .machine = number,
               .sent = sent,
               .heartbeat = heartbeat});
    return;
  }
  if (cut(number, node)) return turn_to(number, (node + 1) % nodes_.size(), Millis(1000));
  if (self.controller.is_leader()) return take_heartbeat(number, heartbeat, sent, node, node);
  const auto leader = node_of(self.leader_seen);
  if (leader && *leader != node) {
    if (!cut(number, *leader) && !nodes_[*leader].frozen && nodes_[*leader].controller.is_leader()) {
      if (answer_by_delegation(number, heartbeat, sent, node, false)) return;
      if (!machine.deaf) turn_to(number, *leader, Millis(0));
      return;
    }
    if (!parted_ && !nodes_[*leader].frozen) return take_heartbeat(number, heartbeat, sent, *leader, node);
  }
  if (answer_by_delegation(number, heartbeat, sent, node, true)) return;
  turn_to(number, (node + 1) % nodes_.size(), Millis(1000));
}

bool Model::answer_by_delegation(std::size_t number, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                                 bool tried) {
  Node& self = nodes_[node];
  const bool near = self.leader_answered && now_ - *self.leader_answered < constants::kLeaderContactTimeout;
  if (near && !tried) return false;
  const auto term = self.holder.try_answer(heartbeat.machine, heartbeat.zone, heartbeat.term, now_);
  if (!term) return false;
  deliver_answer(number, std::vector<wire::Command>{}, *term, heartbeat.incarnation, sent);
  return true;
}

void Model::take_heartbeat(std::size_t number, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                           std::size_t via) {
  Node& self = nodes_[node];
  Message message{.sort = Sort::answer,
                  .fate = Fate::held,
                  .node = node,
                  .machine = number,
                  .sent = sent,
                  .heartbeat = heartbeat,
                  .commands = self.controller.on_heartbeat(heartbeat, now_),
                  .term = self.controller.term()};
  if (now_ - sent >= constants::kHeartbeatTimeout) return;
  if (!message.commands) {
    // Who passed it on may have a grant.
    if (via != node && answer_by_delegation(number, heartbeat, sent, via, true)) return;
    return deliver_answer(number, {}, {}, heartbeat.incarnation, sent);
  }
  const auto found = armed_.find({Sort::answer, number});
  if (found != armed_.end() && found->second == Fate::held) {  // it waits at the node
    armed_.erase(found);
    return capture(std::move(message));
  }
  message.life = self.life;
  end_answer(message);
}

// As src/node does: the answer has waited for what the report has caused to become durable.
void Model::end_answer(const Message& message) {
  Node& self = nodes_[message.node];
  if (self.frozen || self.life != message.life) return;
  auto commands = message.commands;
  if (!self.controller.is_settled(message.heartbeat)) {
    plan_turn(message.node);
    write_turn(message.node);
  }
  const auto later = self.controller.follow_up_commands(message.heartbeat, now_);
  if (!later || (guards::kept(guards::Guard::answer_term) && self.controller.term() != message.term)) {
    return deliver_answer(message.machine, {}, {}, message.heartbeat.incarnation, message.sent);
  }
  for (const wire::Command& command : *later) {
    if (std::ranges::find(*commands, command) == commands->end()) commands->push_back(command);
  }
  if (fate(Sort::answer, message.machine)) {  // it is under way
    return capture({.sort = Sort::answer,
                    .fate = Fate::slow,
                    .node = message.node,
                    .machine = message.machine,
                    .sent = message.sent,
                    .commands = commands,
                    .term = message.term,
                    .incarnation = message.heartbeat.incarnation});
  }
  deliver_answer(message.machine, commands, message.term, message.heartbeat.incarnation, message.sent);
}

void Model::deliver_answer(std::size_t number, const std::optional<std::vector<wire::Command>>& commands, Term term,
                           AgentIncarnation incarnation, Instant sent) {
  Machine& machine = machines_[number];
  if (!machine.worker.alive || machine.worker.hung || machine.deaf || !machine.waits_until) return;
  if (*machine.waits_until != sent + constants::kHeartbeatTimeout || now_ >= *machine.waits_until) return;
  if (!commands) return turn_to(number, (machine.node + 1) % nodes_.size(), Millis(1000));
  machine.waits_until.reset();
  machine.next_heartbeat = now_ + (commands->empty() ? control::from_seconds(kReportS) : Millis(500));
  if (machine.worker.answer(term, *commands, incarnation, sent, now_)) {
    machine.lease_from = std::max(machine.lease_from, sent);
  }
}

// ---- users ----

// live/ first, then over/, as the front does.
Model::Seen Model::look(std::size_t node, const JobId& job) {
  Node& self = nodes_[node];
  if (const auto known = self.ended.find(job); known != self.ended.end()) return {.status = known->second, .live = {}};
  const kv::GetResult live = store_.get(state::active_job_key(job));
  if (live.status == Status::ok) {
    const state::JobRecord record = state::job_from(live.entry.data);
    return {.status = state::status_of(record), .live = record, .revision = live.entry.revision};
  }
  const kv::GetResult over = store_.get(state::finished_job_key(job));
  if (over.status != Status::ok) return {};
  return {.status = self.ended[job] = state::finished_job_from(job, over.entry.data), .live = {}};
}

void Model::submit(const wire::JobSpec& spec, std::size_t node) {
  rules_.on_submitted(spec);
  const auto number = history_.on_asked(Request::submission, spec.id, node, now_);
  const auto answer = [&](int status, std::optional<wire::JobState> state) {
    history_.on_answered(number, {.status = status, .state = state}, now_);
    if (!state) return;
    rules_.on_accepted(spec.id, now_);
    if (status == 200) rules_.on_told(spec.id, *state, now_);
    told_[spec.id] = *state;
  };
  if (!served(node)) return answer(503, {});
  const kv::Txn txn = state::create_job_txn(state::new_job(spec, wall_ms()));
  const auto found = fate(Sort::user, node);
  if (found == Fate::late)
    capture({.sort = Sort::user, .node = node, .sent = now_, .left = 2, .txn = txn, .creates = spec.id});
  const bool created = found != Fate::late && carry_out(txn, spec.id).status == Status::ok;
  if (created && !found) return answer(201, wire::JobState::pending);
  const Seen seen = look(node, spec.id);
  if (!seen.status) return answer(503, {});
  answer(200, seen.status->state);
}

void Model::cancel(const JobId& job, std::size_t node) {
  const auto number = history_.on_asked(Request::cancellation, job, node, now_);
  const auto answer = [&](int status, std::optional<wire::JobState> state) {
    history_.on_answered(number, {.status = status, .state = state}, now_);
    if (!state) return;
    rules_.on_told(job, *state, now_);
    told_[job] = *state;
    if (*state == wire::JobState::cancelled) withdrawn_.try_emplace(job, now_);
  };
  if (!served(node)) return answer(503, {});
  for (int tries = 0; tries < constants::kMaxConflictRetries; ++tries) {
    const Seen seen = look(node, job);
    if (!seen.status) return answer(404, {});
    if (!seen.live) return answer(200, seen.status->state);
    const kv::Txn txn = state::cancel_job_txn(*seen.live, seen.revision);
    const auto found = fate(Sort::user, node);
    if (found == Fate::late) {  // with no answer the front tries again
      capture({.sort = Sort::user, .node = node, .sent = now_, .left = 2, .txn = txn});
      continue;
    }
    if (store_.txn(txn).status == Status::ok && !found) {
      nodes_[node].ended[job] = {
          .id = job, .state = wire::JobState::cancelled, .done = seen.status->done, .running = 0};
      return answer(200, wire::JobState::cancelled);
    }
  }
  answer(503, {});
}

void Model::ask(const JobId& job, std::size_t node) {
  const auto number = history_.on_asked(Request::question, job, node, now_);
  if (!served(node) && !nodes_[node].ended.contains(job)) return history_.on_answered(number, {.status = 503}, now_);
  const Seen seen = look(node, job);
  history_.on_answered(
      number,
      {.status = seen.status ? 200 : 404, .state = seen.status ? std::optional(seen.status->state) : std::nullopt},
      now_);
  if (!seen.status) return rules_.on_told_unknown(job);
  rules_.on_told(job, seen.status->state, now_);
  told_[job] = seen.status->state;
  if (seen.status->state == wire::JobState::cancelled) withdrawn_.try_emplace(job, now_);
}

// ---- captured messages ----

bool Model::arrive(std::size_t number) {
  if (number >= captured_.size()) return false;
  const Message message = captured_[number];
  Node& node = nodes_[message.node];
  const bool to_store = !message.txn.changes.empty() && !message.result;
  const bool to_node = message.fate == Fate::slow || message.fate == Fate::held;
  if (to_store && outage_) return false;
  if (to_node && message.sort != Sort::heartbeat && node.frozen) return false;
  if (to_node && message.sort == Sort::write && node.stalled.contains(Duty::write)) return false;
  if (message.left > 1 && message.fate != Fate::held) {
    --captured_[number].left;
  } else {
    captured_.erase(captured_.begin() + static_cast<std::ptrdiff_t>(number));
  }
  const bool lives = node.life == message.life;
  switch (message.sort) {
    case Sort::lead:
      if (message.taking && lives && !node.controller.is_leader() && !node.taking && node.lease.number != 0)
        node.taking = message.taking;
      if (to_store) (void)store_.txn(message.txn);
      return true;
    case Sort::write: {
      const kv::TxnResult result = message.result ? *message.result : store_.txn(message.txn);
      if (!to_node || !lives) return true;
      node.writing = false;
      node.controller.end_write(*message.batch, result, now_);
      return true;
    }
    case Sort::user: (void)carry_out(message.txn, message.creates); return true;
    case Sort::heartbeat:
      if (message.fate == Fate::held) {
        if (machines_[message.machine].waits_until == message.sent + constants::kHeartbeatTimeout && !node.frozen) {
          deliver_heartbeat(message.machine, message.heartbeat, message.sent, message.node);
          return true;
        }
      }
      // Nobody waits for its answer, and it comes to every controller.
      for (Node& one : nodes_) {
        if (!one.frozen && one.controller.is_leader()) {
          (void)one.controller.on_heartbeat(message.heartbeat, now_);
        } else if (!one.frozen) {
          (void)one.holder.try_answer(message.heartbeat.machine, message.heartbeat.zone, message.heartbeat.term, now_);
        }
      }
      return true;
    case Sort::answer:
      if (message.fate == Fate::held) {
        end_answer(message);
      } else {
        deliver_answer(message.machine, message.commands, message.term, message.incarnation, message.sent);
      }
      return true;
    case Sort::halt: {
      Machine& machine = machines_[message.machine];
      if (machine.worker.alive && !machine.deaf && !machine.worker.hung) {
        (void)machine.worker.direct(message.term, message.incarnation, *message.commands, now_);
        machine.changed = true;
      }
      return true;
    }
    case Sort::ask: on_delegation_request(message); return true;
    case Sort::delegation:
      if (lives && node.holder.on_delegation(message.delegation, message.sent)) node.leader_answered = now_;
      return true;
  }
  return true;
}

std::optional<std::string> Model::breach() const {
  if (!rules_.broken().empty()) return rules_.broken().front();
  if (!history_.broken().empty()) return history_.broken().front();
  if (fault_) return "job table: " + *fault_;
  return std::nullopt;
}

}  // namespace foxshunt::explorer
