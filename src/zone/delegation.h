// What the leader and its siblings exchange about rights to answer the workers of a zone in the leader's term, so that a zone
// that is cut off keeps its work for as long as no cancellation can be overrun.
//
// Why no rule hangs on whether a message arrives, and when, is in docs/design.md, "Zone grants". In short: what a holder
// may do ends a fence after the last moment up to which the giver knew all changes, reckoned from when the holder
// *asked*; the giver counts every grant as used to its end until the holder has asked with a newer one in hand.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::zone {

using plan::Instant;
using plan::Millis;

using DelegationNumber = CountId<struct GrantTag>;  // grows within a term; 0: none

// A machine that a holder has answered, and how long ago the last time was.
struct DelegationUse {
  MachineId machine;
  Millis ago{};
  friend bool operator==(const DelegationUse&, const DelegationUse&) = default;
};

// What a node that does not lead asks the leader, every second or so.
struct DelegationRequest {
  NodeName node;
  std::uint64_t life = 0;           // of its process: later ones have higher numbers
  std::uint64_t sequence = 0;       // grows within a life
  Term term;                        // in which the node that is asked leads
  DelegationNumber holds;           // the newest grant in hand; it has replaced all before
  std::vector<DelegationUse> uses;  // of grants, as long as a lease may last on them
  friend bool operator==(const DelegationRequest&, const DelegationRequest&) = default;
};

struct LeaseDelegation {
  DelegationNumber number;
  Term term;
  std::string zone;
  Millis age{};                   // of the moment up to which the giver knew all changes
  std::vector<MachineId> except;  // machines that only the leader may answer
  friend bool operator==(const LeaseDelegation&, const LeaseDelegation&) = default;
};

// The three spans that grants hang on, by the settings' figures.
struct DelegationTimeouts {
  Millis delegation{};  // from the giver's last known change to the grant's end, by the holder's clock
  Millis bound{};       // the same by the giver's clock at most, whatever the two clocks do
  Millis lease{};       // a worker's lease certainly ends within it
};

}  // namespace foxshunt::zone
