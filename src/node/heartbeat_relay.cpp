#include "node/heartbeat_relay.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "node/clock.h"

namespace foxshunt::node {

using net::HttpResponse;

HttpResponse send_to(const NodeName& node) {
  return {.status = 421, .body = wire::encode(wire::redirect_to(node)), .retry_after_s = {}};
}

HeartbeatRelay::Link::Link(const net::Address& to)
    : clients(constants::kRelayClients,
              [to] { return std::make_unique<net::HttpClient>(to, constants::kRelayConnectTimeout); }) {}

HeartbeatRelay::HeartbeatRelay(Context& context, HeldDelegation& held_delegation)
    : context_(context), held_delegation_(held_delegation) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) links_.try_emplace(sibling.name, *address);
  }
}

std::optional<HttpResponse> HeartbeatRelay::forward(const NodeName& leader, const std::string& body) {
  const auto link = links_.find(leader);
  if (link == links_.end()) return std::nullopt;
  {
    const std::lock_guard lock(mutex_);
    if (net::Clock::now() < link->second.broken_until) return std::nullopt;
  }
  const ClientPool<net::HttpClient>::Lease lease(link->second.clients);
  if (lease.get() == nullptr) return std::nullopt;
  auto answer = lease.get()->call({.method = "POST", .path = "/relay", .body = body},
                                  net::Clock::now() + constants::kRelayTimeout);
  if (!answer) {
    const std::lock_guard lock(mutex_);
    link->second.broken_until = net::Clock::now() + constants::kRelayRetryBackoff;
  }
  return answer;
}

HttpResponse HeartbeatRelay::answer(const wire::Heartbeat& heartbeat, const std::string& body) {
  const auto [leader, term] = context_.known_leader();
  if (leader.empty() || leader == context_.settings.name)
    return answer_by_held_delegation(heartbeat, true).value_or(send_to({}));
  bool passes = false;
  {
    const std::lock_guard lock(mutex_);
    passes = relay_policy_.should_relay(heartbeat.machine, heartbeat.term, term, now());
  }
  if (!passes) return answer_by_held_delegation(heartbeat, false).value_or(send_to(leader));
  auto answer = forward(leader, body);
  if (answer && answer->status == 200) {
    if (context_.metrics.relayed++ == 0) {
      spdlog::info("heartbeat_relay_started leader={}", leader.text());
    }
    return std::move(*answer);
  }
  // Neither the worker nor this node reaches the leader, or it leads no longer: another node may know better.
  return answer_by_held_delegation(heartbeat, true).value_or(send_to({}));
}

std::optional<HttpResponse> HeartbeatRelay::answer_by_held_delegation(const wire::Heartbeat& heartbeat,
                                                                      bool leader_tried) {
  const auto term = held_delegation_.answerable_term(heartbeat, leader_tried);
  if (!term) return std::nullopt;
  if (context_.metrics.granted++ == 0)
    spdlog::info("delegated_answers_started zone={} term={}", heartbeat.zone, term->number());
  return HttpResponse{.status = 200, .body = wire::encode(wire::heartbeat_response(*term, {})), .retry_after_s = {}};
}

}  // namespace foxshunt::node
