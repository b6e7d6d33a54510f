// ZoneCoordinator: which machines count as missing from a zone, and for how long.
#include "control/zone_coordinator.h"

#include "cluster_fixture.h"
#include "control/times.h"

namespace foxshunt::control {
namespace {

// Zone "b" has four machines that the cloud lists as running and that have not reported to this leader.
class ZoneCoordinatorTest : public ClusterFixture {
 protected:
  ZoneCoordinatorTest() : leadership_(Millis(1'000'000)), zones_(cluster_, leadership_) {
    leadership_.begin_term(Term(7), Revision(1), now_);
    for (const char* id : {"m-000001", "m-000002", "m-000003", "m-000004"}) add_listed_machine(id, "b");
    now_ += heartbeat_reroute_timeout(cluster_.settings) + Millis(1);
  }

  // Observes the zones twice, as each observation changes a zone's state at most once. Returns the state of zone "b".
  zone::ZoneState observe() {
    zones_.observe_zones(now_);
    zones_.observe_zones(now_);
    return cluster_.zone_health.state_of("b");
  }
  [[nodiscard]] const zone::ZoneObservation& seen() const { return cluster_.zone_health.standings().at("b").seen; }

  Leadership leadership_;
  ZoneCoordinator zones_;
};

// Guards against a zone that stays cut off for machines that the cloud has deleted.
TEST_F(ZoneCoordinatorTest, DeletedMachinesAreNotMissing) {
  cluster_.older_leaders_until = now_ + Millis(30'000);
  ASSERT_EQ(observe(), zone::ZoneState::cut);
  cluster_.machines.mark_deleted({}, now_);
  EXPECT_EQ(observe(), zone::ZoneState::whole);
}

TEST_F(ZoneCoordinatorTest, ADeletedMachineIsMissingWhileItsTasksMayRun) {
  cluster_.older_leaders_until = now_ + Millis(30'000);
  ASSERT_EQ(observe(), zone::ZoneState::cut);
  place(add_job(spec_of("j-000001", 1)), 0, cluster_.machines.at(MachineId("m-000001")));
  cluster_.machines.mark_deleted({}, now_);
  EXPECT_EQ(observe(), zone::ZoneState::cut);
  EXPECT_EQ(seen().silent, 1U);
  EXPECT_EQ(seen().tasks, 1U);
}

// Guards against a zone that stays cut off for machines that exist, hang and have never reported to this leader.
TEST_F(ZoneCoordinatorTest, UnreportedMachinesAreLostOnceTheirLeasesHaveEnded) {
  cluster_.older_leaders_until = now_ + Millis(30'000);
  now_ = cluster_.older_leaders_until + agent_lease_timeout(cluster_.settings);
  EXPECT_EQ(observe(), zone::ZoneState::cut);
  EXPECT_EQ(seen().silent, 4U);
  now_ += Millis(1);
  EXPECT_EQ(observe(), zone::ZoneState::lost);
  EXPECT_EQ(seen().ended, 4U);
}

}  // namespace
}  // namespace foxshunt::control
