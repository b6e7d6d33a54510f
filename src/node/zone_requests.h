// What siblings and operators ask about zones.
#pragma once

#include "net/http.h"
#include "node/context.h"
#include "node/held_delegation.h"

namespace foxshunt::node {

// Answers a sibling's word: with a grant while this node leads.
[[nodiscard]] net::HttpResponse answer_delegation_request(Context& context, HeldDelegation& held_delegation,
                                                          const std::string& body);
// GET /zones, for operators.
[[nodiscard]] net::HttpResponse zones_response(Context& context, const HeldDelegation& held_delegation);

}  // namespace foxshunt::node
