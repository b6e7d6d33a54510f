// Readiness conditions that a new leader must meet before it makes any decision. All are checked when leadership
// begins; docs/design/standby.md names the test of each condition.
#pragma once

#include <optional>
#include <string_view>

#include "plan/usage_vector.h"
#include "state/leadership_records.h"
#include "wire/ids.h"

namespace foxshunt::control {

// The state observed by a new leader after it has read all records, that is, after its last remote call and its last
// wait.
struct Readiness {
  NodeName self;
  Term term;                                // the term that this node acquired
  Revision term_revision;                   // revision of the write that acquired it
  std::optional<state::TermRecord> record;  // lead/term as read back with the job records
  Revision record_revision;                 // of `record`
  Revision records_revision;                // the job records are known up to this revision
  plan::Instant lease_renewal_requested;    // when the latest confirmed lease renewal was requested
  plan::Instant older_leaders_until;        // leaders of earlier terms may act until then, as computed
  plan::Instant min_older_leaders_until;    // lower bound of it: request for leadership + fence
};

// Returns the name of the first condition that is not met, or nullopt if all are met. The conditions, in this order:
//   term-read-back   the term record names this node and this term, and was written by this node's own acquisition
//   records-at-term  the records are known at least up to the term's revision; older leaders cannot write after it
//   fences-reckoned  the fences and lease delegations of older leaders are taken into account in full
//   lease-confirmed  the latest confirmed lease renewal is recent enough that the lease cannot have expired by now
// That a machine is schedulable only after a heartbeat in this term is not checked here: ClusterState::is_schedulable
// checks it during the whole leadership term.
[[nodiscard]] std::optional<std::string_view> first_unmet_condition(const Readiness& readiness, plan::Instant now);

}  // namespace foxshunt::control
