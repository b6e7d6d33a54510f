#include "control/leadership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;
using plan::Instant;

void Leadership::begin_term(Term term, Revision term_revision, Instant now) {
  is_leader_ = true;
  term_ = term;
  term_revision_ = term_revision;
  term_started_ = lease_confirmed_ = records_confirmed_ = now;
}

void Leadership::step_down(std::string_view reason) {
  if (!is_leader_) return;
  is_leader_ = false;
  spdlog::info("leadership_ended term={} reason=\"{}\"", term_.number(), reason);
}

void Leadership::yield(std::string_view reason, Instant now) {
  step_down(reason);
  yield_deadline_ = now + constants::kLeadershipYieldTimeout;
}

void Leadership::on_term_conflict(Revision term_revision) {
  if (kept(Guard::write_earlier_lead) && term_revision != term_revision_) return;
  step_down("another leader has a higher term");
}

void Leadership::observe_term(Term term, std::string_view observer) {
  if (!kept(Guard::higher_term) || !is_leader_ || !(term > term_)) return;
  step_down(fmt::format("{} term {}", observer, term.number()));
}

void Leadership::on_lease_confirmed(Instant when) { lease_confirmed_ = std::max(lease_confirmed_, when); }

void Leadership::on_records_confirmed(Instant when, const jobs::JobTable& jobs) {
  // A removal that was observed during a write may be a user's cancellation whose tasks have not been stopped yet. The
  // confirmed time does not advance until that record has been read again.
  if (kept(Guard::reading_settled) && jobs.has_job_reload()) return;
  records_confirmed_ = std::max(records_confirmed_, when);
}

Instant Leadership::last_confirmed() const { return std::min(lease_confirmed_, records_confirmed_); }

bool Leadership::can_renew_agent_leases(Instant now) const {
  // A cancellation that this leader cannot read may have been confirmed to a user right after the last confirmed time.
  // Every agent lease that this leader renews must have expired `cancel_s` after that confirmation.
  const Instant confirmed = kept(Guard::fence_reading) ? last_confirmed() : lease_confirmed_;
  return is_leader_ && (!kept(Guard::fence) || now < confirmed + fence_);
}

bool Leadership::can_modify_cluster(Instant now) const {
  return is_leader_ && (!kept(Guard::start_confirmed) || now < last_confirmed() + constants::kLeaderLeaseTtl);
}

}  // namespace foxshunt::control
