// What of a state matters, as text. Left out, and why, is in docs/design/explorer.md.
#include <algorithm>

#include "explorer/model.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::explorer {

namespace {

constexpr std::int64_t kHorizonMs = 30'000;  // every span of the small figures has ended by then

class Text {
 public:
  Text& operator<<(const std::string& part) {
    text_ += part;
    text_ += ' ';
    return *this;
  }
  template <typename Number>
  requires std::is_integral_v<Number> || std::is_enum_v<Number> Text& operator<<(Number number) {
    return *this << std::to_string(static_cast<std::int64_t>(number));
  }
  template <typename Tag>
  Text& operator<<(CountId<Tag> id) {
    return *this << id.number();
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace

std::string Model::digest() const {
  Text out;
  const auto away = [this](Instant when) {
    if (when == Instant{}) return std::string("-");
    return std::to_string(std::clamp<std::int64_t>((when - now_).count(), -kHorizonMs, kHorizonMs));
  };
  const auto wall_away = [this](std::int64_t when) {
    return std::clamp<std::int64_t>(when - wall_ms(), -kHorizonMs, kHorizonMs);
  };
  const state::LeadershipView lead = state::leadership_view(store_.get(state::kLeaderKey), store_.get(state::kTermKey));
  const auto term = [&](Term one) { return static_cast<std::int64_t>(lead.record.term.number() - one.number()); };
  const auto mark_now = [this](const std::string& key) { return store_.get(key).entry.revision; };
  const auto data = [&](const std::string& key, const wire::Value& value) {
    out << key;
    if (key.starts_with(state::kActiveJobPrefix) || key.starts_with(state::kTerminatingJobPrefix)) {
      const state::JobRecord record = state::job_from(value);
      if (!record.only_shard) return;
      out << record.only_shard->next_attempt;
      for (const bool done : record.only_shard->done) out << (done ? 1 : 0);
      for (const state::AllocationRecord& run : record.only_shard->allocations)
        out << run.index << run.attempt << run.machine.text() << run.incarnation;
    } else if (key.starts_with(state::kFinishedJobPrefix)) {
      out << value.text("end");
    }
  };
  // ---- the state service ----
  out << outage_ << parted_ << lead.record.leader.text() << (lead.leader_revision != Revision{});
  if (lead.leader_revision != Revision{}) {
    const auto lease = leases_.find(lead.leader_lease);
    out << (lease == leases_.end() ? "?" : away(lease->second));
  }
  out << wall_away(lead.older_leaders_until_wall_ms);
  for (const char* prefix : {state::kActiveJobPrefix, state::kFinishedJobPrefix, state::kTerminatingJobPrefix}) {
    for (const kv::Entry& entry : store_.list(prefix).entries) data(entry.key, entry.data);
  }
  // ---- controllers ----
  for (const Node& node : nodes_) {
    const control::Controller& controller = node.controller;
    out << "node" << node.frozen << node.refused << (node.lease.number != 0) << node.writing << node.leader_seen.text()
        << term(node.term_seen) << controller.is_leader() << controller.should_yield_leadership(now_);
    if (node.lease.number != 0 && leases_.contains(node.lease.number)) out << away(leases_.at(node.lease.number));
    for (const Duty duty : node.stalled) out << "stalled" << duty;
    for (const auto& [id, status] : node.ended) out << id.text() << status.state;
    if (node.taking)
      out << "taking" << term(node.taking->term) << away(node.taking->asked)
          << (node.taking->revision == mark_now(state::kTermKey)) << wall_away(node.taking->until_wall_ms);
    if (setup_->delegations) {
      zone::DelegatedLease probe = node.holder;
      out << "holds" << (node.leader_answered ? away(*node.leader_answered) : "-");
      for (const Machine& machine : machines_) {
        const auto may = probe.try_answer(machine.worker.id(), machine.zone, Term{}, now_);
        out << (may ? term(*may) : -1);
      }
      if (probe.until()) out << away(*probe.until());
      zone::DelegatedLease asks = node.holder;
      const zone::DelegationRequest ask = asks.next_request(node.term_seen, now_);
      out << (ask.holds != zone::DelegationNumber{});
      for (const zone::DelegationUse& use : ask.uses) out << use.machine.text() << use.ago.count();
    }
    if (!controller.is_leader()) continue;
    out << term(controller.term()) << (controller.term_revision() == mark_now(state::kTermKey)) << away(node.lease_at)
        << away(node.read_at) << away(node.older_leaders_until) << controller.needs_planning();
    for (const kv::Event& event : store_.watch(state::kActiveJobPrefix, node.watch_from).events)
      event.data ? data(event.key, *event.data) : void(out << event.key << "gone");
    for (const auto& [id, job] : controller.jobs()) {
      out << id.text() << (job.revision == mark_now(state::active_job_key(id))) << job.cancelled << job.had_allocations
          << job.reload << job.done_count << job.has_run << job.consecutive_errors << away(job.not_before)
          << job.failed_on.size() << (job.barrier_deadline ? away(*job.barrier_deadline) : "-");
      for (const jobs::JobShard& part : job.shards) {
        out << part.next_attempt << part.dirty << part.in_flight << part.reload;
        for (const bool done : part.done) out << (done ? 1 : 0);
        for (const auto& [index, run] : part.allocations) {
          out << index << run.attempt << run.machine.text() << run.incarnation << static_cast<bool>(run.durable)
              << run.adopted << run.stopping << away(run.stop_due)
              << (run.reported_state ? static_cast<int>(*run.reported_state) : -1) << away(run.placed_at);
        }
      }
    }
    for (const auto& [id, machine] : controller.machines()) {
      out << id.text() << machine.state << machine.has_reported << machine.has_seen_term << machine.incarnation
          << away(machine.last_heartbeat) << machine.expired << machine.stopping << machine.has_unknown_tasks
          << machine.zone << machine.errors << away(machine.first_seen);
      if (setup_->delegations) out << away(controller.delegations().renewed_until(machine.zone, id));
    }
    if (setup_->delegations) out << controller.delegations().have_older_terms_ended();
  }
  // ---- machines ----
  for (const Machine& machine : machines_) {
    standins::Worker worker = machine.worker;  // its attempts can be looked at by who may change them
    out << worker.id().text() << worker.alive << worker.hung << machine.deaf << machine.node << machine.changed
        << away(machine.next_heartbeat) << away(machine.lease_from)
        << (machine.waits_until ? away(*machine.waits_until) : "-") << term(worker.term()) << worker.incarnation();
    for (const auto& [key, attempt] : worker.attempts()) {
      out << key.first.text() << key.second << attempt.state << attempt.reason << attempt.on_machine
          << (attempt.began ? away(*attempt.began + attempt.length) : "-");
    }
  }
  for (const auto& [machine, node] : cuts_) out << "cut" << machine << node;
  // ---- on the way ----
  for (const auto& [what, fate] : armed_) out << "armed" << what.first << what.second << fate;
  for (const Message& message : captured_) {
    out << "captured" << message.sort << message.fate << message.node << (nodes_[message.node].life == message.life)
        << message.machine << away(message.sent) << message.left << term(message.term) << message.incarnation;
    for (const kv::Precondition& condition : message.txn.preconditions)
      out << condition.key << (condition.revision == mark_now(condition.key)) << (condition.revision == Revision{});
    for (const kv::Change& change : message.txn.changes)
      change.data ? data(change.key, *change.data) : void(out << change.key << "gone");
    if (message.batch) out << (message.batch->term_revision == nodes_[message.node].controller.term_revision());
    if (message.result) out << message.result->status;
    if (message.taking) out << term(message.taking->term);
    if (message.sort == Sort::heartbeat || message.sort == Sort::answer) {
      const wire::Heartbeat& heartbeat = message.heartbeat;
      out << heartbeat.incarnation << term(heartbeat.term);
      for (const wire::TaskStatus& task : heartbeat.tasks) out << task.task.text() << task.attempt << task.state;
      for (const Node& node : nodes_) {
        const auto known = node.controller.machines().find(heartbeat.machine);
        if (known != node.controller.machines().end()) out << (known->second.sequence < heartbeat.sequence);
      }
    }
    if (message.commands) {
      for (const wire::Command& command : *message.commands)
        out << command.kind << command.task.text() << command.attempt;
    }
    if (message.sort == Sort::delegation) out << term(message.delegation.term) << message.delegation.age.count();
    for (const MachineId& except : message.delegation.except) out << except.text();
    if (message.sort == Sort::ask) out << term(message.ask.term) << (message.ask.holds != zone::DelegationNumber{});
  }
  // ---- users ----
  for (const auto& [id, state] : told_) out << id.text() << state;
  for (const auto& [id, since] : withdrawn_) out << id.text() << away(since);
  for (const TaskKey& task : done_) out << task.text();
  return out.text();
}

}  // namespace foxshunt::explorer
