#include "node/peers.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "node/front.h"
#include "state/records.h"

namespace foxshunt::node {

net::HttpResponse tell_lead(Context& context, const net::HttpRequest& request) {
  if (request.method != "GET" || request.path != "/lead") return plain_error(404, "no such path");
  const std::lock_guard lock(context.view_mutex);
  return {.status = 200,
          .body = wire::encode(state::to_value(state::TermRecord{.term = context.term, .leader = context.leader})),
          .retry_after_s = {}};
}

PeerDuty::PeerDuty(Context& context) : context_(context) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.emplace_back(*address, constants::kPeerCallLimit);
    }
  }
}

void PeerDuty::ask(net::HttpClient& sibling) {
  const auto answer =
      sibling.call({.method = "GET", .path = "/lead", .body = {}}, net::Clock::now() + constants::kPeerCallLimit);
  if (!answer || answer->status != 200) return;
  state::TermRecord word;
  try {
    word = state::term_from(wire::decode(answer->body));
  } catch (const wire::Malformed& error) {
    spdlog::warn("sibling at {}: malformed word of who leads: {}", sibling.to().text(), error.what());
    return;
  }
  if (word.leader.empty() || !context_.learn_lead(word.leader, word.term)) return;
  const std::lock_guard lock(context_.engine_mutex.of(Duty::lease));
  context_.engine.hear_of(word.term);
}

void PeerDuty::run(const std::stop_token& stop) {
  while (pause(stop, constants::kPeerEvery)) {
    if (context_.state_silent_for() < constants::kPeerSilence) continue;
    for (net::HttpClient& sibling : siblings_) ask(sibling);
  }
}

}  // namespace foxshunt::node
