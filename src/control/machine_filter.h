// Selects the machines on which a job may be planned, and computes how long each takes until a task of the job can run
// there.
//
// Holds references to the cluster state and the demand estimator, owns and changes nothing, and must not outlive the
// call that created it. Performs no I/O and reads no clock.
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

  // Returns the machines on which the job may run, in the order of their ids, each with its preparation time.
  [[nodiscard]] std::vector<plan::EligibleMachine> find_candidate_places(const Job& job, Instant now) const;

 private:
  struct TypeFit;
  // Evaluates each machine type for the job.
  [[nodiscard]] std::vector<TypeFit> evaluate_types(const Job& job) const;
  // Whether the machine is available to the job by state, zone and spot. Ignores its type and its allocations.
  [[nodiscard]] bool is_machine_eligible(const Job& job, const Machine& machine, Instant now) const;
  // Whether a job without GPUs leaves the machine enough CPU and memory for GPU work. If the job takes a whole GPU
  // machine, the machine's GPUs are subtracted from `spare_gpus`.
  [[nodiscard]] bool leaves_gpu_room(const Job& job, const Machine& machine, const ResourceAmounts& offered,
                                     plan::AmountUnits& spare_gpus) const;
  // How long the machine takes to boot and to fetch the job's image before a task of the job can run. `image_fetch`:
  // the fetch time on a machine of this type.
  [[nodiscard]] Millis preparation_time(const Job& job, const Machine& machine, Millis image_fetch, Instant now) const;
  // Whether the pools admit the job to the machine. `warmed_pool`: the pool whose image caches the job's tasks are to
  // warm, if any.
  [[nodiscard]] bool is_allowed_by_pools(const Job& job, std::optional<std::size_t> warmed_pool, const Machine& machine,
                                         Instant now) const;

  const ClusterState& cluster_;
  const DemandEstimator& demand_;
  TaskPricing pricing_;
};

}  // namespace foxshunt::control
