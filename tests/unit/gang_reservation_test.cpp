#include "control/gang_reservation.h"

#include <gtest/gtest.h>

#include <array>

#include "config/constants.h"

namespace foxshunt::control {
namespace {

using plan::Instant;
using plan::Millis;

const JobId kOlder("j-000009");
const JobId kYounger("j-000001");
const MachineId kMachine("m-000001");
constexpr Instant kNow(Millis(1'000'000));
const std::array kBoth{GangReservation::Candidate{.job = kYounger, .submitted = kNow - Millis(100'000)},
                       GangReservation::Candidate{.job = kOlder, .submitted = kNow - Millis(120'000)}};
const std::span<const GangReservation::Candidate> kOnlyYounger(kBoth.data(), 1);

TEST(Reservation, GoesToTheGangThatWasSubmittedFirst) {
  GangReservation reservation;
  reservation.choose(kBoth, kNow);
  EXPECT_TRUE(reservation.held_by(kOlder));
  EXPECT_FALSE(reservation.held_by(kYounger));
}

TEST(Reservation, KeepsZoneAndMachinesFromPassToPass) {
  GangReservation reservation;
  reservation.choose(kBoth, kNow);
  EXPECT_TRUE(reservation.zone().empty());
  reservation.plan("a", {kMachine});
  reservation.choose(kBoth, kNow + Millis(2000));
  EXPECT_EQ(reservation.zone(), "a");
  EXPECT_TRUE(reservation.keeps(kMachine));
}

// What waits beside a machine with room is not to wait for 90 s: neither behind one holder nor behind several in a row.
TEST(Reservation, EndsWithItsSpanAndPauses) {
  GangReservation reservation;
  reservation.choose(kBoth, kNow);
  reservation.plan("a", {kMachine});
  const Instant ended = kNow + constants::kMaxReservation;
  reservation.choose(kBoth, ended);
  EXPECT_FALSE(reservation.held_by(kOlder));
  EXPECT_FALSE(reservation.held_by(kYounger));
  EXPECT_FALSE(reservation.keeps(kMachine));
  EXPECT_TRUE(reservation.zone().empty());
  reservation.choose(kBoth, ended + constants::kReservationBackoff - Millis(1));
  EXPECT_FALSE(reservation.held_by(kOlder));
  reservation.choose(kBoth, ended + constants::kReservationBackoff);
  EXPECT_TRUE(reservation.held_by(kOlder));
}

TEST(Reservation, PassesOnAfterAPauseWhenTheHolderWaitsNoLonger) {
  GangReservation reservation;
  reservation.choose(kBoth, kNow);
  const Instant begun = kNow + Millis(5000);
  reservation.choose(kOnlyYounger, begun);
  EXPECT_FALSE(reservation.held_by(kOlder));
  EXPECT_FALSE(reservation.held_by(kYounger));
  reservation.choose(kOnlyYounger, begun + constants::kReservationBackoff);
  EXPECT_TRUE(reservation.held_by(kYounger));
}

TEST(Reservation, IsNobodysWithoutCandidates) {
  GangReservation reservation;
  reservation.choose({}, kNow);
  EXPECT_FALSE(reservation.held_by(kOlder));
}

}  // namespace
}  // namespace foxshunt::control
