// Reports that come to a node that does not lead: workers are sent to the leader, and the reports of those that can't
// reach it are passed on to it over the siblings' connections, the answers back. To a worker that is a slow network;
// the answers carry the leader's term and only the leader decides, so that no rule hangs on it. When this node can't reach
// the leader either, and was granted to, it keeps the leases of its zone's workers itself (zones.h).
#pragma once

#include <map>

#include "control/relay_policy.h"
#include "node/context.h"
#include "node/client_pool.h"
#include "node/held_delegation.h"

namespace foxshunt::node {

/// Answers heartbeats on a node that does not lead: redirects, forwards, or uses a held delegation. Thread-safe.
class HeartbeatRelay {
 public:
  HeartbeatRelay(Context& context, HeldDelegation& held_delegation);
  // What a node that does not lead answers to a report, given also as it came.
  [[nodiscard]] net::HttpResponse answer(const wire::Heartbeat& heartbeat, const std::string& body);

 private:
  struct Link {  // to a sibling
    explicit Link(const net::Address& to);
    ClientPool<net::HttpClient> clients;
    net::Clock::time_point broken_until;  // with mutex_
  };
  [[nodiscard]] std::optional<net::HttpResponse> forward(const NodeName& leader, const std::string& body);

  // With this node's own right, if it has one for the machine.
  [[nodiscard]] std::optional<net::HttpResponse> answer_by_held_delegation(const wire::Heartbeat& heartbeat,
                                                                           bool leader_tried);

  Context& context_;
  HeldDelegation& held_delegation_;
  std::mutex mutex_;
  control::RelayPolicy relay_policy_;
  std::map<NodeName, Link> links_;
};

// Sends a worker to that node; to any other when it is empty.
[[nodiscard]] net::HttpResponse send_to(const NodeName& node);

}  // namespace foxshunt::node
