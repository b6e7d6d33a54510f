// The right to answer this node's zone's workers, as the leader has granted it.
#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "config/settings.h"
#include "node/rate_limited_log.h"
#include "wire/messages.h"
#include "zone/grants.h"

namespace foxshunt::node {

// What this node was granted, and whether it is in contact with who granted it.
class ZoneRights {
 public:
  explicit ZoneRights(const config::Settings& settings);
  // Begins with nothing in hand; the process's lives have rising numbers.
  void begin(std::uint64_t life);
  // The term in which the report may be answered without the leader; nothing when it may not, or when the leader
  // answers this node and was not tried with the report.
  [[nodiscard]] std::optional<Term> answers(const wire::Report& report, bool leader_tried);
  [[nodiscard]] zone::Ask next_ask(Term leaders);
  bool take(const zone::Grant& grant, plan::Instant asked);
  void lost_contact();
  void malformed(const std::string& from, const char* why);  // told once a while
  [[nodiscard]] wire::Value::Map told() const;               // to operators

 private:
  const config::Settings& settings_;
  mutable std::mutex mutex_;
  zone::Holder holder_;
  std::optional<plan::Instant> answered_;  // when the leader last answered a word, and none has failed since
  Seldom warned_;
};

}  // namespace foxshunt::node
