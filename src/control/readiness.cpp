#include "control/readiness.h"

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

std::optional<std::string_view> first_unmet_condition(const Readiness& readiness, plan::Instant now) {
  if (!readiness.record) return "term-read-back";
  if (kept(Guard::ready_term) &&
      (readiness.record->term != readiness.term || readiness.record->leader != readiness.self ||
       readiness.record_revision != readiness.term_revision)) {
    return "term-read-back";
  }
  if (kept(Guard::ready_records) && readiness.records_revision < readiness.term_revision) return "records-at-term";
  if (kept(Guard::ready_fences) && readiness.older_leaders_until < readiness.min_older_leaders_until)
    return "fences-reckoned";
  // The lease may have expired while this process was suspended.
  if (kept(Guard::ready_lease) && now - readiness.lease_renewal_requested >= constants::kLeaderLeaseTtl)
    return "lease-confirmed";
  return std::nullopt;
}

}  // namespace foxshunt::control
