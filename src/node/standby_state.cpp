#include "node/standby_state.h"

#include <spdlog/spdlog.h>

#include <limits>
#include <random>

#include "config/constants.h"
#include "node/clock.h"
#include "node/context.h"
#include "node/http_responses.h"

namespace foxshunt::node {

using standby::Phase;
using wire::Value;

namespace {

// Of this process: no other one's words may be taken for its own.
std::uint64_t fresh_life() {
  std::random_device luck;
  return (std::uint64_t{luck()} << 31) ^ luck() ^ 1U;
}

}  // namespace

StandbyState::StandbyState(const config::Settings& settings)
    : is_enabled_(settings.operators.standby),
      has_no_siblings_(settings.siblings.empty()),
      publisher_(std::max<std::uint64_t>(1, fresh_life())),
      subscriber_(settings.name) {}

// ---- takeovers ----

void StandbyState::on_leader_seen() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.sign(at);
}

void StandbyState::on_leadership_free() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.noticed(at);
}

std::optional<standby::SoftStateSnapshot> StandbyState::take_snapshot(plan::Instant at) {
  if (!is_enabled_) return std::nullopt;
  const std::lock_guard lock(mutex_);
  return subscriber_.snapshot(at);
}

void StandbyState::on_leadership_acquired(Term term, plan::Instant took, plan::Instant knew,
                                          const std::optional<standby::SoftStateSnapshot>& hints) {
  const std::lock_guard lock(mutex_);
  phases_.led(term, took, knew, hints ? std::optional(hints->starts_s) : std::nullopt);
  if (hints) phases_.hinted(hints->entries.size(), hints->starts_s);
  soft_state_wanted_until_.reset();
  // Before the first term nobody knew anything.
  if (is_enabled_ && !has_no_siblings_ && !hints && term.number() > 1)
    soft_state_wanted_until_ = knew + constants::kStandbyLate;
  is_watching_failover_ = true;
}

bool StandbyState::should_yield(bool records_whole, Term term) {
  // Nobody has anything to tell before the first term.
  if (!is_enabled_ || has_no_siblings_ || term == Term{}) return false;
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto age = subscriber_.age(at);
  if (records_whole && age && *age <= constants::kStandbyStale) return false;
  if (yielded_ && at - *yielded_ < constants::kLeaderLeaseTtl) return false;
  yielded_ = at;
  ++yields_;
  spdlog::info("leadership_yielded records={} snapshot_age_s={:.1f}", records_whole ? "known" : "unknown",
               age ? std::chrono::duration<double>(*age).count() : std::numeric_limits<double>::infinity());
  return true;
}

void StandbyState::on_phase_reached(Phase phase) {
  if (!is_watching_failover_) return;
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.reached(phase, at);
}

void StandbyState::on_tasks_started(std::uint64_t tasks) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.started(tasks, at);
}

void StandbyState::log_takeover() {
  if (!is_watching_failover_) return;
  std::optional<std::string> line;
  {
    const std::lock_guard lock(mutex_);
    line = phases_.line(now());
    if (line) is_watching_failover_ = false;
  }
  if (line) spdlog::info("{}", *line);
}

// ---- words ----

std::optional<net::HttpResponse> StandbyState::answer(Context& context, const std::string& body) {
  if (!is_enabled_) return std::nullopt;
  standby::SnapshotRequest ask;
  try {
    ask = standby::snapshot_request_from(wire::decode(body));
  } catch (const wire::Malformed& error) {
    const std::lock_guard lock(mutex_);
    if (warning_log_.should_log(net::Clock::now()))
      spdlog::warn("malformed_standby_request error=\"{}\"", error.what());
    return error_response(400, error.what());
  }
  const plan::Instant at = now();
  bool look = false;
  {
    const std::lock_guard lock(mutex_);
    // What it tells before it has its own hints would replace better ones that siblings hold.
    if (soft_state_wanted_until_ && at < *soft_state_wanted_until_) return retry_later("it has just begun to lead");
    look = publisher_.wants_snapshot(at);
  }
  std::optional<standby::SoftStateSnapshot> snapshot;
  if (look) {
    const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
    if (context.control_state.controller.is_leader()) snapshot = context.control_state.controller.soft_state(at);
  }
  std::optional<standby::Message> word;
  {
    const std::lock_guard lock(mutex_);
    if (snapshot) {
      snapshot->starts_s = phases_.starts_s(at);
    } else if (look) {
      snapshot = subscriber_.snapshot(at);
    }
    if (snapshot) publisher_.show(std::move(*snapshot));
    word = publisher_.tell(ask, now());
  }
  if (!word) return retry_later("there is nothing to tell now");
  return net::HttpResponse{.status = 200, .body = wire::encode(standby::to_value(*word)), .retry_after_s = {}};
}

standby::SnapshotRequest StandbyState::next_request(const NodeName& of, std::optional<Term> least) {
  const std::lock_guard lock(mutex_);
  if (least) subscriber_.observe_term(*least);
  return subscriber_.next_request(of);
}

bool StandbyState::on_answer(const NodeName& of, const net::HttpResponse& answer) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  if (answer.status != 200) {
    // 404: a program without standby, or one that has it off. 503: nothing to tell now, or too much was asked of it.
    ++unanswered_;
    return false;
  }
  const auto why = subscriber_.on_answer(answer.body, at);
  if (!why) return !subscriber_.caught_up();
  last_refusal_ = *why;
  if (warning_log_.should_log(net::Clock::now())) {
    spdlog::warn("standby_message_refused from={} error=\"{}\"", of.text(), *why);
  }
  return false;
}

bool StandbyState::is_caught_up() {
  const std::lock_guard lock(mutex_);
  return subscriber_.caught_up();
}

bool StandbyState::has_snapshot() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  return subscriber_.snapshot(at).has_value();
}

bool StandbyState::wants_soft_state() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  return soft_state_wanted_until_ && at < *soft_state_wanted_until_;
}

void StandbyState::on_soft_state_applied(const standby::SoftStateSnapshot& snapshot) {
  const std::lock_guard lock(mutex_);
  soft_state_wanted_until_.reset();
  phases_.hinted(snapshot.entries.size(), snapshot.starts_s);
}

Value::Map StandbyState::status() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto age = subscriber_.age(at);
  const standby::Subscriber::Counts& heard = subscriber_.counts();
  const standby::Publisher::Counts& told = publisher_.counts();
  Value::Map body{{"on", is_enabled_},
                  {"holds", subscriber_.holds()},
                  {"caught_up", subscriber_.caught_up()},
                  {"age_ms", age ? count_ms(*age) : 0},
                  {"term_held", subscriber_.term().number()},
                  {"sequence", subscriber_.sequence()},
                  {"facts", std::uint64_t{subscriber_.entries()}},
                  {"words", heard.words},
                  {"word_bytes", heard.bytes},
                  {"refused", heard.refused},
                  {"wholes", heard.wholes},
                  {"unanswered", unanswered_},
                  {"trouble", last_refusal_},
                  {"told_words", told.words},
                  {"told_facts", told.entries},
                  {"told_wholes", told.wholes},
                  {"put_off", told.put_off},
                  {"yields", yields_},
                  {"takeovers", phases_.takeovers()},
                  {"hints", phases_.hints() ? std::uint64_t{*phases_.hints()} : 0},
                  {"starts_s", phases_.starts_s(at)}};
  for (std::size_t phase = 0; phase < standby::kPhaseNames.size(); ++phase) {
    const auto span = phases_.span(static_cast<Phase>(phase));
    if (span) body.emplace_back(std::string("takeover_") + standby::kPhaseNames[phase] + "_ms", count_ms(*span));
  }
  return body;
}

}  // namespace foxshunt::node
