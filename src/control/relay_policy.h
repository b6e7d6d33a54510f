// Which machines can't reach the leader, as a node that does not lead tells by how they come to it. Pure.
#pragma once

#include <optional>
#include <unordered_map>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::control {

class RelayPolicy {
 public:
  // Whether the report of a machine that has seen the term `seen` is passed on to the leader of the term `current`;
  // otherwise the machine is sent to it.
  [[nodiscard]] bool should_relay(const MachineId& machine, Term seen_term, Term current_term, plan::Instant now);

 private:
  struct RelayState {
    std::optional<plan::Instant> redirected_at;  // to the leader
    std::optional<plan::Instant> relayed_since;  // its reports are passed on
  };
  Term term_;
  std::unordered_map<MachineId, RelayState> states_;
};

}  // namespace foxshunt::control
