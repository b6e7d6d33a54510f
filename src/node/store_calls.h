// What the loops that call the state service share.
#pragma once

#include "config/constants.h"
#include "net/socket.h"
#include "kv/client.h"

namespace foxshunt::node {

inline net::Deadline store_call_deadline() { return net::Clock::now() + constants::kStoreCallTimeout; }

inline bool is_answered(kv::Answer answer) {
  return answer == kv::Answer::ok || answer == kv::Answer::not_found || answer == kv::Answer::conflict;
}

}  // namespace foxshunt::node
