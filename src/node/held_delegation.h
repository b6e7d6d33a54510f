// The delegation that this node holds: the right to renew the leases of its own zone's agents.
#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "config/settings.h"
#include "node/rate_limited_log.h"
#include "wire/messages.h"
#include "zone/delegated_lease.h"
#include "zone/delegation_table.h"

namespace foxshunt::node {

/// What was delegated to this node, and whether the leader still answers it. Thread-safe.
class HeldDelegation {
 public:
  explicit HeldDelegation(const config::Settings& settings);
  /// Begins with no delegation. `life` has to be above that of every earlier process of this node.
  void begin(std::uint64_t life);
  /// The term in which the heartbeat may be answered without the leader; nothing when it may not be, or when the leader
  /// answers this node and was not tried with the heartbeat.
  [[nodiscard]] std::optional<Term> answerable_term(const wire::Heartbeat& heartbeat, bool leader_tried);
  [[nodiscard]] zone::DelegationRequest next_request(Term leaders);
  bool accept(const zone::LeaseDelegation& delegation, plan::Instant asked);
  void on_contact_lost();
  void log_malformed(const std::string& from, const char* why);  // told once a while
  [[nodiscard]] wire::Value::Map status() const;                 // to operators

 private:
  const config::Settings& settings_;
  mutable std::mutex mutex_;
  zone::DelegatedLease holder_;
  std::optional<plan::Instant> last_answer_;  // when the leader last answered a word, and none has failed since
  RateLimitedLog malformed_log_;
};

}  // namespace foxshunt::node
