#include "node/delegation_client.h"

#include "config/constants.h"
#include "node/clock.h"
#include "zone/words.h"

namespace foxshunt::node {

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

}  // namespace foxshunt::node
