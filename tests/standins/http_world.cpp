#include "standins/http_world.h"

#include <algorithm>
#include <utility>

#include "control/times.h"

namespace foxshunt::standins {

using net::HttpRequest;
using net::HttpResponse;
using wire::Value;

namespace {

Instant now() { return std::chrono::floor<Millis>(net::Clock::now()); }

constexpr Millis kGangWait{10'000};  // as the deployments of the smoke tests say
constexpr Millis kTurn{20};          // between two looks at the clock
constexpr Millis kNoAnswer{2'500};   // longer than any controller waits for an answer of the state service
constexpr Millis kNextNode{1'000};   // PROTOCOL: a worker tries the next node after it

HttpResponse reply(int status, const Value& body) {
  return {.status = status, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace

// ---- state ----

HttpState::HttpState(std::size_t page, std::size_t controllers) : page_(page) {
  for (std::size_t i = 0; i <= controllers; ++i) {
    Door& door = doors_.emplace_back();
    door.server =
        std::make_unique<net::HttpServer>(net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 200},
                                          [this, &door](const HttpRequest& request) { return receive(request, door); });
  }
  expiry_ = std::jthread([this](const std::stop_token& stop) { end_leases(stop); });
}

HttpState::~HttpState() {
  {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    changed_.notify_all();
  }
  for (Door& door : doors_) door.server.reset();
}

void HttpState::end_leases(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    {
      const std::lock_guard lock(mutex_);
      const Revision before = store_.revision();
      if (!out_) store_.expire(now());
      if (store_.revision() != before) changed_.notify_all();
    }
    std::this_thread::sleep_for(kTurn);
  }
}

void HttpState::put(const std::string& key, const Value& data) {
  const std::lock_guard lock(mutex_);
  kv::Txn txn;
  txn.changes.push_back({.key = key, .data = data, .lease = {}});
  (void)store_.txn(txn);
}

void HttpState::set_out(bool out) {
  const std::lock_guard lock(mutex_);
  if (out_ && !out) store_.renew_all(now());
  out_ = out;
  changed_.notify_all();
}

void HttpState::refuse(std::size_t controller, bool refused) {
  const std::lock_guard lock(mutex_);
  doors_.at(controller + 1).refused = refused;
  changed_.notify_all();
}

Instant HttpState::served(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  return door(controller).served;
}

void HttpState::end_holds() {
  std::unique_lock lock(mutex_);
  const std::uint64_t before = holds_ended_++;
  changed_.notify_all();
  changed_.wait(lock, [&] { return watches_.empty() || watches_.begin()->first > before; });
}

void HttpState::set_fate(std::function<Fate(const HttpRequest&)> fate, Millis late_by) {
  const std::lock_guard lock(mutex_);
  fate_ = std::move(fate);
  late_by_ = late_by;
}

std::vector<std::string> HttpState::asked() {
  const std::lock_guard lock(mutex_);
  return asked_;
}

HttpResponse HttpState::watch(const std::map<std::string, std::string>& query, Door& door) {
  const Revision from(std::stoull(query.at("from")));
  const std::string& prefix = query.at("starts");
  const auto until = net::Clock::now() + Millis(std::stoll(query.at("holdMs")));
  std::unique_lock lock(mutex_);
  if (out(door)) return {.status = 503, .body = {}, .retry_after_s = {}};
  const std::uint64_t holds_ended = holds_ended_;
  ++watches_[holds_ended];
  kv::WatchResult news;
  while (!closing_) {
    if (out(door)) {  // whatever it was asked for, it waits for the end of that
      changed_.wait(lock);
      continue;
    }
    news = store_.watch(prefix, from);
    if (!news.events.empty() || net::Clock::now() >= until || holds_ended_ != holds_ended) break;
    changed_.wait_until(lock, until);
  }
  if (--watches_[holds_ended] == 0) watches_.erase(holds_ended);
  changed_.notify_all();
  if (closing_) return {.status = 503, .body = {}, .retry_after_s = {}};
  door.served = now();
  Value::List list;
  for (const kv::Event& event : news.events) {
    if (event.data) {
      list.emplace_back(Value::Map{{"set", event.key}, {"data", *event.data}, {"mark", event.revision.number()}});
    } else {
      list.emplace_back(Value::Map{{"remove", event.key}, {"mark", event.revision.number()}});
    }
  }
  return reply(200, Value::Map{{"tally", news.revision.number()}, {"news", std::move(list)}});
}

void HttpState::set_between(Between between) {
  const std::lock_guard lock(mutex_);
  between_ = std::move(between);
}

HttpResponse HttpState::receive(const HttpRequest& request, Door& door) {
  Between between;
  {
    const std::lock_guard lock(mutex_);
    between = between_;
  }
  if (!between) return judge(request, door);
  return between(request, [this, &door](const HttpRequest& passed) { return judge(passed, door); });
}

HttpResponse HttpState::judge(const HttpRequest& request, Door& door) {
  Fate fate = Fate::answered;
  if (request.path == "/txn") {
    std::unique_lock lock(mutex_);
    if (fate_ && !out(door)) fate = fate_(request);
    if (fate == Fate::late) changed_.wait_for(lock, late_by_, [this] { return closing_; });
  }
  // What is late by now comes from nobody in particular: a controller that is refused meanwhile had sent it before.
  HttpResponse answer = handle(request, fate == Fate::late ? doors_.front() : door);
  if (fate == Fate::answered) return answer;
  std::unique_lock lock(mutex_);
  if (fate == Fate::lost) changed_.wait_for(lock, kNoAnswer, [this] { return closing_; });
  return {.status = 500, .body = {}, .retry_after_s = {}};  // to nobody: whoever asked has given up
}

HttpResponse HttpState::handle(const HttpRequest& request, Door& door) {
  const std::string& path = request.path;
  if (path == "/follow") return watch(request.query, door);
  const std::lock_guard lock(mutex_);
  if (out(door)) return {.status = 503, .body = {}, .retry_after_s = {}};
  door.served = now();
  asked_.push_back(path == "/kv" ? "list " + request.query.at("starts") : request.method + " " + path);
  store_.expire(now());
  changed_.notify_all();
  if (request.method == "GET" && path == "/kv") {
    const std::string from = request.query.contains("from") ? request.query.at("from") : "";
    Value::List items;
    bool more = false;
    for (const kv::Entry& entry : store_.list(request.query.at("starts")).entries) {
      if (entry.key <= from) continue;
      if (items.size() == page_) {
        more = true;
        break;
      }
      items.emplace_back(Value::Map{{"k", entry.key}, {"data", entry.data}, {"mark", entry.revision.number()}});
    }
    return reply(200, Value::Map{{"items", std::move(items)}, {"more", more}, {"tally", store_.revision().number()}});
  }
  if (request.method == "GET" && path.starts_with("/kv/")) {
    const kv::GetResult found = store_.get(path.substr(4));
    if (found.status != kv::Status::ok) return reply(404, Value::Map{{"tally", store_.revision().number()}});
    return reply(
        200, Value::Map{{"k", found.entry.key}, {"data", found.entry.data}, {"mark", found.entry.revision.number()}});
  }
  if (path == "/leases") {
    const auto ttl = static_cast<std::int64_t>(wire::decode(request.body).count("ttlMs"));
    return reply(200, Value::Map{{"tether", store_.grant_lease(Millis(ttl), now()).number}});
  }
  if (path.starts_with("/leases/")) {
    const kv::LeaseId lease{std::stoull(path.substr(8))};
    if (request.method == "DELETE") {
      store_.revoke(lease);
      return reply(200, Value::Map{});
    }
    return reply(store_.touch(lease, now()) == kv::Status::ok ? 200 : 404, Value::Map{});
  }
  if (path == "/txn") {
    const Value body = wire::decode(request.body);
    kv::Txn txn;
    for (const Value& condition : body.list("if")) {
      txn.preconditions.push_back({.key = condition.text("k"), .revision = Revision(condition.count("mark"))});
    }
    for (const Value& change : body.list("then")) {
      kv::Change made{.key = {}, .data = {}, .lease = {}};
      if (change["set"].is_null()) {
        made.key = change.text("remove");
      } else {
        made.key = change.text("set");
        made.data = change["data"];
        if (!change["tether"].is_null()) made.lease = kv::LeaseId{change.count("tether")};
      }
      txn.changes.push_back(std::move(made));
    }
    const kv::TxnResult result = store_.txn(txn);
    if (result.status == kv::Status::ok) return reply(200, Value::Map{{"tally", result.revision.number()}});
    if (result.status == kv::Status::invalid_request) return reply(400, Value::Map{{"error", "no such lease"}});
    Value::List failed;
    for (const std::string& key : result.failed_keys) failed.emplace_back(key);
    return reply(409, Value::Map{{"failed", std::move(failed)}, {"tally", store_.revision().number()}});
  }
  return reply(400, Value::Map{{"error", "unknown"}});
}

// ---- cloud and workers ----

HttpCloud::HttpCloud(std::vector<net::Address> nodes, double heartbeat_interval_s, double lease_s)
    : nodes_(std::move(nodes)),
      report_s_(heartbeat_interval_s),
      lease_(control::from_seconds(lease_s)),
      type_{.name = "plain",
            .cpus = 8,
            .ram_gb = 32,
            .cache_gb = 10,
            .fetch_gb_per_s = 10,
            .price = 1,
            .spot_price = 0.3,
            .boot_s = 0.2,
            .zones = {"a"}},
      server_(std::make_unique<net::HttpServer>(net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 50},
                                                [this](const HttpRequest& request) { return receive(request); })),
      clock_([this](const std::stop_token& stop) { pass_time(stop); }) {}

HttpCloud::~HttpCloud() {
  clock_.request_stop();
  clock_.join();
  server_.reset();
  std::map<MachineId, Machine> rest;
  {
    const std::lock_guard lock(mutex_);
    rest.swap(machines_);
    for (auto& [unused, machine] : rest) machine.thread.request_stop();
  }
}

void HttpCloud::upload(const wire::JobSpec& spec, double run_s) {
  const std::lock_guard lock(mutex_);
  jobs_[spec.id] = {spec, run_s};
}

std::size_t HttpCloud::starts() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

void HttpCloud::cut(std::size_t node, bool is_cut) {
  const std::lock_guard lock(mutex_);
  if (is_cut) {
    cut_.insert(node);
  } else {
    cut_.erase(node);
  }
}

void HttpCloud::finish(const JobId& job) {
  const std::lock_guard lock(mutex_);
  for (auto& [unused, machine] : machines_) {
    for (auto& [key, attempt] : machine.worker->attempts()) {
      if (key.first.job == job) attempt.length = {};
    }
  }
}

std::vector<HttpCloud::Stay> HttpCloud::stays(const JobId& job) {
  const std::lock_guard lock(mutex_);
  std::vector<Stay> found;
  for (Stay stay : stays_) {
    if (stay.task.job != job) continue;
    const Instant lease_end = machines_.at(stay.machine).lease_from + lease_;
    if (!stay.until && now() > lease_end) stay.until = lease_end;
    found.push_back(std::move(stay));
  }
  return found;
}

std::vector<HttpCloud::Renewal> HttpCloud::renewals() {
  const std::lock_guard lock(mutex_);
  return renewals_;
}

std::size_t HttpCloud::under_way(std::size_t node) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::ranges::count_if(machines_, [&](const auto& entry) { return entry.second.asks == node; }));
}

const wire::JobSpec* HttpCloud::job(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.first;
}

Millis HttpCloud::run_left(const TaskKey& task) { return control::from_seconds(jobs_.at(task.job).second); }

void HttpCloud::on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) {
  ++starts_;
  stays_.push_back({.task = task, .attempt = attempt, .machine = machine, .from = passing_, .until = {}});
  if (!on_[task].empty() && !on_[task].contains(machine)) ++ran_twice_;
  on_[task].insert(machine);
}

void HttpCloud::on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) {
  on_[task].erase(machine);
  for (Stay& stay : stays_) {
    if (!stay.until && stay.task == task && stay.attempt == attempt && stay.machine == machine) stay.until = passing_;
  }
  if (done) done_.insert(task);
}

bool HttpCloud::ready(const JobId& job, AttemptNumber attempt) {
  const std::uint32_t tasks = jobs_.at(job).first.tasks;
  std::uint32_t there = 0;
  for (std::uint32_t index = 0; index < tasks; ++index) {
    const TaskKey task{job, index};
    const auto has = [&](const MachineId& id) {
      auto& attempts = machines_.at(id).worker->attempts();
      const auto held = attempts.find({task, attempt});
      return held != attempts.end() && held->second.on_machine;
    };
    if (done_.contains(task) || std::ranges::any_of(on_[task], has)) ++there;
  }
  return there == tasks;
}

void HttpCloud::set_between(Between between) {
  const std::lock_guard lock(mutex_);
  between_ = std::move(between);
}

HttpResponse HttpCloud::receive(const HttpRequest& request) {
  Between between;
  {
    const std::lock_guard lock(mutex_);
    between = between_;
  }
  if (!between) return handle(request);
  return between(request, [this](const HttpRequest& passed) { return handle(passed); });
}

HttpResponse HttpCloud::handle(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  if (request.path == "/machine_types") return reply(200, wire::to_value(std::vector{type_}));
  if (request.path == "/machines/return") {
    for (const MachineId& id : wire::machine_names_from(wire::decode(request.body))) {
      const auto found = machines_.find(id);
      if (found == machines_.end()) continue;
      found->second.gone = true;
      advance(found->second, now());
      found->second.worker->kill(now());
      found->second.thread.request_stop();
    }
    return reply(200, Value::Map{});
  }
  if (request.method == "POST") {
    const Value body = wire::decode(request.body);
    std::vector<MachineId>& rented = rentals_[body.text("hunt")];
    if (rented.empty()) {
      for (std::uint64_t i = 0; i < body.count("count"); ++i) {
        std::string number = std::to_string(machines_.size());
        const MachineId id("m-" + std::string(6 - number.size(), '0') + number);
        Machine& machine = machines_[id];
        machine.zone = body.text("covert");
        machine.spot = body.flag("strays");
        machine.rented = now();
        machine.worker = std::make_unique<Worker>(id, type_, machine.zone, machine.spot, lease_, *this, machine.rented);
        machine.lease_from = machine.rented;
        machine.worker->gang_wait = kGangWait;
        machine.worker->gang_ready = [this](const JobId& job_id, AttemptNumber attempt) {
          return ready(job_id, attempt);
        };
        machine.thread = std::jthread([this, id](const std::stop_token& stop) { live(stop, id); });
        rented.push_back(id);
      }
    }
    return reply(200, wire::machine_names(rented));
  }
  Value::List list;
  for (const auto& [id, machine] : machines_) {
    if (machine.gone) continue;
    list.emplace_back(Value::Map{{"id", id.text()},
                                 {"addr", "127.0.0.1:1"},
                                 {"burrow", type_.name},
                                 {"covert", machine.zone},
                                 {"strays", machine.spot},
                                 {"scent", "running"},
                                 {"ageS", control::to_seconds(now() - machine.rented)}});
  }
  return reply(200, Value::Map{{"dens", std::move(list)}, {"more", false}});
}

void HttpCloud::advance(Machine& machine, Instant at) {
  // What the lease ends is gone at its end, also when the stand-in comes to it later.
  passing_ = std::min(at, machine.lease_from + lease_);
  const AgentIncarnation incarnation = machine.worker->incarnation();
  if (machine.worker->advance(at)) machine.changed = true;
  if (machine.worker->incarnation() != incarnation) machine.lease_from = at;
  passing_ = at;
}

void HttpCloud::pass_time(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    std::this_thread::sleep_for(kTurn);
    const std::lock_guard lock(mutex_);
    for (auto& [unused, machine] : machines_) {
      if (!machine.gone) advance(machine, now());
    }
  }
}

std::optional<std::size_t> HttpCloud::node_named(const HttpResponse& answer) const {
  if (answer.status != 421) return std::nullopt;
  const Value body = wire::decode(answer.body);
  const std::string* name = body["vixen"].as_text();
  for (std::size_t node = 0; name != nullptr && node < nodes_.size(); ++node) {
    if (*name == "node-" + std::to_string(node)) return node;
  }
  return std::nullopt;
}

void HttpCloud::live(const std::stop_token& stop, const MachineId& id) {
  std::size_t node = 0;
  auto client = std::make_unique<net::HttpClient>(nodes_[node], Millis(500));
  const auto turn_to = [&](std::size_t next) {
    node = next;
    client = std::make_unique<net::HttpClient>(nodes_[node], Millis(500));
  };
  Instant next_heartbeat = now();
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
      if (std::exchange(machine.changed, false)) next_heartbeat = std::min(next_heartbeat, now() + Millis(100));
      if (now() < next_heartbeat) continue;
      sent = now();
      advance(machine, sent);
      machine.changed = false;
      heartbeat = machine.worker->heartbeat();
      machine.asks = node;
      is_cut = cut_.contains(node);
    }
    std::optional<HttpResponse> answer;
    if (!is_cut) {
      answer = client->call({.method = "POST", .path = "/checkin", .body = wire::encode(wire::to_value(heartbeat))},
                            net::Clock::now() + Millis(4000));
    }
    next_heartbeat = now() + control::from_seconds(report_s_);
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(id);
    if (found == machines_.end() || found->second.gone) return;
    Machine& machine = found->second;
    machine.asks.reset();
    if (cut_.contains(node)) answer.reset();
    if (!answer || answer->status != 200) {
      const auto named = answer ? node_named(*answer) : std::nullopt;
      const bool elsewhere = named && *named != node;
      turn_to(elsewhere ? *named : (node + 1) % nodes_.size());
      next_heartbeat = elsewhere ? now() : now() + kNextNode;
      continue;
    }
    const Value body = wire::decode(answer->body);
    const Term term(body.count("alpha"));
    advance(machine, now());  // a lease that has ended meanwhile is not renewed any more
    if (!machine.worker->answer(term, wire::commands_from(body), heartbeat.incarnation, sent, passing_)) continue;
    machine.lease_from = std::max(machine.lease_from, sent);
    renewals_.push_back({.machine = id, .node = node, .term = term, .sent = sent});
  }
}

}  // namespace foxshunt::standins
