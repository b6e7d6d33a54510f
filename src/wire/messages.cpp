#include "wire/messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "wire/limits.h"

namespace foxshunt::wire {
namespace {

template <typename Enum>
struct Names {
  std::vector<std::pair<Enum, std::string_view>> pairs;

  [[nodiscard]] std::string_view of(Enum item) const {
    for (const auto& [value, name] : pairs) {
      if (value == item) return name;
    }
    return "?";
  }
  [[nodiscard]] Enum from(const Value& body, std::string_view key) const {
    const std::string& text = body.text(key);
    for (const auto& [value, name] : pairs) {
      if (name == text) return value;
    }
    throw Malformed(std::string(key) + ": unknown value");
  }
};

const Names<JobKind> kKinds{{{JobKind::array, "array"}, {JobKind::gang, "ensemble"}, {JobKind::service, "service"}}};
const Names<Priority> kPriorities{{{Priority::production, "production"},
                                   {Priority::high, "high"},
                                   {Priority::standard, "standard"},
                                   {Priority::best_effort, "best_effort"}}};
const Names<JobState> kJobStates{{{JobState::pending, "pending"},
                                  {JobState::running, "running"},
                                  {JobState::done, "done"},
                                  {JobState::cancelled, "withdrawn"}}};
const Names<TaskState> kTaskStates{{{TaskState::fetching, "fetching"},
                                    {TaskState::waiting, "waiting"},
                                    {TaskState::running, "running"},
                                    {TaskState::saving, "saving"},
                                    {TaskState::ended, "ended"}}};
const Names<EndReason> kReasons{{{EndReason::done, "done"},
                                 {EndReason::stopped, "stopped"},
                                 {EndReason::peers_gone, "mates_gone"},
                                 {EndReason::alone, "alone"},
                                 {EndReason::error, "error"},
                                 {EndReason::no_room, "no_room"},
                                 {EndReason::in_use, "in_use"},
                                 {EndReason::unknown, "unknown"}}};
const Names<CommandKind> kCommands{
    {{CommandKind::run, "run"}, {CommandKind::stop, "halt"}, {CommandKind::clear, "clear"}}};
const Names<ListedState> kListed{
    {{ListedState::starting, "starting"}, {ListedState::running, "running"}, {ListedState::failed, "failed"}}};

std::string text_or_empty(const Value& body, std::string_view key) {
  return body[key].is_null() ? std::string() : body.text(key);
}

// Names end up in records and logs; absurd ones are refused.
std::string name_from(const Value& body, std::string_view key) {
  const std::string& text = body.text(key);
  if (text.empty() || text.size() > 200) throw Malformed(std::string(key) + ": must have 1 to 200 bytes");
  return text;
}

double amount_below(const Value& body, std::string_view key, double limit) {
  const double amount = body.amount(key);
  if (amount > limit) throw Malformed(std::string(key) + ": absurdly large");
  return amount;
}

constexpr double kMostAmount = 1e9;  // seconds, CPUs or gigabytes; anything above is a mistake

void expect_map(const Value& body) {
  if (body.as_map() == nullptr) throw Malformed("not a map");
}

template <typename Item, typename Read>
std::vector<Item> list_of(const Value::List& list, Read read) {
  std::vector<Item> found;
  found.reserve(list.size());
  for (const Value& entry : list) found.push_back(read(entry));
  return found;
}

std::string text_item(const Value& entry) {
  const std::string* text = entry.as_text();
  if (text == nullptr) throw Malformed("list entry must be text");
  return *text;
}

Value text_list(const std::vector<std::string>& texts) {
  Value::List list;
  for (const std::string& text : texts) list.emplace_back(text);
  return list;
}

}  // namespace

bool is_job_id(std::string_view text) {
  if (text.size() < 8 || text.size() > 20 || !text.starts_with("j-")) return false;
  return std::ranges::all_of(text.substr(2), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<JobId> peek_job_id(const Value& body) {
  const std::string* text = body["id"].as_text();
  if (text == nullptr || !is_job_id(*text)) return std::nullopt;
  return JobId(*text);
}

JobSpec job_spec_from(const Value& body) {
  expect_map(body);
  JobSpec spec;
  const auto id = peek_job_id(body);
  if (!id) throw Malformed("id: must be of the form j-000412");
  spec.id = *id;
  spec.job_class = name_from(body, "breed");
  spec.team = name_from(body, "pack");
  spec.kind = kKinds.from(body, "gait");
  spec.priority = kPriorities.from(body, "rank");
  const std::uint64_t tasks = body.count("cubs");
  if (tasks < 1 || tasks > kTasksPerJobMost) throw Malformed("cubs: must be 1 to 100000");
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.cpus = amount_below(body, "cpus", kMostAmount);
  spec.gpus = amount_below(body, "cards", kMostAmount);
  spec.ram_gb = amount_below(body, "ramGb", kMostAmount);
  spec.image = name_from(body, "pelt");
  spec.image_gb = amount_below(body, "pullGb", kMostAmount);
  if (!body["burrows"].is_null()) {
    spec.types = list_of<std::string>(body.list("burrows"), text_item);
    if (spec.types.empty()) throw Malformed("burrows: must be null or name a type");
  }
  if (!body["covert"].is_null()) spec.zone = name_from(body, "covert");
  spec.one_zone = body.flag("samePlace");
  spec.spread = body.flag("spread");
  spec.spot = body.flag("strays");
  spec.estimate_s = amount_below(body, "runS", kMostAmount);
  spec.checkpoint_s = amount_below(body, "cacheS", kMostAmount);
  spec.save_s = amount_below(body, "buryS", kMostAmount);
  if (!body["duskS"].is_null()) spec.deadline_s = amount_below(body, "duskS", kMostAmount);
  return spec;
}

Value to_value(const JobSpec& spec) {
  Value::Map map{{"id", spec.id.text()},
                 {"breed", spec.job_class},
                 {"pack", spec.team},
                 {"gait", kKinds.of(spec.kind)},
                 {"rank", kPriorities.of(spec.priority)},
                 {"cubs", std::uint64_t{spec.tasks}},
                 {"cpus", spec.cpus},
                 {"cards", spec.gpus},
                 {"ramGb", spec.ram_gb},
                 {"pelt", spec.image},
                 {"pullGb", spec.image_gb},
                 {"samePlace", spec.one_zone},
                 {"spread", spec.spread},
                 {"strays", spec.spot},
                 {"runS", spec.estimate_s},
                 {"cacheS", spec.checkpoint_s},
                 {"buryS", spec.save_s}};
  if (!spec.types.empty()) map.emplace_back("burrows", text_list(spec.types));
  if (!spec.zone.empty()) map.emplace_back("covert", spec.zone);
  if (spec.deadline_s) map.emplace_back("duskS", *spec.deadline_s);
  return map;
}

Value to_value(const JobStatus& status) {
  return Value::Map{{"id", status.id.text()},
                    {"scent", kJobStates.of(status.state)},
                    {"done", status.done},
                    {"running", status.running}};
}

JobStatus job_status_from(const Value& body) {
  expect_map(body);
  JobStatus status{.id = JobId(body.text("id")), .state = kJobStates.from(body, "scent")};
  if (!body["done"].is_null()) status.done = body.count("done");
  if (!body["running"].is_null()) status.running = body.count("running");
  return status;
}

std::string_view name_of(JobState state) { return kJobStates.of(state); }
std::string_view name_of(TaskState state) { return kTaskStates.of(state); }
std::string_view name_of(EndReason reason) { return kReasons.of(reason); }

std::optional<TaskKey> task_key_from(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || !is_job_id(text.substr(0, slash))) return std::nullopt;
  TaskKey key{.job = JobId(std::string(text.substr(0, slash))), .index = 0};
  const std::string_view number = text.substr(slash + 1);
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), key.index);
  if (number.empty() || error != std::errc{} || end != number.data() + number.size()) return std::nullopt;
  return key;
}

namespace {

TaskKey required_task(const Value& entry) {
  const auto task = task_key_from(entry.text("cub"));
  if (!task) throw Malformed("cub: must be of the form j-000412/3");
  return *task;
}

}  // namespace

Heartbeat heartbeat_from(const Value& body) {
  expect_map(body);
  Heartbeat heartbeat;
  heartbeat.machine = MachineId(name_from(body, "den"));
  heartbeat.address = name_from(body, "addr");
  heartbeat.type = name_from(body, "burrow");
  heartbeat.zone = name_from(body, "covert");
  heartbeat.spot = body.flag("strays");
  heartbeat.incarnation = AgentIncarnation(body.count("prowl"));
  heartbeat.sequence = body.count("pawmark");
  heartbeat.term = Term(body.count("alpha"));
  if (!body["barkS"].is_null()) heartbeat.notice_s = body.amount("barkS");
  heartbeat.tasks = list_of<TaskStatus>(body.list("cubs"), [](const Value& entry) {
    TaskStatus task{.task = required_task(entry),
                    .attempt = AttemptNumber(entry.count("try")),
                    .state = kTaskStates.from(entry, "scent")};
    if (task.state == TaskState::ended) {
      task.reason = kReasons.from(entry, "trail");
      task.saved = entry["saved"].is_null() ? false : entry.flag("saved");
    }
    return task;
  });
  return heartbeat;
}

Value to_value(const Heartbeat& heartbeat) {
  Value::List tasks;
  for (const TaskStatus& task : heartbeat.tasks) {
    Value::Map entry{{"cub", task.task.text()}, {"try", task.attempt.number()}, {"scent", kTaskStates.of(task.state)}};
    if (task.state == TaskState::ended) entry.emplace_back("trail", kReasons.of(task.reason));
    if (task.saved) entry.emplace_back("saved", true);
    tasks.emplace_back(std::move(entry));
  }
  Value::Map map{{"den", heartbeat.machine.text()},
                 {"addr", heartbeat.address},
                 {"burrow", heartbeat.type},
                 {"covert", heartbeat.zone},
                 {"strays", heartbeat.spot},
                 {"prowl", heartbeat.incarnation.number()},
                 {"pawmark", heartbeat.sequence},
                 {"alpha", heartbeat.term.number()},
                 {"barkS", heartbeat.notice_s ? Value(*heartbeat.notice_s) : Value()},
                 {"cubs", std::move(tasks)}};
  return map;
}

namespace {

Value::List command_list(const std::vector<Command>& commands) {
  Value::List list;
  for (const Command& command : commands) {
    Value::Map entry{
        {"call", kCommands.of(command.kind)}, {"cub", command.task.text()}, {"try", command.attempt.number()}};
    if (command.kind == CommandKind::stop) entry.emplace_back("slinkS", command.grace_s);
    list.emplace_back(std::move(entry));
  }
  return list;
}

}  // namespace

Value heartbeat_response(Term term, const std::vector<Command>& commands) {
  return Value::Map{{"alpha", term.number()}, {"calls", command_list(commands)}};
}

Value direct_commands(Term term, AgentIncarnation incarnation, const std::vector<Command>& commands) {
  return Value::Map{{"alpha", term.number()}, {"prowl", incarnation.number()}, {"calls", command_list(commands)}};
}

std::vector<Command> commands_from(const Value& body) {
  return list_of<Command>(body.list("calls"), [](const Value& entry) {
    Command command{.kind = kCommands.from(entry, "call"),
                    .task = required_task(entry),
                    .attempt = AttemptNumber(entry.count("try"))};
    if (command.kind == CommandKind::stop && !entry["slinkS"].is_null()) command.grace_s = entry.amount("slinkS");
    return command;
  });
}

Value redirect_to(const NodeName& node) {
  if (node.empty()) return Value::Map{};
  return Value::Map{{"vixen", node.text()}};
}

std::vector<MachineType> machine_types_from(const Value& body) {
  return list_of<MachineType>(body.list("burrows"), [](const Value& entry) {
    return MachineType{
        .name = name_from(entry, "name"),
        .cpus = entry.amount("cpus"),
        .gpus = entry["cards"].is_null() ? 0 : entry.amount("cards"),
        .ram_gb = entry.amount("ramGb"),
        .cache_gb = entry.amount("cacheGb"),
        .fetch_gb_per_s = entry.amount("fetchGbPerS"),
        .price = entry.amount("hourly"),
        .spot_price = entry["marketPrice"].is_null() ? entry.amount("hourly") : entry.amount("marketPrice"),
        .boot_s = entry.amount("bootS"),
        .zones = list_of<std::string>(entry.list("coverts"), text_item)};
  });
}

Value to_value(const std::vector<MachineType>& types) {
  Value::List list;
  for (const MachineType& type : types) {
    list.emplace_back(Value::Map{{"name", type.name},
                                 {"cpus", type.cpus},
                                 {"cards", type.gpus},
                                 {"ramGb", type.ram_gb},
                                 {"cacheGb", type.cache_gb},
                                 {"fetchGbPerS", type.fetch_gb_per_s},
                                 {"hourly", type.price},
                                 {"marketPrice", type.spot_price},
                                 {"bootS", type.boot_s},
                                 {"coverts", text_list(type.zones)}});
  }
  return Value::Map{{"burrows", std::move(list)}};
}

MachinePage machine_page_from(const Value& body) {
  MachinePage page;
  page.machines = list_of<ListedMachine>(body.list("dens"), [](const Value& entry) {
    return ListedMachine{.id = MachineId(name_from(entry, "id")),
                         .address = text_or_empty(entry, "addr"),
                         .type = name_from(entry, "burrow"),
                         .zone = name_from(entry, "covert"),
                         .spot = entry.flag("strays"),
                         .state = kListed.from(entry, "scent"),
                         .age_s = entry.amount("ageS")};
  });
  page.more = !body["more"].is_null() && body.flag("more");
  return page;
}

Value to_value(const ScaleOutRequest& request) {
  return Value::Map{{"hunt", request.request},
                    {"burrow", request.type},
                    {"covert", request.zone},
                    {"strays", request.spot},
                    {"count", request.count}};
}

Value machine_names(const std::vector<MachineId>& machines) {
  Value::List list;
  for (const MachineId& machine : machines) list.emplace_back(machine.text());
  return Value::Map{{"dens", std::move(list)}};
}

std::vector<MachineId> machine_names_from(const Value& body) {
  return list_of<MachineId>(body.list("dens"), [](const Value& entry) { return MachineId(text_item(entry)); });
}

}  // namespace foxshunt::wire
