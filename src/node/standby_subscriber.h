// A follower's requests to the leader for what no record tells.
#pragma once

#include <map>
#include <optional>
#include <stop_token>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

class StandbySubscriber {
 public:
  explicit StandbySubscriber(Context& context);
  void run(const std::stop_token& stop);

 private:
  // Whether it knows all that the sibling tells.
  bool ask(const NodeName& sibling, std::optional<Term> least, const std::stop_token& stop);
  void look_for_hints(const std::stop_token& stop);

  Context& context_;
  std::map<NodeName, net::HttpClient> siblings_;
};

}  // namespace foxshunt::node
