#include "node/zones.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "control/times.h"
#include "node/front.h"
#include "zone/messages.h"

namespace foxshunt::node {

using wire::Value;

namespace {

std::uint64_t count_ms(plan::Millis span) {
  return static_cast<std::uint64_t>(std::max(plan::Millis(0), span).count());
}

}  // namespace

// ---- ZoneRights ----

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

// ---- AskDuty ----

AskDuty::AskDuty(Context& context, ZoneRights& rights) : context_(context), rights_(rights) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.try_emplace(sibling.name, *address, constants::kPeerCallLimit);
    }
  }
}

void AskDuty::ask(net::HttpClient& leader, Term term) {
  {
    // Asking in a term says that this node does not act in an older one.
    const std::lock_guard lock(context_.engine_mutex.of(Duty::lease));
    context_.engine.hear_of(term);
    if (context_.engine.leading()) return;
  }
  const zone::Ask ask = rights_.next_ask(term);
  const plan::Instant asked = now();
  const auto answer = leader.call({.method = "POST", .path = "/grant", .body = wire::encode(zone::to_value(ask))},
                                  net::Clock::now() + constants::kAskLimit);
  if (!answer || answer->status != 200) return rights_.lost_contact();
  try {
    const zone::Grant grant = zone::grant_from(wire::decode(answer->body));
    if (grant.term != term || !rights_.take(grant, asked)) throw wire::Malformed("not what was asked for");
    context_.standby.sign();
  } catch (const wire::Malformed& error) {
    rights_.malformed(leader.to().text(), error.what());
    rights_.lost_contact();
  }
}

void AskDuty::run(const std::stop_token& stop) {
  // A life's number has to be above those of earlier ones, whose clocks may have been ahead by the skew.
  const auto skew = std::chrono::milliseconds(static_cast<std::int64_t>(context_.settings.skew_ms) * 2 + 1);
  if (!pause(stop, skew)) return;
  rights_.begin(static_cast<std::uint64_t>(wall_ms()));
  do {
    NodeName leader;
    Term term;
    {
      const std::lock_guard lock(context_.view_mutex);
      leader = context_.leader;
      term = context_.term;
    }
    const auto sibling = siblings_.find(leader);
    if (sibling == siblings_.end()) {
      rights_.lost_contact();
    } else {
      ask(sibling->second, term);
    }
  } while (pause(stop, constants::kAskEvery));
}

// ---- answers ----

net::HttpResponse answer_ask(Context& context, ZoneRights& rights, const std::string& body) {
  zone::Ask ask;
  try {
    ask = zone::ask_from(wire::decode(body));
  } catch (const wire::Malformed& error) {
    rights.malformed("a sibling", error.what());
    return plain_error(400, error.what());
  }
  std::optional<zone::Grant> grant;
  {
    const std::lock_guard lock(context.engine_mutex.of(Duty::lease));
    grant = context.engine.on_ask(ask, now());
  }
  if (!grant) return come_back("nothing can be granted: it does not lead in that term, or the word is stale");
  return {.status = 200, .body = wire::encode(zone::to_value(*grant)), .retry_after_s = {}};
}

net::HttpResponse zones_answer(Context& context, const ZoneRights& rights) {
  NodeName leader;
  {
    const std::lock_guard lock(context.view_mutex);
    leader = context.leader;
  }
  Value::Map body{{"node", context.settings.name.text()}, {"leader", leader.text()}, {"holds", rights.told()}};
  const plan::Instant at = now();
  const std::lock_guard lock(context.engine_mutex.of(Duty::counting));
  body.emplace_back("leads", context.engine.leading());
  if (!context.engine.leading()) return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
  Value::List zones;
  for (const auto& [name, standing] : context.engine.zones().standings()) {
    zones.push_back(Value::Map{{"zone", name},
                               {"state", context.settings.in_service(name) ? zone::name_of(standing.state)
                                                                           : std::string_view("out of service")},
                               {"for_ms", count_ms(at - standing.since)},
                               {"heard", static_cast<std::uint64_t>(standing.seen.heard)},
                               {"silent", static_cast<std::uint64_t>(standing.seen.silent)},
                               {"ended", static_cast<std::uint64_t>(standing.seen.ended)},
                               {"tasks_unheard", static_cast<std::uint64_t>(standing.seen.tasks)},
                               {"leaving", standing.leaving}});
  }
  Value::List grants;
  for (const zone::Book::Standing& standing : context.engine.grants().standings()) {
    grants.push_back(Value::Map{{"node", standing.node.text()},
                                {"zone", standing.zone},
                                {"heard", standing.heard.has_value()},
                                {"heard_ms_ago", standing.heard ? count_ms(at - *standing.heard) : 0},
                                {"ends_in_ms", count_ms(standing.until - at)},
                                {"machines_answered", static_cast<std::uint64_t>(standing.machines_used)}});
  }
  body.emplace_back("watched", context.settings.operators.zone_watch);
  body.emplace_back("granting", context.settings.operators.zone_grants);
  body.emplace_back("zones", std::move(zones));
  body.emplace_back("grants", std::move(grants));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
