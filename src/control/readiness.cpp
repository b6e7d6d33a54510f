#include "control/readiness.h"

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

std::optional<std::string_view> first_unmet_condition(const Readiness& found, plan::Instant now) {
  if (!found.record) return "term-read-back";
  if (kept(Guard::ready_term) && (found.record->term != found.term || found.record->leader != found.self ||
                                  found.record_revision != found.term_revision)) {
    return "term-read-back";
  }
  if (kept(Guard::ready_records) && found.records_revision < found.term_revision) return "records-at-term";
  if (kept(Guard::ready_fences) && found.older_leaders_until < found.min_older_leaders_until) return "fences-reckoned";
  // The lease may have expired while this process was suspended.
  if (kept(Guard::ready_lease) && now - found.lease_renewal_requested >= constants::kLeaderLeaseTtl)
    return "lease-confirmed";
  return std::nullopt;
}

}  // namespace foxshunt::control
