#include "zone/delegated_lease.h"

#include <tuple>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::zone {

using guards::Guard;
using guards::kept;

DelegatedLease::DelegatedLease(const NodeName& self, const std::string& zone, std::uint64_t life,
                               const DelegationTimeouts& timeouts)
    : self_(self), zone_(zone), life_(life), timeouts_(timeouts) {}

DelegationRequest DelegatedLease::next_request(Term leaders, Instant now) {
  observe_term(leaders);
  std::erase_if(used_, [&](const auto& used) { return now - used.second > timeouts_.lease; });
  DelegationRequest request{.node = self_,
                            .life = life_,
                            .sequence = ++sequence_,
                            .term = leaders,
                            .holds = delegation_ ? delegation_->number : DelegationNumber{},
                            .uses = {}};
  for (const auto& [machine, when] : used_) request.uses.push_back({.machine = machine, .ago = now - when});
  return request;
}

bool DelegatedLease::on_delegation(const LeaseDelegation& delegation, Instant asked_at) {
  if (delegation.zone != zone_ || delegation.number == DelegationNumber{}) return false;
  if (delegation_ && std::tie(delegation.term, delegation.number) <= std::tie(delegation_->term, delegation_->number))
    return false;
  delegation_ = delegation;
  except_ = {delegation.except.begin(), delegation.except.end()};
  // Counted from the request, which precedes the moment of issue however long the answer took.
  until_ = asked_at - delegation.age + timeouts_.delegation;
  return true;
}

void DelegatedLease::observe_term(Term term) {
  if (kept(Guard::holder_older) && delegation_ && delegation_->term < term) delegation_.reset();
}

std::optional<Term> DelegatedLease::try_answer(const MachineId& machine, const std::string& zone, Term seen,
                                               Instant now) {
  if (!delegation_ || (kept(Guard::holder_clock) && now >= until_) || zone != zone_ ||
      (kept(Guard::holder_term) && seen > delegation_->term) ||
      (kept(Guard::holder_except) && except_.contains(machine))) {
    return std::nullopt;
  }
  // The next request has to list every use, and its size is limited.
  if (used_.size() >= constants::kMaxDelegationMachines && !used_.contains(machine)) return std::nullopt;
  used_[machine] = now;
  return delegation_->term;
}

std::optional<Instant> DelegatedLease::until() const { return delegation_ ? std::optional(until_) : std::nullopt; }

}  // namespace foxshunt::zone
