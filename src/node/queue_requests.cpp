#include "node/queue_requests.h"

#include <charconv>

#include "calendar/keeper.h"
#include "classes/queue.h"
#include "node/clock.h"
#include "node/http_responses.h"

namespace foxshunt::node {
namespace {

std::string text_of(const net::HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

}  // namespace

net::HttpResponse queue_response(Context& context, const net::HttpRequest& request) {
  classes::QueueAsk ask{.class_name = text_of(request, "class"), .team = text_of(request, "team")};
  if (const std::string from = text_of(request, "from"); !from.empty()) {
    const auto [end, error] = std::from_chars(from.data(), from.data() + from.size(), ask.from);
    if (error != std::errc() || end != from.data() + from.size()) return error_response(400, "from: must be a place");
  }
  if (!context.settings.operators.shared_records) {
    return error_response(409, "shared-records is off in the operators' settings");
  }
  SharedRecords& shared = context.shared;
  const std::lock_guard lock(shared.mutex);
  if (!shared.record_cache.whole()) return retry_later("the records are not known yet");
  const std::shared_ptr<const catalog::Set> in_force = shared.catalog.in_force();
  const catalog::Set& set = *in_force;
  const classes::Table table(set);
  const classes::Basis basis{.version = set.version,
                             .catalog_revision = set.revision,
                             .revision = shared.record_cache.revision(),
                             .step = shared.steps.at(wall_ms())};
  const auto ranks =
      classes::rank(classes::candidates_of(shared.jobs, slack_of(shared)), table, context.settings.teams, basis.step);
  return {.status = 200, .body = wire::encode(classes::queue_answer(ranks, table, basis, ask)), .retry_after_s = {}};
}

}  // namespace foxshunt::node
