// Whether zones are there: what is one event, what is none, and how a zone comes back.
#include "zone/zone_health.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::zone {
namespace {

constexpr Millis kLook{350};

// A zone that is looked at as often as the leader does, until it is said otherwise.
class OneZone {
 public:
  void look(const ZoneObservation& seen, Millis span = kLook) {
    for (const Instant until = now_ + span; now_ < until; now_ += kLook)
      changes_ += view_.look({{"b", seen}}, now_).size();
  }
  [[nodiscard]] State state() const { return view_.of("b"); }
  [[nodiscard]] std::size_t changes() const { return changes_; }
  [[nodiscard]] const ZoneHealthMonitor& view() const { return view_; }
  [[nodiscard]] Instant now() const { return now_; }

 private:
  ZoneHealthMonitor view_;
  Instant now_{Millis(1'000'000)};
  std::size_t changes_ = 0;
};

const ZoneObservation kWhole{.heard = 20, .sibling = true, .sibling_silent = Millis(500)};
const ZoneObservation kGone{.silent = 20, .tasks = 40, .sibling = true, .sibling_silent = Millis(9000)};
const ZoneObservation kEnded{.ended = 20, .sibling = true, .sibling_silent = Millis(60'000)};

TEST(ZoneView, TwentyMachinesAreOneEvent) {
  OneZone zone;
  zone.look(kWhole);
  zone.look(kGone, Millis(20'000));
  EXPECT_EQ(zone.state(), State::cut);
  EXPECT_EQ(zone.changes(), 2U) << "doubtful, then cut off";
  zone.look(kEnded);
  EXPECT_EQ(zone.state(), State::lost);
  EXPECT_EQ(zone.changes(), 3U);
}

TEST(ZoneView, AFewMachinesAreNotTheZone) {
  OneZone zone;
  zone.look({.heard = 18, .silent = 2, .sibling = true, .sibling_silent = Millis(9000)}, Millis(60'000));
  EXPECT_EQ(zone.state(), State::whole);
  zone.look({.heard = 0, .silent = 2}, Millis(60'000));
  EXPECT_EQ(zone.state(), State::whole) << "two machines may well fail by chance";
}

TEST(ZoneView, MachinesThatDieWhereTheControllerIsHeardDoNotCutItOff) {
  OneZone zone;
  zone.look({.silent = 20, .sibling = true, .sibling_silent = Millis(300)}, Millis(60'000));
  EXPECT_EQ(zone.state(), State::doubtful);
}

TEST(ZoneView, TheOwnZoneIsNeverCutOff) {
  OneZone zone;
  zone.look({.silent = 20, .own = true}, Millis(60'000));
  EXPECT_EQ(zone.state(), State::doubtful);
}

TEST(ZoneView, WithoutAControllerTheMachinesTell) {
  OneZone zone;
  zone.look({.silent = 5}, Millis(1000));
  EXPECT_EQ(zone.state(), State::cut);
  EXPECT_FALSE(zone.view().trusted("b"));
  zone.look({.heard = 5}, kLook);
  EXPECT_EQ(zone.state(), State::returning);
}

TEST(ZoneView, AZoneWithoutMachinesIsWhole) {
  OneZone zone;
  zone.look({}, Millis(60'000));
  EXPECT_EQ(zone.state(), State::whole);
  EXPECT_EQ(zone.view().of("none"), State::whole);
}

TEST(ZoneView, ReturnTakesASettlingTime) {
  OneZone zone;
  zone.look(kGone, Millis(2000));
  zone.look(kWhole);
  EXPECT_EQ(zone.state(), State::returning);
  EXPECT_FALSE(zone.view().takes_work("b"));
  EXPECT_FALSE(zone.view().trusted("b"));
  zone.look(kWhole, constants::kZoneSettleInterval + kLook);
  EXPECT_EQ(zone.state(), State::whole);
}

TEST(ZoneView, AFlappingZoneIsLeftOnceInASettlingTimeThatDoublesAndDecays) {
  OneZone zone;
  zone.look(kGone, Millis(1400));
  EXPECT_TRUE(zone.view().leaves("b"));
  zone.look(kWhole, kLook);
  zone.look(kGone, Millis(1400));
  EXPECT_FALSE(zone.view().leaves("b")) << "again within the settling time";
  EXPECT_EQ(zone.view().standings().at("b").settle, constants::kZoneSettleInterval * 2);
  for (int flap = 0; flap < 10; ++flap) {
    zone.look(kWhole, kLook);
    zone.look(kGone, Millis(1400));
  }
  EXPECT_EQ(zone.view().standings().at("b").settle, constants::kMaxZoneSettleInterval);
  zone.look(kWhole, constants::kMaxZoneSettleInterval + kLook * 2);
  ASSERT_EQ(zone.state(), State::whole);
  zone.look(kWhole, constants::kZoneSteadyInterval * 6);
  EXPECT_EQ(zone.view().standings().at("b").settle, constants::kZoneSettleInterval);
  zone.look(kGone, Millis(1400));
  EXPECT_TRUE(zone.view().leaves("b"));
}

TEST(ZoneView, SilentMachinesAreKeptForAWhileAfterALoss) {
  OneZone zone;
  zone.look(kGone, Millis(1400));
  EXPECT_TRUE(zone.view().keeps("b", zone.now()));
  zone.look(kEnded, Millis(1000));
  EXPECT_TRUE(zone.view().keeps("b", zone.now()));
  zone.look(kEnded, constants::kZoneMachineRetention);
  EXPECT_FALSE(zone.view().keeps("b", zone.now()));
  EXPECT_EQ(zone.state(), State::lost);
  // With all machines given back only renting can show that it is there again.
  zone.look({.sibling = true, .sibling_silent = Millis(200'000)}, kLook);
  EXPECT_EQ(zone.state(), State::whole);
}

}  // namespace
}  // namespace foxshunt::zone
