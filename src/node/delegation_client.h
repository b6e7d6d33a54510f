// What passes between siblings about zones: every second a node that does not lead asks the leader for the right to
// answer its own zone's workers, and uses it when neither it nor they can reach the leader.
#pragma once
#pragma once

#include <map>

#include "net/http.h"
#include "node/context.h"
#include "node/held_delegation.h"

namespace foxshunt::node {

/// Asks the leader at intervals for the delegation of this zone's agent leases. An ask also tells the leader that this node
/// acts in no older term.
class DelegationClient {
 public:
  DelegationClient(Context& context, HeldDelegation& held_delegation);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  void ask(net::HttpClient& leader, Term term);

  Context& context_;
  HeldDelegation& held_delegation_;
  std::map<NodeName, net::HttpClient> siblings_;
};

}  // namespace foxshunt::node
