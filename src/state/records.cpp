#include "state/records.h"

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::state {

using wire::Malformed;
using wire::Value;

std::string live_key(const JobId& job) { return kLivePrefix + job.text(); }
std::string over_key(const JobId& job) { return kOverPrefix + job.text(); }
std::string linger_key(const JobId& job) { return kLingerPrefix + job.text(); }
std::string part_key(const JobId& job, std::uint32_t part) {
  return kPartPrefix + job.text() + "/" + std::to_string(part);
}

std::optional<JobId> job_of_key(const std::string& key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos) return std::nullopt;
  const std::string rest = key.substr(slash + 1, key.find('/', slash + 1) - slash - 1);
  if (!wire::is_job_id(rest)) return std::nullopt;
  return JobId(rest);
}

std::optional<std::uint32_t> part_of_key(const std::string& key) {
  const std::string text = key.substr(key.rfind('/') + 1);
  if (!key.starts_with(kPartPrefix) || text.empty() || text.size() > 9 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::stoul(text));
}

std::uint32_t parts_of(std::uint32_t tasks) {
  return (tasks + constants::kTasksPerPart - 1) / constants::kTasksPerPart;
}

std::uint32_t part_size(std::uint32_t tasks, std::uint32_t part) {
  return std::min(constants::kTasksPerPart, tasks - part * constants::kTasksPerPart);
}

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

// Which tasks are done, four a digit, lowest first; trailing zeros are left out.
std::string bits_to_text(const std::vector<bool>& bits) {
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < 4 && at * 4 + bit < bits.size(); ++bit) {
      if (bits[at * 4 + bit]) digit |= 1U << bit;
    }
    text[at] = kHexDigits[digit];
  }
  text.erase(text.find_last_not_of('0') + 1);
  return text;
}

std::vector<bool> bits_from_text(const std::string& text, std::uint32_t size) {
  std::vector<bool> bits(size);
  for (std::size_t at = 0; at < text.size(); ++at) {
    const std::size_t digit = kHexDigits.find(text[at]);
    if (digit == std::string_view::npos) throw Malformed("done: not a hexadecimal digit");
    for (std::size_t bit = 0; bit < 4; ++bit) {
      if ((digit >> bit & 1U) == 0) continue;
      if (at * 4 + bit >= size) throw Malformed("done: too many tasks");
      bits[at * 4 + bit] = true;
    }
  }
  return bits;
}

}  // namespace

Value to_value(const PartRecord& part) {
  Value::List runs;
  for (const RunRecord& run : part.runs) {
    runs.emplace_back(
        Value::List{std::uint64_t{run.index}, run.attempt.number(), run.machine.text(), run.session.number()});
  }
  return Value::Map{{"next", part.next.number()}, {"done", bits_to_text(part.done)}, {"runs", std::move(runs)}};
}

PartRecord part_from(const Value& value, std::uint32_t size) {
  PartRecord part;
  part.next = AttemptNo(value.count("next"));
  part.done = bits_from_text(value.text("done"), size);
  for (const Value& entry : value.list("runs")) {
    const Value::List* run = entry.as_list();
    if (run == nullptr || run->size() != 4 || (*run)[0].as_count() == nullptr || (*run)[1].as_count() == nullptr ||
        (*run)[2].as_text() == nullptr || (*run)[3].as_count() == nullptr) {
      throw Malformed("runs: entry is not a placement");
    }
    part.runs.push_back({.index = static_cast<std::uint32_t>(*(*run)[0].as_count()),
                         .attempt = AttemptNo(*(*run)[1].as_count()),
                         .machine = MachineId(*(*run)[2].as_text()),
                         .session = SessionNo(*(*run)[3].as_count())});
  }
  return part;
}

Value to_value(const JobRecord& job) {
  Value::Map map{{"spec", wire::to_value(job.spec)}, {"at", static_cast<std::uint64_t>(job.submitted_wall_ms)}};
  if (job.whole) {
    map.emplace_back("whole", to_value(*job.whole));
  } else {
    map.emplace_back("done", job.done_shown);
    map.emplace_back("running", job.running_shown);
  }
  return map;
}

JobRecord job_from(const Value& value) {
  JobRecord job;
  job.spec = wire::job_spec_from(value["spec"]);
  job.submitted_wall_ms = static_cast<std::int64_t>(value.count("at"));
  if (!value["whole"].is_null()) {
    job.whole = part_from(value["whole"], part_size(job.spec.tasks, 0));
  } else {
    job.done_shown = value.count("done");
    job.running_shown = value.count("running");
  }
  return job;
}

Value over_value(const wire::JobStatus& status) {
  return Value::Map{{"end", wire::name_of(status.state)}, {"done", status.done}};
}

wire::JobStatus over_from(const JobId& job, const Value& value) {
  const std::string& end = value.text("end");
  if (end != "done" && end != "withdrawn") throw Malformed("end: unknown value");
  return {.id = job,
          .state = end == "done" ? wire::JobState::done : wire::JobState::withdrawn,
          .done = value.count("done"),
          .running = 0};
}

wire::JobStatus status_of(const JobRecord& job) {
  wire::JobStatus status{.id = job.spec.id};
  if (job.whole) {
    status.done = static_cast<std::uint64_t>(std::ranges::count(job.whole->done, true));
    status.running = job.whole->runs.size();
  } else {
    status.done = job.done_shown;
    status.running = job.running_shown;
  }
  status.state = status.running > 0 ? wire::JobState::running : wire::JobState::pending;
  return status;
}

JobRecord new_job(const wire::JobSpec& spec, std::int64_t wall_ms) {
  JobRecord job{.spec = spec, .submitted_wall_ms = wall_ms, .whole = {}};
  if (parts_of(spec.tasks) == 1) {
    job.whole = PartRecord{.next = AttemptNo{1}, .done = std::vector<bool>(spec.tasks), .runs = {}};
  }
  return job;
}

kv::Txn accept_txn(const JobRecord& job) {
  const std::string live = live_key(job.spec.id);
  if (!guards::kept(guards::Guard::accept_once)) {
    return {.conditions = {}, .changes = {{.key = live, .data = to_value(job), .lease = {}}}};
  }
  return {.conditions = {{.key = live, .mark = {}}, {.key = over_key(job.spec.id), .mark = {}}},
          .changes = {{.key = live, .data = to_value(job), .lease = {}}}};
}

kv::Txn withdraw_txn(const JobRecord& job, Revision mark) {
  const JobId& id = job.spec.id;
  const wire::JobStatus withdrawn{
      .id = id, .state = wire::JobState::withdrawn, .done = status_of(job).done, .running = 0};
  kv::Txn txn{.conditions = {{.key = live_key(id), .mark = mark}, {.key = over_key(id), .mark = {}}},
              .changes = {{.key = live_key(id), .data = {}, .lease = {}},
                          {.key = over_key(id), .data = over_value(withdrawn), .lease = {}}}};
  if (!guards::kept(guards::Guard::withdraw_mark)) txn.conditions.clear();
  if (!guards::kept(guards::Guard::withdraw_lingers)) return txn;
  // What the job may have on machines is kept until a leader has proved it gone.
  if (!job.whole || !job.whole->runs.empty()) {
    txn.changes.push_back({.key = linger_key(id), .data = to_value(job), .lease = {}});
  }
  return txn;
}

LeadView lead_view(const kv::GetResult& holder, const kv::GetResult& term) {
  LeadView view{.holder_mark = holder.entry.mark, .term_mark = term.entry.mark};
  if (holder.answer == kv::Answer::ok && !holder.entry.data["tether"].is_null()) {
    view.holder_lease = holder.entry.data.count("tether");
  }
  if (term.answer == kv::Answer::ok) {
    view.record = term_from(term.entry.data);
    view.others_until_wall_ms = static_cast<std::int64_t>(term.entry.data.count("until"));
  }
  return view;
}

std::int64_t others_until(const LeadView& view, std::int64_t wall_ms, std::int64_t fence_ms, std::int64_t skew_ms) {
  if (view.term_mark == Revision{}) return 0;
  // The last leader reckons its fence, and the end of what it granted to siblings, from when its lease was last
  // confirmed, which was before now. That holds also if it was this node's earlier life: its holders live on.
  return wall_ms + fence_ms + 2 * skew_ms;
}

kv::Txn take_lead_txn(const LeadView& view, const NodeName& node, kv::LeaseId lease,
                      std::int64_t others_until_wall_ms) {
  Value record = to_value(TermRecord{.term = view.record.term.next(), .leader = node});
  record.as_map()->emplace_back("until", static_cast<std::uint64_t>(others_until_wall_ms));
  return {.conditions = {{.key = kHolderKey, .mark = view.holder_mark}, {.key = kTermKey, .mark = view.term_mark}},
          .changes = {
              {.key = kHolderKey, .data = Value::Map{{"node", node.text()}, {"tether", lease.number}}, .lease = lease},
              {.key = kTermKey, .data = record, .lease = {}}}};
}

Value to_value(const TermRecord& term) {
  return Value::Map{{"term", term.term.number()}, {"leader", term.leader.text()}};
}

TermRecord term_from(const Value& value) {
  return {.term = Term(value.count("term")), .leader = NodeName(value.text("leader"))};
}

}  // namespace foxshunt::state
