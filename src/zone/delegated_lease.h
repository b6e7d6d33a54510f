// The holder's side of a lease delegation: which heartbeats a node that does not lead may answer in the leader's term.
// No I/O and no clock: callers pass the time in. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "plan/usage_vector.h"
#include "wire/ids.h"
#include "zone/delegation.h"

namespace foxshunt::zone {

// The newest delegation that this node holds, and the machines that it has answered under one. Settings, wire fields
// and docs/design.md call a delegation a grant.
class DelegatedLease {
 public:
  DelegatedLease() = default;
  // `life` identifies the process: later processes of the same node have higher numbers.
  DelegatedLease(const NodeName& self, const std::string& zone, std::uint64_t life, const DelegationTimeouts& timeouts);

  // The next request to the leader of the term `leaders`. First drops a delegation of an older term.
  [[nodiscard]] DelegationRequest next_request(Term leaders, Instant now);
  // Stores the leader's answer to the request sent at `asked_at`. Returns false, and changes nothing, if the answer is
  // for another zone, has no number, or is not newer than the held delegation.
  bool on_delegation(const LeaseDelegation& delegation, Instant asked_at);
  // Drops the held delegation if it is of a term before `term`.
  void observe_term(Term term);
  // Returns the term in which this node may answer a heartbeat of a machine that has seen the term `seen`, and records
  // the use; nullopt if it may not answer.
  [[nodiscard]] std::optional<Term> try_answer(const MachineId& machine, const std::string& zone, Term seen,
                                               Instant now);

  // The end of the held delegation by this node's clock; nullopt if none is held.
  [[nodiscard]] std::optional<Instant> until() const;
  [[nodiscard]] std::size_t machines_used() const { return used_.size(); }

 private:
  NodeName self_;
  std::string zone_;
  std::uint64_t life_ = 0;
  DelegationTimeouts timeouts_;
  std::uint64_t sequence_ = 0;
  std::optional<LeaseDelegation> delegation_;
  std::set<MachineId> except_;
  Instant until_;
  std::map<MachineId, Instant> used_;
};

}  // namespace foxshunt::zone
