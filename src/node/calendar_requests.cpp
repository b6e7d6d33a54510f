#include "node/calendar_requests.h"

#include <charconv>
#include <vector>

#include "config/constants.h"
#include "node/clock.h"
#include "node/http_responses.h"
#include "kv/client.h"

namespace foxshunt::node {
namespace {

using net::HttpResponse;

std::optional<std::vector<std::int64_t>> numbers_of(const std::string& text) {
  std::vector<std::int64_t> numbers;
  std::size_t from = 0;
  while (from <= text.size()) {
    const std::size_t to = std::min(text.find('/', from), text.size());
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data() + from, text.data() + to, number);
    if (error != std::errc{} || end != text.data() + to || number < 0) return std::nullopt;
    numbers.push_back(number);
    from = to + 1;
  }
  return numbers;
}

}  // namespace

HttpResponse calendar_response(Context& context, const calendar::DeadlineController& keeper, const std::string& rest) {
  const auto numbers = numbers_of(rest);
  if (!numbers || numbers->size() > 3 || (*numbers)[0] < 1 || (*numbers)[0] > constants::kMaxCalendarDays) {
    return error_response(400, "days: 1 to " + std::to_string(constants::kMaxCalendarDays));
  }
  const auto at = [&numbers](std::size_t index) { return numbers->size() > index ? (*numbers)[index] : 0; };
  const std::lock_guard lock(context.shared.mutex);
  const record_cache::RecordCache& record_cache = context.shared.record_cache;
  if (!record_cache.whole()) return retry_later("the records are not known yet");
  const wire::Value body = calendar::shown(keeper, record_cache.revision(), wall_ms(), static_cast<int>(at(0)), at(1),
                                           static_cast<std::size_t>(at(2)));
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

HttpResponse change_calendar(Context& context, const calendar::DeadlineController& keeper, const std::string& body) {
  calendar::Decision decision;
  try {
    const calendar::Request request = calendar::request_from(wire::decode(body));
    const std::lock_guard lock(context.shared.mutex);
    if (!context.shared.record_cache.whole()) return retry_later("the records are not known yet");
    decision = calendar::decide(keeper, request, wall_ms());
  } catch (const wire::Malformed& error) {
    return error_response(400, error.what());
  }
  const auto done = [](Revision revision) -> HttpResponse {
    const wire::Value answer = wire::Value::Map{{"revision", revision.number()}};
    return {.status = 200, .body = wire::encode(answer), .retry_after_s = {}};
  };
  if (!decision.txn && decision.status == 200) return done(decision.done);
  if (!decision.txn) return error_response(decision.status, decision.error);
  kv::Client client(context.state_address, context.rate_limiter, kv::Priority::user);
  const kv::TxnResult result = client.txn(*decision.txn, net::Clock::now() + constants::kStoreCallTimeout);
  if (result.status == kv::Status::conflict) {
    return error_response(409, "it was changed meanwhile: look again before you repeat it");
  }
  // Without an answer it may have been done; asked again, that is seen.
  if (result.status != kv::Status::ok) return retry_later("the state service can't take it now");
  return done(result.revision);
}

}  // namespace foxshunt::node
