// Who leads: a leased key and a term that only grows.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Watches who leads, becomes the leader when nobody is, and holds leadership by renewing its lease.
class LeaderElector {
 public:
  explicit LeaderElector(Context& context);

  /// The loop: returns when a stop is asked for, with the lease given back so that another node may lead at once.
  void run(const std::stop_token& stop);

 private:
  /// A term that this node has just taken by compare-and-swap.
  struct AcquiredTerm {
    Term term;
    Revision term_revision;                        ///< the revision of the term's record
    std::int64_t older_leaders_until_wall_ms = 0;  ///< older leaders may act until then; 0: there were none
    plan::Instant asked;                           ///< when it was asked for
  };

  /// Nothing when the state service did not answer.
  std::optional<state::LeadershipView> read_leadership();
  /// Returns when leadership may have changed.
  void watch(const std::stop_token& stop, const state::LeadershipView& view);
  /// Takes the next term and begins to lead in it; false when another node was faster or the records can't be read.
  bool try_acquire(const state::LeadershipView& view);
  /// Loads the records and tells the controller that it leads.
  bool try_lead(const AcquiredTerm& acquired);
  /// The records up to the term's own, from the cache or else from the store. `renewed`: when the lease was last
  /// renewed.
  std::optional<SharedRecords::Snapshot> load_records(Revision term_revision, plan::Instant& renewed);
  bool read_records(SharedRecords::Snapshot& snapshot, plan::Instant& renewed);
  /// Whether all that a leader needs is known and in time at `at`; logs what is missing.
  [[nodiscard]] bool is_ready(const AcquiredTerm& acquired, const SharedRecords::Snapshot& snapshot,
                              plan::Instant older_leaders_until, plan::Instant renewed, plan::Instant at) const;
  /// Renews the lease until leadership ends.
  void hold_leadership(const std::stop_token& stop);
  bool should_yield_leadership();
  bool has_all_records();

  Context& context_;
  kv::Client client_;
  kv::LeaseId lease_;  ///< 0: none is held
};

}  // namespace foxshunt::node
