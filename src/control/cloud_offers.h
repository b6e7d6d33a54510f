// Finds the cheapest kind of machine that can be rented for a task.
//
// A view for a single call: holds references to its arguments and must not be stored. Reads only, and does not call the
// cloud.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control/cluster_state.h"
#include "control/cloud_capacity_tracker.h"
#include "control/task_pricing.h"
#include "wire/messages.h"

namespace foxshunt::control {

class CloudOffers {
 public:
  struct Offer {
    CloudCapacityTracker::Kind kind;
    double price_per_task = 0;            // per hour, for the tasks that would run on it
    double price_per_task_when_full = 0;  // per hour, if as many tasks run on it as it can hold
    std::int64_t tasks_per_machine = 0;   // tasks that it can run at once
  };

  // `held`: the machines that the cluster has.
  CloudOffers(const ClusterState& cluster, const TaskPricing& pricing, const CloudCapacityTracker& capacity,
              const CloudCapacityTracker::HeldMachines& held, Instant now)
      : cluster_(cluster), pricing_(pricing), capacity_(capacity), held_(held), now_(now) {}

  // Returns the offer with the lowest price per task for `tasks` tasks of the job. None if nothing is on offer, or if
  // the full machine costs more per task than `max_price_ratio` times the lowest price of a task on any machine type.
  // `max_startup`: the longest acceptable time until a task runs on the machine.
  [[nodiscard]] std::optional<Offer> find_cheapest(const wire::JobSpec& spec, std::int64_t tasks,
                                                   double max_price_ratio, Millis max_startup = Millis::max()) const;

 private:
  // The offer of one kind; none if the job may not use it or the cloud is not expected to have it.
  [[nodiscard]] std::optional<Offer> make_offer(const wire::MachineType& type, const std::string& zone, bool spot,
                                                const wire::JobSpec& spec, std::int64_t tasks) const;

  const ClusterState& cluster_;
  const TaskPricing& pricing_;
  const CloudCapacityTracker& capacity_;
  const CloudCapacityTracker::HeldMachines& held_;
  Instant now_;
};

}  // namespace foxshunt::control
