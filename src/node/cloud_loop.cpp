#include "node/cloud_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "node/clock.h"

namespace foxshunt::node {

CloudLoop::CloudLoop(Context& context)
    : context_(context),
      http_(context.cloud_address, constants::kCloudCallTimeout),
      state_(context.state_address, context.rate_limiter, kv::Priority::system) {}

CloudLoop::Answer CloudLoop::call(const std::string& method, const std::string& path, const wire::Value* body) {
  // Calls are spaced, as several nodes may ask for types at once.
  if (const auto wait = next_call_ - net::Clock::now(); wait > net::Clock::duration::zero()) {
    if (!sleep_unless_stopped(stop_, std::chrono::ceil<std::chrono::milliseconds>(wait))) return {};
  }
  next_call_ = net::Clock::now() + std::chrono::duration_cast<net::Clock::duration>(
                                       std::chrono::duration<double>(1.0 / context_.settings.cloud_rps));
  const auto answer =
      http_.call({.method = method, .path = path, .body = body == nullptr ? std::string() : wire::encode(*body)},
                 net::Clock::now() + constants::kCloudCallTimeout);
  Answer result;
  if (answer) {
    result.status = answer->status;
    try {
      if (!answer->body.empty()) result.body = wire::decode(answer->body);
    } catch (const wire::Malformed& error) {
      spdlog::warn("malformed_cloud_answer method={} path={} error=\"{}\"", method, path, error.what());
      result.status = 0;
    }
  }
  const std::string* why = result.body["error"].as_text();
  const bool capacity = why != nullptr && *why == "no capacity";
  if (result.status != 200 && !capacity) {
    spdlog::warn("cloud_call_failed method={} path={} status={}", method, path,
                 result.status == 0 ? "none" : std::to_string(result.status));
    next_try_ = net::Clock::now() + constants::kCloudRetryBackoff;
  }
  return result;
}

void CloudLoop::read_types() {
  const kv::GetResult kept = state_.get(state::kMachineTypesKey, net::Clock::now() + constants::kStoreCallTimeout);
  if (kept.status != kv::Status::ok) return;
  context_.on_store_answered();
  try {
    publish_types(wire::machine_types_from(kept.entry.data));
    published_ = true;
  } catch (const wire::Malformed& error) {
    spdlog::error("machine_types_record_unreadable error=\"{}\"", error.what());
  }
}

void CloudLoop::publish_types(const std::vector<wire::MachineType>& types) {
  {
    const std::lock_guard lock(context_.cluster_view.mutex);
    context_.cluster_view.types = types;
  }
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
  context_.control_state.controller.on_machine_types(types);
  controller_knows_types_ = !types.empty();
}

bool CloudLoop::fetch_types() {
  const Answer answer = call("GET", "/machine_types", nullptr);
  if (answer.status != 200) return false;
  try {
    const std::vector<wire::MachineType> types = wire::machine_types_from(answer.body);
    if (types.empty()) throw wire::Malformed("no types");
    publish_types(types);
    if (!published_) {
      kv::Txn txn;
      txn.changes = {{.key = state::kMachineTypesKey, .data = wire::to_value(types), .lease = {}}};
      published_ = state_.txn(txn, net::Clock::now() + constants::kStoreCallTimeout).status == kv::Status::ok;
    }
    return true;
  } catch (const wire::Malformed& error) {
    spdlog::warn("malformed_machine_types error=\"{}\"", error.what());
    return false;
  }
}

void CloudLoop::list() {
  const plan::Instant requested = now();
  std::vector<wire::ListedMachine> machines;
  std::string from;
  while (true) {
    std::string path = "/machines?most=" + std::to_string(constants::kMaxCloudListPage);
    if (!from.empty()) path += "&from=" + from;
    const Answer answer = call("GET", path, nullptr);
    if (answer.status != 200) return;
    try {
      const wire::MachinePage page = wire::machine_page_from(answer.body);
      machines.insert(machines.end(), page.machines.begin(), page.machines.end());
      if (!page.more || page.machines.empty()) break;
      from = page.machines.back().id.text();
    } catch (const wire::Malformed& error) {
      spdlog::warn("malformed_machine_list error=\"{}\"", error.what());
      return;
    }
  }
  next_list_ = net::Clock::now() + constants::kCloudListInterval;
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
  context_.control_state.controller.on_machine_list(machines, requested, now());
}

void CloudLoop::rent() {
  // What the leader before rented in its last seconds is on no list yet; a sibling may know of it.
  if (context_.standby.wants_soft_state()) return;
  std::optional<wire::ScaleOutRequest> request;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
    request = context_.control_state.controller.next_scale_out(now());
  }
  if (!request) return;
  const wire::Value body = wire::to_value(*request);
  const Answer answer = call("POST", "/machines", &body);
  const std::string* why = answer.body["error"].as_text();
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
  if (answer.status == 200) {
    try {
      context_.control_state.controller.on_scaled_out(*request, wire::machine_names_from(answer.body), now());
    } catch (const wire::Malformed& error) {
      spdlog::warn("malformed_scale_out_answer request={} error=\"{}\"", request->request, error.what());
    }
  } else if ((answer.status == 503 && why != nullptr && *why == "no capacity") || answer.status == 400) {
    context_.control_state.controller.on_scale_out_refused(*request, now());
  }
  // Otherwise the rental may have been carried out: the same request is sent again until its answer is known.
}

void CloudLoop::give_back() {
  std::vector<MachineId> names;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
    names = context_.control_state.controller.next_scale_in(now());
  }
  if (names.empty()) return;
  const wire::Value body = wire::machine_names(names);
  const Answer answer = call("POST", "/machines/return", &body);
  if (answer.status != 200) return;
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
  context_.control_state.controller.on_scaled_in(names, now());
  context_.wakeups.scheduler.signal();
}

void CloudLoop::run(const std::stop_token& stop) {
  stop_ = stop;
  while (!stop.stop_requested()) {
    const bool known = controller_knows_types_;
    bool is_leader = false;
    bool wanted = false;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::cloud));
      is_leader = context_.control_state.controller.is_leader();
      wanted = is_leader && context_.control_state.controller.needs_scaling();
    }
    if (!is_leader && known) {
      if (!context_.wait_until_leader(stop)) return;
      continue;
    }
    if (!known) read_types();
    if (net::Clock::now() < next_try_) {
      sleep_unless_stopped(stop, constants::kTick);
      continue;
    }
    if ((!known && !published_) || (is_leader && net::Clock::now() >= next_types_)) {
      if (fetch_types()) next_types_ = net::Clock::now() + constants::kMachineTypesInterval;
    }
    if (is_leader) {
      if (wanted) {
        give_back();
        rent();
      }
      if (net::Clock::now() >= next_list_) list();
    }
    const auto next = std::chrono::ceil<std::chrono::milliseconds>(next_list_ - net::Clock::now());
    context_.wakeups.cloud_loop.wait(
        stop, known && !wanted ? std::max(next, constants::kCloudCheckInterval) : constants::kCloudCheckInterval);
  }
}

}  // namespace foxshunt::node
