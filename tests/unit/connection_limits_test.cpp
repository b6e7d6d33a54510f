#include "node/connection_limits.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::node {
namespace {

ConnectionLimits of(double ram_mb, int sockets) {
  config::Settings settings;
  settings.ram_mb = ram_mb;
  settings.max_connections = sockets;
  return connection_limits_for(settings);
}

TEST(Limits, MemoryBoundsSmallNodes) {
  EXPECT_EQ(of(42, 700).all.connections, 486);
  EXPECT_EQ(of(24, 61).all.connections, 1);
  EXPECT_EQ(of(24, 61).all.unreserved, 1);
  EXPECT_EQ(of(512, 700).all.connections, 640);  // by sockets
}

TEST(Limits, ThreadsBoundLargeNodes) {
  constexpr int kWorkersOfALargeFleet = 1260;
  for (const auto& [ram_mb, sockets] : {std::pair{188.0, 2263}, {188.0, 2356}, {512.0, 10'000}}) {
    const ConnectionLimits limits = of(ram_mb, sockets);
    const int others =
        constants::kProcessThreads + static_cast<int>(constants::kMaxConcurrentDirectStops) + constants::kThreadReserve;
    EXPECT_EQ(limits.all.connections + limits.siblings.connections + others, constants::kMaxThreads);
    EXPECT_GE(limits.all.connections - limits.all.unreserved, kWorkersOfALargeFleet);
    EXPECT_GE(limits.all.unreserved, 500);
  }
}

}  // namespace
}  // namespace foxshunt::node
