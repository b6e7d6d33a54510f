// Which machines a job may be planned on, and how long each takes until a task of the job runs there.
//
// A view for the length of a call: it holds references to the cluster state and to the demand, owns nothing, changes nothing,
// and must not be stored. Pure.
#pragma once

#include <optional>
#include <vector>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/task_pricing.h"
#include "plan/planner.h"

namespace foxshunt::control {

class MachineFilter {
 public:
  MachineFilter(const ClusterState& cluster, const DemandEstimator& demand)
      : cluster_(cluster), demand_(demand), pricing_(cluster, demand) {}

  // Where the job may run at all, and what each machine has to do before it does.
  [[nodiscard]] std::vector<plan::EligibleMachine> places_for(const Job& job, Instant now) const;

 private:
  struct TypeFit;
  [[nodiscard]] std::vector<TypeFit> type_fits(const Job& job) const;
  [[nodiscard]] bool may_plan_on(const Job& job, const Machine& machine, Instant now) const;
  [[nodiscard]] bool leaves_gpu_room(const Job& job, const Machine& machine, const ResourceAmounts& offered,
                                     plan::MilliUnits& spare_gpus) const;
  [[nodiscard]] Millis preparation_time(const Job& job, const Machine& machine, Millis fetch, Instant now) const;
  // Whether pools leave the machine to the job. `warms`: the pool that its tasks are to warm.
  [[nodiscard]] bool do_pools_allow(const Job& job, std::optional<std::size_t> warms, const Machine& machine,
                                    Instant now) const;

  const ClusterState& cluster_;
  const DemandEstimator& demand_;
  TaskPricing pricing_;
};

}  // namespace foxshunt::control
