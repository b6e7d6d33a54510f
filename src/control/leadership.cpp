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
  spdlog::info("no longer leading in term {}: {}", term_.number(), reason);
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
  // Of a removal that came while a write was under way it is not known yet whose it was: a cancellation, perhaps, that
  // nothing was stopped for. Until the record is read again, what is known goes no further.
  if (kept(Guard::reading_settled) && jobs.has_unread()) return;
  records_confirmed_ = std::max(records_confirmed_, when);
}

Instant Leadership::last_confirmed() const { return std::min(lease_confirmed_, records_confirmed_); }

bool Leadership::can_renew_agent_leases(Instant now) const {
  // A cancellation that this leader can't read may have been told to a user just after the last moment whose changes it
  // knows. The agents' leases that it renews must have ended `cancel_s` after that.
  const Instant known = kept(Guard::fence_reading) ? last_confirmed() : lease_confirmed_;
  return is_leader_ && (!kept(Guard::fence) || now < known + fence_);
}

bool Leadership::can_modify_cluster(Instant now) const {
  return is_leader_ && (!kept(Guard::start_confirmed) || now < last_confirmed() + constants::kLeaderLeaseTtl);
}

}  // namespace foxshunt::control
