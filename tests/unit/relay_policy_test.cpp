// Tests of RelayPolicy: which heartbeats a node relays to the leader, and when it redirects the agent to the leader
// instead.
#include <gtest/gtest.h>

#include "config/constants.h"
#include "control/relay_policy.h"

namespace foxshunt::control {
namespace {

const MachineId kMachine("m-000001");
constexpr plan::Instant kStart{plan::Millis(1'000'000)};

TEST(RelayPolicyTest, RelaysForMachineServedByTheLeaderBefore) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
}

TEST(RelayPolicyTest, RelaysForMachineThatReturnsAfterRedirect) {
  RelayPolicy policy;
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(MachineId("m-000002"), Term(6), Term(7), kStart));
  EXPECT_TRUE(policy.should_relay(kMachine, Term(6), Term(7), kStart + plan::Millis(5000)));
}

TEST(RelayPolicyTest, RedirectsAgainAfterTheReturnWindow) {
  RelayPolicy policy;
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart + constants::kRelayReturnWindow));
}

TEST(RelayPolicyTest, RedirectsToNewLeaderFirst) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(7), Term(8), kStart + plan::Millis(1000)));
}

// Only the agent can find out whether the leader is reachable again.
TEST(RelayPolicyTest, RedirectsPeriodicallyWhileRelaying) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
  const plan::Instant later = kStart + constants::kRelayPeriod;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), later - plan::Millis(1)));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(7), Term(7), later));
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), later + plan::Millis(5000)));
}

}  // namespace
}  // namespace foxshunt::control
