// ZoneHealthMonitor: when a zone counts as cut off or lost, when it does not, and how it returns to service.
#include "zone/zone_health.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::zone {
namespace {

constexpr Millis kUpdateInterval{350};

// One zone "b", observed at the leader's update interval. observe() repeats the observation for `span`.
class SimulatedZone {
 public:
  void observe(const ZoneObservation& seen, Millis span = kUpdateInterval) {
    for (const Instant until = now_ + span; now_ < until; now_ += kUpdateInterval)
      changes_ += monitor_.update({{"b", seen}}, now_).size();
  }
  [[nodiscard]] ZoneState state() const { return monitor_.state_of("b"); }
  [[nodiscard]] std::size_t changes() const { return changes_; }
  [[nodiscard]] const ZoneHealthMonitor& monitor() const { return monitor_; }
  [[nodiscard]] Instant now() const { return now_; }

 private:
  ZoneHealthMonitor monitor_;
  Instant now_{Millis(1'000'000)};
  std::size_t changes_ = 0;
};

const ZoneObservation kHealthy{.heard = 20, .sibling = true, .sibling_silent = Millis(500)};
const ZoneObservation kSilent{.silent = 20, .tasks = 40, .sibling = true, .sibling_silent = Millis(9000)};
const ZoneObservation kEnded{.ended = 20, .sibling = true, .sibling_silent = Millis(60'000)};

TEST(ZoneHealthMonitorTest, ManySilentMachinesAreOneEvent) {
  SimulatedZone zone;
  zone.observe(kHealthy);
  zone.observe(kSilent, Millis(20'000));
  EXPECT_EQ(zone.state(), ZoneState::cut);
  EXPECT_EQ(zone.changes(), 2U) << "doubtful, then cut off";
  zone.observe(kEnded);
  EXPECT_EQ(zone.state(), ZoneState::lost);
  EXPECT_EQ(zone.changes(), 3U);
}

TEST(ZoneHealthMonitorTest, FewSilentMachinesLeaveTheZoneWhole) {
  SimulatedZone zone;
  zone.observe({.heard = 18, .silent = 2, .sibling = true, .sibling_silent = Millis(9000)}, Millis(60'000));
  EXPECT_EQ(zone.state(), ZoneState::whole);
  zone.observe({.heard = 0, .silent = 2}, Millis(60'000));
  EXPECT_EQ(zone.state(), ZoneState::whole) << "two machines may fail independently";
}

TEST(ZoneHealthMonitorTest, ZoneIsNotCutOffWhileItsControllerIsHeard) {
  SimulatedZone zone;
  zone.observe({.silent = 20, .sibling = true, .sibling_silent = Millis(300)}, Millis(60'000));
  EXPECT_EQ(zone.state(), ZoneState::doubtful);
}

TEST(ZoneHealthMonitorTest, OwnZoneIsNeverCutOff) {
  SimulatedZone zone;
  zone.observe({.silent = 20, .own = true}, Millis(60'000));
  EXPECT_EQ(zone.state(), ZoneState::doubtful);
}

TEST(ZoneHealthMonitorTest, ZoneWithoutControllerIsJudgedByItsMachines) {
  SimulatedZone zone;
  zone.observe({.silent = 5}, Millis(1000));
  EXPECT_EQ(zone.state(), ZoneState::cut);
  EXPECT_FALSE(zone.monitor().is_healthy("b"));
  zone.observe({.heard = 5}, kUpdateInterval);
  EXPECT_EQ(zone.state(), ZoneState::returning);
}

TEST(ZoneHealthMonitorTest, ZoneWithoutMachinesIsWhole) {
  SimulatedZone zone;
  zone.observe({}, Millis(60'000));
  EXPECT_EQ(zone.state(), ZoneState::whole);
  EXPECT_EQ(zone.monitor().state_of("none"), ZoneState::whole);
}

// Guards against a zone that stays cut off, and gets no machines, after all machines that were missing turn out deleted.
TEST(ZoneHealthMonitorTest, ZoneIsWholeOnceNoMachineIsMissing) {
  SimulatedZone zone;
  zone.observe({.silent = 4}, Millis(10'000));
  ASSERT_EQ(zone.state(), ZoneState::cut);
  zone.observe({});
  EXPECT_EQ(zone.state(), ZoneState::whole);
}

// Guards against a zone that stays `returning`, and gets neither machines nor tasks, as most of its machines have failed.
TEST(ZoneHealthMonitorTest, ZoneDoesNotStayReturningForFailedMachines) {
  const ZoneObservation partly_back{.heard = 2, .ended = 4, .sibling = true, .sibling_silent = Millis(500)};
  SimulatedZone zone;
  zone.observe(kSilent, Millis(20'000));
  zone.observe(partly_back, constants::kZoneRecoveryTimeout);
  ASSERT_EQ(zone.state(), ZoneState::returning);
  EXPECT_TRUE(zone.monitor().retains_silent_machines("b", zone.now()));
  zone.observe(partly_back, kUpdateInterval * 2);
  EXPECT_EQ(zone.state(), ZoneState::doubtful);
  EXPECT_TRUE(zone.monitor().accepts_tasks("b"));
  EXPECT_FALSE(zone.monitor().retains_silent_machines("b", zone.now()));
  zone.observe({.heard = 2, .sibling = true, .sibling_silent = Millis(500)});
  EXPECT_EQ(zone.state(), ZoneState::whole);
}

TEST(ZoneHealthMonitorTest, ReturningZoneHasASettlingInterval) {
  SimulatedZone zone;
  zone.observe(kSilent, Millis(2000));
  zone.observe(kHealthy);
  EXPECT_EQ(zone.state(), ZoneState::returning);
  EXPECT_FALSE(zone.monitor().accepts_tasks("b"));
  EXPECT_FALSE(zone.monitor().is_healthy("b"));
  zone.observe(kHealthy, constants::kZoneSettleInterval + kUpdateInterval);
  EXPECT_EQ(zone.state(), ZoneState::whole);
}

TEST(ZoneHealthMonitorTest, FlappingZoneIsEvacuatedOncePerSettlingInterval) {
  SimulatedZone zone;
  zone.observe(kSilent, Millis(1400));
  EXPECT_TRUE(zone.monitor().should_evacuate("b"));
  zone.observe(kHealthy, kUpdateInterval);
  zone.observe(kSilent, Millis(1400));
  EXPECT_FALSE(zone.monitor().should_evacuate("b")) << "again within the settling interval";
  EXPECT_EQ(zone.monitor().standings().at("b").settle_interval, constants::kZoneSettleInterval * 2);
  for (int flap = 0; flap < 10; ++flap) {
    zone.observe(kHealthy, kUpdateInterval);
    zone.observe(kSilent, Millis(1400));
  }
  EXPECT_EQ(zone.monitor().standings().at("b").settle_interval, constants::kMaxZoneSettleInterval);
  zone.observe(kHealthy, constants::kMaxZoneSettleInterval + kUpdateInterval * 2);
  ASSERT_EQ(zone.state(), ZoneState::whole);
  zone.observe(kHealthy, constants::kZoneSteadyInterval * 6);
  EXPECT_EQ(zone.monitor().standings().at("b").settle_interval, constants::kZoneSettleInterval);
  zone.observe(kSilent, Millis(1400));
  EXPECT_TRUE(zone.monitor().should_evacuate("b"));
}

TEST(ZoneHealthMonitorTest, SilentMachinesAreRetainedForATimeAfterALoss) {
  SimulatedZone zone;
  zone.observe(kSilent, Millis(1400));
  EXPECT_TRUE(zone.monitor().retains_silent_machines("b", zone.now()));
  zone.observe(kEnded, Millis(1000));
  EXPECT_TRUE(zone.monitor().retains_silent_machines("b", zone.now()));
  zone.observe(kEnded, constants::kZoneMachineRetention);
  EXPECT_FALSE(zone.monitor().retains_silent_machines("b", zone.now()));
  EXPECT_EQ(zone.state(), ZoneState::lost);
  // After all machines are returned, only a new rental can show that the zone is available again.
  zone.observe({.sibling = true, .sibling_silent = Millis(200'000)}, kUpdateInterval);
  EXPECT_EQ(zone.state(), ZoneState::whole);
}

}  // namespace
}  // namespace foxshunt::zone
