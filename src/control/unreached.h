// Which machines can't reach the leader, as a node that does not lead tells by how they come to it. Pure.
#pragma once

#include <optional>
#include <unordered_map>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::control {

class Unreached {
 public:
  // Whether the report of a machine that has seen the term `seen` is passed on to the leader of the term `current`;
  // otherwise the machine is sent to it.
  [[nodiscard]] bool passes(const MachineId& machine, Term seen, Term current, plan::Instant now);

 private:
  struct Visit {
    std::optional<plan::Instant> sent;   // to the leader
    std::optional<plan::Instant> since;  // its reports are passed on
  };
  Term term_;
  std::unordered_map<MachineId, Visit> visits_;
};

}  // namespace foxshunt::control
