// Tests of MachineHousekeeper: lease expiry, and the return and removal of machines.
#include "control/machine_housekeeper.h"

#include "cluster_fixture.h"
#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::control {
namespace {

class MachineHousekeeperTest : public ClusterFixture {
 protected:
  MachineHousekeeperTest()
      : leadership_(Millis(1'000'000)),
        housekeeper_(cluster_, leadership_, autoscaler_),
        machine_(add_machine("m-000001")) {
    leadership_.begin_term(Term(7), Revision(1), now_);
  }

  // Advances the time and confirms leadership at the new time.
  void advance_time(Millis span) {
    now_ += span;
    leadership_.on_lease_confirmed(now_);
    leadership_.on_records_confirmed(now_, cluster_.jobs);
  }

  Leadership leadership_;
  Autoscaler autoscaler_;
  MachineHousekeeper housekeeper_;
  Machine& machine_;
};

TEST_F(MachineHousekeeperTest, ConfirmsTerminationOfTasksAfterLeaseExpiry) {
  Job& job = add_job(spec_of("j-000001", 1));
  place(job, 0, machine_);
  advance_time(agent_lease_timeout(cluster_.settings) - Millis(1));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(job.allocation_count, 1U);
  advance_time(Millis(1'000));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(job.allocation_count, 0U);
  EXPECT_TRUE(machine_.expired);
}

TEST_F(MachineHousekeeperTest, ReturnsDrainedMachineOnceItIsEmpty) {
  Job& job = add_job(spec_of("j-000001", 1));
  place(job, 0, machine_);
  machine_.state = MachineState::draining;
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::draining);
  TaskLifecycle(cluster_, leadership_).confirm_terminated(job, 0, "requested by the test", now_);
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::returning);
}

TEST_F(MachineHousekeeperTest, ReturnsIdleMachine) {
  cluster_.settings.operators.idle_return_s = 5;
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.idle_since, now_);
  advance_time(Millis(5'001));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::returning);
  EXPECT_EQ(machine_.release_reason, "it is idle");
}

TEST_F(MachineHousekeeperTest, ForgetsMachineThatNeitherReportsNorIsListed) {
  cluster_.find_or_add_machine(MachineId("m-000002"), now_);
  housekeeper_.review_machines(now_ + Millis(3'600'000));
  EXPECT_FALSE(cluster_.machines.contains(MachineId("m-000002")));
}

// Guards against machines that count for ever after the cloud has deleted them, known from an outdated list alone.
TEST_F(MachineHousekeeperTest, ForgetsADeletedMachineThatNeverReported) {
  Machine& deleted = add_listed_machine("m-000002");
  deleted.listed.deleted = true;
  housekeeper_.review_machines(now_);
  EXPECT_FALSE(cluster_.machines.contains(MachineId("m-000002")));
}

TEST_F(MachineHousekeeperTest, KeepsADeletedMachineWhileItsTasksMayRun) {
  Machine& deleted = add_listed_machine("m-000002");
  deleted.listed.deleted = true;
  place(add_job(spec_of("j-000001", 1)), 0, deleted);
  cluster_.older_leaders_until = now_ + Millis(5'000);
  advance_time(Millis(5'000) + agent_lease_timeout(cluster_.settings));
  housekeeper_.review_machines(now_);
  EXPECT_TRUE(cluster_.machines.contains(MachineId("m-000002")));
  EXPECT_EQ(cluster_.jobs.at(JobId("j-000001")).allocation_count, 1U);
  advance_time(Millis(1));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(cluster_.jobs.at(JobId("j-000001")).allocation_count, 0U);
  EXPECT_FALSE(cluster_.machines.contains(MachineId("m-000002")));
}

}  // namespace
}  // namespace foxshunt::control
