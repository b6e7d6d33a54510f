// How many connections a node takes: bound by its sockets, its memory, and the threads a process may have, one of
// which serves each connection.
#pragma once

#include "config/settings.h"
#include "net/http.h"

namespace foxshunt::node {

struct ConnectionLimits {
  net::ServerLimits all;       // workers', users' and probes' connections; users get a part of them only
  net::ServerLimits siblings;  // at `peer_listen`
};

[[nodiscard]] ConnectionLimits connection_limits_for(const config::Settings& settings);

}  // namespace foxshunt::node
