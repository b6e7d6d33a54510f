#include "control/machine_housekeeper.h"

#include "cluster_fixture.h"
#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::control {
namespace {

class Housekeeping : public ClusterFixture {
 protected:
  Housekeeping()
      : leadership_(Millis(1'000'000)),
        housekeeper_(cluster_, leadership_, autoscaler_),
        machine_(add_machine("m-000001")) {
    leadership_.begin(Term(7), Revision(1), now_);
  }

  // Lets time pass in which the leader stays confirmed.
  void pass(Millis span) {
    now_ += span;
    leadership_.on_lease_confirmed(now_);
    leadership_.on_records_confirmed(now_, cluster_.jobs);
  }

  Leadership leadership_;
  Autoscaler autoscaler_;
  MachineHousekeeper housekeeper_;
  Machine& machine_;
};

TEST_F(Housekeeping, TasksOfAMachineWhoseLeaseHasEndedAreConfirmedTerminated) {
  Job& job = add_job(spec_of("j-000001", 1));
  place(job, 0, machine_);
  pass(lease_span(cluster_.settings) - Millis(1));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(job.allocation_count, 1U);
  pass(Millis(1'000));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(job.allocation_count, 0U);
  EXPECT_TRUE(machine_.expired);
}

TEST_F(Housekeeping, ADrainedMachineIsReturnedOnceItIsEmpty) {
  Job& job = add_job(spec_of("j-000001", 1));
  place(job, 0, machine_);
  machine_.state = MachineState::draining;
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::draining);
  TaskLifecycle(cluster_, leadership_).confirm_terminated(job, 0, "a test says so", now_);
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::returning);
}

TEST_F(Housekeeping, AMachineThatStaysIdleIsReturned) {
  cluster_.settings.operators.idle_return_s = 5;
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.idle_since, now_);
  pass(Millis(5'001));
  housekeeper_.review_machines(now_);
  EXPECT_EQ(machine_.state, MachineState::returning);
  EXPECT_EQ(machine_.release_reason, "it is idle");
}

TEST_F(Housekeeping, AMachineThatOnlyARecordTellsOfIsForgottenWhenNoListNamesIt) {
  cluster_.know_machine(MachineId("m-000002"), now_);
  housekeeper_.review_machines(now_ + Millis(3'600'000));
  EXPECT_FALSE(cluster_.machines.contains(MachineId("m-000002")));
}

}  // namespace
}  // namespace foxshunt::control
