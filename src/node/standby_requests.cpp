#include "node/standby_requests.h"

#include "node/http_responses.h"

namespace foxshunt::node {

using wire::Value;

net::HttpResponse answer_standby_request(Context& context, const std::string& body) {
  return context.standby.answer(context, body).value_or(error_response(404, "no such path"));
}

net::HttpResponse standby_response(Context& context) {
  const auto [leader, term] = context.known_leader();
  Value::Map body{{"node", context.settings.name.text()}, {"leader", leader.text()}, {"term", term.number()}};
  for (auto& entry : context.standby.status()) body.push_back(std::move(entry));
  if (context.settings.operators.shared_records) {
    const std::lock_guard lock(context.shared.mutex);
    body.emplace_back("records_whole", context.shared.record_cache.whole());
    body.emplace_back("records_revision", context.shared.record_cache.revision().number());
  }
  const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
  body.emplace_back("leads", context.control_state.controller.is_leader());
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
