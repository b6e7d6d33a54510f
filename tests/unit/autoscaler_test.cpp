// Tests of Autoscaler: what is requested from the cloud for late tasks, and how its answers are processed.
#include "control/autoscaler.h"

#include "cluster_fixture.h"

namespace foxshunt::control {
namespace {

constexpr Term kTerm{7};

class AutoscalerTest : public ClusterFixture {
 protected:
  void size_fleet(const std::vector<Job*>& queue) { autoscaler_.size_fleet(cluster_, queue, deadlines_, now_); }

  Autoscaler autoscaler_;
  DeadlinePlanner deadlines_;
};

TEST_F(AutoscalerTest, ScalesOutForLateTasks) {
  Job& job = add_job(spec_of("j-000001", 6));
  job.late_tasks = 6;  // four fit on one machine
  size_fleet({&job});
  const auto request = autoscaler_.next_scale_out(cluster_, kTerm, now_);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->type, "plain");
  EXPECT_EQ(request->count, 2U);
}

TEST_F(AutoscalerTest, DoesNotScaleOutBeyondTheQuota) {
  Job& job = add_job(spec_of("j-000001", 100));
  job.late_tasks = 100;  // eight fit into the quota of 32 CPUs, four of them on one machine
  size_fleet({&job});
  const auto request = autoscaler_.next_scale_out(cluster_, kTerm, now_);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->count, 2U);
}

TEST_F(AutoscalerTest, RequestsNothingIfNoTaskIsLate) {
  Job& job = add_job(spec_of("j-000001", 6));
  size_fleet({&job});
  EXPECT_FALSE(autoscaler_.next_scale_out(cluster_, kTerm, now_));
  EXPECT_FALSE(autoscaler_.has_pending_cloud_work(cluster_));
}

TEST_F(AutoscalerTest, RequestsNothingIfSettingsForbidScaleOut) {
  cluster_.settings.operators.can_scale_out = false;
  Job& job = add_job(spec_of("j-000001", 6));
  job.late_tasks = 6;
  size_fleet({&job});
  EXPECT_FALSE(autoscaler_.next_scale_out(cluster_, kTerm, now_));
}

TEST_F(AutoscalerTest, AddsRentedMachinesAsBooting) {
  Job& job = add_job(spec_of("j-000001", 4));
  job.late_tasks = 4;
  size_fleet({&job});
  const auto request = autoscaler_.next_scale_out(cluster_, kTerm, now_);
  ASSERT_TRUE(request);
  autoscaler_.on_scaled_out(cluster_, *request, {MachineId("m-000009")}, now_);
  const Machine& machine = cluster_.machines.at(MachineId("m-000009"));
  EXPECT_EQ(machine.type, "plain");
  EXPECT_EQ(machine.ready, now_ + Millis(10'000));
  EXPECT_TRUE(cluster_.needs_planning);
}

// Guards against capacity of a zone that is cut off, which a new leader knows from the cloud's list alone.
TEST_F(AutoscalerTest, ListedMachinesOfAZoneThatIsCutOffAreNoCapacity) {
  cluster_.machine_types.push_back(
      {.name = "cards", .cpus = 16, .gpus = 2, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"b"}});
  for (const char* id : {"m-000001", "m-000002", "m-000003"}) add_listed_machine(id, "b", "cards");
  autoscaler_.record_gpu_demand(cluster_, now_);
  EXPECT_EQ(autoscaler_.demand().unclaimed_gpus(), 6 * plan::kUnitsPerWhole);
  const zone::ZoneObservation silent{.silent = 3};
  for (int observation = 0; observation < 2; ++observation) cluster_.zone_health.update({{"b", silent}}, now_);
  ASSERT_EQ(cluster_.zone_health.state_of("b"), zone::ZoneState::cut);
  autoscaler_.record_gpu_demand(cluster_, now_);
  EXPECT_EQ(autoscaler_.demand().unclaimed_gpus(), 0);
}

TEST_F(AutoscalerTest, SuccessorKeepsOnlyRefusals) {
  Job& job = add_job(spec_of("j-000001", 4));
  job.late_tasks = 4;
  size_fleet({&job});
  const auto request = autoscaler_.next_scale_out(cluster_, kTerm, now_);
  ASSERT_TRUE(request);
  autoscaler_.on_scale_out_refused(cluster_, *request, now_);
  const Autoscaler successor = autoscaler_.successor();
  EXPECT_EQ(successor.capacity().refusals().size(), 1U);
  EXPECT_FALSE(successor.capacity().has_wanted_machines());
}

}  // namespace
}  // namespace foxshunt::control
