#include "rig.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <system_error>

#include "control/times.h"

namespace rig {

using net::HttpRequest;
using net::HttpResponse;
using wire::Value;

bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Instant now() { return std::chrono::floor<Millis>(net::Clock::now()); }
void rest(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
}
Record::~Record() { std::fclose(file_); }

void Record::say(const char* format, ...) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f ", control::to_seconds(now() - began_));
  va_list list;
  va_start(list, format);
  std::vfprintf(file_, format, list);
  va_end(list);
  std::fputc('\n', file_);
  std::fflush(file_);
}

std::size_t json_size(const Value& value) {
  const auto text_size = [](const std::string& text) {
    std::size_t sum = 2;
    for (const char c : text) sum += c == '"' || c == '\\' ? 2 : static_cast<unsigned char>(c) < 0x20 ? 6 : 1;
    return sum;
  };
  if (value.is_null()) return 4;
  if (const bool* flag = value.as_bool()) return *flag ? 4 : 5;
  if (const std::uint64_t* number = value.as_count()) return std::to_string(*number).size();
  if (const double* real = value.as_real()) {
    char buffer[40];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, *real).ptr;
    return static_cast<std::size_t>(end - buffer);
  }
  if (const std::string* text = value.as_text()) return text_size(*text);
  std::size_t sum = 2;
  if (const Value::List* list = value.as_list()) {
    for (const Value& item : *list) sum += json_size(item);
    return sum + (list->empty() ? 0 : list->size() - 1);
  }
  const Value::Map& map = *value.as_map();
  for (const auto& [key, item] : map) sum += text_size(key) + 1 + json_size(item);
  return sum + (map.empty() ? 0 : map.size() - 1);
}

namespace {

HttpResponse reply(int status, const Value& body) {
  return {.status = status, .body = wire::encode(body), .retry_after_s = {}};
}

net::Socket hold_port() {
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (!socket.open() || ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0) {
    throw std::system_error(errno, std::generic_category(), "bind on loopback");
  }
  return socket;
}

std::vector<wire::MachineType> site_types() {
  return {{.name = "kaldakivi",
           .cpus = 32,
           .gpus = 0,
           .ram_gb = 64,
           .cache_gb = 60,
           .fetch_gb_per_s = 0.5,
           .price = 1.66,
           .spot_price = 0.39,
           .boot_s = 20,
           .zones = {"emajogi", "parnu", "narva", "tallinn"}},
          {.name = "soolikas",
           .cpus = 16,
           .gpus = 2,
           .ram_gb = 64,
           .cache_gb = 100,
           .fetch_gb_per_s = 0.5,
           .price = 4.59,
           .spot_price = 1.21,
           .boot_s = 60,
           .zones = {"emajogi", "parnu", "tallinn"}},
          {.name = "jogiraud",
           .cpus = 96,
           .gpus = 8,
           .ram_gb = 576,
           .cache_gb = 70,
           .fetch_gb_per_s = 0.2,
           .price = 26.89,
           .spot_price = 6.52,
           .boot_s = 35,
           .zones = {"emajogi", "tallinn"}}};
}

constexpr std::size_t kBodyLimit = 64 * 1024;  // PROTOCOL, counted in JSON

}  // namespace

// ---- platform ----

Platform::Platform(const Deploy& deploy, std::vector<net::Address> nodes, std::vector<std::string> names,
                   Record& record)
    : deploy_(deploy), nodes_(std::move(nodes)), names_(std::move(names)), record_(record) {
  if (deploy_.types.empty()) deploy_.types = site_types();
  server_ = std::make_unique<net::HttpServer>(net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 100},
                                              [this](const HttpRequest& request) { return cloud(request); });
}

Platform::~Platform() {
  server_.reset();
  std::map<MachineId, Machine> rest;
  {
    const std::lock_guard lock(mutex_);
    rest.swap(machines_);
    for (auto& [unused, machine] : rest) machine.thread.request_stop();
  }
  for (auto& [unused, machine] : rest) {
    if (machine.thread.joinable()) machine.thread.join();
    machine.door.reset();
  }
}

void Platform::upload(const wire::JobSpec& spec, double run_s) {
  const std::lock_guard lock(mutex_);
  jobs_[spec.id] = {spec, run_s};
}

void Platform::set_types(std::vector<wire::MachineType> types) {
  const std::lock_guard lock(mutex_);
  deploy_.types = std::move(types);
}

const wire::JobSpec* Platform::job(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.first;
}

Millis Platform::run_left(const TaskKey& task) {
  const Millis whole = control::from_seconds(jobs_.at(task.job).second);
  const auto saved = progress_.find(task);
  return saved == progress_.end() ? whole : std::max(Millis(0), whole - saved->second);
}

void Platform::on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) {
  stays_.push_back({.task = task, .attempt = attempt, .machine = machine, .from = now(), .until = {}});
  std::set<MachineId>& on = on_[task];
  if (!on.empty() && !on.contains(machine)) {
    ++ran_twice_;
    record_.say("RAN TWICE task=%s machine=%s also on %s", task.text().c_str(), machine.text().c_str(),
                on.begin()->text().c_str());
  }
  on.insert(machine);
}

void Platform::on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) {
  on_[task].erase(machine);
  for (auto stay = stays_.rbegin(); stay != stays_.rend(); ++stay) {
    if (stay->until || stay->task != task || stay->attempt != attempt || stay->machine != machine) continue;
    stay->until = now();
    stay->done = done;
    break;
  }
  if (done) done_.insert(task);
}

std::vector<Platform::Stay> Platform::stays(const std::string& job) {
  const std::lock_guard lock(mutex_);
  std::vector<Stay> found;
  for (const Stay& stay : stays_) {
    if (stay.task.job.text() == job) found.push_back(stay);
  }
  return found;
}

std::size_t Platform::done_tasks(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::ranges::count_if(done_, [&](const TaskKey& task) { return task.job.text() == job; }));
}

std::size_t Platform::on_machines(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::ranges::count_if(
      on_, [&](const auto& entry) { return entry.first.job.text() == job && !entry.second.empty(); }));
}

int Platform::ran_twice() {
  const std::lock_guard lock(mutex_);
  return ran_twice_;
}

std::size_t Platform::expired_sessions() {
  const std::lock_guard lock(mutex_);
  std::size_t sum = 0;
  for (const auto& [unused, machine] : machines_) {
    if (machine.worker) sum += machine.worker->incarnation().number() - 1;
  }
  return sum;
}

std::size_t Platform::there() {
  const std::lock_guard lock(mutex_);
  return alive_count();
}

std::size_t Platform::alive_count() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(machines_, [](const auto& entry) { return !entry.second.gone; }));
}

std::size_t Platform::machines_up() {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::ranges::count_if(machines_, [](const auto& entry) { return entry.second.up && !entry.second.gone; }));
}

bool Platform::gang_ready(const JobId& id, AttemptNumber attempt) {
  const std::uint32_t tasks = jobs_.at(id).first.tasks;
  std::set<std::uint32_t> there;
  for (auto& [unused, machine] : machines_) {
    if (!machine.worker || machine.gone) continue;
    for (const auto& [key, held] : machine.worker->attempts()) {
      if (key.first.job == id && key.second == attempt && held.on_machine) there.insert(key.first.index);
    }
  }
  for (const TaskKey& task : done_) {
    if (task.job == id) there.insert(task.index);
  }
  return there.size() == tasks;
}

HttpResponse Platform::cloud(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  if (request.path == "/machine_types") return reply(200, wire::to_value(deploy_.types));
  if (request.path == "/machines/return") {
    for (const MachineId& id : wire::machine_names_from(wire::decode(request.body))) {
      const auto found = machines_.find(id);
      if (found == machines_.end() || found->second.gone) continue;
      record_.say("cloud: return of %s", id.text().c_str());
      found->second.gone = true;
      ++returned_;
      found->second.gone_at = now();
      if (found->second.worker) found->second.worker->kill(now());
      found->second.thread.request_stop();
    }
    return reply(200, Value::Map{});
  }
  if (request.method == "POST") {
    const Value body = wire::decode(request.body);
    std::vector<MachineId>& rented = rentals_[body.text("hunt")];
    const auto type = std::ranges::find(deploy_.types, body.text("burrow"), &wire::MachineType::name);
    if (type == deploy_.types.end()) return reply(400, Value::Map{{"error", "no such type"}});
    for (std::uint64_t i = 0; rented.size() < body.count("count") && alive_count() < most_machines; ++i) {
      const std::string number = std::to_string(machines_.size() + 1);
      const MachineId id("m-" + std::string(6 - number.size(), '0') + number);
      Machine& machine = machines_[id];
      machine.type = *type;
      machine.zone = body.text("covert");
      machine.spot = body.flag("strays");
      machine.rented = now();
      machine.up_at = now() + control::from_seconds(type->boot_s);
      machine.door =
          std::make_unique<net::HttpServer>(net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 20},
                                            [this, id](const HttpRequest& asked) { return commands(id, asked); });
      machine.address = machine.door->address();
      machine.thread = std::jthread([this, id](const std::stop_token& stop) { live(stop, id); });
      rented.push_back(id);
    }
    record_.say("cloud: %s rents %zu of %s in %s spot=%d", body.text("hunt").c_str(), rented.size(), type->name.c_str(),
                body.text("covert").c_str(), static_cast<int>(body.flag("strays")));
    if (rented.empty()) return reply(503, Value::Map{{"error", "no capacity"}});
    return reply(200, wire::machine_names(rented));
  }
  Value::List list;
  bool more = false;
  const std::string from = request.query.contains("from") ? request.query.at("from") : "";
  // PROTOCOL: the list lags; new machines are missing, and machines that are gone still appear.
  const Instant as_of = now() - control::from_seconds(deploy_.list_lag_s);
  for (const auto& [id, machine] : machines_) {
    if (machine.rented > as_of || (machine.gone && machine.gone_at <= as_of) || id.text() <= from) continue;
    if (list.size() == 500) {
      more = true;
      break;
    }
    list.emplace_back(Value::Map{{"id", id.text()},
                                 {"addr", machine.address.text()},
                                 {"burrow", machine.type.name},
                                 {"covert", machine.zone},
                                 {"strays", machine.spot},
                                 {"scent", machine.up && machine.up_since <= as_of ? "running" : "starting"},
                                 {"ageS", control::to_seconds(as_of - machine.rented)}});
  }
  return reply(200, Value::Map{{"dens", std::move(list)}, {"more", more}});
}

wire::Heartbeat Platform::report_of(Machine& machine) {
  wire::Heartbeat report = machine.worker->heartbeat();
  report.address = machine.address.text();
  return report;
}

HttpResponse Platform::commands(const MachineId& id, const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto found = machines_.find(id);
  if (found == machines_.end() || found->second.gone || !found->second.up)
    return {.status = 503, .body = {}, .retry_after_s = {}};
  Machine& machine = found->second;
  if (request.path == "/show") return reply(200, wire::to_value(report_of(machine)));
  const Value body = wire::decode(request.body);
  if (body["alpha"].is_null() || body["prowl"].is_null()) return reply(400, Value::Map{});
  machine.worker->advance(now());
  const bool executed = machine.worker->direct(Term(body.count("alpha")), AgentIncarnation(body.count("prowl")),
                                               wire::commands_from(body), now());
  if (executed) machine.changed = true;
  return reply(executed ? 200 : 409, wire::to_value(report_of(machine)));
}

void Platform::live(const std::stop_token& stop, const MachineId& id) {
  std::size_t node = std::hash<std::string>{}(id.text()) % nodes_.size();
  std::unique_ptr<net::HttpClient> client;
  const auto turn_to = [&](std::size_t next) {
    node = next;
    client = std::make_unique<net::HttpClient>(nodes_[node], Millis(1000));
  };
  turn_to(node);
  Instant next_report = now();
  Instant last_report{};
  while (!stop.stop_requested()) {
    std::this_thread::sleep_for(Millis(25));
    wire::Heartbeat report;
    Instant sent;
    {
      const std::lock_guard lock(mutex_);
      const auto found = machines_.find(id);
      if (found == machines_.end() || found->second.gone) return;
      Machine& machine = found->second;
      if (now() < machine.up_at) continue;
      if (!machine.up) {
        machine.up = true;
        machine.up_since = now();
        machine.worker = std::make_unique<standins::Worker>(id, machine.type, machine.zone, machine.spot,
                                                            control::from_seconds(deploy_.lease_s), *this, now());
        machine.worker->gang_wait = control::from_seconds(deploy_.gang_wait_s);
        machine.worker->gang_ready = [this](const JobId& job, AttemptNumber attempt) {
          return gang_ready(job, attempt);
        };
        record_.say("machine %s up: %s in %s", id.text().c_str(), machine.type.name.c_str(), machine.zone.c_str());
        next_report = now();
      }
      const AgentIncarnation before = machine.worker->incarnation();
      if (machine.worker->advance(now())) machine.changed = true;
      if (machine.worker->incarnation() != before) {
        record_.say("machine %s: lease expired, session %llu begins", id.text().c_str(),
                    static_cast<unsigned long long>(machine.worker->incarnation().number()));
      }
      if (machine.changed) next_report = std::min(next_report, std::max(now(), last_report + Millis(500)));
      if (now() < next_report) continue;
      machine.changed = false;
      sent = last_report = now();
      report = report_of(machine);
    }
    const Value body = wire::to_value(report);
    const std::size_t size = json_size(body);
    longest_report_ = std::max(longest_report_.load(), size);
    auto answer = client->call({.method = "POST", .path = "/checkin", .body = wire::encode(body)},
                               net::Clock::now() + Millis(4000));
    next_report = now() + control::from_seconds(deploy_.report_s);
    if (!answer || answer->status != 200) {
      std::optional<std::size_t> named;
      if (answer && answer->status == 421 && !answer->body.empty()) {
        const Value where = wire::decode(answer->body);
        if (const std::string* name = where["vixen"].as_text()) {
          const auto at = std::ranges::find(names_, *name);
          if (at != names_.end()) named = static_cast<std::size_t>(at - names_.begin());
        }
      }
      if (!answer || answer->status != 421) {
        ++refused_reports_;
        record_.say("machine %s: report of %zu tasks, %zu bytes: answer %d of %s", id.text().c_str(),
                    report.tasks.size(), size, answer ? answer->status : 0, names_[node].c_str());
      }
      const bool elsewhere = named && *named != node;
      turn_to(elsewhere ? *named : (node + 1) % nodes_.size());
      next_report = elsewhere ? now() : now() + Millis(1000);
      continue;
    }
    const Value told = wire::decode(answer->body);
    longest_answer_ = std::max(longest_answer_.load(), json_size(told));
    const auto orders = wire::commands_from(told);
    if (!orders.empty()) {
      record_.say("machine %s: report of %zu tasks, answered with %zu commands, %zu bytes", id.text().c_str(),
                  report.tasks.size(), orders.size(), json_size(told));
    }
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(id);
    if (found == machines_.end() || found->second.gone) return;
    found->second.worker->advance(now());
    found->second.worker->answer(Term(told.count("alpha")), orders, report.incarnation, sent, now());
    if (!orders.empty()) found->second.changed = true;
  }
}

// ---- rig ----

Rig::Rig(const Deploy& from, Record& to) : deploy(from), record(to), pids(from.node_zones.size(), 0) {
  std::string pattern = (std::filesystem::temp_directory_path() / "fox-review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder = pattern;
  const std::size_t nodes = deploy.node_zones.size();
  std::vector<std::string> names;
  for (std::size_t node = 0; node < nodes; ++node) {
    ports_.push_back(hold_port());
    addresses.push_back(net::local_address(ports_.back()));
    ports_.push_back(hold_port());
    peers_.push_back(net::local_address(ports_.back()));
    names.push_back("warren-" + std::to_string(node));
  }
  state = std::make_unique<standins::HttpState>(1000, nodes);
  state->set_between([this](const HttpRequest& request, const net::HttpServer::Handler& stand_in) {
    return between_state(request, stand_in);
  });
  platform = std::make_unique<Platform>(deploy, addresses, names, record);
  const auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
  for (std::size_t node = 0; node < nodes; ++node) {
    std::ofstream out(folder / (names[node] + ".json"));
    out << "{\"host_name\":" << quoted(names[node]) << ",\"zone\":" << quoted(deploy.node_zones[node])
        << ",\"bind\":" << quoted(addresses[node].text()) << ",\"peer_listen\":" << quoted(peers_[node].text())
        << ",\"siblings\":[";
    bool first = true;
    for (std::size_t other = 0; other < nodes; ++other) {
      if (other == node) continue;
      out << (first ? "" : ",") << "{\"host_name\":" << quoted(names[other])
          << ",\"zone\":" << quoted(deploy.node_zones[other]) << ",\"endpoint\":" << quoted(peers_[other].text())
          << "}";
      first = false;
    }
    out << "],\"outside\":{\"cloud\":" << quoted(platform->address().text())
        << ",\"state\":" << quoted(state->address_of(node).text()) << "},\"params\":{\"nodes\":" << nodes
        << ",\"zones\":[";
    for (std::size_t zone = 0; zone < deploy.zones.size(); ++zone)
      out << (zone ? "," : "") << quoted(deploy.zones[zone]);
    out << "],\"teams\":[";
    for (std::size_t team = 0; team < deploy.teams.size(); ++team) {
      const Team& t = deploy.teams[team];
      out << (team ? "," : "") << "{\"name\":" << quoted(t.name) << ",\"cpus\":" << t.cpus
          << ",\"cpus_max\":" << t.cpus_max << ",\"gpus\":" << t.gpus << ",\"gpus_max\":" << t.gpus_max << "}";
    }
    out << "],\"objectives\":[{\"kind\":\"guarantee\",\"within_s\":5.0,\"share\":0.78}],\"workers\":{\"report_s\":"
        << deploy.report_s << ",\"lease_s\":" << deploy.lease_s << ",\"gang_wait_s\":" << deploy.gang_wait_s
        << ",\"gang_peer_s\":" << deploy.gang_peer_s << ",\"cancel_s\":" << deploy.cancel_s
        << "},\"state\":{\"rps\":" << deploy.rps << ",\"write_rps\":" << deploy.write_rps
        << ",\"value_kb\":" << deploy.value_kb << ",\"txn_ops\":" << deploy.txn_ops
        << "},\"cloud\":{\"rps\":" << deploy.cloud_rps << ",\"list_lag_s\":" << deploy.list_lag_s
        << "},\"limits\":{\"cpu\":" << deploy.cpu << ",\"ram_mb\":" << deploy.ram_mb
        << ",\"max_connections\":" << deploy.max_connections << "},\"skew_ms\":" << deploy.skew_ms << "}}\n";
  }
}

Rig::~Rig() {
  for (std::size_t node = 0; node < pids.size(); ++node) kill(node);
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  } else {
    std::printf("logs in %s\n", folder.c_str());
  }
}

// PROTOCOL, "Controller nodes -> state service": `value_kb` a value, `txn_ops` changes, four times as many conditions,
// 64 KiB in total. What is beyond is malformed.
HttpResponse Rig::between_state(const HttpRequest& request, const net::HttpServer::Handler& stand_in) {
  if (request.path != "/txn") return stand_in(request);
  const Value body = wire::decode(request.body);
  std::string why;
  std::size_t changes = 0;
  for (const Value& change : body.list("then")) {
    ++changes;
    if (change["set"].is_null()) continue;
    const std::size_t size = json_size(change["data"]);
    if (static_cast<double>(size) > deploy.value_kb * 1024) {
      why = "the value of " + change.text("set") + " has " + std::to_string(size) + " bytes";
    }
  }
  if (changes > deploy.txn_ops) why = std::to_string(changes) + " changes";
  if (body.list("if").size() > 4 * deploy.txn_ops) why = std::to_string(body.list("if").size()) + " conditions";
  if (json_size(body) > kBodyLimit) why = std::to_string(json_size(body)) + " bytes in total";
  if (why.empty()) return stand_in(request);
  ++over_limit_writes;
  record.say("state: transaction of %zu changes refused with 400: %s", changes, why.c_str());
  return reply(400, Value::Map{{"error", why}});
}

void Rig::start(std::size_t node) {
  const std::string config = (folder / ("warren-" + std::to_string(node) + ".json")).string();
  const std::string log = (folder / ("warren-" + std::to_string(node) + ".log")).string();
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(126);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (std::getenv("LOG_LEVEL") == nullptr) ::setenv("LOG_LEVEL", "info", 1);
    // As `run` of deploy/service.toml has it.
    ::execl("target/foxshunt", "target/foxshunt", "serve", "--settings", "deploy/operator.xml", "--config",
            config.c_str(), nullptr);
    ::_exit(127);
  }
  pids[node] = child;
  record.say("controller warren-%zu started", node);
}

void Rig::start_all() {
  for (std::size_t node = 0; node < pids.size(); ++node) start(node);
}

void Rig::kill(std::size_t node) {
  if (pids[node] == 0) return;
  ::kill(pids[node], SIGKILL);
  ::waitpid(pids[node], nullptr, 0);
  pids[node] = 0;
  record.say("controller warren-%zu killed", node);
}

void Rig::signal(std::size_t node, int number) const {
  if (pids[node] != 0) ::kill(pids[node], number);
}

std::optional<std::string> Rig::ended(std::size_t node) {
  int status = 0;
  if (pids[node] == 0 || ::waitpid(pids[node], &status, WNOHANG) != pids[node]) return std::nullopt;
  pids[node] = 0;
  std::string how = WIFSIGNALED(status) ? std::string("signal ") + ::strsignal(WTERMSIG(status))
                                        : "exit code " + std::to_string(WEXITSTATUS(status));
  record.say("controller warren-%zu ended by itself: %s", node, how.c_str());
  return how;
}

HttpResponse Rig::ask(std::size_t node, const std::string& method, const std::string& path, const std::string& body,
                      Millis limit) const {
  net::HttpClient client(addresses[node], Millis(500));
  return client.call({.method = method, .path = path, .body = body}, net::Clock::now() + limit)
      .value_or(HttpResponse{.status = 0, .body = {}, .retry_after_s = {}});
}

bool Rig::up(std::size_t node) const { return ask(node, "GET", "/up", {}, Millis(1000)).status == 200; }

bool Rig::wait_up(double seconds) const {
  const Instant until = now() + control::from_seconds(seconds);
  for (std::size_t node = 0; node < pids.size(); ++node) {
    while (!up(node)) {
      if (now() > until) return false;
      rest(0.1);
    }
  }
  return true;
}

std::string Rig::leader() {
  net::HttpClient client(state->address(), Millis(500));
  const auto answer =
      client.call({.method = "GET", .path = "/kv/lead/holder", .body = {}}, net::Clock::now() + Millis(2000));
  if (!answer || answer->status != 200) return {};
  return wire::decode(answer->body)["data"].text("node");
}

double Rig::resident_mb(std::size_t node) const {
  std::ifstream pages("/proc/" + std::to_string(pids[node]) + "/statm");
  double all = 0, resident = 0;
  pages >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

int Rig::submit(const wire::JobSpec& spec, double run_s) {
  platform->upload(spec, run_s);
  return submit_body(spec.id.text(), wire::encode(wire::to_value(spec)));
}

int Rig::submit_body(const std::string& id, const std::string& body, double limit_s) {
  const Instant until = now() + control::from_seconds(limit_s);
  int status = 0;
  while (true) {
    const std::size_t node = next_++ % addresses.size();
    status = ask(node, "POST", "/api/jobs", body).status;
    record.say("user: POST /api/jobs %s of %zu bytes at warren-%zu: %d", id.c_str(), body.size(), node, status);
    if (status == 200 || status == 201 || status == 400 || status == 422 || now() >= until) return status;
    rest(1);
  }
}

std::pair<int, std::string> Rig::poll(const std::string& id) {
  const std::size_t node = next_++ % addresses.size();
  const HttpResponse answer = ask(node, "GET", "/api/jobs/" + id, {}, Millis(2000));
  std::string state;
  if (answer.status == 200) state = wire::decode(answer.body).text("scent");
  record.say("user: GET /api/jobs/%s at warren-%zu: %d %s", id.c_str(), node, answer.status, state.c_str());
  return {answer.status, state};
}

std::pair<int, std::string> Rig::abort(const std::string& id, double limit_s) {
  const Instant until = now() + control::from_seconds(limit_s);
  while (true) {
    const std::size_t node = next_++ % addresses.size();
    const HttpResponse answer = ask(node, "POST", "/api/jobs/" + id + "/abort");
    std::string state;
    if (answer.status == 200) state = wire::decode(answer.body).text("scent");
    record.say("user: POST /api/jobs/%s/abort at warren-%zu: %d %s", id.c_str(), node, answer.status, state.c_str());
    if (answer.status == 200 || answer.status == 404 || now() >= until) return {answer.status, state};
    rest(1);
  }
}

wire::JobSpec array_job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus, double ram_gb,
                        double run_s) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "hullscan";
  spec.team = team;
  spec.kind = wire::JobKind::array;
  spec.priority = wire::Priority::standard;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.gpus = 0;
  spec.ram_gb = ram_gb;
  spec.image = "img-07";
  spec.image_gb = 0.5;
  spec.spot = true;
  spec.estimate_s = run_s;
  return spec;
}

int run_case(int argc, char** argv, const std::function<int(Record&)>& body) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::printf("usage: %s RECORD\n", argv[0]);
    return 2;
  }
  net::tune_process_for_threads();
  try {
    Record record(argv[1]);
    const int code = body(record);
    record.say("verdict: %s", code == 0   ? "the rule held"
                              : code == 1 ? "the rule was broken"
                                          : "the case could not run");
    std::printf("%s (TROUBLE=%d)\n",
                code == 0   ? "held"
                : code == 1 ? "broken"
                            : "could not run",
                static_cast<int>(trouble()));
    return code;
  } catch (const std::exception& error) {
    std::printf("could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace rig
