#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace lab {

using net::HttpRequest;
using net::HttpResponse;
using standins::Worker;

namespace {

const Instant kStart = now();
std::mutex record_mutex;
std::FILE* record = nullptr;

constexpr Millis kTurn{20};
constexpr std::size_t kBody = 64 * 1024;  // PROTOCOL: limit of request bodies
constexpr std::size_t kKept = 10'000;     // PROTOCOL: changes that the state service keeps

HttpResponse reply(int status, const Value& body) {
  return {.status = status, .body = wire::encode(body), .retry_after_s = {}};
}
HttpResponse refusal() { return reply(503, Value::Map{{"error", "trouble"}}); }

std::string number_text(double number) {
  char text[40];
  const auto end = std::to_chars(text, text + sizeof text, number).ptr;
  std::string made(text, end);
  if (made.find_first_of(".e") == std::string::npos) made += ".0";
  return made;
}

void append(std::string& out, const Value& value) {
  if (value.is_null()) {
    out += "null";
  } else if (const bool* flag = value.as_bool()) {
    out += *flag ? "true" : "false";
  } else if (const auto* count = value.as_count()) {
    out += std::to_string(*count);
  } else if (const double* real = value.as_real()) {
    out += number_text(*real);
  } else if (const std::string* text = value.as_text()) {
    out += '"' + *text + '"';
  } else if (const Value::List* list = value.as_list()) {
    out += '[';
    bool first = true;
    for (const Value& item : *list) {
      if (!first) out += ',';
      first = false;
      append(out, item);
    }
    out += ']';
  } else if (const Value::Map* map = value.as_map()) {
    out += '{';
    bool first = true;
    for (const auto& [key, item] : *map) {
      if (!first) out += ',';
      first = false;
      out += '"' + key + "\":";
      append(out, item);
    }
    out += '}';
  }
}

// In a child: it ends with its parent.
void end_with(pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(126);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
}

}  // namespace

Instant now() { return std::chrono::floor<Millis>(net::Clock::now()); }
double since_start(Instant at) { return std::chrono::duration<double>(at - kStart).count(); }

void open_record(const std::string& path) { record = std::fopen(path.c_str(), "w"); }

void note(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (record == nullptr) return;
  std::fprintf(record, "%8.3f %s\n", since_start(now()), line.c_str());
  std::fflush(record);
}

std::string json_text(const Value& value) {
  std::string out;
  append(out, value);
  return out;
}
std::size_t json_size(const Value& value) { return json_text(value).size(); }

bool trouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

void sleep_ms(int ms) { std::this_thread::sleep_for(Millis(ms)); }

// ---- state service ----

StateService::StateService(std::size_t controllers, Limits limits) : limits_(limits) {
  for (std::size_t node = 0; node < controllers; ++node) {
    doors_.emplace_back();
    doors_.back().server = std::make_unique<net::HttpServer>(
        net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 300},
        [this, node](const HttpRequest& request) { return receive(node, request); });
  }
  expiry_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      {
        const std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> over;
        for (const auto& [number, lease] : leases_) {
          if (!out_ && now() > lease.until) over.push_back(number);
        }
        for (const std::uint64_t number : over) end_lease(number);
        if (!over.empty()) changed_.notify_all();
      }
      std::this_thread::sleep_for(kTurn);
    }
  });
}

StateService::~StateService() {
  {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    changed_.notify_all();
  }
  for (Door& door : doors_) door.server.reset();
}

void StateService::set_judge(Judge judge) {
  const std::lock_guard lock(mutex_);
  judge_ = std::move(judge);
}

void StateService::refuse(std::size_t controller, bool refused) {
  const std::lock_guard lock(mutex_);
  doors_[controller].refused = refused;
  changed_.notify_all();
}

void StateService::set_out(bool out) {
  const std::lock_guard lock(mutex_);
  if (out_ && !out) {
    for (auto& [unused, lease] : leases_) lease.until = now() + lease.ttl;
  }
  out_ = out;
  changed_.notify_all();
}

std::optional<Value> StateService::get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt : std::optional(found->second.data);
}

void StateService::change(const std::string& key, std::optional<Value> data, std::uint64_t lease) {
  if (!data && items_.erase(key) == 0) return;
  if (data) items_[key] = {.data = *data, .mark = tally_, .lease = lease};
  events_.push_back({.key = key, .data = std::move(data), .mark = tally_});
  while (events_.size() > kKept) {
    oldest_ = events_.front().mark;
    events_.pop_front();
  }
}

void StateService::end_lease(std::uint64_t number) {
  if (leases_.erase(number) == 0) return;
  std::vector<std::string> attached;
  for (const auto& [key, item] : items_) {
    if (item.lease == number) attached.push_back(key);
  }
  if (attached.empty()) return;
  ++tally_;
  for (const std::string& key : attached) change(key, std::nullopt, 0);
}

HttpResponse StateService::txn(const Value& body) {
  const Value::List& conditions = body.list("if");
  const Value::List* changes = body["then"].as_list();
  const std::size_t count = changes == nullptr ? 0 : changes->size();
  std::size_t largest = 0;
  for (std::size_t at = 0; at < count; ++at) largest = std::max(largest, json_size((*changes)[at]["data"]));
  if (count > limits_.txn_ops || conditions.size() > 4 * limits_.txn_ops || json_size(body) > kBody ||
      static_cast<double>(largest) > limits_.value_kb * 1024) {
    ++oversized_;
    return reply(400, Value::Map{{"error", "a limit is exceeded"}});
  }
  Value::List failed;
  for (const Value& condition : conditions) {
    const auto found = items_.find(condition.text("k"));
    const std::uint64_t mark = found == items_.end() ? 0 : found->second.mark;
    if (mark != condition.count("mark")) failed.emplace_back(condition.text("k"));
  }
  for (std::size_t at = 0; at < count; ++at) {
    const Value& tether = (*changes)[at]["tether"];
    if (!tether.is_null() && !leases_.contains((*changes)[at].count("tether")))
      return reply(400, Value::Map{{"error", "no such lease"}});
  }
  if (!failed.empty()) return reply(409, Value::Map{{"failed", std::move(failed)}, {"tally", tally_}});
  if (count > 0) ++tally_;
  for (std::size_t at = 0; at < count; ++at) {
    const Value& one = (*changes)[at];
    if (one["set"].is_null()) {
      change(one.text("remove"), std::nullopt, 0);
    } else {
      change(one.text("set"), one["data"], one["tether"].is_null() ? 0 : one.count("tether"));
    }
  }
  changed_.notify_all();
  return reply(200, Value::Map{{"tally", tally_}});
}

HttpResponse StateService::follow(std::size_t controller, const std::map<std::string, std::string>& query) {
  const std::uint64_t from = std::stoull(query.at("from"));
  const std::string prefix = query.contains("starts") ? query.at("starts") : "";
  const auto until = net::Clock::now() + Millis(query.contains("holdMs") ? std::stoll(query.at("holdMs")) : 0);
  std::unique_lock lock(mutex_);
  if (refused(controller)) return refusal();
  while (!closing_) {
    if (refused(controller)) {  // an open watch waits
      changed_.wait(lock);
      continue;
    }
    if (from < oldest_) return reply(410, Value::Map{{"error", "too old"}});
    Value::List news;
    for (auto at = std::upper_bound(events_.begin(), events_.end(), from,
                                    [](std::uint64_t mark, const Event& event) { return mark < event.mark; });
         at != events_.end(); ++at) {
      if (!at->key.starts_with(prefix)) continue;
      if (at->data) {
        news.emplace_back(Value::Map{{"set", at->key}, {"data", *at->data}, {"mark", at->mark}});
      } else {
        news.emplace_back(Value::Map{{"remove", at->key}, {"mark", at->mark}});
      }
    }
    if (!news.empty() || net::Clock::now() >= until) {
      return reply(200, Value::Map{{"tally", tally_}, {"news", std::move(news)}});
    }
    changed_.wait_until(lock, until);
  }
  return refusal();
}

HttpResponse StateService::handle(std::size_t controller, const HttpRequest& request) {
  const std::string& path = request.path;
  if (path == "/follow") return follow(controller, request.query);
  const std::lock_guard lock(mutex_);
  if (refused(controller)) return refusal();
  if (request.method == "GET" && path == "/kv") {
    const std::string prefix = request.query.contains("starts") ? request.query.at("starts") : "";
    const std::string from = request.query.contains("from") ? request.query.at("from") : "";
    const std::size_t most =
        std::min<std::size_t>(1000, request.query.contains("most") ? std::stoull(request.query.at("most")) : 1000);
    Value::List items;
    bool more = false;
    std::size_t bytes = 0;
    for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix); ++at) {
      if (!from.empty() && at->first <= from) continue;
      bytes += json_size(at->second.data) + at->first.size() + 40;
      if (items.size() == most || bytes > 512 * 1024) {
        more = true;
        break;
      }
      items.emplace_back(Value::Map{{"k", at->first}, {"data", at->second.data}, {"mark", at->second.mark}});
    }
    return reply(200, Value::Map{{"items", std::move(items)}, {"more", more}, {"tally", tally_}});
  }
  if (request.method == "GET" && path.starts_with("/kv/")) {
    const auto found = items_.find(path.substr(4));
    if (found == items_.end()) return reply(404, Value::Map{{"tally", tally_}});
    Value::Map body{{"k", found->first}, {"data", found->second.data}, {"mark", found->second.mark}};
    if (found->second.lease != 0) body.emplace_back("tether", found->second.lease);
    return reply(200, std::move(body));
  }
  if (path == "/txn") return txn(wire::decode(request.body));
  if (path == "/leases") {
    const Millis ttl(static_cast<std::int64_t>(wire::decode(request.body).count("ttlMs")));
    leases_[++next_lease_] = {.ttl = ttl, .until = now() + ttl};
    return reply(200, Value::Map{{"tether", next_lease_}});
  }
  if (path.starts_with("/leases/")) {
    const std::uint64_t number = std::stoull(path.substr(8));
    const auto lease = leases_.find(number);
    if (lease == leases_.end()) return reply(404, Value::Map{});
    if (request.method == "DELETE") {
      end_lease(number);
      changed_.notify_all();
    } else {
      lease->second.until = now() + lease->second.ttl;
    }
    return reply(200, Value::Map{});
  }
  return reply(400, Value::Map{{"error", "unknown"}});
}

HttpResponse StateService::receive(std::size_t controller, const HttpRequest& request) {
  Fate fate;
  {
    std::unique_lock lock(mutex_);
    if (judge_) fate = judge_(controller, request);
    if (fate.before > Millis(0)) changed_.wait_for(lock, fate.before, [this] { return closing_; });
  }
  HttpResponse answer = fate.executed ? handle(controller, request) : refusal();
  if (!fate.answered) {
    // Longer than any controller waits; it has given the call up by then.
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, Millis(6000), [this] { return closing_; });
    return reply(500, Value::Map{});
  }
  return answer;
}

// ---- cloud and workers ----

Fleet::Fleet(std::vector<net::Address> nodes, FleetSettings settings)
    : nodes_(std::move(nodes)),
      settings_(std::move(settings)),
      server_(std::make_unique<net::HttpServer>(net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 50},
                                                [this](const HttpRequest& request) { return handle(request); })) {}

Fleet::~Fleet() {
  server_.reset();
  std::map<MachineId, Machine> rest;
  {
    const std::lock_guard lock(mutex_);
    rest.swap(machines_);
    for (auto& [unused, machine] : rest) machine.thread.request_stop();
  }
  for (auto& [unused, machine] : rest) machine.commands.reset();
}

void Fleet::upload(const wire::JobSpec& spec, double run_s) {
  const std::lock_guard lock(mutex_);
  jobs_[spec.id] = {spec, run_s};
}

std::vector<Fleet::Stay> Fleet::stays() {
  const std::lock_guard lock(mutex_);
  return stays_;
}
std::vector<Fleet::Stay> Fleet::stays(const JobId& job) {
  const std::lock_guard lock(mutex_);
  std::vector<Stay> found;
  std::copy_if(stays_.begin(), stays_.end(), std::back_inserter(found),
               [&](const Stay& stay) { return stay.task.job == job; });
  return found;
}
std::size_t Fleet::done(const JobId& job) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(done_.begin(), done_.end(), [&](const TaskKey& task) { return task.job == job; }));
}

std::size_t Fleet::machines_with_room(double cpus, double gpus, double ram_gb) {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (auto& [unused, machine] : machines_) {
    if (machine.gone || now() < machine.up) continue;
    double c = machine.type.cpus;
    double g = machine.type.gpus;
    double r = machine.type.ram_gb;
    for (const auto& [key, attempt] : machine.worker->attempts()) {
      if (attempt.state == wire::TaskState::ended) continue;
      c -= attempt.spec.cpus;
      g -= attempt.spec.gpus;
      r -= attempt.spec.ram_gb;
    }
    if (c >= cpus && g >= gpus && r >= ram_gb) ++count;
  }
  return count;
}

std::size_t Fleet::killed_by_lease() {
  const std::lock_guard lock(mutex_);
  std::size_t sum = 0;
  for (auto& [unused, machine] : machines_) sum += machine.worker->killed_by_lease();
  return sum;
}
std::size_t Fleet::refused(const JobId& job) {
  const std::lock_guard lock(mutex_);
  return refused_[job].size();
}
std::size_t Fleet::reports(int status) {
  const std::lock_guard lock(mutex_);
  return answers_[status];
}
void Fleet::cut(std::size_t node, bool is_cut) {
  const std::lock_guard lock(mutex_);
  if (is_cut) {
    cut_.insert(node);
  } else {
    cut_.erase(node);
  }
}
double Fleet::use_cpus(const std::string& team) {
  const std::lock_guard lock(mutex_);
  return use_[team];
}

const wire::JobSpec* Fleet::job(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.first;
}
Millis Fleet::run_left(const TaskKey& task) {
  return Millis(static_cast<std::int64_t>(jobs_.at(task.job).second * 1000));
}

void Fleet::on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) {
  stays_.push_back({.task = task, .attempt = attempt, .machine = machine, .from = now(), .until = {}});
  if (!on_[task].empty() && !on_[task].contains(machine)) {
    ++ran_twice_;
    note("ran_twice " + task.text() + " on " + machine.text() + " and " + on_[task].begin()->text());
  }
  on_[task].insert(machine);
  const wire::JobSpec& spec = jobs_.at(task.job).first;
  use_[spec.team] += spec.cpus;
  if (spec.tasks <= 100) note("start " + task.text() + " try " + std::to_string(attempt.number()) + " on " + machine.text());
  if (on_change) on_change();
}

void Fleet::on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) {
  on_[task].erase(machine);
  for (auto stay = stays_.rbegin(); stay != stays_.rend(); ++stay) {
    if (stay->until || !(stay->task == task) || stay->attempt != attempt || stay->machine != machine) continue;
    stay->until = now();
    stay->done = done;
    break;
  }
  if (done) done_.insert(task);
  const wire::JobSpec& spec = jobs_.at(task.job).first;
  use_[spec.team] -= spec.cpus;
  if (spec.tasks <= 100)
    note("end   " + task.text() + " try " + std::to_string(attempt.number()) + " on " + machine.text() +
         (done ? " done" : " not done"));
}

bool Fleet::ready(const JobId& job, AttemptNumber attempt) {
  const std::uint32_t tasks = jobs_.at(job).first.tasks;
  for (std::uint32_t index = 0; index < tasks; ++index) {
    const TaskKey task{job, index};
    if (done_.contains(task)) continue;
    const auto& on = on_[task];
    const bool there = std::any_of(on.begin(), on.end(), [&](const MachineId& id) {
      const auto& attempts = machines_.at(id).worker->attempts();
      const auto held = attempts.find({task, attempt});
      return held != attempts.end() && held->second.on_machine;
    });
    if (!there) return false;
  }
  return true;
}

HttpResponse Fleet::command(const MachineId& id, const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto found = machines_.find(id);
  if (found == machines_.end() || found->second.gone) return reply(503, Value::Map{});
  Worker& worker = *found->second.worker;
  int status = 200;
  if (request.path == "/commands") {
    const Value body = wire::decode(request.body);
    if (body["alpha"].is_null() || body["prowl"].is_null()) return reply(400, Value::Map{});
    worker.advance(now());
    if (!worker.direct(Term(body.count("alpha")), AgentIncarnation(body.count("prowl")), wire::commands_from(body),
                       now()))
      status = 409;
    found->second.changed = true;
  }
  return reply(status, wire::to_value(worker.heartbeat()));
}

HttpResponse Fleet::handle(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  if (request.path == "/machine_types") return reply(200, wire::to_value(settings_.types));
  if (request.path == "/machines/return") {
    for (const MachineId& id : wire::machine_names_from(wire::decode(request.body))) {
      const auto found = machines_.find(id);
      if (found == machines_.end() || found->second.gone) continue;
      note("returned " + id.text());
      found->second.gone = true;
      found->second.worker->advance(now());
      found->second.worker->kill(now());
      found->second.thread.request_stop();
    }
    return reply(200, Value::Map{});
  }
  if (request.method == "POST") {
    const Value body = wire::decode(request.body);
    std::vector<MachineId>& rented = rentals_[body.text("hunt")];
    const auto type = std::find_if(settings_.types.begin(), settings_.types.end(),
                                   [&](const wire::MachineType& one) { return one.name == body.text("burrow"); });
    if (type == settings_.types.end()) return reply(400, Value::Map{});
    const auto held = static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
      return !entry.second.gone && entry.second.type.name == type->name && entry.second.zone == body.text("covert");
    }));
    const auto of_type = static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
      return !entry.second.gone && entry.second.type.name == type->name;
    }));
    const auto most = settings_.type_capacity.find(type->name);
    const std::size_t left =
        std::min(settings_.zone_capacity - std::min(settings_.zone_capacity, held),
                 most == settings_.type_capacity.end() ? 1000 : most->second - std::min(most->second, of_type));
    if (rented.empty() && left == 0) {
      note("no capacity for " + type->name + " in " + body.text("covert"));
      return reply(503, Value::Map{{"error", "no capacity"}});
    }
    if (rented.empty()) {
      for (std::uint64_t i = 0; i < std::min<std::uint64_t>({50, left, body.count("count")}); ++i) {
        std::string number = std::to_string(machines_.size() + 1);
        const MachineId id("m-" + std::string(6 - number.size(), '0') + number);
        Machine& machine = machines_[id];
        machine.type = *type;
        machine.zone = body.text("covert");
        machine.spot = body.flag("strays");
        machine.rented = now();
        machine.up = now() + settings_.boot;
        const Millis lease(static_cast<std::int64_t>(settings_.lease_s * 1000));
        machine.worker =
            std::make_unique<Worker>(id, *type, machine.zone, machine.spot, lease, *this, machine.up);
        machine.worker->gang_wait = Millis(static_cast<std::int64_t>(settings_.gang_wait_s * 1000));
        machine.worker->gang_ready = [this](const JobId& job_id, AttemptNumber attempt) {
          return ready(job_id, attempt);
        };
        machine.commands = std::make_unique<net::HttpServer>(
            net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 20},
            [this, id](const HttpRequest& asked) { return command(id, asked); });
        machine.thread = std::jthread([this, id](const std::stop_token& stop) { live(stop, id); });
        rented.push_back(id);
        note("rented " + id.text() + " type " + type->name + " zone " + machine.zone);
      }
    }
    return reply(200, wire::machine_names(rented));
  }
  const std::string from = request.query.contains("from") ? request.query.at("from") : "";
  Value::List list;
  bool more = false;
  for (const auto& [id, machine] : machines_) {
    if (machine.gone || id.text() <= from) continue;
    if (now() - machine.rented < Millis(static_cast<std::int64_t>(settings_.list_lag_s * 1000))) continue;
    if (list.size() == 500) {
      more = true;
      break;
    }
    list.emplace_back(Value::Map{{"id", id.text()},
                                 {"addr", machine.commands->address().text()},
                                 {"burrow", machine.type.name},
                                 {"covert", machine.zone},
                                 {"strays", machine.spot},
                                 {"scent", now() < machine.up ? "starting" : "running"},
                                 {"ageS", std::chrono::duration<double>(now() - machine.rented).count()}});
  }
  return reply(200, Value::Map{{"dens", std::move(list)}, {"more", more}});
}

void Fleet::live(const std::stop_token& stop, const MachineId& id) {
  std::size_t node = std::hash<std::string>{}(id.text()) % nodes_.size();
  auto client = std::make_unique<net::HttpClient>(nodes_[node], Millis(1000));
  Instant next{};
  Instant earliest{};
  while (!stop.stop_requested()) {
    std::this_thread::sleep_for(kTurn);
    wire::Heartbeat heartbeat;
    Instant sent;
    bool is_cut = false;
    {
      const std::lock_guard lock(mutex_);
      const auto found = machines_.find(id);
      if (found == machines_.end() || found->second.gone) return;
      Machine& machine = found->second;
      if (now() < machine.up) continue;
      const AgentIncarnation before = machine.worker->incarnation();
      if (machine.worker->advance(now())) machine.changed = true;
      if (machine.worker->incarnation() != before)
        note("lease of " + id.text() + " expired; session " + std::to_string(machine.worker->incarnation().number()));
      if (machine.changed) next = std::min(next, std::max(earliest, now()));
      if (now() < next) continue;
      machine.changed = false;
      sent = now();
      heartbeat = machine.worker->heartbeat();
      heartbeat.address = machine.commands->address().text();
      for (const wire::TaskStatus& status : heartbeat.tasks) {
        if (status.state == wire::TaskState::ended && status.reason == wire::EndReason::no_room &&
            refused_[status.task.job].emplace(status.task, status.attempt).second &&
            refused_[status.task.job].size() <= 20)
          note("refused " + status.task.text() + " try " + std::to_string(status.attempt.number()) + " on " + id.text() +
               ": no_room");
      }
      is_cut = cut_.contains(node);
    }
    const Value report = wire::to_value(heartbeat);
    std::size_t seen = largest_report_;
    const std::size_t size = json_size(report);
    if (size > seen) largest_report_ = size;
    std::optional<HttpResponse> answer;
    if (is_cut) {
      std::this_thread::sleep_for(Millis(1000));
    } else {
      answer = client->call({.method = "POST", .path = "/checkin", .body = wire::encode(report)},
                            net::Clock::now() + Millis(4000));
    }
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(id);
    if (found == machines_.end() || found->second.gone) return;
    Machine& machine = found->second;
    next = sent + Millis(static_cast<std::int64_t>(settings_.report_s * 1000));
    earliest = sent + Millis(500);
    if (cut_.contains(node)) answer.reset();
    const int status = answer ? answer->status : 0;
    ++answers_[status];
    if (status != 200) {
      std::optional<std::size_t> named;
      if (status == 421 && !answer->body.empty()) {
        const Value body = wire::decode(answer->body);
        const std::string* name = body["vixen"].as_text();
        for (std::size_t other = 0; name != nullptr && other < nodes_.size(); ++other) {
          if (*name == "warren-" + std::to_string(other)) named = other;
        }
      }
      const bool elsewhere = named && *named != node;
      if (status != 421)
        note("report of " + id.text() + " with " + std::to_string(heartbeat.tasks.size()) + " tasks, " +
             std::to_string(size) + " bytes as JSON: answer " + std::to_string(status) + " of warren-" +
             std::to_string(node));
      node = elsewhere ? *named : (node + 1) % nodes_.size();
      client = std::make_unique<net::HttpClient>(nodes_[node], Millis(1000));
      next = elsewhere ? now() : now() + Millis(1000);
      earliest = next;
      continue;
    }
    const Value body = wire::decode(answer->body);
    const std::size_t answer_size = json_size(body);
    if (answer_size > largest_answer_) largest_answer_ = answer_size;
    machine.worker->advance(now());
    if (machine.worker->answer(Term(body.count("alpha")), wire::commands_from(body), heartbeat.incarnation, sent, now()) &&
        !body.list("calls").empty())
      machine.changed = true;
  }
}

// ---- controllers ----

net::Address Ports::hold() {
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (!socket.open() || ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0) {
    std::fprintf(stderr, "no port on loopback\n");
    std::exit(2);
  }
  held_.push_back(std::move(socket));
  return net::local_address(held_.back());
}

Controllers::Controllers(const Deployment& deployment, std::vector<net::Address> binds, std::vector<net::Address> peers,
                         const std::function<net::Address(std::size_t)>& state, net::Address cloud)
    : binds_(std::move(binds)), pids_(binds_.size(), 0) {
  std::string pattern = (std::filesystem::temp_directory_path() / "foxshunt-review-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  Value::List zones;
  for (const std::string& zone : deployment.zones) zones.emplace_back(zone);
  Value::List teams;
  for (const Team& team : deployment.teams) {
    teams.emplace_back(Value::Map{{"name", team.name},
                                  {"cpus", team.cpus},
                                  {"cpus_max", team.cpus_max},
                                  {"gpus", team.gpus},
                                  {"gpus_max", team.gpus_max}});
  }
  for (std::size_t node = 0; node < binds_.size(); ++node) {
    Value::List siblings;
    for (std::size_t other = 0; other < binds_.size(); ++other) {
      if (other == node) continue;
      siblings.emplace_back(Value::Map{{"host_name", "warren-" + std::to_string(other)},
                                       {"zone", deployment.zones[other % deployment.zones.size()]},
                                       {"endpoint", peers[other].text()}});
    }
    const Value file = Value::Map{
        {"host_name", "warren-" + std::to_string(node)},
        {"zone", deployment.zones[node % deployment.zones.size()]},
        {"bind", binds_[node].text()},
        {"peer_listen", peers[node].text()},
        {"siblings", std::move(siblings)},
        {"outside", Value::Map{{"cloud", cloud.text()}, {"state", state(node).text()}}},
        {"params",
         Value::Map{{"nodes", static_cast<std::uint64_t>(binds_.size())},
                    {"zones", zones},
                    {"teams", teams},
                    {"objectives", Value::List{}},
                    {"workers", Value::Map{{"report_s", deployment.report_s},
                                           {"lease_s", deployment.lease_s},
                                           {"gang_wait_s", deployment.gang_wait_s},
                                           {"gang_peer_s", deployment.gang_peer_s},
                                           {"cancel_s", deployment.cancel_s}}},
                    {"state", Value::Map{{"rps", deployment.rps},
                                         {"write_rps", deployment.write_rps},
                                         {"value_kb", deployment.value_kb},
                                         {"txn_ops", static_cast<std::uint64_t>(deployment.txn_ops)}}},
                    {"cloud", Value::Map{{"rps", deployment.cloud_rps}, {"list_lag_s", deployment.list_lag_s}}},
                    {"limits", Value::Map{{"cpu", deployment.cpu},
                                          {"ram_mb", deployment.ram_mb},
                                          {"max_connections", deployment.max_connections}}},
                    {"skew_ms", deployment.skew_ms}}}};
    std::ofstream(folder_ + "/node-" + std::to_string(node) + ".json") << json_text(file);
  }
}

Controllers::~Controllers() {
  for (std::size_t node = 0; node < pids_.size(); ++node) kill(node);
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::printf("logs in %s\n", folder_.c_str());
  }
}

void Controllers::start(std::size_t node) {
  const std::string config = folder_ + "/node-" + std::to_string(node) + ".json";
  const std::string log = folder_ + "/node-" + std::to_string(node) + ".log";
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    end_with(parent);
    for (std::FILE* const stream : {stdout, stderr}) {
      if (std::freopen(log.c_str(), "a", stream) == nullptr) ::_exit(126);
    }
    if (std::getenv("LOG_LEVEL") == nullptr) ::setenv("LOG_LEVEL", "info", 1);
    // `run` of deploy/service.toml, and the settings file as its last argument.
    ::execl("target/foxshunt", "target/foxshunt", "serve", "--settings", "deploy/operator.xml", "--config",
            config.c_str(), nullptr);
    ::_exit(127);
  }
  pids_[node] = child;
  note("started warren-" + std::to_string(node));
}

void Controllers::kill(std::size_t node) {
  if (pids_[node] == 0) return;
  ::kill(pids_[node], SIGKILL);
  ::waitpid(pids_[node], nullptr, 0);
  pids_[node] = 0;
  note("killed warren-" + std::to_string(node));
}

void Controllers::signal(std::size_t node, int what) const { ::kill(pids_[node], what); }

std::optional<std::string> Controllers::ended(std::size_t node) {
  int status = 0;
  if (pids_[node] == 0 || ::waitpid(pids_[node], &status, WNOHANG) != pids_[node]) return std::nullopt;
  pids_[node] = 0;
  return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                             : "exit code " + std::to_string(WEXITSTATUS(status));
}

bool Controllers::wait_until_up(std::size_t node) const {
  for (int tries = 0; tries < 150; ++tries) {
    net::HttpClient client(binds_[node], Millis(500));
    const auto answer = client.call({.method = "GET", .path = "/up", .body = {}}, net::Clock::now() + Millis(1000));
    if (answer && answer->status == 200) return true;
    sleep_ms(100);
  }
  return false;
}

std::vector<std::string> Controllers::log_lines(const std::string& text, std::size_t most) const {
  std::vector<std::string> found;
  for (std::size_t node = 0; node < binds_.size(); ++node) {
    std::ifstream file(folder_ + "/node-" + std::to_string(node) + ".log");
    for (std::string line; std::getline(file, line);) {
      if (line.find(text) != std::string::npos && found.size() < most)
        found.push_back("warren-" + std::to_string(node) + ": " + line);
    }
  }
  return found;
}

// ---- users ----

namespace {

Answer ask(const net::Address& node, const HttpRequest& request, Millis limit) {
  net::HttpClient client(node, Millis(500));
  const auto answer = client.call(request, net::Clock::now() + limit);
  Answer told;
  if (!answer) return told;
  told.status = answer->status;
  try {
    if (!answer->body.empty()) {
      const Value body = wire::decode(answer->body);
      told.text = json_text(body);
      if (const std::string* scent = body["scent"].as_text()) told.scent = *scent;
    }
  } catch (const wire::Malformed& error) {
    told.text = error.what();
  }
  return told;
}

}  // namespace

Answer submit(const net::Address& node, const Value& job) {
  const Answer told = ask(node, {.method = "POST", .path = "/api/jobs", .body = wire::encode(job)}, Millis(5000));
  note("submit " + job.text("id") + " (" + std::to_string(json_size(job)) + " bytes as JSON) -> " +
       std::to_string(told.status) + " " + told.text);
  return told;
}

Answer poll(const net::Address& node, const std::string& id) {
  const Answer told = ask(node, {.method = "GET", .path = "/api/jobs/" + id, .body = {}}, Millis(2000));
  note("poll " + id + " -> " + std::to_string(told.status) + " " + told.text);
  return told;
}

Answer cancel(const net::Address& node, const std::string& id) {
  const Answer told = ask(node, {.method = "POST", .path = "/api/jobs/" + id + "/abort", .body = {}}, Millis(5000));
  note("abort " + id + " -> " + std::to_string(told.status) + " " + told.text);
  return told;
}

Answer submit_until(const Controllers& nodes, const Value& job) {
  const Instant until = now() + Millis(30'000);
  Answer told;
  for (std::size_t tries = 0; now() < until; ++tries) {
    told = submit(nodes.bind(tries % nodes.size()), job);
    if (told.status == 200 || told.status == 201 || told.status == 400 || told.status == 422) return told;
    sleep_ms(1000);
  }
  return told;
}

wire::JobSpec job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus, double ram_gb) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "hullscan";
  spec.team = team;
  spec.kind = wire::JobKind::array;
  spec.priority = wire::Priority::standard;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.ram_gb = ram_gb;
  spec.image = "img-07";
  spec.image_gb = 0.5;
  spec.spot = true;
  spec.estimate_s = 10;
  return spec;
}

namespace {
std::vector<net::Address> hold(Ports& ports, std::size_t count) {
  std::vector<net::Address> held;
  for (std::size_t at = 0; at < count; ++at) held.push_back(ports.hold());
  return held;
}
}  // namespace

World::World(const Deployment& deployment, const FleetSettings& fleet_settings, std::size_t count)
    : binds(hold(ports, count)),
      peers(hold(ports, count)),
      state(count, {.value_kb = deployment.value_kb, .txn_ops = deployment.txn_ops}),
      fleet(binds, fleet_settings),
      nodes(deployment, binds, peers, [this](std::size_t node) { return state.address(node); }, fleet.address()) {}

bool World::start() {
  for (std::size_t node = 0; node < nodes.size(); ++node) nodes.start(node);
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    if (!nodes.wait_until_up(node)) return false;
  }
  return true;
}

}  // namespace lab
