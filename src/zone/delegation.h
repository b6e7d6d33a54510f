// Messages between the leader and its siblings about lease delegations: rights to answer the workers of a zone in the
// leader's term. With them a zone that is cut off from the leader keeps its tasks running for as long as no
// cancellation can be missed.
//
// docs/design.md, "Zone grants", explains why safety does not depend on the arrival or delay of any message. In short,
// a delegation ends one fencing timeout after the last moment up to which the leader knew all changes, and the holder
// counts from when it sent the *request*. The leader assumes that every delegation is used until its end, unless the
// holder has sent a request that names a newer one as held.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::zone {

using plan::Instant;
using plan::Millis;

using DelegationNumber = CountId<struct GrantTag>;  // increases within a term; 0 means none

// A machine that the holder of a delegation has answered, and the time since the last answer.
struct DelegationUse {
  MachineId machine;
  Millis ago{};
  friend bool operator==(const DelegationUse&, const DelegationUse&) = default;
};

// The request that a node which does not lead sends to the leader about every second.
struct DelegationRequest {
  NodeName node;
  std::uint64_t life = 0;           // identifies the process of the node: later processes have higher numbers
  std::uint64_t sequence = 0;       // increases within one `life`
  Term term;                        // the term in which the receiver leads
  DelegationNumber holds;           // the newest delegation held, which has replaced all earlier ones
  std::vector<DelegationUse> uses;  // under delegations, until the renewed leases have certainly ended
  friend bool operator==(const DelegationRequest&, const DelegationRequest&) = default;
};

// The leader's answer: the right to answer the workers of `zone` in `term`.
struct LeaseDelegation {
  DelegationNumber number;
  Term term;
  std::string zone;
  Millis age{};                   // time since the last moment up to which the leader knew all changes
  std::vector<MachineId> except;  // machines that only the leader may answer
  friend bool operator==(const LeaseDelegation&, const LeaseDelegation&) = default;
};

// Durations that limit delegations, derived from the settings.
struct DelegationTimeouts {
  Millis delegation{};  // from the moment up to which the leader knew all changes to the end, by the holder's clock
  Millis bound{};       // upper limit of the same by the leader's clock, with the drift of both clocks
  Millis lease{};       // a worker's lease ends no later than this after its last renewal
};

}  // namespace foxshunt::zone
