// Tracks whether this controller is the leader, in which term, and which actions leadership permits at a given time.
//
// Holds the term, the times up to which the leader lease and the knowledge of the records were last confirmed, and the
// time until which this controller defers to other candidates after it has yielded leadership. The leader elector in
// `node` renews the lease and campaigns for leadership; it reports the results to this class. No I/O: the caller passes
// in the time. Not thread-safe.
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
  // `fence`: how long after last_confirmed() this leader may still renew agents' leases, see fencing_timeout().
  explicit Leadership(plan::Millis fence) : fence_(fence) {}

  // Starts leading in `term`. `term_revision`: the revision at which the state service stores the record of that term.
  void begin_term(Term term, Revision term_revision, plan::Instant now);
  // Ends leadership. Does nothing if this controller is not the leader. `reason` is logged.
  void step_down(std::string_view reason);
  // Steps down, and does not campaign again for kLeadershipYieldTimeout, so that another controller can be elected.
  void yield(std::string_view reason, plan::Instant now);
  // Handles a compare-and-swap that failed because the term record is no longer at `term_revision`. Steps down only if
  // the failed write belonged to the current term: a write of an earlier term says nothing about the current one.
  void on_term_conflict(Revision term_revision);
  // Handles the report that a leader of `term` exists; steps down if that term is higher than this controller's.
  // `observer` says who reported the term and is logged.
  void observe_term(Term term, std::string_view observer);

  // The leader lease was confirmed to be held at `when`.
  void on_lease_confirmed(plan::Instant when);
  // All record changes up to `when` have been read. Ignored while the record of a job in `jobs` still has to be read
  // again.
  void on_records_confirmed(plan::Instant when, const jobs::JobTable& jobs);

  [[nodiscard]] bool is_leader() const { return is_leader_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] Revision term_revision() const { return term_revision_; }
  // When the current or latest term of this controller started.
  [[nodiscard]] plan::Instant term_started() const { return term_started_; }
  // Whether this controller yielded so recently that it must not campaign yet.
  [[nodiscard]] bool should_yield(plan::Instant now) const { return now < yield_deadline_; }
  // The latest time up to which both the lease and the records are confirmed.
  [[nodiscard]] plan::Instant last_confirmed() const;
  // Whether heartbeats may be answered. Every answer renews the agent's lease.
  [[nodiscard]] bool can_renew_agent_leases(plan::Instant now) const;
  // Whether tasks may be started or preempted, records written, and machines rented or returned. False once the leader
  // lease may have expired.
  [[nodiscard]] bool can_modify_cluster(plan::Instant now) const;

 private:
  plan::Millis fence_{};
  bool is_leader_ = false;
  Term term_;
  Revision term_revision_;
  plan::Instant term_started_;
  plan::Instant lease_confirmed_;
  plan::Instant records_confirmed_;
  plan::Instant yield_deadline_;
};

}  // namespace foxshunt::control
