// What controllers tell each other: who leads, in which term, and how each fares with the state service. It reaches a
// node that has lost only the state service.
#pragma once

#include <memory>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

// Answers siblings with the leader and term that this node knows of, and its own contact with the state service.
net::HttpResponse leader_response(Context& context, const net::HttpRequest& request);

// Asks the siblings when the state service is silent. A higher term ends this node's lead at once, so that workers
// turn to the successor instead of waiting for this node's fence. Whether siblings are served decides whether this node
// is out alone (health check); nothing else follows from what a sibling says.
class PeerProber {
 public:
  explicit PeerProber(Context& context);
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
