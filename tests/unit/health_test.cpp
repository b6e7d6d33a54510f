// HealthCheck: a node is unhealthy only if it alone has lost the state service, or if it is cut off from siblings as
// well.
#include <gtest/gtest.h>

#include "config/constants.h"
#include "health/health.h"

namespace foxshunt::health {
namespace {

using namespace std::chrono_literals;
using wire::Value;

constexpr Instant kStart{1h};
const NodeName kFirstPeer("node-1");
const NodeName kSecondPeer("node-2");

TEST(HealthCheck, NewProcessIsHealthy) {
  const HealthCheck fresh(kStart, 2);
  EXPECT_EQ(fresh.assess(kStart), Verdict::served);
  EXPECT_EQ(fresh.store_contact(kStart + 2s), (StoreContact{.silent = 2s, .steady = 0s}));
}

TEST(HealthCheck, SharedOutageLeavesNodesHealthy) {
  HealthCheck node(kStart, 2);
  node.on_store_response(kStart + 10s);
  for (auto at = kStart + 13s; at < kStart + 300s; at += 1s) {
    node.on_peer_contact(kFirstPeer, StoreContact{.silent = at - kStart - 11s, .steady = 11s},
                         at);  // the sibling lost contact a second later
    EXPECT_TRUE(is_healthy(node.assess(at))) << (at - kStart).count();
    EXPECT_EQ(node.assess(at), at < kStart + 16s ? Verdict::served : Verdict::shared);
  }
  // The sibling is the first to notice the end of the outage, or its process has just started.
  node.on_peer_contact(kFirstPeer, StoreContact{.silent = 0s, .steady = 0s}, kStart + 300s);
  EXPECT_EQ(node.assess(kStart + 300s), Verdict::shared);
  node.on_peer_contact(kFirstPeer, StoreContact{.silent = 0s, .steady = constants::kPeerServedInterval - 1ms},
                       kStart + 303s);
  EXPECT_EQ(node.assess(kStart + 303s), Verdict::shared);
  node.on_store_response(kStart + 304s);
  EXPECT_EQ(node.assess(kStart + 304s), Verdict::served);
}

TEST(HealthCheck, NodeThatAloneLostTheStoreIsUnhealthy) {
  HealthCheck node(kStart, 2);
  node.on_store_response(kStart + 10s);
  node.on_peer_contact(kSecondPeer, StoreContact{.silent = 1s, .steady = 10s}, kStart + 15s);
  EXPECT_EQ(node.assess(kStart + 15s), Verdict::served);
  node.on_peer_contact(kFirstPeer, StoreContact{.silent = 6s, .steady = 10s},
                       kStart + 16s);  // this sibling has lost the service too
  EXPECT_EQ(node.assess(kStart + 16s), Verdict::alone);
  EXPECT_FALSE(is_healthy(node.assess(kStart + 16s)));
  // A sibling's contact expires, because the sibling may have lost the service since.
  EXPECT_EQ(node.assess(kStart + 17s), Verdict::shared);
  node.on_peer_contact(kSecondPeer, StoreContact{.silent = 1s, .steady = 12s}, kStart + 17s);
  EXPECT_EQ(node.assess(kStart + 17s), Verdict::alone);
  node.on_store_response(kStart + 18s);
  EXPECT_EQ(node.assess(kStart + 18s), Verdict::served);
}

TEST(HealthCheck, WithoutPeerContactNodeStaysHealthyUntilIsolationTimeout) {
  HealthCheck node(kStart, 2);
  node.on_peer_contact(kFirstPeer, std::nullopt, kStart + 6s);  // an older release sends no contact
  EXPECT_EQ(node.assess(kStart + 6s), Verdict::unheard);
  EXPECT_TRUE(is_healthy(node.assess(kStart + constants::kIsolationTimeout - 1ms)));
  EXPECT_EQ(node.assess(kStart + constants::kIsolationTimeout), Verdict::cut_off);
  EXPECT_FALSE(is_healthy(node.assess(kStart + constants::kIsolationTimeout)));
  node.on_peer_contact(kFirstPeer, StoreContact{.silent = 40s, .steady = 0s}, kStart + 40s);
  EXPECT_EQ(node.assess(kStart + 40s), Verdict::shared);
  EXPECT_EQ(node.assess(kStart + 40s + constants::kPeerStatusTtl), Verdict::cut_off);
  // Without siblings users have no other node, so the node stays healthy.
  EXPECT_EQ(HealthCheck(kStart, 0).assess(kStart + 1h), Verdict::unheard);
}

TEST(HealthCheck, SilenceRestartsTheSteadyPeriod) {
  HealthCheck node(kStart, 2);
  for (auto at = kStart; at <= kStart + 10s; at += 2s) node.on_store_response(at);
  EXPECT_EQ(node.store_contact(kStart + 11s), (StoreContact{.silent = 1s, .steady = 10s}));
  node.on_store_response(kStart + 10s + constants::kPeerSilenceTimeout);
  EXPECT_EQ(node.store_contact(kStart + 14s), (StoreContact{.silent = 1s, .steady = 0s}));
}

TEST(HealthCheck, ContactIsReadFromAMessageWithOtherFields) {
  Value::Map map{{"term", 4}};
  EXPECT_EQ(contact_from(map), std::nullopt);
  write_contact(map, {.silent = 1500ms, .steady = 20s});
  EXPECT_EQ(contact_from(map), (StoreContact{.silent = 1500ms, .steady = 20s}));
  EXPECT_THROW((void)contact_from(Value::Map{{"state_silent_ms", "long"}}), wire::Malformed);
  EXPECT_THROW((void)contact_from(Value::Map{{"state_silent_ms", 5}}), wire::Malformed);
  const Value huge = Value::Map{{"state_silent_ms", UINT64_MAX}, {"state_steady_ms", UINT64_MAX}};
  EXPECT_GT(contact_from(huge)->silent, 0s);
}

}  // namespace
}  // namespace foxshunt::health
