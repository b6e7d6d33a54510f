// What an operator can read from a running node: GET /counters, and why a job waits: GET /plan/<job>.
#pragma once

#include <string>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

[[nodiscard]] net::HttpResponse counters_response(Context& context, const net::HttpServer& server);
[[nodiscard]] net::HttpResponse plan_explanation_response(Context& context, const std::string& job);

}  // namespace foxshunt::node
