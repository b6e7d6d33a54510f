// The leader's table of what it gave its siblings in its term. Pure: the time is passed in; not thread-safe.
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

// The leader's side: what was given in this term, and what it may have been used for.
class DelegationTable {
 public:
  DelegationTable() = default;
  DelegationTable(const std::vector<config::Sibling>& siblings, const DelegationTimeouts& timeouts);

  // Takes note of a sibling's word in this term; false when it is stale, or no sibling's.
  bool apply_request(const DelegationRequest& request, Term term, Instant now);
  // What is given to a sibling that was heard. `known`: up to when all changes are known here; nothing: what is given has
  // ended already, and only answers the word. `except`: machines of the zone that must not be answered by others.
  LeaseDelegation issue_delegation(const NodeName& node, Term term, std::optional<Instant> known,
                                   const std::vector<MachineId>& except, Instant now);

  // Up to when a holder may have renewed, or may yet renew, the lease of the machine; zone empty: not known.
  [[nodiscard]] Instant renewed_until(const std::string& zone, const MachineId& machine) const;
  // Whether a holder of the zone has answered the machine within the span, as far as it told.
  [[nodiscard]] bool used_within(const std::string& zone, const MachineId& machine, Millis span, Instant now) const;
  // How long ago the last word came from any sibling of the zone; nothing if none ever did in this term.
  [[nodiscard]] std::optional<Millis> silence_of(const std::string& zone, Instant now) const;
  [[nodiscard]] bool has_sibling(const std::string& zone) const;
  // Whether every sibling is known to hold nothing of an older term and to have been heard since all of them had left
  // older terms: nobody else can renew a lease of older terms any more.
  [[nodiscard]] bool have_older_terms_ended() const { return older_terms_ended_; }
  void prune_expired(Instant now);

  struct Standing {  // for operators
    NodeName node;
    std::string zone;
    std::optional<Instant> heard;
    Instant until;  // the latest end of its grants, by this clock
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
    std::vector<IssuedDelegation> issued;  // not yet replaced, oldest first
    std::vector<IssuedDelegation>
        issued_to_earlier_processes;  // to processes that have ended, with what they can't tell any more
    std::map<MachineId, Instant> used;
  };
  void update_older_terms_ended();

  DelegationTimeouts timeouts_;
  std::map<NodeName, Sibling> siblings_;
  DelegationNumber last_number_;
  std::optional<DelegationNumber>
      number_when_all_heard_;  // grants above it were given after every sibling had been heard
  bool older_terms_ended_ = false;
};

}  // namespace foxshunt::zone
