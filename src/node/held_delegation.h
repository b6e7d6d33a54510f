// The right to answer this node's zone's workers, as the leader has granted it.
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

// What this node was granted, and whether it is in contact with who granted it.
class HeldDelegation {
 public:
  explicit HeldDelegation(const config::Settings& settings);
  // Begins with nothing in hand; the process's lives have rising numbers.
  void begin(std::uint64_t life);
  // The term in which the report may be answered without the leader; nothing when it may not, or when the leader
  // answers this node and was not tried with the report.
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
