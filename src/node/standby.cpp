#include "node/standby.h"

#include <spdlog/spdlog.h>

#include <random>

#include "config/constants.h"
#include "node/context.h"
#include "node/front.h"

namespace foxshunt::node {

using standby::Phase;
using wire::Value;

namespace {

// Of this process: no other one's words may be taken for its own.
std::uint64_t fresh_life() {
  std::random_device luck;
  return (std::uint64_t{luck()} << 31) ^ luck() ^ 1U;
}

std::uint64_t count_ms(plan::Millis span) {
  return static_cast<std::uint64_t>(std::max(plan::Millis(0), span).count());
}

}  // namespace

Standby::Standby(const config::Settings& settings)
    : on_(settings.operators.standby),
      alone_(settings.siblings.empty()),
      teller_(std::max<std::uint64_t>(1, fresh_life())),
      listener_(settings.name) {}

// ---- takeovers ----

void Standby::sign() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.sign(at);
}

void Standby::noticed() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.noticed(at);
}

std::optional<standby::Picture> Standby::take(plan::Instant at) {
  if (!on_) return std::nullopt;
  const std::lock_guard lock(mutex_);
  return listener_.picture(at);
}

void Standby::led(Term term, plan::Instant took, plan::Instant knew, const std::optional<standby::Picture>& hints) {
  const std::lock_guard lock(mutex_);
  phases_.led(term, took, knew, hints ? std::optional(hints->starts_s) : std::nullopt);
  if (hints) phases_.hinted(hints->facts.size(), hints->starts_s);
  hints_wanted_until_.reset();
  // Before the first term nobody knew anything.
  if (on_ && !alone_ && !hints && term.number() > 1) hints_wanted_until_ = knew + constants::kStandbyLate;
  watching_ = true;
}

bool Standby::yields(bool records_whole, Term term) {
  // Nobody has anything to tell before the first term.
  if (!on_ || alone_ || term == Term{}) return false;
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto age = listener_.age(at);
  if (records_whole && age && *age <= constants::kStandbyStale) return false;
  if (yielded_ && at - *yielded_ < constants::kLeaderLease) return false;
  yielded_ = at;
  ++yields_;
  spdlog::info("standby: far behind, a sibling may take the lead first: records={} picture_age_s={:.1f}",
               records_whole ? "known" : "unknown",
               age ? std::chrono::duration<double>(*age).count() : std::numeric_limits<double>::infinity());
  return true;
}

void Standby::reached(Phase phase) {
  if (!watching_) return;
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.reached(phase, at);
}

void Standby::started(std::uint64_t tasks) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  phases_.started(tasks, at);
}

void Standby::log_takeover() {
  if (!watching_) return;
  std::optional<std::string> line;
  {
    const std::lock_guard lock(mutex_);
    line = phases_.line(now());
    if (line) watching_ = false;
  }
  if (line) spdlog::info("{}", *line);
}

// ---- words ----

std::optional<net::HttpResponse> Standby::answer(Context& context, const std::string& body) {
  if (!on_) return std::nullopt;
  standby::Ask ask;
  try {
    ask = standby::ask_from(wire::decode(body));
  } catch (const wire::Malformed& error) {
    const std::lock_guard lock(mutex_);
    if (warned_.due(net::Clock::now())) spdlog::warn("standby: malformed ask of a sibling: {}", error.what());
    return plain_error(400, error.what());
  }
  const plan::Instant at = now();
  bool look = false;
  {
    const std::lock_guard lock(mutex_);
    // What it tells before it has its own hints would replace better ones that siblings hold.
    if (hints_wanted_until_ && at < *hints_wanted_until_) return come_back("it has just begun to lead");
    look = teller_.wants_picture(at);
  }
  std::optional<standby::Picture> picture;
  if (look) {
    const std::lock_guard lock(context.controller_mutex.of(Duty::counting));
    if (context.controller.leading()) picture = context.controller.soft_state(at);
  }
  std::optional<standby::Word> word;
  {
    const std::lock_guard lock(mutex_);
    if (picture) {
      picture->starts_s = phases_.starts_s(at);
    } else if (look) {
      picture = listener_.picture(at);
    }
    if (picture) teller_.show(std::move(*picture));
    word = teller_.tell(ask, now());
  }
  if (!word) return come_back("there is nothing to tell now");
  return net::HttpResponse{.status = 200, .body = wire::encode(standby::to_value(*word)), .retry_after_s = {}};
}

standby::Ask Standby::next_ask(const NodeName& of, std::optional<Term> least) {
  const std::lock_guard lock(mutex_);
  if (least) listener_.hear_of(*least);
  return listener_.next_ask(of);
}

bool Standby::on_answer(const NodeName& of, const net::HttpResponse& answer) {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  if (answer.status != 200) {
    // 404: a program without standby, or one that has it off. 503: nothing to tell now, or too much was asked of it.
    ++unanswered_;
    return false;
  }
  const auto why = listener_.on_answer(answer.body, at);
  if (!why) return !listener_.caught_up();
  trouble_ = *why;
  if (warned_.due(net::Clock::now())) {
    spdlog::warn("standby: a word of {} is refused, all is asked for again: {}", of.text(), *why);
  }
  return false;
}

bool Standby::caught_up() {
  const std::lock_guard lock(mutex_);
  return listener_.caught_up();
}

bool Standby::holds() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  return listener_.picture(at).has_value();
}

bool Standby::wants_hints() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  return hints_wanted_until_ && at < *hints_wanted_until_;
}

void Standby::hinted(const standby::Picture& picture) {
  const std::lock_guard lock(mutex_);
  hints_wanted_until_.reset();
  phases_.hinted(picture.facts.size(), picture.starts_s);
}

Value::Map Standby::told() {
  const plan::Instant at = now();
  const std::lock_guard lock(mutex_);
  const auto age = listener_.age(at);
  const standby::Listener::Counts& heard = listener_.counts();
  const standby::Teller::Counts& told = teller_.counts();
  Value::Map body{{"on", on_},
                  {"holds", listener_.holds()},
                  {"caught_up", listener_.caught_up()},
                  {"age_ms", age ? count_ms(*age) : 0},
                  {"term_held", listener_.term().number()},
                  {"sequence", listener_.sequence()},
                  {"facts", std::uint64_t{listener_.facts()}},
                  {"words", heard.words},
                  {"word_bytes", heard.bytes},
                  {"refused", heard.refused},
                  {"wholes", heard.wholes},
                  {"unanswered", unanswered_},
                  {"trouble", trouble_},
                  {"told_words", told.words},
                  {"told_facts", told.facts},
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

// ---- StandbyDuty ----

StandbyDuty::StandbyDuty(Context& context) : context_(context) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.try_emplace(sibling.name, *address, constants::kPeerCallLimit);
    }
  }
}

bool StandbyDuty::ask(const NodeName& sibling, std::optional<Term> least, const std::stop_token& stop) {
  const auto link = siblings_.find(sibling);
  if (link == siblings_.end()) return false;
  while (!stop.stop_requested()) {
    const standby::Ask ask = context_.standby.next_ask(sibling, least);
    const auto answer =
        link->second.call({.method = "POST", .path = "/standby", .body = wire::encode(standby::to_value(ask))},
                          net::Clock::now() + constants::kStandbyCallLimit);
    if (!answer) return false;
    if (answer->status == 200 && least) context_.standby.sign();
    if (!context_.standby.on_answer(sibling, *answer)) return answer->status == 200 && context_.standby.caught_up();
    pause(stop, constants::kStandbyMorePause);
  }
  return false;
}

void StandbyDuty::look_for_hints(const std::stop_token& stop) {
  for (const auto& [sibling, unused] : siblings_) {
    if (!ask(sibling, {}, stop)) continue;
    const plan::Instant at = now();
    const auto picture = context_.standby.take(at);
    if (!picture) continue;
    {
      const std::lock_guard lock(context_.controller_mutex.of(Duty::counting));
      if (!context_.controller.leading() || picture->term >= context_.controller.term()) continue;
      context_.controller.hint(*picture, at);
    }
    context_.standby.hinted(*picture);
    context_.plan_signal.raise();
    return;
  }
}

void StandbyDuty::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    NodeName leader;
    Term term;
    {
      const std::lock_guard lock(context_.view_mutex);
      leader = context_.leader;
      term = context_.term;
    }
    if (context_.standby.wants_hints()) {
      look_for_hints(stop);
    } else if (siblings_.contains(leader)) {
      (void)ask(leader, term, stop);
    } else if (leader.empty() && !context_.standby.holds()) {
      // A process that has just begun: it may soon lead.
      for (const auto& [sibling, unused] : siblings_) {
        if (ask(sibling, {}, stop)) break;
      }
    }
    context_.standby_signal.wait(stop, constants::kStandbyEvery);
  }
}

// ---- answers ----

net::HttpResponse answer_standby(Context& context, const std::string& body) {
  return context.standby.answer(context, body).value_or(plain_error(404, "no such path"));
}

net::HttpResponse standby_answer(Context& context) {
  NodeName leader;
  Term term;
  {
    const std::lock_guard lock(context.view_mutex);
    leader = context.leader;
    term = context.term;
  }
  Value::Map body{{"node", context.settings.name.text()}, {"leader", leader.text()}, {"term", term.number()}};
  for (auto& entry : context.standby.told()) body.push_back(std::move(entry));
  if (context.settings.operators.shared_records) {
    const std::lock_guard lock(context.shared.mutex);
    body.emplace_back("records_whole", context.shared.ledger.whole());
    body.emplace_back("records_revision", context.shared.ledger.revision().number());
  }
  const std::lock_guard lock(context.controller_mutex.of(Duty::counting));
  body.emplace_back("leads", context.controller.leading());
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
