// What users ask: answered by any node, straight from the state service.
#pragma once

#include <atomic>
#include <string>

#include "net/http.h"
#include "node/context.h"
#include "node/client_pool.h"
#include "kv/client.h"
#include "user_api/request.h"

namespace foxshunt::node {

/// Serves users' requests, each with a client of the store of its own. Thread-safe.
class RequestHandler {
 public:
  explicit RequestHandler(Context& context);

  [[nodiscard]] net::HttpResponse submit(const std::string& body);
  [[nodiscard]] net::HttpResponse status(const std::string& id);
  [[nodiscard]] net::HttpResponse abort(const std::string& id);
  [[nodiscard]] net::HttpResponse up();

 private:
  // State clients, each for one request; they are few, so that users can't take all sockets.
  using Clients = ClientPool<kv::Client>;

  [[nodiscard]] user_api::Known known();
  net::HttpResponse serve(user_api::Request request);

  Context& context_;
  Clients clients_;
  std::atomic<health::Verdict> verdict_{health::Verdict::served};  // as last told to the balancer, for the log
  user_api::FinalStates finals_;
};

}  // namespace foxshunt::node
