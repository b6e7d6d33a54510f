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

TEST(GangReservationTest, GoesToTheGangThatWasSubmittedFirst) {
  GangReservation reservation;
  reservation.choose_holder(kBoth, kNow);
  EXPECT_TRUE(reservation.is_held_by(kOlder));
  EXPECT_FALSE(reservation.is_held_by(kYounger));
}

TEST(GangReservationTest, KeepsZoneAndMachinesFromPassToPass) {
  GangReservation reservation;
  reservation.choose_holder(kBoth, kNow);
  EXPECT_TRUE(reservation.zone().empty());
  reservation.record_plan("a", {kMachine});
  reservation.choose_holder(kBoth, kNow + Millis(2000));
  EXPECT_EQ(reservation.zone(), "a");
  EXPECT_TRUE(reservation.is_machine_kept(kMachine));
}

// Other jobs must not wait 90 s while a machine has room for them, neither for one holder nor for several in a row. So
// a reservation ends after kMaxReservation, and no gang holds one during the backoff.
TEST(GangReservationTest, EndsAfterItsMaximumDurationAndBacksOff) {
  GangReservation reservation;
  reservation.choose_holder(kBoth, kNow);
  reservation.record_plan("a", {kMachine});
  const Instant ended = kNow + constants::kMaxReservation;
  reservation.choose_holder(kBoth, ended);
  EXPECT_FALSE(reservation.is_held_by(kOlder));
  EXPECT_FALSE(reservation.is_held_by(kYounger));
  EXPECT_FALSE(reservation.is_machine_kept(kMachine));
  EXPECT_TRUE(reservation.zone().empty());
  reservation.choose_holder(kBoth, ended + constants::kReservationBackoff - Millis(1));
  EXPECT_FALSE(reservation.is_held_by(kOlder));
  reservation.choose_holder(kBoth, ended + constants::kReservationBackoff);
  EXPECT_TRUE(reservation.is_held_by(kOlder));
}

TEST(GangReservationTest, GoesToTheNextGangAfterABackoffWhenTheHolderIsNoCandidate) {
  GangReservation reservation;
  reservation.choose_holder(kBoth, kNow);
  const Instant begun = kNow + Millis(5000);
  reservation.choose_holder(kOnlyYounger, begun);
  EXPECT_FALSE(reservation.is_held_by(kOlder));
  EXPECT_FALSE(reservation.is_held_by(kYounger));
  reservation.choose_holder(kOnlyYounger, begun + constants::kReservationBackoff);
  EXPECT_TRUE(reservation.is_held_by(kYounger));
}

TEST(GangReservationTest, HasNoHolderWithoutCandidates) {
  GangReservation reservation;
  reservation.choose_holder({}, kNow);
  EXPECT_FALSE(reservation.is_held_by(kOlder));
}

}  // namespace
}  // namespace foxshunt::control
