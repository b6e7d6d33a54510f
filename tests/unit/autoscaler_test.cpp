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
