// What the loops that call the state service share.
#pragma once

#include "config/constants.h"
#include "net/socket.h"
#include "state/client.h"

namespace foxshunt::node {

inline net::Deadline store_call_deadline() { return net::Clock::now() + constants::kStateCallLimit; }

inline bool is_answered(state::Answer answer) {
  return answer == state::Answer::ok || answer == state::Answer::not_found || answer == state::Answer::conflict;
}

}  // namespace foxshunt::node
