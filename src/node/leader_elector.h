// Who leads: a leased key and a term that only grows.
#pragma once

#include "node/context.h"
#include "state/client.h"

namespace foxshunt::node {

// Watches who leads, takes the lead when nobody does, and holds it.
class LeaderElector {
 public:
  explicit LeaderElector(Context& context);
  void run(const std::stop_token& stop);

 private:
  // Nothing when the state service did not answer.
  std::optional<state::LeadView> read_leadership();
  void watch(const std::stop_token& stop, const state::LeadView& view);
  bool try_acquire(const state::LeadView& view);
  // `began`: when the lead was asked for.
  bool load_records(Revision term_mark, Term term, std::int64_t others_until_wall_ms, plan::Instant began);
  bool read_records(SharedRecords::Snapshot& picture, plan::Instant& renewed);
  void hold_leadership(const std::stop_token& stop);
  bool gives_way();
  bool has_all_records();

  Context& context_;
  state::Client client_;
  state::LeaseId lease_;
};

}  // namespace foxshunt::node
