// What the loops that call the state service share.
#pragma once

#include "config/constants.h"
#include "net/socket.h"
#include "kv/client.h"

namespace foxshunt::node {

/// The deadline of a call to the store that begins now.
inline net::Deadline store_call_deadline() { return net::Clock::now() + constants::kStoreCallTimeout; }

/// Whether the store has carried the call out or judged its preconditions: a refusal or no answer proves no contact.
inline bool is_answered(kv::Status status) {
  return status == kv::Status::ok || status == kv::Status::not_found || status == kv::Status::conflict;
}

}  // namespace foxshunt::node
