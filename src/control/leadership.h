// Whether this controller leads, in which term, and what it may do as leader at a given moment.
//
// Owns the term, the last moments at which the leader lease and the knowledge of the records were confirmed, and how long this
// controller lets others go first after it has stepped down for their sake.
// Is given confirmations, and terms that others have seen. Never renews a lease and never asks for leadership: the leader
// elector in `node` does, and tells of it here. Pure, with the time passed in; not thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "jobs/job_table.h"
#include "plan/usage_vector.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"
#include "wire/ids.h"

namespace foxshunt::control {

class Leadership {
 public:
  Leadership() = default;
  // `fence`: for how long after the last confirmed moment agents' leases may be renewed, see fencing_timeout().
  explicit Leadership(plan::Millis fence) : fence_(fence) {}

  // Begins to lead in the term, whose record is at that revision.
  void begin(Term term, Revision term_revision, plan::Instant now);
  // Ends the lead, if there is one; `reason` is logged.
  void step_down(std::string_view reason);
  // Steps down, and lets others go first for a while.
  void yield(std::string_view reason, plan::Instant now);
  // A compare-and-swap failed on the term's record at this revision: ends the lead that the write was of, and no other.
  void on_term_conflict(Revision term_revision);
  // Someone has seen a leader of that term: a higher one ends this lead. `observer` is logged.
  void observe_term(Term term, std::string_view observer);

  // The leader lease is confirmed to have lasted at that moment.
  void on_lease_confirmed(plan::Instant when);
  // All changes of records up to that moment are known, unless a job's own record is still to be read again.
  void on_records_confirmed(plan::Instant when, const jobs::JobTable& jobs);

  [[nodiscard]] bool is_leader() const { return is_leader_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] Revision term_revision() const { return term_revision_; }
  // When the lead began.
  [[nodiscard]] plan::Instant since() const { return since_; }
  // Whether it stepped down for the others' sake so recently that they go first.
  [[nodiscard]] bool should_yield(plan::Instant now) const { return now < yields_until_; }
  // The last moment for which both the lease and the records were confirmed.
  [[nodiscard]] plan::Instant last_confirmed() const;
  // Whether heartbeats may be answered, which renews the agents' leases.
  [[nodiscard]] bool can_renew_agent_leases(plan::Instant now) const;
  // Whether anything may be started, stopped for other work, written, rented or returned.
  [[nodiscard]] bool can_start(plan::Instant now) const;

 private:
  plan::Millis fence_{};
  bool is_leader_ = false;
  Term term_;
  Revision term_revision_;
  plan::Instant since_;
  plan::Instant lease_confirmed_;
  plan::Instant records_confirmed_;
  plan::Instant yields_until_;
};

}  // namespace foxshunt::control
