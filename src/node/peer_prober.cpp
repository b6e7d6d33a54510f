#include "node/peer_prober.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "node/clock.h"
#include "node/http_responses.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::node {

net::HttpResponse leader_response(Context& context, const net::HttpRequest& request) {
  if (request.method != "GET" || request.path != "/lead") return error_response(404, "no such path");
  wire::Value word;
  {
    const std::lock_guard lock(context.cluster_view.mutex);
    word = state::to_value(state::TermRecord{.term = context.cluster_view.term, .leader = context.cluster_view.leader});
  }
  const std::lock_guard lock(context.health.mutex);
  health::write_contact(*word.as_map(), context.health.check.store_contact(now()));
  return {.status = 200, .body = wire::encode(word), .retry_after_s = {}};
}

PeerProber::PeerProber(Context& context) : context_(context) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.push_back({.name = sibling.name, .client = {*address, constants::kPeerCallTimeout}});
    }
  }
}

void PeerProber::ask(Link& sibling) {
  const plan::Instant asked = now();
  const auto answer = sibling.client.call({.method = "GET", .path = "/lead", .body = {}},
                                          net::Clock::now() + constants::kPeerCallTimeout);
  if (!answer || answer->status != 200) return;
  state::TermRecord word;
  std::optional<health::StoreContact> contact;
  try {
    const wire::Value body = wire::decode(answer->body);
    word = state::term_record_from(body);
    contact = health::contact_from(body);
  } catch (const wire::Malformed& error) {
    spdlog::warn("malformed_peer_answer from={} error=\"{}\"", sibling.client.to().text(), error.what());
    return;
  }
  {
    const std::lock_guard lock(context_.health.mutex);
    context_.health.check.on_peer_contact(sibling.name, contact, asked);
  }
  if (word.leader.empty() || !context_.observe_leader(word.leader, word.term)) return;
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
  context_.control_state.controller.observe_term(word.term);
}

void PeerProber::run(const std::stop_token& stop) {
  while (sleep_unless_stopped(stop, constants::kPeerProbeInterval)) {
    if (context_.store_silent_for() < constants::kPeerSilenceTimeout) continue;
    for (Link& sibling : siblings_) ask(sibling);
  }
}

}  // namespace foxshunt::node
