// Which machines the cloud may have for a task, and the cheapest of them.
//
// A view for the length of a call: it holds references to what it was made of, owns nothing, changes nothing, asks the cloud
// for nothing, and must not be stored. Pure.
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
    double price_per_task = 0;            // an hour, for each of the tasks that would run on it
    double price_per_task_when_full = 0;  // the same if it were full
    std::int64_t tasks_per_machine = 0;   // tasks at once
  };

  // `have`: the machines that there are.
  CloudOffers(const ClusterState& cluster, const TaskPricing& pricing, const CloudCapacityTracker& capacity,
              const CloudCapacityTracker::HeldMachines& held, Instant now)
      : cluster_(cluster), pricing_(pricing), capacity_(capacity), held_(held), now_(now) {}

  // The cheapest for so many tasks. Nothing if none is on offer, or the cheapest costs more than `ratio_most` times the least
  // price of a task. `ready_most`: how long it may take until a task runs there.
  [[nodiscard]] std::optional<Offer> find_cheapest(const wire::JobSpec& spec, std::int64_t tasks,
                                                   double max_price_ratio, Millis max_startup = Millis::max()) const;

 private:
  [[nodiscard]] std::optional<Offer> make_offer(const wire::MachineType& type, const std::string& zone, bool spot,
                                                const wire::JobSpec& spec, std::int64_t tasks) const;

  const ClusterState& cluster_;
  const TaskPricing& pricing_;
  const CloudCapacityTracker& capacity_;
  const CloudCapacityTracker::HeldMachines& held_;
  Instant now_;
};

}  // namespace foxshunt::control
