// Tests of Leadership: when a leader steps down, and up to when each of its rights lasts.
#include "control/leadership.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::control {
namespace {

using plan::Instant;
using plan::Millis;

constexpr Millis kFence{30'000};

class LeadershipTest : public testing::Test {
 protected:
  LeadershipTest() { leadership_.begin_term(Term(7), Revision(3), now_); }

  Instant now_{Millis(1'000'000)};
  jobs::JobTable jobs_;
  Leadership leadership_{kFence};
};

TEST(LeadershipBeforeFirstTermTest, PermitsNothing) {
  const Leadership leadership(kFence);
  EXPECT_FALSE(leadership.is_leader());
  EXPECT_FALSE(leadership.can_renew_agent_leases(Instant()));
  EXPECT_FALSE(leadership.can_modify_cluster(Instant()));
}

TEST_F(LeadershipTest, CannotModifyClusterOnceLeaderLeaseMayHaveExpired) {
  EXPECT_TRUE(leadership_.can_modify_cluster(now_ + constants::kLeaderLeaseTtl - Millis(1)));
  EXPECT_FALSE(leadership_.can_modify_cluster(now_ + constants::kLeaderLeaseTtl));
}

TEST_F(LeadershipTest, CanRenewAgentLeasesUpToTheFence) {
  EXPECT_TRUE(leadership_.can_renew_agent_leases(now_ + kFence - Millis(1)));
  EXPECT_FALSE(leadership_.can_renew_agent_leases(now_ + kFence));
}

TEST_F(LeadershipTest, LastConfirmedIsTheOlderConfirmation) {
  leadership_.on_lease_confirmed(now_ + Millis(5'000));
  EXPECT_EQ(leadership_.last_confirmed(), now_);
  leadership_.on_records_confirmed(now_ + Millis(2'000), jobs_);
  EXPECT_EQ(leadership_.last_confirmed(), now_ + Millis(2'000));
}

TEST_F(LeadershipTest, OlderConfirmationIsIgnored) {
  leadership_.on_lease_confirmed(now_ - Millis(1));
  leadership_.on_records_confirmed(now_ - Millis(1), jobs_);
  EXPECT_EQ(leadership_.last_confirmed(), now_);
}

TEST_F(LeadershipTest, StepsDownOnlyForHigherTerm) {
  leadership_.observe_term(Term(7), "the test reports");
  EXPECT_TRUE(leadership_.is_leader());
  leadership_.observe_term(Term(8), "the test reports");
  EXPECT_FALSE(leadership_.is_leader());
}

TEST_F(LeadershipTest, IgnoresConflictOfWriteFromEarlierTerm) {
  leadership_.on_term_conflict(Revision(2));
  EXPECT_TRUE(leadership_.is_leader());
  leadership_.on_term_conflict(Revision(3));
  EXPECT_FALSE(leadership_.is_leader());
}

TEST_F(LeadershipTest, DefersToOthersAfterYielding) {
  EXPECT_FALSE(leadership_.should_yield(now_));
  leadership_.yield("requested by the test", now_);
  EXPECT_FALSE(leadership_.is_leader());
  EXPECT_TRUE(leadership_.should_yield(now_ + constants::kLeadershipYieldTimeout - Millis(1)));
  EXPECT_FALSE(leadership_.should_yield(now_ + constants::kLeadershipYieldTimeout));
}

}  // namespace
}  // namespace foxshunt::control
