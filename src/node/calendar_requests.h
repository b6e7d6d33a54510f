// GET /calendar/DAYS[/FROM_MS/SKIP] and POST /calendar, for operators, on any node.
#pragma once

#include <string>

#include "calendar/view.h"
#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

// `rest`: what follows /calendar/ in the path.
[[nodiscard]] net::HttpResponse calendar_response(Context& context, const calendar::DeadlineController& keeper,
                                                  const std::string& rest);
// The record is changed on the condition that it is as this node knows it; 409 when that was lost against another change.
[[nodiscard]] net::HttpResponse change_calendar(Context& context, const calendar::DeadlineController& keeper,
                                                const std::string& body);

}  // namespace foxshunt::node
