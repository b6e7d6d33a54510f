// A warm standby: every node that does not lead asks the leader each second for what no record tells, and whoever takes
// the lead next plans by it. The leader keeps nothing of who asks. A process that has just begun asks its siblings.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>

#include "config/settings.h"
#include "net/http.h"
#include "node/rate_limited_log.h"
#include "standby/listener.h"
#include "standby/phases.h"
#include "standby/teller.h"

namespace foxshunt::node {

struct Context;

// What one node tells and holds.
class StandbyState {
 public:
  explicit StandbyState(const config::Settings& settings);

  // ---- takeovers ----
  // A sign of life of whoever leads; that the lead is free.
  void on_leader_seen();
  void on_leadership_free();
  // This node has begun to lead: what it holds of the leader before, if that is not too old.
  [[nodiscard]] std::optional<standby::SoftStateSnapshot> take_snapshot(plan::Instant at);
  void on_leadership_acquired(Term term, plan::Instant took, plan::Instant knew,
                              const std::optional<standby::SoftStateSnapshot>& hints);
  // Whether it should let a sibling take the lead first, as it knows less than one that has listened: once for each
  // time that the lead is free, so that it is never without a leader for it.
  [[nodiscard]] bool should_yield(bool records_whole, Term term);
  // What happened on the way to the former rate of starts; costs next to nothing once that is over.
  void on_phase_reached(standby::Phase phase);
  void on_tasks_started(std::uint64_t tasks);
  void log_takeover();

  // ---- words ----
  [[nodiscard]] std::optional<net::HttpResponse> answer(Context& context, const std::string& body);
  [[nodiscard]] standby::SnapshotRequest next_request(const NodeName& of, std::optional<Term> least);
  // Whether there is more to ask for at once.
  bool on_answer(const NodeName& of, const net::HttpResponse& answer);
  [[nodiscard]] bool is_caught_up();
  [[nodiscard]] bool has_snapshot();
  // While a new leader has no hints: whether siblings may still have some.
  [[nodiscard]] bool wants_soft_state();
  void on_soft_state_applied(const standby::SoftStateSnapshot& snapshot);

  [[nodiscard]] wire::Value::Map status();

 private:
  const bool is_enabled_;
  const bool has_no_siblings_;
  std::mutex mutex_;  // taken after the controller's if both are
  standby::Publisher publisher_;
  standby::Subscriber subscriber_;
  standby::FailoverTimeline phases_;
  std::atomic<bool> is_watching_failover_{false};
  std::optional<plan::Instant> soft_state_wanted_until_;
  std::optional<plan::Instant> yielded_;
  std::uint64_t yields_ = 0;
  std::uint64_t unanswered_ = 0;
  std::string last_refusal_;  // the latest
  RateLimitedLog warning_log_;
};

}  // namespace foxshunt::node
