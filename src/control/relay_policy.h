// Decides on a node that is not the leader whether to relay a machine's heartbeat to the leader or to redirect the
// machine's agent there. A machine whose agent contacts this node although it knows the leader probably cannot reach
// the leader.
//
// No I/O: the caller passes in the time. Not thread-safe.
#pragma once

#include <optional>
#include <unordered_map>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::control {

class RelayPolicy {
 public:
  // Returns true if the machine's heartbeat is to be relayed, false if its agent is to be redirected to the leader.
  // `seen_term`: the latest term that the agent has seen. `current_term`: the term of the leader that this node knows.
  [[nodiscard]] bool should_relay(const MachineId& machine, Term seen_term, Term current_term, plan::Instant now);

 private:
  struct RelayState {
    std::optional<plan::Instant> redirected_at;  // last redirect to the leader
    std::optional<plan::Instant> relayed_since;  // start of the current relay period
  };
  Term term_;
  std::unordered_map<MachineId, RelayState> states_;
};

}  // namespace foxshunt::control
