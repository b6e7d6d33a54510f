#include "node/connection_limits.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::node {

ConnectionLimits connection_limits_for(const config::Settings& settings) {
  const int by_sockets = settings.max_connections - constants::kConnectionReserve;
  const int by_memory = static_cast<int>((settings.ram_mb - constants::kProcessMb) / constants::kConnectionMb) -
                        constants::kMaxPeerConnections;
  constexpr int kByThreads = constants::kMaxThreads - constants::kProcessThreads -
                             static_cast<int>(constants::kMaxConcurrentDirectStops) - constants::kThreadReserve -
                             constants::kMaxPeerConnections;
  static_assert(kByThreads > 0);
  const int most = std::max(1, std::min({by_sockets, by_memory, kByThreads}));
  return {.all = {.connections = most,
                  .reserved_paths = {"/checkin", "/up"},
                  .unreserved = std::max(1, static_cast<int>(most * constants::kUserConnectionShare))},
          .siblings = {.connections = constants::kMaxPeerConnections}};
}

}  // namespace foxshunt::node
