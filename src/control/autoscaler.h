// How many machines of which kinds: scales out for tasks that would wait too long, keeps spare capacity for classes whose
// objectives leave no time for a boot, and scales in what is idle.
//
// Owns the demand (what it has learnt of the work that comes), the cloud's capacity (what the cloud has refused, what is
// wanted of it and the request under way) and which machines are spare capacity. Given the cluster state with each call; it
// changes machines there only as the cloud answers. Never places, stops or books anything, and asks the cloud for nothing
// by itself: its owner sends the requests, and only while it may act for the controllers. Pure, with the time passed in;
// not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/cloud_offers.h"
#include "control/cluster_state.h"
#include "control/deadline_planner.h"
#include "control/demand_estimator.h"
#include "control/cloud_capacity_tracker.h"
#include "control/task_pricing.h"
#include "wire/messages.h"

namespace foxshunt::control {

class Autoscaler {
 public:
  // The one that a successor of this lead, on the same node, begins with: it knows what the cloud has refused.
  [[nodiscard]] Autoscaler successor() const;

  [[nodiscard]] DemandEstimator& demand() { return demand_; }
  [[nodiscard]] const DemandEstimator& demand() const { return demand_; }
  [[nodiscard]] CloudCapacityTracker& capacity() { return capacity_; }
  [[nodiscard]] const CloudCapacityTracker& capacity() const { return capacity_; }
  [[nodiscard]] TaskPricing pricing(const ClusterState& cluster) const { return {cluster, demand_}; }
  // Whether the machine is idle, but kept for what may come.
  [[nodiscard]] bool is_spare(const MachineId& machine) const { return spare_machines_.contains(machine); }

  // GPUs that are wanted now, and those that there are.
  void record_gpu_demand(const ClusterState& cluster, Instant now);
  // Works out what is wanted of the cloud from now on. `queue`: the jobs that wait, in their planning order.
  void size_fleet(const ClusterState& cluster, const std::vector<Job*>& queue, const DeadlinePlanner& deadlines,
                  Instant now);
  // Without machine types nothing is wanted of the cloud.
  void clear_wanted_machines();

  // The request under way, or the next one.
  [[nodiscard]] std::optional<wire::ScaleOutRequest> next_scale_out(const ClusterState& cluster, Term term,
                                                                    Instant now);
  void on_scaled_out(ClusterState& cluster, const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented,
                     Instant now);
  void on_scale_out_refused(ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now);
  // Machines that are to be given back.
  [[nodiscard]] static std::vector<MachineId> next_scale_in(const ClusterState& cluster);
  // Whether there is something to rent or to return.
  [[nodiscard]] bool has_pending_cloud_work(const ClusterState& cluster) const;

 private:
  using MachineShares = std::map<CloudCapacityTracker::Kind, double>;  // machines, of which a task may be a part

  [[nodiscard]] std::optional<CloudOffers::Offer> offer_for_late(const CloudOffers& offers, const ClusterState& cluster,
                                                                 const Job& job, const DeadlinePlanner& deadlines,
                                                                 std::uint32_t late, Instant now) const;
  [[nodiscard]] std::int64_t spare_capacity(const ClusterState& cluster, const wire::JobSpec& spec,
                                            std::int64_t reserve, Instant now);
  [[nodiscard]] std::int64_t wanted_spare_capacity(const ClusterState& cluster, const std::string& job_class,
                                                   const wire::JobSpec& sample, Instant now);
  void add_late_tasks(const CloudOffers& offers, const ClusterState& cluster, const std::vector<Job*>& queue,
                      const DeadlinePlanner& deadlines, MachineShares& shares, Instant now);
  void add_reserves(const CloudOffers& offers, const ClusterState& cluster, MachineShares& shares, Instant now);
  void record_refusal(const ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now);

  DemandEstimator demand_;
  CloudCapacityTracker capacity_;
  std::set<MachineId> spare_machines_;  // idle, but kept for what may come
};

}  // namespace foxshunt::control
