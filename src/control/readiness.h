// What has to be true before a new leader decides anything, by name and in one place. Each is looked at when the lead begins;
// docs/design/standby.md names the test of each.
#pragma once

#include <optional>
#include <string_view>

#include "plan/usage_vector.h"
#include "state/leadership_records.h"
#include "wire/ids.h"

namespace foxshunt::control {

// As it was found when the records were in hand, after the last call and the last wait.
struct Readiness {
  NodeName self;
  Term term;  // that was taken, at this revision
  Revision term_revision;
  std::optional<state::TermRecord> record;  // lead/term as read back with the records, and its revision
  Revision record_revision;
  Revision records_revision;              // up to which the records are known
  plan::Instant lease_renewal_requested;  // when the latest renewal that was confirmed was asked for
  plan::Instant older_leaders_until;      // until then older leaders may act
  plan::Instant min_older_leaders_until;  // what that has to be at least: a fence from when the lead was asked for
};

// The name of the first that is not so, in this order:
//   term-read-back   the term record says that this node leads in this term, by this very write
//   records-at-term  the records are known up to the term's revision, after which no older leader can write
//   fences-reckoned  older leaders' fences and grants are counted to their ends
//   lease-confirmed  the lease was confirmed so lately, by the clock as it is now, that it can't have ended
// That machines are usable only by a report in this term is Controller::usable's to see, for as long as the lead lasts.
[[nodiscard]] std::optional<std::string_view> first_unmet_condition(const Readiness& found, plan::Instant now);

}  // namespace foxshunt::control
