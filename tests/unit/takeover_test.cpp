// Before the first decision, and on the way to the former rate of starts: each check and each phase by itself.
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

control::Readiness ready() {
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

TEST(Readiness, NothingIsMissing) { EXPECT_FALSE(control::first_unmet_condition(ready(), kNow)); }

TEST(Readiness, TheTermRecordReadBackIsOurs) {
  control::Readiness found = ready();
  found.record.reset();
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "term-read-back");
  found = ready();
  found.record->leader = NodeName("node-2");
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "term-read-back");
  found = ready();
  found.record->term = Term(5);
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "term-read-back");
  // An earlier life of the same name took the same term by another write.
  found = ready();
  found.record_revision = Revision(76);
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "term-read-back");
}

TEST(Readiness, TheRecordsReachTheTerm) {
  control::Readiness found = ready();
  found.records_revision = Revision(76);
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "records-at-term");
}

// The time of day was set ahead during the takeover: the older fence would be taken for over too soon.
TEST(Readiness, OlderFencesAreReckoned) {
  control::Readiness found = ready();
  found.older_leaders_until -= Millis(1);
  EXPECT_EQ(control::first_unmet_condition(found, kNow), "fences-reckoned");
}

// The process stood still between the lease's confirmation and now.
TEST(Readiness, TheLeaseIsConfirmedByTheClockAsItIsNow) {
  EXPECT_EQ(control::first_unmet_condition(ready(), kNow + constants::kLeaderLeaseTtl), "lease-confirmed");
}

TEST(FailoverTimeline, AreReckonedFromTheLastSignOfLife) {
  standby::FailoverTimeline phases;
  phases.noticed(kNow - Millis(90'000));  // when the process began; somebody took it
  phases.sign(kNow);
  phases.noticed(kNow + Millis(4000));
  phases.noticed(kNow + Millis(4500));
  phases.led(Term(4), kNow + Millis(4600), kNow + Millis(4700), 2.0);
  phases.hinted(12, 2.0);
  EXPECT_FALSE(phases.line(kNow + Millis(4800)));
  phases.reached(Phase::heard, kNow + Millis(4900));
  phases.reached(Phase::heard, kNow + Millis(9900));
  phases.started(3, kNow + Millis(5000));
  EXPECT_EQ(phases.span(Phase::noticed), Millis(4000));
  EXPECT_EQ(phases.span(Phase::heard), Millis(4900));
  EXPECT_EQ(phases.span(Phase::started), Millis(5000));
  EXPECT_FALSE(phases.span(Phase::rate)) << "two a second are ten in five";
  phases.started(7, kNow + Millis(6000));
  EXPECT_EQ(phases.span(Phase::rate), Millis(6000));
  const auto line = phases.line(kNow + Millis(6100));
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("takeover term=4 hints=12 noticed_ms=4000 took_ms=4600"), std::string::npos) << *line;
  EXPECT_NE(line->find("placed_ms=never started_ms=5000 rate_ms=6000"), std::string::npos) << *line;
  EXPECT_FALSE(phases.line(kNow + Millis(99'000))) << "once";
}

TEST(FailoverTimeline, ATakeoverThatComesToNothingIsToldAfterAWhile) {
  standby::FailoverTimeline phases;
  phases.led(Term(4), kNow, kNow, std::nullopt);
  EXPECT_FALSE(phases.line(kNow + constants::kFailoverWatchTimeout - Millis(1)));
  const auto line = phases.line(kNow + constants::kFailoverWatchTimeout);
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("hints=none"), std::string::npos) << *line;
  EXPECT_NE(line->find("rate_ms=never former_starts_s=unknown"), std::string::npos) << *line;
}

}  // namespace
}  // namespace foxshunt
