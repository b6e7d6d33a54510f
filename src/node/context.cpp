#include "node/context.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.h"
#include "node/clock.h"

namespace foxshunt::node {
namespace {

net::Address address_or_throw(const std::string& text, const char* field) {
  const auto address = net::parse_address(text);
  if (!address) throw config::BadSettings(std::string(field) + ": must be an IPv4 address with a port");
  return *address;
}

}  // namespace

Context::Context(const config::Settings& from)
    : settings(from),
      state_address(address_or_throw(from.state, "outside.state")),
      cloud_address(address_or_throw(from.cloud, "outside.cloud")),
      rate_limiter(from.state_rps, from.state_write_rps,
                   1.0 / static_cast<double>(std::max<std::size_t>(1, from.nodes))),
      control_state(from),
      shared(from),
      standby(from),
      health(now(), from.siblings.size()) {}

bool Context::wait_until_leader(const std::stop_token& stop) {
  std::unique_lock lock(control_state.mutex.handle(LockPriority::scheduling));
  return control_state.became_leader.wait(lock, stop, [this] { return control_state.controller.is_leader(); });
}

void Context::on_store_answered() {
  const std::lock_guard lock(health.mutex);
  health.check.on_store_response(now());
}

plan::Millis Context::store_silent_for() {
  const std::lock_guard lock(health.mutex);
  return health.check.store_silence(now());
}

bool Context::observe_leader(const NodeName& of, Term in) {
  const std::lock_guard lock(cluster_view.mutex);
  if (in < cluster_view.term) return false;
  if (of != cluster_view.leader && !of.empty())
    spdlog::info("leader_observed leader={} term={}", of.text(), in.number());
  cluster_view.leader = of;
  cluster_view.term = in;
  return true;
}

KnownLeader Context::known_leader() {
  const std::lock_guard lock(cluster_view.mutex);
  return {.leader = cluster_view.leader, .term = cluster_view.term};
}

}  // namespace foxshunt::node
