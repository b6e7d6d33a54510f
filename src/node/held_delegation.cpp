#include "node/held_delegation.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "control/times.h"
#include "node/clock.h"

namespace foxshunt::node {

using wire::Value;

HeldDelegation::HeldDelegation(const config::Settings& settings) : settings_(settings) {}

void HeldDelegation::begin(std::uint64_t life) {
  const std::lock_guard lock(mutex_);
  holder_ = zone::DelegatedLease(settings_.name, settings_.zone, life, control::delegation_spans(settings_));
}

std::optional<Term> HeldDelegation::answerable_term(const wire::Heartbeat& heartbeat, bool leader_tried) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const bool leader_answers = last_answer_ && at - *last_answer_ < constants::kLeaderContactTimeout;
  if (leader_answers && !leader_tried) return std::nullopt;
  return holder_.try_answer(heartbeat.machine, heartbeat.zone, heartbeat.term, at);
}

zone::DelegationRequest HeldDelegation::next_request(Term leaders) {
  const std::lock_guard lock(mutex_);
  return holder_.next_request(leaders, now());
}

bool HeldDelegation::accept(const zone::LeaseDelegation& delegation, plan::Instant asked) {
  const std::lock_guard lock(mutex_);
  if (!holder_.on_delegation(delegation, asked)) return false;
  last_answer_ = now();
  return true;
}

void HeldDelegation::on_contact_lost() {
  const std::lock_guard lock(mutex_);
  last_answer_.reset();
}

void HeldDelegation::log_malformed(const std::string& from, const char* why) {
  const std::lock_guard lock(mutex_);
  if (malformed_log_.should_log(net::Clock::now()))
    spdlog::warn("malformed_delegation_message from=\"{}\" error=\"{}\"", from, why);
}

Value::Map HeldDelegation::status() const {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto until = holder_.until();
  return {{"zone", settings_.zone},
          {"ends_in_ms", until ? count_ms(*until - at) : 0},
          {"leader_answers", last_answer_ && at - *last_answer_ < constants::kLeaderContactTimeout},
          {"machines_answered", static_cast<std::uint64_t>(holder_.machines_used())}};
}

}  // namespace foxshunt::node
