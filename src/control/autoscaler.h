// Decides how many machines of which kinds to rent and to return. Scales out for tasks that would wait too long, keeps
// spare capacity for job classes whose objectives leave no time for a machine to boot, and names the machines to scale
// in.
//
// Owns the demand estimator, the tracker of the cloud's capacity (refusals, wanted machines, the pending request) and
// the set of spare machines. The cluster state is passed with each call; its machines are changed only when the cloud
// answers a request. Places, stops and books nothing, and does not call the cloud: the owner sends the requests, and
// only while leadership permits it. No I/O: the caller passes in the time. Not thread-safe.
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
  // Returns the autoscaler for the next term that this node leads. It keeps only the record of capacity refusals.
  [[nodiscard]] Autoscaler successor() const;

  [[nodiscard]] DemandEstimator& demand() { return demand_; }
  [[nodiscard]] const DemandEstimator& demand() const { return demand_; }
  [[nodiscard]] CloudCapacityTracker& capacity() { return capacity_; }
  [[nodiscard]] const CloudCapacityTracker& capacity() const { return capacity_; }
  [[nodiscard]] TaskPricing pricing(const ClusterState& cluster) const { return {cluster, demand_}; }
  // Whether the machine is idle but kept as spare capacity.
  [[nodiscard]] bool is_spare(const MachineId& machine) const { return spare_machines_.contains(machine); }

  // Reports to the demand estimator how many GPUs the unfinished tasks of all jobs need, and how many GPUs the
  // machines have on which tasks can be planned.
  void record_gpu_demand(const ClusterState& cluster, Instant now);
  // Computes which machines to rent and replaces the previous result. `queue`: the waiting jobs in planning order.
  void size_fleet(const ClusterState& cluster, const std::vector<Job*>& queue, const DeadlinePlanner& deadlines,
                  Instant now);
  // Clears the wanted machines and the spare machines. For use while no machine types are known.
  void clear_wanted_machines();

  // Returns the unanswered request if there is one, otherwise the next one. None if there is nothing to rent or if the
  // operators' settings forbid scaling out.
  [[nodiscard]] std::optional<wire::ScaleOutRequest> next_scale_out(const ClusterState& cluster, Term term,
                                                                    Instant now);
  // Handles the cloud's answer to `request`: adds the rented machines to the cluster state. Fewer machines than
  // requested count as a refusal of the rest.
  void on_scaled_out(ClusterState& cluster, const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented,
                     Instant now);
  // Handles an answer without any machine.
  void on_scale_out_refused(ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now);
  // The machines to return, at most kMaxScaleInNames.
  [[nodiscard]] static std::vector<MachineId> next_scale_in(const ClusterState& cluster);
  // Whether there are machines to rent or to return.
  [[nodiscard]] bool has_pending_cloud_work(const ClusterState& cluster) const;

 private:
  // Number of machines to rent of each kind. Fractional because several tasks, also of different jobs, can share a
  // machine.
  using MachineShares = std::map<CloudCapacityTracker::Kind, double>;

  // The cloud offer to rent for those tasks of the job that would start too late; `late` is their number.
  [[nodiscard]] std::optional<CloudOffers::Offer> offer_for_late_tasks(const CloudOffers& offers,
                                                                       const ClusterState& cluster, const Job& job,
                                                                       const DeadlinePlanner& deadlines,
                                                                       std::uint32_t late, Instant now) const;
  // Returns how many more tasks like `spec` could start on machines that are up or booting. Marks as spare the
  // cheapest of these machines, until they have room for `reserve` such tasks.
  [[nodiscard]] std::int64_t spare_capacity(const ClusterState& cluster, const wire::JobSpec& spec,
                                            std::int64_t reserve, Instant now);
  // Returns for how many tasks of the class to keep spare capacity: those expected to arrive while a machine boots.
  [[nodiscard]] std::int64_t wanted_spare_capacity(const ClusterState& cluster, const std::string& job_class,
                                                   const wire::JobSpec& sample, Instant now);
  // Adds the machines to rent for tasks that would start too late.
  void add_late_tasks(const CloudOffers& offers, const ClusterState& cluster, const std::vector<Job*>& queue,
                      const DeadlinePlanner& deadlines, MachineShares& shares, Instant now);
  // Adds the machines that are missing for the spare capacity of urgent classes.
  void add_spare_capacity(const CloudOffers& offers, const ClusterState& cluster, MachineShares& shares, Instant now);
  void record_refusal(const ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now);

  DemandEstimator demand_;
  CloudCapacityTracker capacity_;
  std::set<MachineId> spare_machines_;  // idle, but not to be scaled in
};

}  // namespace foxshunt::control
