// A follower's requests to the leader for what no record tells.
#pragma once

#include <map>
#include <optional>
#include <stop_token>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

/// Fetches soft state from the leader at intervals; a new leader without any asks its peers.
class StandbySubscriber {
 public:
  explicit StandbySubscriber(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  /// Whether all that the peer publishes is known now.
  bool ask(const NodeName& sibling, std::optional<Term> least, const std::stop_token& stop);
  void look_for_hints(const std::stop_token& stop);

  Context& context_;
  std::map<NodeName, net::HttpClient> siblings_;
};

}  // namespace foxshunt::node
