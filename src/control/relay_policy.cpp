#include "control/relay_policy.h"

#include "config/constants.h"

namespace foxshunt::control {

bool RelayPolicy::should_relay(const MachineId& machine, Term seen_term, Term current_term, plan::Instant now) {
  if (current_term != term_ || states_.size() > constants::kMaxRelayed) states_.clear();
  term_ = current_term;
  RelayState& relay = states_[machine];
  if (relay.relayed_since) {
    if (now - *relay.relayed_since < constants::kRelayPeriod) return true;
    // The leader may be reachable again, which only the agent can find out. If not, the agent returns to this node.
    relay = {.redirected_at = now, .relayed_since = {}};
    return false;
  }
  // An agent that has seen the current term was served by its leader and would still be talking to it if the leader
  // answered. Redirecting it during a network partition would cost two request timeouts, which is more than a short
  // lease.
  const bool was_served_by_leader = seen_term == current_term;
  const bool returned_after_redirect =
      relay.redirected_at && now - *relay.redirected_at < constants::kRelayReturnWindow;
  if (!was_served_by_leader && !returned_after_redirect) {
    relay.redirected_at = now;
    return false;
  }
  relay.relayed_since = now;
  return true;
}

}  // namespace foxshunt::control
