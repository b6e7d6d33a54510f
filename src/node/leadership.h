// Who leads: a leased key and a term that only grows; and the duties of whoever leads.
#pragma once

#include <functional>

#include "node/context.h"
#include "kv/client.h"
#include "state/leadership_records.h"

namespace foxshunt::node {

// Watches who leads, takes the lead when nobody does, and holds it.
class LeaderDuty {
 public:
  explicit LeaderDuty(Context& context);
  void run(const std::stop_token& stop);

 private:
  // Nothing when the state service did not answer.
  std::optional<state::LeadView> look();
  void watch(const std::stop_token& stop, const state::LeadView& view);
  bool take(const state::LeadView& view);
  // `began`: when the lead was asked for.
  bool load(Revision term_mark, Term term, std::int64_t others_until_wall_ms, plan::Instant began);
  bool read(Shared::Picture& picture, plan::Instant& renewed);
  void hold(const std::stop_token& stop);
  bool gives_way();
  bool records_whole();

  Context& context_;
  kv::Client client_;
  kv::LeaseId lease_;
};

// Reads the changes of records while leading.
class FollowDuty {
 public:
  explicit FollowDuty(Context& context);
  void run(const std::stop_token& stop);

 private:
  void reload(const std::stop_token& stop, Term term);
  Context& context_;
  kv::Client client_;
};

// Writes what the engine wants durable.
class WriteDuty {
 public:
  explicit WriteDuty(Context& context);
  void run(const std::stop_token& stop);

 private:
  void reload_jobs();
  Context& context_;
  kv::Client client_;
};

// Plans, and keeps house.
class PlanDuty {
 public:
  explicit PlanDuty(Context& context) : context_(context) {}
  void run(const std::stop_token& stop);

 private:
  Context& context_;
  Seldom late_pass_;
  Seldom late_write_;
};

}  // namespace foxshunt::node
