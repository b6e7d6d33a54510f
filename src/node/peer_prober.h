// What controllers tell each other: who leads, in which term, and how each fares with the state service. It reaches a
// node that has lost only the state service.
#pragma once

#include <memory>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

/// GET /lead of peers: the leader and term that this node knows of, and its own contact with the store.
net::HttpResponse leader_response(Context& context, const net::HttpRequest& request);

/// Probes the other controllers while the store does not answer. A higher term ends this node's leadership at once, so
/// that workers turn to the successor instead of waiting for the lease to expire. Whether peers are served decides
/// whether this node is isolated (health check); nothing else follows from what a peer says.
class PeerProber {
 public:
  explicit PeerProber(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  struct Link {
    NodeName name;
    net::HttpClient client;
  };
  void ask(Link& sibling);

  Context& context_;
  std::vector<Link> siblings_;
};

}  // namespace foxshunt::node
