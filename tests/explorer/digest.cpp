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
  const state::LeadView lead = state::lead_view(store_.get(state::kHolderKey), store_.get(state::kTermKey));
  const auto term = [&](Term one) { return static_cast<std::int64_t>(lead.record.term.number() - one.number()); };
  const auto mark_now = [this](const std::string& key) { return store_.get(key).entry.mark; };
  const auto data = [&](const std::string& key, const wire::Value& value) {
    out << key;
    if (key.starts_with(state::kLivePrefix) || key.starts_with(state::kLingerPrefix)) {
      const state::JobRecord record = state::job_from(value);
      if (!record.whole) return;
      out << record.whole->next;
      for (const bool done : record.whole->done) out << (done ? 1 : 0);
      for (const state::RunRecord& run : record.whole->runs)
        out << run.index << run.attempt << run.machine.text() << run.session;
    } else if (key.starts_with(state::kOverPrefix)) {
      out << value.text("end");
    }
  };
  // ---- the state service ----
  out << outage_ << parted_ << lead.record.leader.text() << (lead.holder_mark != Revision{});
  if (lead.holder_mark != Revision{}) {
    const auto lease = leases_.find(lead.holder_lease);
    out << (lease == leases_.end() ? "?" : away(lease->second));
  }
  out << wall_away(lead.others_until_wall_ms);
  for (const char* prefix : {state::kLivePrefix, state::kOverPrefix, state::kLingerPrefix}) {
    for (const kv::Entry& entry : store_.list(prefix).entries) data(entry.key, entry.data);
  }
  // ---- controllers ----
  for (const Node& node : nodes_) {
    const control::Engine& engine = node.engine;
    out << "node" << node.frozen << node.refused << (node.lease.number != 0) << node.writing << node.leader_seen.text()
        << term(node.term_seen) << engine.leading() << engine.gives_way(now_);
    if (node.lease.number != 0 && leases_.contains(node.lease.number)) out << away(leases_.at(node.lease.number));
    for (const Duty duty : node.stalled) out << "stalled" << duty;
    for (const auto& [id, status] : node.ended) out << id.text() << status.state;
    if (node.taking)
      out << "taking" << term(node.taking->term) << away(node.taking->asked)
          << (node.taking->mark == mark_now(state::kTermKey)) << wall_away(node.taking->until_wall_ms);
    if (setup_->grants) {
      zone::Holder probe = node.holder;
      out << "holds" << (node.leader_answered ? away(*node.leader_answered) : "-");
      for (const Machine& machine : machines_) {
        const auto may = probe.answers(machine.worker.id(), machine.zone, Term{}, now_);
        out << (may ? term(*may) : -1);
      }
      if (probe.until()) out << away(*probe.until());
      zone::Holder asks = node.holder;
      const zone::Ask ask = asks.next_ask(node.term_seen, now_);
      out << (ask.holds != zone::GrantNo{});
      for (const zone::Use& use : ask.uses) out << use.machine.text() << use.ago.count();
    }
    if (!engine.leading()) continue;
    out << term(engine.term()) << (engine.term_mark() == mark_now(state::kTermKey)) << away(node.lease_at)
        << away(node.read_at) << away(node.others_until) << engine.plan_wanted();
    for (const kv::Event& event : store_.follow(state::kLivePrefix, node.follow_from).events)
      event.data ? data(event.key, *event.data) : void(out << event.key << "gone");
    for (const auto& [id, job] : engine.jobs()) {
      out << id.text() << (job.mark == mark_now(state::live_key(id))) << job.withdrawn << job.had_runs << job.reload
          << job.done_count << job.begun << job.errors << away(job.not_before) << job.failed_on.size()
          << (job.gather_until ? away(*job.gather_until) : "-");
      for (const jobs::Part& part : job.parts) {
        out << part.next << part.dirty << part.in_flight << part.reload;
        for (const bool done : part.done) out << (done ? 1 : 0);
        for (const auto& [index, run] : part.runs) {
          out << index << run.attempt << run.machine.text() << run.session << static_cast<bool>(run.durable)
              << run.adopted << run.halting << away(run.halt_due) << (run.seen ? static_cast<int>(*run.seen) : -1)
              << away(run.placed);
        }
      }
    }
    for (const auto& [id, machine] : engine.machines()) {
      out << id.text() << machine.state << machine.reported << machine.saw_term << machine.session
          << away(machine.last_report) << machine.expired << machine.halting << machine.strangers << machine.zone
          << machine.errors << away(machine.known);
      if (setup_->grants) out << away(engine.grants().renewed_until(machine.zone, id));
    }
    if (setup_->grants) out << engine.grants().older_terms_over();
  }
  // ---- machines ----
  for (const Machine& machine : machines_) {
    standins::Worker worker = machine.worker;  // its attempts can be looked at by who may change them
    out << worker.id().text() << worker.alive << worker.hung << machine.deaf << machine.node << machine.changed
        << away(machine.next_report) << away(machine.lease_from)
        << (machine.waits_until ? away(*machine.waits_until) : "-") << term(worker.term()) << worker.session();
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
        << message.machine << away(message.sent) << message.left << term(message.term) << message.session;
    for (const kv::Condition& condition : message.txn.conditions)
      out << condition.key << (condition.mark == mark_now(condition.key)) << (condition.mark == Revision{});
    for (const kv::Change& change : message.txn.changes)
      change.data ? data(change.key, *change.data) : void(out << change.key << "gone");
    if (message.batch) out << (message.batch->term_mark == nodes_[message.node].engine.term_mark());
    if (message.result) out << message.result->answer;
    if (message.taking) out << term(message.taking->term);
    if (message.sort == Sort::report || message.sort == Sort::answer) {
      const wire::Report& report = message.report;
      out << report.session << term(report.term);
      for (const wire::TaskReport& task : report.tasks) out << task.task.text() << task.attempt << task.state;
      for (const Node& node : nodes_) {
        const auto known = node.engine.machines().find(report.machine);
        if (known != node.engine.machines().end()) out << (known->second.sequence < report.sequence);
      }
    }
    if (message.commands) {
      for (const wire::Command& command : *message.commands)
        out << command.kind << command.task.text() << command.attempt;
    }
    if (message.sort == Sort::grant) out << term(message.grant.term) << message.grant.age.count();
    for (const MachineId& except : message.grant.except) out << except.text();
    if (message.sort == Sort::ask) out << term(message.ask.term) << (message.ask.holds != zone::GrantNo{});
  }
  // ---- users ----
  for (const auto& [id, state] : told_) out << id.text() << state;
  for (const auto& [id, since] : withdrawn_) out << id.text() << away(since);
  for (const TaskKey& task : done_) out << task.text();
  return out.text();
}

}  // namespace foxshunt::explorer
