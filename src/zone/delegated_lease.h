// What a node that does not lead may answer for the leader. Pure: the time is passed in; not thread-safe.
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

// A sibling's side: the newest grant in hand.
class DelegatedLease {
 public:
  DelegatedLease() = default;
  DelegatedLease(const NodeName& self, const std::string& zone, std::uint64_t life, const DelegationTimeouts& timeouts);

  // The next word to the leader of that term. What was given in an older term is dropped first.
  [[nodiscard]] DelegationRequest next_request(Term leaders, Instant now);
  // The answer to the word that was sent at `asked_at`; false when it is not for this node and then nothing is taken.
  bool on_delegation(const LeaseDelegation& delegation, Instant asked_at);
  // Ends what was given in a term before this one.
  void observe_term(Term term);
  // Whether the report of a machine that has seen the term `seen` may be answered, in the term that is given back;
  // counts as a use if so.
  [[nodiscard]] std::optional<Term> try_answer(const MachineId& machine, const std::string& zone, Term seen,
                                               Instant now);

  [[nodiscard]] std::optional<Instant> until() const;  // the grant's end
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
