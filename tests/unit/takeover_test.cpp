// Tests of the readiness conditions of a new leader, each failing on its own, and of the phases of a failover.
#include <gtest/gtest.h>

#include "config/constants.h"
#include "control/readiness.h"
#include "standby/phases.h"

namespace foxshunt {
namespace {

using plan::Instant;
using plan::Millis;
using standby::Phase;

const Instant kNow{Millis(9'000'000)};

control::Readiness make_readiness() {
  return {.self = NodeName("node-1"),
          .term = Term(4),
          .term_revision = Revision(77),
          .record = state::TermRecord{.term = Term(4), .leader = NodeName("node-1")},
          .record_revision = Revision(77),
          .records_revision = Revision(80),
          .lease_renewal_requested = kNow - Millis(500),
          .older_leaders_until = kNow + Millis(9000),
          .min_older_leaders_until = kNow + Millis(9000)};
}

TEST(Readiness, AllConditionsAreMet) { EXPECT_FALSE(control::first_unmet_condition(make_readiness(), kNow)); }

TEST(Readiness, RequiresItsOwnTermRecord) {
  control::Readiness readiness = make_readiness();
  readiness.record.reset();
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "term-read-back");
  readiness = make_readiness();
  readiness.record->leader = NodeName("node-2");
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "term-read-back");
  readiness = make_readiness();
  readiness.record->term = Term(5);
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "term-read-back");
  // A previous process with the same node name acquired the same term by another write.
  readiness = make_readiness();
  readiness.record_revision = Revision(76);
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "term-read-back");
}

TEST(Readiness, RequiresRecordsUpToTheTermRevision) {
  control::Readiness readiness = make_readiness();
  readiness.records_revision = Revision(76);
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "records-at-term");
}

// If the wall clock is set forward during a failover, the end of the older leaders' fence is computed too early.
TEST(Readiness, RequiresOlderFencesInFull) {
  control::Readiness readiness = make_readiness();
  readiness.older_leaders_until -= Millis(1);
  EXPECT_EQ(control::first_unmet_condition(readiness, kNow), "fences-reckoned");
}

// The process was suspended between the lease confirmation and now.
TEST(Readiness, RequiresALeaseConfirmationThatIsStillValid) {
  EXPECT_EQ(control::first_unmet_condition(make_readiness(), kNow + constants::kLeaderLeaseTtl), "lease-confirmed");
}

TEST(FailoverTimeline, MeasuresPhasesFromTheLastSignOfTheOldLeader) {
  standby::FailoverTimeline timeline;
  timeline.noticed(kNow - Millis(90'000));  // at process start; another node became leader then
  timeline.sign(kNow);
  timeline.noticed(kNow + Millis(4000));
  timeline.noticed(kNow + Millis(4500));
  timeline.led(Term(4), kNow + Millis(4600), kNow + Millis(4700), 2.0);
  timeline.hinted(12, 2.0);
  EXPECT_FALSE(timeline.line(kNow + Millis(4800)));
  timeline.reached(Phase::heard, kNow + Millis(4900));
  timeline.reached(Phase::heard, kNow + Millis(9900));
  timeline.started(3, kNow + Millis(5000));
  EXPECT_EQ(timeline.span(Phase::noticed), Millis(4000));
  EXPECT_EQ(timeline.span(Phase::heard), Millis(4900));
  EXPECT_EQ(timeline.span(Phase::started), Millis(5000));
  EXPECT_FALSE(timeline.span(Phase::rate)) << "a rate of 2 starts per second requires 10 starts within 5 s";
  timeline.started(7, kNow + Millis(6000));
  EXPECT_EQ(timeline.span(Phase::rate), Millis(6000));
  const auto line = timeline.line(kNow + Millis(6100));
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("takeover term=4 hints=12 noticed_ms=4000 took_ms=4600"), std::string::npos) << *line;
  EXPECT_NE(line->find("placed_ms=never started_ms=5000 rate_ms=6000"), std::string::npos) << *line;
  EXPECT_FALSE(timeline.line(kNow + Millis(99'000))) << "the line is logged only once";
}

TEST(FailoverTimeline, ReportsAnIncompleteFailoverAfterATimeout) {
  standby::FailoverTimeline timeline;
  timeline.led(Term(4), kNow, kNow, std::nullopt);
  EXPECT_FALSE(timeline.line(kNow + constants::kFailoverWatchTimeout - Millis(1)));
  const auto line = timeline.line(kNow + constants::kFailoverWatchTimeout);
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("hints=none"), std::string::npos) << *line;
  EXPECT_NE(line->find("rate_ms=never former_starts_s=unknown"), std::string::npos) << *line;
}

}  // namespace
}  // namespace foxshunt
