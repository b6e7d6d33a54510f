// What siblings and operators ask about zones.
#pragma once

#include "net/http.h"
#include "node/context.h"
#include "node/held_delegation.h"

namespace foxshunt::node {

// Answers a sibling's word: with a grant while this node leads.
[[nodiscard]] net::HttpResponse answer_ask(Context& context, ZoneRights& rights, const std::string& body);
// GET /zones, for operators.
[[nodiscard]] net::HttpResponse zones_answer(Context& context, const ZoneRights& rights);

}  // namespace foxshunt::node
