// The order of waiting jobs, as every node ranks them by the records that it follows.
#pragma once

#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

// GET /queue?class=C&team=T&from=N, of any node that follows the records.
[[nodiscard]] net::HttpResponse queue_response(Context& context, const net::HttpRequest& request);

}  // namespace foxshunt::node
