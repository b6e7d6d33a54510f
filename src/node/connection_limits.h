// How many connections a node takes: bound by its sockets, its memory, and the threads a process may have, one of
// which serves each connection.
#pragma once

#include "config/settings.h"
#include "net/http.h"

namespace foxshunt::node {

struct NodeLimits {
  net::ServerLimits all;       // workers', users' and probes' connections; users get a part of them only
  net::ServerLimits siblings;  // at `peer_listen`
};

[[nodiscard]] NodeLimits limits_of(const config::Settings& settings);

}  // namespace foxshunt::node
