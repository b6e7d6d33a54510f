// What siblings and operators ask about the standby.
#pragma once

#include <string>

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

// POST /standby of siblings, and GET /standby for operators.
[[nodiscard]] net::HttpResponse answer_standby_request(Context& context, const std::string& body);
[[nodiscard]] net::HttpResponse standby_response(Context& context);

}  // namespace foxshunt::node
