#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "calendar/civil.h"
#include "config/constants.h"
#include "config/guards.h"
#include "net/http.h"
#include "node/cache_watcher.h"
#include "node/calendar_requests.h"
#include "node/catalog_requests.h"
#include "node/clock.h"
#include "node/cloud_loop.h"
#include "node/connection_limits.h"
#include "node/context.h"
#include "node/delegation_client.h"
#include "node/heartbeat_relay.h"
#include "node/held_delegation.h"
#include "node/http_responses.h"
#include "node/leader_elector.h"
#include "node/operator_requests.h"
#include "node/peer_prober.h"
#include "node/queue_requests.h"
#include "node/record_controller_loop.h"
#include "node/record_watcher.h"
#include "node/record_writer.h"
#include "node/request_handler.h"
#include "node/scheduler_loop.h"
#include "node/standby_requests.h"
#include "node/standby_subscriber.h"
#include "node/stop_sender.h"
#include "node/warm_pool_loop.h"
#include "node/zone_requests.h"
#include "pools/windows.h"

namespace foxshunt::node {

using net::HttpRequest;
using net::HttpResponse;

namespace {

// The begins and ends of pools' windows, by the calendar's zones.
std::vector<std::int64_t> window_times(const std::string& zone, const std::string& at,
                                       const std::vector<std::uint32_t>& weekdays, std::int64_t from_ms,
                                       std::int64_t to_ms) {
  std::vector<std::int64_t> times;
  try {
    for (const calendar::Due& due :
         calendar::dues({.time_zone = zone, .at = at, .weekdays = weekdays}, from_ms, to_ms)) {
      times.push_back(due.due_ms);
    }
  } catch (const calendar::Unknown& error) {
    throw wire::Malformed(error.what());  // told as the reason why the pool holds nothing
  }
  return times;
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(const config::Settings& settings)
      : context_(settings),
        front_(context_),
        catalog_(context_),
        leader_(context_),
        follow_(context_),
        write_(context_),
        plan_(context_),
        cloud_(context_),
        halt_(context_),
        ledger_(context_),
        keep_(context_),
        pools_(
            context_, [this] { return context_.shared.catalog.in_force(); }, pools::opener(window_times)),
        peers_(context_),
        held_delegation_(context_.settings),
        ask_(context_, held_delegation_),
        standby_(context_),
        relay_(context_, held_delegation_),
        server_(address_of(settings.bind, "bind"), connection_limits_for(settings).all,
                [this](const HttpRequest& request) { return handle(request); }) {
    start(leader_);
    start(follow_);
    start(write_);
    start(plan_);
    start(cloud_);
    start(halt_);
    if (settings.operators.shared_records) {
      start(ledger_);
      start(keep_);
      start(pools_);
    }
    start(peers_);
    start(ask_);
    if (settings.operators.standby) start(standby_);
    if (!settings.peer_listen.empty()) {
      peer_server_.emplace(address_of(settings.peer_listen, "peer_listen"), connection_limits_for(settings).siblings,
                           [this](const HttpRequest& request) { return handle_sibling(request); });
    }
    started_ = true;
    spdlog::info("serving node={} address={}", settings.name.text(), server_.address().text());
  }

  [[nodiscard]] std::string address() const { return server_.address().text(); }

 private:
  static net::Address address_of(const std::string& text, const char* field) {
    const auto address = net::parse_address(text);
    if (!address) throw config::BadSettings(std::string(field) + ": must be an IPv4 address with a port");
    return *address;
  }

  template <typename LockPriority>
  void start(LockPriority& duty) {
    duties_.emplace_back([&duty](const std::stop_token& stop) { duty.run(stop); });
  }

  HttpResponse handle(const HttpRequest& request) {
    const auto began = net::Clock::now();
    const HttpResponse answer = answer_to(request);
    const bool heartbeat = request.path == "/checkin";
    if (heartbeat || request.path.starts_with("/api/")) {
      context_.metrics.answered(heartbeat ? Metrics::Kind::heartbeat : Metrics::Kind::user, answer.status,
                                net::Clock::now() - began);
    }
    return answer;
  }

  HttpResponse answer_to(const HttpRequest& request) {
    static constexpr std::string_view kJobs = "/api/jobs";
    static constexpr std::string_view kPlan = "/plan/";
    const std::string& path = request.path;
    if (request.method == "POST" && path == "/checkin") return check_in(request.body, false);
    if (request.method == "GET" && path == "/up") return front_.up();
    if (request.method == "GET" && path == "/counters") {
      return started_ ? counters_response(context_, server_) : retry_later("the node is starting");
    }
    if (request.method == "GET" && path == "/pools") return pools_.pools_response();
    if (request.method == "GET" && path == "/accounts") return pools_.accounts_response();
    if (request.method == "GET" && path == "/zones") return zones_response(context_, held_delegation_);
    if (request.method == "GET" && path == "/standby") return standby_response(context_);
    if (path.starts_with("/catalog")) return catalog_.handle(request);
    if (path.starts_with("/calendar")) return calendar(request);
    if (request.method == "GET" && path == "/queue") return queue_response(context_, request);
    if (request.method == "GET" && path.starts_with(kPlan))
      return plan_explanation_response(context_, path.substr(kPlan.size()));
    if (request.method == "POST" && path == kJobs) return front_.submit(request.body);
    if (path.starts_with(kJobs) && path.size() > kJobs.size() + 1 && path[kJobs.size()] == '/') {
      const std::string rest = path.substr(kJobs.size() + 1);
      if (request.method == "GET") return front_.status(rest);
      if (request.method == "POST" && rest.ends_with("/abort")) return front_.abort(rest.substr(0, rest.size() - 6));
    }
    return error_response(404, "no such path");
  }

  HttpResponse calendar(const HttpRequest& request) {
    static constexpr std::string_view kDays = "/calendar/";
    if (!context_.settings.operators.shared_records) {
      return error_response(409, "shared-records is off in the operators' settings");
    }
    const calendar::DeadlineController& keeper = context_.shared.calendar;
    if (request.method == "POST" && request.path == "/calendar") return change_calendar(context_, keeper, request.body);
    if (request.method == "GET" && request.path.starts_with(kDays)) {
      return calendar_response(context_, keeper, request.path.substr(kDays.size()));
    }
    return error_response(404, "no such path");
  }

  HttpResponse handle_sibling(const HttpRequest& request) {
    if (request.method == "POST" && request.path == "/relay") return check_in(request.body, true);
    if (request.method == "POST" && request.path == "/grant") {
      return answer_delegation_request(context_, held_delegation_, request.body);
    }
    if (request.method == "POST" && request.path == "/standby") return answer_standby_request(context_, request.body);
    return leader_response(context_, request);
  }

  // `relayed`: by a sibling, to which this node is the leader; it is not passed on once more.
  HttpResponse check_in(const std::string& body, bool relayed) {
    wire::Heartbeat heartbeat;
    try {
      heartbeat = wire::heartbeat_from(wire::decode(body));
    } catch (const wire::Malformed& error) {
      spdlog::warn("malformed_heartbeat error=\"{}\"", error.what());
      return error_response(400, error.what());
    }
    std::optional<std::vector<wire::Command>> commands;
    Term term;
    bool plan = false;
    bool writes = false;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::heartbeats));
      commands = context_.control_state.controller.on_heartbeat(heartbeat, now());
      term = context_.control_state.controller.term();
      plan = context_.control_state.controller.needs_planning();
      writes = context_.control_state.controller.has_pending_writes();
    }
    if (!commands) return relayed ? send_to({}) : relay_.answer(heartbeat, body);
    if (writes) context_.wakeups.record_writer.signal();
    if (plan) context_.wakeups.scheduler.signal();
    // The outcome of a task is answered when it is durable, and with it what may start in its place; by the next
    // report the machine would have been idle for a whole interval.
    if (writes || plan) {
      std::unique_lock lock(context_.control_state.mutex.handle(LockPriority::heartbeats));
      if (!context_.control_state.controller.is_settled(heartbeat)) {
        context_.control_state.progress_made.wait_for(lock, constants::kHeartbeatSettleTimeout, [&] {
          return context_.control_state.controller.is_settled(heartbeat);
        });
        const auto later = context_.control_state.controller.follow_up_commands(heartbeat, now());
        if (!later || (guards::kept(guards::Guard::answer_term) && context_.control_state.controller.term() != term))
          return retry_later("it may not act for the controllers now");
        for (const wire::Command& command : *later) {
          if (std::ranges::find(*commands, command) == commands->end()) commands->push_back(command);
        }
      }
    }
    context_.standby.on_phase_reached(standby::Phase::heard);
    const auto runs = std::ranges::count(*commands, wire::CommandKind::run, &wire::Command::kind);
    if (runs > 0) context_.standby.on_tasks_started(static_cast<std::uint64_t>(runs));
    return {.status = 200, .body = wire::encode(wire::heartbeat_response(term, *commands)), .retry_after_s = {}};
  }

  Context context_;
  RequestHandler front_;
  CatalogRequestHandler catalog_;
  LeaderElector leader_;
  RecordWatcher follow_;
  RecordWriter write_;
  SchedulerLoop plan_;
  CloudLoop cloud_;
  StopSender halt_;
  CacheWatcher ledger_;
  RecordControllerLoop keep_;
  WarmPoolLoop pools_;
  PeerProber peers_;
  HeldDelegation held_delegation_;
  DelegationClient ask_;
  StandbySubscriber standby_;
  HeartbeatRelay relay_;
  std::vector<std::jthread> duties_;
  std::atomic<bool> started_{false};  // requests come before the server's constructor has ended
  net::HttpServer server_;
  std::optional<net::HttpServer> peer_server_;
};

Node::Node(const config::Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Node::~Node() = default;
std::string Node::address() const { return impl_->address(); }

}  // namespace foxshunt::node
