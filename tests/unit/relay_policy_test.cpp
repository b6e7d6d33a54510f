// Which workers' reports a node passes on to the leader, rather than send the worker there.
#include <gtest/gtest.h>

#include "config/constants.h"
#include "control/relay_policy.h"

namespace foxshunt::control {
namespace {

const MachineId kMachine("m-000001");
constexpr plan::Instant kStart{plan::Millis(1'000'000)};

TEST(RelayPolicyTest, AMachineThatTheLeaderServedBefore) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
}

TEST(RelayPolicyTest, AMachineThatWasSentToTheLeaderAndIsBack) {
  RelayPolicy policy;
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(MachineId("m-000002"), Term(6), Term(7), kStart));
  EXPECT_TRUE(policy.should_relay(kMachine, Term(6), Term(7), kStart + plan::Millis(5000)));
}

TEST(RelayPolicyTest, AMachineThatComesLongAfterIsSentAgain) {
  RelayPolicy policy;
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(6), Term(7), kStart + constants::kRelayReturnWindow));
}

TEST(RelayPolicyTest, ANewLeaderIsTriedFirst) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(7), Term(8), kStart + plan::Millis(1000)));
}

// The worker alone can tell whether the leader is in reach again.
TEST(RelayPolicyTest, TheLeaderIsTriedNowAndThen) {
  RelayPolicy policy;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), kStart));
  const plan::Instant later = kStart + constants::kRelayPeriod;
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), later - plan::Millis(1)));
  EXPECT_FALSE(policy.should_relay(kMachine, Term(7), Term(7), later));
  EXPECT_TRUE(policy.should_relay(kMachine, Term(7), Term(7), later + plan::Millis(5000)));
}

}  // namespace
}  // namespace foxshunt::control
