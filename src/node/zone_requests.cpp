#include "node/zone_requests.h"

#include "node/clock.h"
#include "node/http_responses.h"
#include "zone/messages.h"

namespace foxshunt::node {

using wire::Value;

net::HttpResponse answer_delegation_request(Context& context, HeldDelegation& held_delegation,
                                            const std::string& body) {
  zone::Ask ask;
  try {
    ask = zone::ask_from(wire::decode(body));
  } catch (const wire::Malformed& error) {
    held_delegation.log_malformed("a sibling", error.what());
    return error_response(400, error.what());
  }
  std::optional<zone::Grant> grant;
  {
    const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::lease));
    grant = context.control_state.controller.on_ask(ask, now());
  }
  if (!grant) return retry_later("nothing can be granted: it does not lead in that term, or the word is stale");
  return {.status = 200, .body = wire::encode(zone::to_value(*grant)), .retry_after_s = {}};
}

net::HttpResponse zones_response(Context& context, const HeldDelegation& held_delegation) {
  const NodeName leader = context.known_leader().leader;
  Value::Map body{
      {"node", context.settings.name.text()}, {"leader", leader.text()}, {"holds", held_delegation.status()}};
  const plan::Instant at = now();
  const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
  body.emplace_back("leads", context.control_state.controller.leading());
  if (!context.control_state.controller.leading())
    return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
  Value::List zones;
  for (const auto& [name, standing] : context.control_state.controller.zones().standings()) {
    zones.push_back(Value::Map{{"zone", name},
                               {"state", context.settings.in_service(name) ? zone::name_of(standing.state)
                                                                           : std::string_view("out of service")},
                               {"for_ms", count_ms(at - standing.since)},
                               {"heard", static_cast<std::uint64_t>(standing.seen.heard)},
                               {"silent", static_cast<std::uint64_t>(standing.seen.silent)},
                               {"ended", static_cast<std::uint64_t>(standing.seen.ended)},
                               {"tasks_unheard", static_cast<std::uint64_t>(standing.seen.tasks)},
                               {"leaving", standing.leaving}});
  }
  Value::List grants;
  for (const zone::Book::Standing& standing : context.control_state.controller.grants().standings()) {
    grants.push_back(Value::Map{{"node", standing.node.text()},
                                {"zone", standing.zone},
                                {"heard", standing.heard.has_value()},
                                {"heard_ms_ago", standing.heard ? count_ms(at - *standing.heard) : 0},
                                {"ends_in_ms", count_ms(standing.until - at)},
                                {"machines_answered", static_cast<std::uint64_t>(standing.machines_used)}});
  }
  body.emplace_back("watched", context.settings.operators.zone_watch);
  body.emplace_back("granting", context.settings.operators.zone_grants);
  body.emplace_back("zones", std::move(zones));
  body.emplace_back("grants", std::move(grants));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
