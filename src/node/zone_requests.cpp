#include "node/zone_requests.h"

#include "node/clock.h"
#include "node/http_responses.h"
#include "zone/messages.h"

namespace foxshunt::node {

using wire::Value;

net::HttpResponse answer_delegation_request(Context& context, HeldDelegation& held_delegation,
                                            const std::string& body) {
  zone::DelegationRequest ask;
  try {
    ask = zone::delegation_request_from(wire::decode(body));
  } catch (const wire::Malformed& error) {
    held_delegation.log_malformed("a sibling", error.what());
    return error_response(400, error.what());
  }
  std::optional<zone::LeaseDelegation> delegation;
  {
    const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::lease));
    delegation = context.control_state.controller.on_delegation_request(ask, now());
  }
  if (!delegation) return retry_later("nothing can be granted: it does not lead in that term, or the word is stale");
  return {.status = 200, .body = wire::encode(zone::to_value(*delegation)), .retry_after_s = {}};
}

net::HttpResponse zones_response(Context& context, const HeldDelegation& held_delegation) {
  const NodeName leader = context.known_leader().leader;
  Value::Map body{
      {"node", context.settings.name.text()}, {"leader", leader.text()}, {"holds", held_delegation.status()}};
  const plan::Instant at = now();
  const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
  body.emplace_back("leads", context.control_state.controller.is_leader());
  if (!context.control_state.controller.is_leader())
    return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
  Value::List zones;
  for (const auto& [name, standing] : context.control_state.controller.zone_health().standings()) {
    zones.push_back(Value::Map{{"zone", name},
                               {"state", context.settings.in_service(name) ? zone::name_of(standing.state)
                                                                           : std::string_view("out of service")},
                               {"for_ms", count_ms(at - standing.since)},
                               {"heard", static_cast<std::uint64_t>(standing.seen.heard)},
                               {"silent", static_cast<std::uint64_t>(standing.seen.silent)},
                               {"ended", static_cast<std::uint64_t>(standing.seen.ended)},
                               {"tasks_unheard", static_cast<std::uint64_t>(standing.seen.tasks)},
                               {"leaving", standing.evacuating}});
  }
  Value::List delegations;
  for (const zone::DelegationTable::Standing& standing : context.control_state.controller.delegations().standings()) {
    delegations.push_back(Value::Map{{"node", standing.node.text()},
                                     {"zone", standing.zone},
                                     {"heard", standing.heard.has_value()},
                                     {"heard_ms_ago", standing.heard ? count_ms(at - *standing.heard) : 0},
                                     {"ends_in_ms", count_ms(standing.until - at)},
                                     {"machines_answered", static_cast<std::uint64_t>(standing.machines_used)}});
  }
  body.emplace_back("watched", context.settings.operators.zone_watch);
  body.emplace_back("granting", context.settings.operators.zone_lease_delegation);
  body.emplace_back("zones", std::move(zones));
  body.emplace_back("grants", std::move(delegations));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
