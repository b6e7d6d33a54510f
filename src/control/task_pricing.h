// Prices and startup times of machines, from the point of view of a task or a job class.
//
// A view for a single call: holds references to the cluster state and the demand estimator, and must not be stored.
// Reads only.
#pragma once

#include <string>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "wire/messages.h"

namespace foxshunt::control {

// Price per hour of a machine of `type`.
[[nodiscard]] inline double hourly_price(const wire::MachineType& type, bool spot) {
  return spot ? type.spot_price : type.price;
}

class TaskPricing {
 public:
  TaskPricing(const ClusterState& cluster, const DemandEstimator& demand) : cluster_(cluster), demand_(demand) {}

  // The capacity of a machine of `type` that tasks of the job may use, see DemandEstimator::usable_capacity().
  [[nodiscard]] ResourceAmounts usable_capacity(const wire::JobSpec& spec, const wire::MachineType& type) const;
  // Lowest price per hour for one task of the job on any allowed machine type, whether available or not. Zero if the
  // job fits on none.
  [[nodiscard]] double lowest_task_price(const wire::JobSpec& spec) const;
  // Longest boot time of the machine types that the job may use, plus the time of the call to the cloud. Tasks wait
  // this long for a booting machine before another one is rented.
  [[nodiscard]] Millis max_boot_time(const wire::JobSpec& spec) const;
  // Estimated remaining boot time of a machine that is not up at the expected time.
  [[nodiscard]] Millis remaining_boot_time(const Machine& machine, Instant now) const;
  // Whether the job class has an objective that leaves no time to boot a machine. `sample`: a job of the class.
  [[nodiscard]] bool is_urgent_class(const std::string& job_class, const wire::JobSpec& sample) const;
  // How long the machine may be idle before it is returned.
  [[nodiscard]] Millis max_idle_time(const Machine& machine) const;

 private:
  // Shortest time from the request for a machine until a task of the job runs on it.
  [[nodiscard]] double shortest_startup_s(const wire::JobSpec& spec) const;
  // Whether the machine can run tasks of an urgent class at an acceptable price.
  [[nodiscard]] bool serves_urgent_class(const Machine& machine) const;

  const ClusterState& cluster_;
  const DemandEstimator& demand_;
};

}  // namespace foxshunt::control
