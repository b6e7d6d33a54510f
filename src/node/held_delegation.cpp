#include "node/held_delegation.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "control/times.h"
#include "node/clock.h"

namespace foxshunt::node {

using wire::Value;

ZoneRights::ZoneRights(const config::Settings& settings) : settings_(settings) {}

void ZoneRights::begin(std::uint64_t life) {
  const std::lock_guard lock(mutex_);
  holder_ = zone::Holder(settings_.name, settings_.zone, life, control::grant_spans(settings_));
}

std::optional<Term> ZoneRights::answers(const wire::Report& report, bool leader_tried) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const bool near = answered_ && at - *answered_ < constants::kContactLost;
  if (near && !leader_tried) return std::nullopt;
  return holder_.answers(report.machine, report.zone, report.term, at);
}

zone::Ask ZoneRights::next_ask(Term leaders) {
  const std::lock_guard lock(mutex_);
  return holder_.next_ask(leaders, now());
}

bool ZoneRights::take(const zone::Grant& grant, plan::Instant asked) {
  const std::lock_guard lock(mutex_);
  if (!holder_.on_grant(grant, asked)) return false;
  answered_ = now();
  return true;
}

void ZoneRights::lost_contact() {
  const std::lock_guard lock(mutex_);
  answered_.reset();
}

void ZoneRights::malformed(const std::string& from, const char* why) {
  const std::lock_guard lock(mutex_);
  if (warned_.due(net::Clock::now())) spdlog::warn("malformed word about zones from {}: {}", from, why);
}

Value::Map ZoneRights::told() const {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto until = holder_.until();
  return {{"zone", settings_.zone},
          {"ends_in_ms", until ? count_ms(*until - at) : 0},
          {"leader_answers", answered_ && at - *answered_ < constants::kContactLost},
          {"machines_answered", static_cast<std::uint64_t>(holder_.machines_used())}};
}

}  // namespace foxshunt::node
