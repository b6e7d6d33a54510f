#include "node/request_handler.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"
#include "node/clock.h"
#include "node/http_responses.h"

namespace foxshunt::node {

using net::HttpResponse;

RequestHandler::RequestHandler(Context& context)
    : context_(context), clients_(constants::kMaxUserRequestStoreClients, [&context] {
        return std::make_unique<kv::Client>(context.state_address, context.rate_limiter, kv::Priority::user);
      }) {}

user_api::Known RequestHandler::known() {
  const std::lock_guard lock(context_.cluster_view.mutex);
  return {.settings = context_.settings, .finals = finals_, .types = context_.cluster_view.types, .wall_ms = wall_ms()};
}

HttpResponse RequestHandler::serve(user_api::Request request) {
  const net::Deadline until = net::Clock::now() + constants::kUserRequestStoreTimeout;
  if (const auto* reply = request.reply()) return http(*reply);
  const Clients::Lease lease(clients_);
  if (lease.get() == nullptr) return retry_later("too many requests under way");
  while (request.reply() == nullptr) {
    if (const auto* read = std::get_if<user_api::Request::Read>(&request.step())) {
      const kv::GetResult found = lease.get()->get(read->key, until);
      if (found.status == kv::Status::ok || found.status == kv::Status::not_found) context_.on_store_answered();
      request.on_read(found);
    } else {
      const kv::TxnResult result = lease.get()->txn(std::get<kv::Txn>(request.step()), until);
      if (result.status == kv::Status::ok) context_.on_store_answered();
      request.on_written(result);
    }
  }
  {
    // A fresh process judges its first job without waiting for the duty that reads them.
    const std::lock_guard lock(context_.cluster_view.mutex);
    if (context_.cluster_view.types.empty()) context_.cluster_view.types = request.types();
  }
  return http(*request.reply());
}

HttpResponse RequestHandler::submit(const std::string& body) {
  return serve(user_api::Request::submission(known(), body));
}

HttpResponse RequestHandler::status(const std::string& id) { return serve(user_api::Request::question(known(), id)); }

HttpResponse RequestHandler::abort(const std::string& id) {
  return serve(user_api::Request::cancellation(known(), id));
}

HttpResponse RequestHandler::up() {
  health::Verdict verdict{};
  plan::Millis silent{};
  {
    const std::lock_guard lock(context_.health.mutex);
    verdict = context_.health.check.assess(now());
    silent = context_.health.check.store_silence(now());
  }
  if (const auto before = verdict_.exchange(verdict); before != verdict) {
    const bool out = !health::is_healthy(verdict);
    spdlog::log(out ? spdlog::level::warn : spdlog::level::info,
                "health_changed up={} health={} was={} state_silent_ms={}", out ? "no" : "yes",
                health::name_of(verdict), health::name_of(before), silent.count());
  }
  if (!health::is_healthy(verdict)) return retry_later("this node can't reach the state service");
  return {.status = 200, .body = {}, .retry_after_s = {}};
}

}  // namespace foxshunt::node
