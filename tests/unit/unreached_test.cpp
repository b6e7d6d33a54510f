// Which workers' reports a node passes on to the leader, rather than send the worker there.
#include <gtest/gtest.h>

#include "config/constants.h"
#include "control/unreached.h"

namespace foxshunt::control {
namespace {

const MachineId kMachine("m-000001");
constexpr plan::Instant kStart{plan::Millis(1'000'000)};

TEST(Unreached, AMachineThatTheLeaderServedBefore) {
  Unreached unreached;
  EXPECT_TRUE(unreached.passes(kMachine, Term(7), Term(7), kStart));
}

TEST(Unreached, AMachineThatWasSentToTheLeaderAndIsBack) {
  Unreached unreached;
  EXPECT_FALSE(unreached.passes(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(unreached.passes(MachineId("m-000002"), Term(6), Term(7), kStart));
  EXPECT_TRUE(unreached.passes(kMachine, Term(6), Term(7), kStart + plan::Millis(5000)));
}

TEST(Unreached, AMachineThatComesLongAfterIsSentAgain) {
  Unreached unreached;
  EXPECT_FALSE(unreached.passes(kMachine, Term(6), Term(7), kStart));
  EXPECT_FALSE(unreached.passes(kMachine, Term(6), Term(7), kStart + constants::kRelayReturnWindow));
}

TEST(Unreached, ANewLeaderIsTriedFirst) {
  Unreached unreached;
  EXPECT_TRUE(unreached.passes(kMachine, Term(7), Term(7), kStart));
  EXPECT_FALSE(unreached.passes(kMachine, Term(7), Term(8), kStart + plan::Millis(1000)));
}

// The worker alone can tell whether the leader is in reach again.
TEST(Unreached, TheLeaderIsTriedNowAndThen) {
  Unreached unreached;
  EXPECT_TRUE(unreached.passes(kMachine, Term(7), Term(7), kStart));
  const plan::Instant later = kStart + constants::kRelayPeriod;
  EXPECT_TRUE(unreached.passes(kMachine, Term(7), Term(7), later - plan::Millis(1)));
  EXPECT_FALSE(unreached.passes(kMachine, Term(7), Term(7), later));
  EXPECT_TRUE(unreached.passes(kMachine, Term(7), Term(7), later + plan::Millis(5000)));
}

}  // namespace
}  // namespace foxshunt::control
