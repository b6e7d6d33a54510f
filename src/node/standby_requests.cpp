#include "node/standby_requests.h"

#include "node/http_responses.h"

namespace foxshunt::node {

using wire::Value;

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
  const std::lock_guard lock(context.engine_mutex.of(Duty::counting));
  body.emplace_back("leads", context.engine.leading());
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

}  // namespace foxshunt::node
