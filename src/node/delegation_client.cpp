#include "node/delegation_client.h"

#include "config/constants.h"
#include "node/clock.h"
#include "zone/messages.h"

namespace foxshunt::node {

DelegationClient::DelegationClient(Context& context, HeldDelegation& held_delegation)
    : context_(context), held_delegation_(held_delegation) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.try_emplace(sibling.name, *address, constants::kPeerCallTimeout);
    }
  }
}

void DelegationClient::ask(net::HttpClient& leader, Term term) {
  {
    // Asking in a term says that this node does not act in an older one.
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
    context_.control_state.controller.observe_term(term);
    if (context_.control_state.controller.is_leader()) return;
  }
  const zone::DelegationRequest ask = held_delegation_.next_request(term);
  const plan::Instant asked = now();
  const auto answer = leader.call({.method = "POST", .path = "/grant", .body = wire::encode(zone::to_value(ask))},
                                  net::Clock::now() + constants::kDelegationRequestTimeout);
  if (!answer || answer->status != 200) return held_delegation_.on_contact_lost();
  try {
    const zone::LeaseDelegation delegation = zone::delegation_from(wire::decode(answer->body));
    if (delegation.term != term || !held_delegation_.accept(delegation, asked))
      throw wire::Malformed("not what was asked for");
    context_.standby.on_leader_seen();
  } catch (const wire::Malformed& error) {
    held_delegation_.log_malformed(leader.to().text(), error.what());
    held_delegation_.on_contact_lost();
  }
}

void DelegationClient::run(const std::stop_token& stop) {
  // A life's number has to be above those of earlier ones, whose clocks may have been ahead by the skew.
  const auto skew = std::chrono::milliseconds(static_cast<std::int64_t>(context_.settings.skew_ms) * 2 + 1);
  if (!sleep_unless_stopped(stop, skew)) return;
  held_delegation_.begin(static_cast<std::uint64_t>(wall_ms()));
  do {
    const auto [leader, term] = context_.known_leader();
    const auto sibling = siblings_.find(leader);
    if (sibling == siblings_.end()) {
      held_delegation_.on_contact_lost();
    } else {
      ask(sibling->second, term);
    }
  } while (sleep_unless_stopped(stop, constants::kDelegationRequestInterval));
}

}  // namespace foxshunt::node
