#include "node/warm_pool_loop.h"

#include <utility>

#include "config/constants.h"
#include "node/clock.h"

namespace foxshunt::node {

using wire::Value;

WarmPoolLoop::WarmPoolLoop(Context& context, InForce in_force, pools::OpenNow open_now)
    : context_(context),
      in_force_(std::move(in_force)),
      keeper_(std::move(open_now),
              static_cast<std::size_t>(context.settings.state_value_kb * 1024) - constants::kRecordSpareBytes) {
  const std::lock_guard lock(context_.shared.mutex);
  context_.shared.record_cache.add_reader(keeper_);
  context_.shared.keepers.push_back(&keeper_);
}

void WarmPoolLoop::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    look();
    sleep_unless_stopped(stop, constants::kPoolCheckInterval);
  }
}

void WarmPoolLoop::declare() {
  if (const auto set = in_force_(); set && set != declared_) {
    keeper_.declare(*set);
    declared_ = set;
  }
}

void WarmPoolLoop::look() {
  SharedRecords& shared = context_.shared;
  std::optional<pools::PoolDirectives> directives;
  {
    const std::lock_guard lock(shared.mutex);
    declare();
    if (keeper_.changes() != steered_) {
      directives = keeper_.directives();
      steered_ = keeper_.changes();
    } else if (!keeper_.active()) {
      return;
    }
  }
  std::optional<pools::FleetObservation> seen;
  bool plan = false;
  bool cloud = false;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::metrics));
    control::Controller& controller = context_.control_state.controller;
    if (directives) controller.set_pool_directives(std::move(*directives));
    if (controller.is_leader()) {
      seen = controller.observe_for_pools(now());
      plan = controller.needs_planning();
      cloud = controller.needs_scaling();
    }
  }
  if (plan) context_.wakeups.scheduler.signal();
  if (cloud) context_.wakeups.cloud_loop.signal();
  if (!seen) return;
  const std::lock_guard lock(shared.mutex);
  keeper_.observe(std::move(*seen), {.wall_ms = wall_ms(), .steady = net::Clock::now()});
}

Value::Map WarmPoolLoop::frame() const {
  const record_cache::RecordCache& record_cache = context_.shared.record_cache;
  return Value::Map{{"node", context_.settings.name.text()},
                    {"revision", record_cache.revision().number()},
                    {"whole", record_cache.whole()},
                    {"catalog", declared_ ? declared_->version.number() : 0},
                    {"digest", keeper_.digest()}};
}

net::HttpResponse WarmPoolLoop::pools_response() {
  const std::lock_guard lock(context_.shared.mutex);
  declare();  // whoever has just applied a set asks for its pools
  Value::Map body = frame();
  Value::List list;
  for (const pools::PoolView& view : keeper_.pools()) {
    list.push_back(Value::Map{{"pool", view.name},
                              {"payer", view.payer},
                              {"wanted", std::uint64_t{view.wanted}},
                              {"held", std::uint64_t{view.held}},
                              {"asked", std::uint64_t{view.asked}},
                              {"warm", std::uint64_t{view.warm}},
                              {"in_use", std::uint64_t{view.in_use}},
                              {"warming", std::uint64_t{view.warming}},
                              {"lent", std::uint64_t{view.lent}},
                              {"why", view.why},
                              {"hour_micros", view.hour_micros},
                              {"day_micros", view.day_micros},
                              {"warm_starts", view.starts.warm},
                              {"cold_starts", view.starts.cold},
                              {"saved_ms", view.starts.saved_ms()}});
  }
  body.emplace_back("pools", std::move(list));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

net::HttpResponse WarmPoolLoop::accounts_response() {
  const std::lock_guard lock(context_.shared.mutex);
  declare();
  Value::Map body = frame();
  Value::List list;
  for (const pools::AccountView& view : keeper_.accounts()) {
    Value::List lines;
    for (const auto& [key, line] : view.account.lines) {
      lines.push_back(Value::Map{{"team", key.first},
                                 {"use", accounts::name_of(key.second)},
                                 {"machine_ms", line.machine_ms},
                                 {"micros", line.micros}});
    }
    const accounts::StartCounts& starts = view.account.starts;
    list.push_back(Value::Map{{"pool", view.pool},
                              {"day", accounts::format_date(view.day)},
                              {"payer", view.account.payer},
                              {"machine_ms", view.account.total().machine_ms},
                              {"micros", view.account.total().micros},
                              {"lines", std::move(lines)},
                              {"warm_starts", starts.warm},
                              {"cold_starts", starts.cold},
                              {"warm_wait_ms", starts.warm_wait_ms},
                              {"cold_wait_ms", starts.cold_wait_ms},
                              {"saved_ms", starts.saved_ms()}});
  }
  body.emplace_back("accounts", std::move(list));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
