// What machines cost and how long they take until they are up, as seen from one task or one class of jobs.
//
// A view for the length of a call: it holds references to the cluster state and to the demand that it was made of, owns
// nothing, changes nothing, and must not be stored. Pure.
#pragma once

#include <string>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "wire/messages.h"

namespace foxshunt::control {

[[nodiscard]] inline double hourly_price(const wire::MachineType& kind, bool spot) {
  return spot ? kind.spot_price : kind.price;
}

class TaskPricing {
 public:
  TaskPricing(const ClusterState& cluster, const DemandEstimator& demand) : cluster_(cluster), demand_(demand) {}

  // What a machine of the kind has for the job: work without GPUs leaves room for those that have use for them.
  [[nodiscard]] ResourceAmounts offered(const wire::JobSpec& spec, const wire::MachineType& kind) const;
  // An hour of the cheapest kind for one task of the job, whether there is one to rent or not.
  [[nodiscard]] double lowest_price(const wire::JobSpec& spec) const;
  // How long tasks of the job wait for a machine that boots rather than for another one to be rented.
  [[nodiscard]] Millis longest_boot(const wire::JobSpec& spec) const;
  // What is left of a boot that is late.
  [[nodiscard]] Millis remaining_boot(const Machine& machine, Instant now) const;
  // Whether a class has an objective that leaves no time for a boot.
  [[nodiscard]] bool is_urgent_class(const std::string& job_class, const wire::JobSpec& sample) const;
  // How long a machine is kept idle.
  [[nodiscard]] Millis max_idle(const Machine& machine) const;

 private:
  [[nodiscard]] double shortest_startup_s(const wire::JobSpec& spec) const;
  [[nodiscard]] bool serves_urgent_class(const Machine& machine) const;

  const ClusterState& cluster_;
  const DemandEstimator& demand_;
};

}  // namespace foxshunt::control
