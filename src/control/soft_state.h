// Soft state: leader state that is not stored in records. A leader sends it to the standby controllers; the next leader
// applies it.
//
// A snapshot covers the cluster state, the demand estimates and the capacity refusals. Applied soft state only
// influences planning and renting, and is replaced by reported state. docs/design/standby.md explains why no safety
// rule depends on it: a machine that is known only from a snapshot counts as booting until it sends a heartbeat, and a
// task's start time counts once a heartbeat reports the task as running. Applying a snapshot ends no task, confirms no
// task as terminated and frees nothing. Constructed per call and not stored. Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/leadership.h"
#include "control/cloud_capacity_tracker.h"
#include "standby/picture.h"

namespace foxshunt::control {

// Applies a snapshot to the state of a new leader.
class SoftStateRestorer {
 public:
  SoftStateRestorer(ClusterState& cluster, const Leadership& leadership, DemandEstimator& demand,
                    CloudCapacityTracker& capacity)
      : cluster_(cluster), leadership_(leadership), demand_(demand), capacity_(capacity) {}

  // Applies the snapshot. Ignores it if it is too old or not from an earlier term.
  void apply(const standby::SoftStateSnapshot& snapshot, Instant now);

 private:
  void apply_machine(const std::string& name, const standby::Machine& hint, Instant now);
  // Sets when a machine that has not sent a heartbeat to this leader is expected to be ready.
  void set_expected_ready(Machine& machine, const standby::Machine& hint, Instant now);
  void apply_task(const standby::Key& key, const standby::Task& hint, Instant now);
  void apply_failures(const JobId& id, const standby::JobFailures& hint, Instant now);
  void apply_refusal(const std::string& type, const standby::Refusal& hint, Instant now);
  void apply_sample(const std::string& job_class, const standby::Sample& hint, Instant now);
  void apply_gpu_demand(const standby::GpuDemand& hint, Instant now);

  ClusterState& cluster_;
  const Leadership& leadership_;
  DemandEstimator& demand_;
  CloudCapacityTracker& capacity_;
};

// The state that a snapshot is made from.
struct SoftStateSources {
  const ClusterState& cluster;
  const DemandEstimator& demand;
  const CloudCapacityTracker& capacity;
  const std::set<std::string>& urgent_classes;  // classes that the autoscaler keeps spare capacity for
};

// Builds the snapshot that the leader of `term` sends to its standby controllers.
[[nodiscard]] standby::SoftStateSnapshot make_soft_state_snapshot(const SoftStateSources& sources, Term term,
                                                                  Instant now);

}  // namespace foxshunt::control
