// What passes between siblings about zones: every second a node that does not lead asks the leader for the right to
// answer its own zone's workers, and uses it when neither it nor they can reach the leader.
#pragma once
#pragma once

#include <map>

#include "net/http.h"
#include "node/context.h"
#include "node/held_delegation.h"

namespace foxshunt::node {

class DelegationClient {
 public:
  DelegationClient(Context& context, HeldDelegation& held_delegation);
  void run(const std::stop_token& stop);

 private:
  void ask(net::HttpClient& leader, Term term);

  Context& context_;
  HeldDelegation& held_delegation_;
  std::map<NodeName, net::HttpClient> siblings_;
};

}  // namespace foxshunt::node
