#include "standby/words.h"

#include <cmath>

#include "config/constants.h"

namespace foxshunt::standby {

using wire::Malformed;
using wire::Value;

namespace {

// Of words and asks. A node that reads another number takes nothing from it.
constexpr std::uint64_t kFormat = 1;
// CBOR's largest head, of a number, a text or a list.
constexpr std::size_t kHead = 9;
// More than any clock counts to that a host could have: some 70 years.
constexpr std::uint64_t kClockMostMs = 1ULL << 41;

std::uint64_t count_ms(Instant when) {
  return static_cast<std::uint64_t>(std::max<Millis::rep>(0, when.time_since_epoch().count()));
}
std::uint64_t count_ms(Millis span) { return static_cast<std::uint64_t>(std::max<Millis::rep>(0, span.count())); }

Instant instant_of(std::uint64_t count, const char* field) {
  if (count > kClockMostMs) throw Malformed(std::string(field) + ": no time of a clock");
  return Instant(Millis(static_cast<Millis::rep>(count)));
}

// Reads the fields of a fact one after the other.
class Fields {
 public:
  explicit Fields(const Value::List& list) : list_(list) {}

  [[nodiscard]] bool over() const { return at_ == list_.size(); }
  const std::string& text() {
    const std::string* found = next().as_text();
    if (found == nullptr || found->size() > constants::kMaxStandbyText) throw Malformed("facts: a text is missing");
    return *found;
  }
  std::uint64_t count() {
    const std::uint64_t* found = next().as_count();
    if (found == nullptr) throw Malformed("facts: a number is missing");
    return *found;
  }
  bool flag() {
    const bool* found = next().as_bool();
    if (found == nullptr) throw Malformed("facts: a flag is missing");
    return *found;
  }
  double amount() {
    const double* found = next().as_real();
    if (found == nullptr || !std::isfinite(*found) || *found < 0) throw Malformed("facts: an amount is missing");
    return *found;
  }
  Instant instant() { return instant_of(count(), "facts"); }
  Millis span() { return instant_of(count(), "facts").time_since_epoch(); }
  std::optional<std::uint64_t> perhaps_count() {
    if (!skip_null()) return count();
    return std::nullopt;
  }
  std::optional<Instant> perhaps_instant() {
    if (!skip_null()) return instant();
    return std::nullopt;
  }
  const Value::List& list() {
    const Value::List* found = next().as_list();
    if (found == nullptr || found->size() > constants::kMaxStandbyList) throw Malformed("facts: a list is missing");
    return *found;
  }

 private:
  const Value& next() {
    if (over()) throw Malformed("facts: one is cut short");
    return list_[at_++];
  }
  bool skip_null() {
    if (over() || !list_[at_].is_null()) return false;
    ++at_;
    return true;
  }

  const Value::List& list_;
  std::size_t at_ = 0;
};

// ---- what a fact says ----

void put(Value::List& into, const Shared<Machine>& machine) {
  Value::List images(machine->images.begin(), machine->images.end());
  for (Value field : {Value(machine->address), Value(machine->type), Value(machine->zone), Value(machine->spot),
                      Value(machine->up), Value(machine->incarnation.number()), Value(count_ms(machine->since)),
                      Value(count_ms(machine->ready)), Value(machine->errors), Value(std::move(images))}) {
    into.push_back(std::move(field));
  }
}
EntryValue machine_from(Fields& fields) {
  Machine machine;
  machine.address = fields.text();
  machine.type = fields.text();
  machine.zone = fields.text();
  machine.spot = fields.flag();
  machine.up = fields.flag();
  machine.incarnation = AgentIncarnation(fields.count());
  machine.since = fields.instant();
  machine.ready = fields.instant();
  machine.errors = fields.count();
  const Value::List& images = fields.list();
  Fields names(images);
  while (!names.over()) machine.images.push_back(names.text());
  return Shared(std::move(machine));
}

void put(Value::List& into, const Task& task) {
  into.emplace_back(task.attempt.number());
  into.push_back(task.began ? Value(count_ms(*task.began)) : Value());
  into.emplace_back(count_ms(task.saved));
}
EntryValue task_from(Fields& fields) {
  Task task;
  task.attempt = AttemptNumber(fields.count());
  task.began = fields.perhaps_instant();
  task.saved = fields.span();
  return task;
}

void put(Value::List& into, const Shared<JobFailures>& trouble) {
  into.emplace_back(trouble->errors);
  into.emplace_back(count_ms(trouble->not_before));
  Value::List machines;
  for (const MachineId& machine : trouble->failed_on) machines.emplace_back(machine.text());
  into.emplace_back(std::move(machines));
}
EntryValue trouble_from(Fields& fields) {
  JobFailures trouble;
  trouble.errors = fields.count();
  trouble.not_before = fields.instant();
  const Value::List& machines = fields.list();
  Fields names(machines);
  while (!names.over()) trouble.failed_on.emplace_back(names.text());
  return Shared(std::move(trouble));
}

void put(Value::List& into, const Shared<Refusal>& refusal) {
  into.emplace_back(refusal->zone);
  into.emplace_back(refusal->spot);
  into.emplace_back(count_ms(refusal->not_before));
  into.emplace_back(count_ms(refusal->pause));
  into.push_back(refusal->most ? Value(*refusal->most) : Value());
}
EntryValue refusal_from(Fields& fields) {
  Refusal refusal;
  refusal.zone = fields.text();
  refusal.spot = fields.flag();
  refusal.not_before = fields.instant();
  refusal.pause = fields.span();
  refusal.most = fields.perhaps_count();
  return Shared(std::move(refusal));
}

void put(Value::List& into, const Arrivals& arrivals) {
  into.emplace_back(count_ms(arrivals.from));
  into.emplace_back(arrivals.jobs);
  into.emplace_back(arrivals.tasks);
}
EntryValue arrivals_from(Fields& fields) {
  Arrivals arrivals;
  arrivals.from = fields.instant();
  arrivals.jobs = fields.count();
  arrivals.tasks = fields.count();
  if (arrivals.jobs > constants::kMaxStandbyArrivals) throw Malformed("facts: too many arrivals at once");
  return arrivals;
}

void put(Value::List& into, const Shared<Sample>& sample) {
  for (const double amount : {sample->cpus, sample->gpus, sample->ram_gb, sample->image_gb, sample->estimate_s}) {
    into.emplace_back(amount);
  }
  into.emplace_back(sample->spot);
  into.emplace_back(sample->largest);
}
EntryValue sample_from(Fields& fields) {
  Sample sample;
  for (double* amount : {&sample.cpus, &sample.gpus, &sample.ram_gb, &sample.image_gb, &sample.estimate_s}) {
    *amount = fields.amount();
  }
  sample.spot = fields.flag();
  sample.largest = std::min<std::uint64_t>(fields.count(), constants::kTasksPerJobMost);
  return Shared(sample);
}

void put(Value::List& into, const Shared<GpuDemand>& demand) {
  into.emplace_back(demand->cpus_beside);
  into.emplace_back(demand->ram_beside);
  Value::List peaks;
  for (const auto& [when, items] : demand->peaks) {
    peaks.emplace_back(count_ms(when));
    peaks.emplace_back(items);
  }
  into.emplace_back(std::move(peaks));
}
EntryValue gpus_from(Fields& fields) {
  GpuDemand demand;
  demand.cpus_beside = fields.count();
  demand.ram_beside = fields.count();
  const Value::List& peaks = fields.list();
  Fields numbers(peaks);
  while (!numbers.over()) {
    const Instant when = numbers.instant();
    demand.peaks.emplace_back(when, numbers.count());
  }
  return Shared(std::move(demand));
}

EntryValue what_from(Kind kind, Fields& fields) {
  switch (kind) {
    case Kind::machine: return machine_from(fields);
    case Kind::task: return task_from(fields);
    case Kind::trouble: return trouble_from(fields);
    case Kind::refusal: return refusal_from(fields);
    case Kind::arrivals: return arrivals_from(fields);
    case Kind::sample: return sample_from(fields);
    case Kind::gpus: return gpus_from(fields);
  }
  throw Malformed("facts: of no known kind");
}

Change change_from(const Value& value) {
  const Value::List* list = value.as_list();
  if (list == nullptr) throw Malformed("facts: must be lists");
  Fields fields(*list);
  Change change;
  const std::uint64_t kind = fields.count();
  if (kind >= kKinds) throw Malformed("facts: of no known kind");
  change.key.kind = static_cast<Kind>(kind);
  change.key.name = fields.text();
  const std::uint64_t number = fields.count();
  if (number > UINT32_MAX) throw Malformed("facts: a number is too high");
  change.key.number = static_cast<std::uint32_t>(number);
  if (fields.over()) return change;
  change.what = what_from(change.key.kind, fields);
  if (!fields.over()) throw Malformed("facts: one has too many fields");
  return change;
}

std::size_t texts_of(const std::vector<std::string>& texts) {
  std::size_t bytes = 0;
  for (const std::string& text : texts) bytes += text.size() + kHead;
  return bytes;
}

struct Bytes {
  std::size_t operator()(const Shared<Machine>& machine) const {
    return machine->address.size() + machine->type.size() + machine->zone.size() + 10 * kHead +
           texts_of(machine->images);
  }
  std::size_t operator()(const Task&) const { return 3 * kHead; }
  std::size_t operator()(const Shared<JobFailures>& trouble) const {
    std::size_t bytes = 3 * kHead;
    for (const MachineId& machine : trouble->failed_on) bytes += machine.text().size() + kHead;
    return bytes;
  }
  std::size_t operator()(const Shared<Refusal>& refusal) const { return refusal->zone.size() + 5 * kHead; }
  std::size_t operator()(const Arrivals&) const { return 3 * kHead; }
  std::size_t operator()(const Shared<Sample>&) const { return 7 * kHead; }
  std::size_t operator()(const Shared<GpuDemand>& demand) const { return (3 + 2 * demand->peaks.size()) * kHead; }
};

void check_format(const Value& value) {
  if (value.count("standby") != kFormat) throw Malformed("standby: another program's format");
}

}  // namespace

std::size_t bytes_of(const Change& change) {
  const std::size_t key = change.key.name.size() + 4 * kHead;
  return key + (change.what ? std::visit(Bytes{}, *change.what) : 0);
}

Value to_value(const SnapshotRequest& ask) {
  return Value::Map{{"standby", kFormat},
                    {"node", ask.node.text()},
                    {"number", ask.number},
                    {"life", ask.life},
                    {"held", ask.sequence}};
}

SnapshotRequest snapshot_request_from(const Value& value) {
  check_format(value);
  return {.node = NodeName(value.text("node")),
          .number = value.count("number"),
          .life = value.count("life"),
          .sequence = value.count("held")};
}

Value to_value(const Message& word) {
  Value::List entries;
  entries.reserve(word.changes.size());
  for (const Change& change : word.changes) {
    Value::List fact;
    fact.reserve(14);
    fact.emplace_back(static_cast<std::uint64_t>(change.key.kind));
    fact.emplace_back(change.key.name);
    fact.emplace_back(std::uint64_t{change.key.number});
    if (change.what) std::visit([&fact](const auto& what) { put(fact, what); }, *change.what);
    entries.emplace_back(std::move(fact));
  }
  return Value::Map{{"standby", kFormat},         {"number", word.number},      {"life", word.life},
                    {"term", word.term.number()}, {"at", count_ms(word.at)},    {"taken", count_ms(word.taken)},
                    {"starts", word.starts_s},    {"after", word.after},        {"upto", word.upto},
                    {"last", word.last},          {"facts", std::move(entries)}};
}

Message message_from(const Value& value) {
  check_format(value);
  Message word{.number = value.count("number"),
               .life = value.count("life"),
               .term = Term(value.count("term")),
               .at = instant_of(value.count("at"), "at"),
               .taken = instant_of(value.count("taken"), "taken"),
               .starts_s = value.amount("starts"),
               .after = value.count("after"),
               .upto = value.count("upto"),
               .last = value.count("last"),
               .changes = {}};
  if (word.life == 0) throw Malformed("life: must be above 0");
  if (word.after > word.upto || word.upto > word.last) throw Malformed("upto: is out of order");
  if (word.taken > word.at) throw Malformed("taken: is yet to come");
  const Value::List& entries = value.list("facts");
  word.changes.reserve(entries.size());
  for (const Value& fact : entries) word.changes.push_back(change_from(fact));
  return word;
}

}  // namespace foxshunt::standby
