// The leader's table of the lease delegations that it issued to siblings in its term. No I/O and no clock: callers pass
// the time in. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "plan/usage_vector.h"
#include "wire/ids.h"
#include "zone/delegation.h"

namespace foxshunt::zone {

// The delegations issued in this term, and the machines whose leases they may have renewed.
class DelegationTable {
 public:
  DelegationTable() = default;
  DelegationTable(const std::vector<config::Sibling>& siblings, const DelegationTimeouts& timeouts);

  // Records a sibling's request. Returns false if it is outdated, is for another term, or does not come from a sibling.
  bool apply_request(const DelegationRequest& request, Term term, Instant now);
  // Issues a delegation to a sibling after apply_request() has accepted its request. `known` is the moment up to which
  // this leader knows all changes; if it is nullopt, the delegation has already ended and only answers the request.
  // `except` lists the machines of the zone that only the leader may answer.
  LeaseDelegation issue_delegation(const NodeName& node, Term term, std::optional<Instant> known,
                                   const std::vector<MachineId>& except, Instant now);

  // The latest time at which a holder may have renewed, or may still renew, the lease of the machine. An empty zone
  // means that the zone is unknown.
  [[nodiscard]] Instant renewed_until(const std::string& zone, const MachineId& machine) const;
  // Whether a holder in the zone has told that it answered the machine within `span` before `now`.
  [[nodiscard]] bool used_within(const std::string& zone, const MachineId& machine, Millis span, Instant now) const;
  // Time since the last request of any sibling in the zone; nullopt if there was none in this term.
  [[nodiscard]] std::optional<Millis> silence_of(const std::string& zone, Instant now) const;
  [[nodiscard]] bool has_sibling(const std::string& zone) const;
  // Whether no sibling can renew a lease in an older term any more: each is known to hold no delegation of an older
  // term, and to have sent a request after all of them had left older terms.
  [[nodiscard]] bool have_older_terms_ended() const { return older_terms_ended_; }
  // Drops delegations and uses whose leases have ended by `now`.
  void prune_expired(Instant now);

  // State of the delegations to one sibling, shown to operators.
  struct Standing {
    NodeName node;
    std::string zone;
    std::optional<Instant> heard;
    Instant until;  // the latest end of its delegations by the leader's clock
    std::size_t machines_used = 0;
  };
  [[nodiscard]] std::vector<Standing> standings() const;

 private:
  struct IssuedDelegation {
    DelegationNumber number;
    Instant until;
    std::set<MachineId> except;
  };
  struct Sibling {
    std::string zone;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    std::optional<Instant> heard;
    DelegationNumber holds;
    std::vector<IssuedDelegation> issued;                       // not replaced yet, oldest first
    std::vector<IssuedDelegation> issued_to_earlier_processes;  // to ended processes, which cannot tell their last uses
    std::map<MachineId, Instant> used;
  };
  void update_older_terms_ended();

  DelegationTimeouts timeouts_;
  std::map<NodeName, Sibling> siblings_;
  DelegationNumber last_number_;
  // The last number issued before every sibling had sent a request.
  std::optional<DelegationNumber> number_when_all_heard_;
  bool older_terms_ended_ = false;
};

}  // namespace foxshunt::zone
