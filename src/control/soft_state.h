// Soft state: what no record tells, handed to the standbys by a leader and taken by the next leader.
//
// Owns nothing. A snapshot is taken of the cluster state, of demand and of capacity refusals; what is taken from one steers plans
// and renting, and is replaced by what is seen. docs/design/standby.md says why no rule depends on it: a machine that only a
// snapshot tells of counts as booting until it sends a heartbeat, and a task's start counts once a heartbeat says that it runs.
// Never ends, confirms or frees anything. Made for the moment of a call and not kept; pure; not thread-safe.
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

class SoftState {
 public:
  SoftState(ClusterState& cluster, const Leadership& leadership, DemandEstimator& demand, CloudCapacityTracker& supply)
      : cluster_(cluster), leadership_(leadership), demand_(demand), supply_(supply) {}

  // Takes a leader's snapshot, unless it is too old or of a leader that knew no more than this one.
  void apply(const standby::SoftStateSnapshot& snapshot, Instant now);

 private:
  void apply_machine(const std::string& name, const standby::Machine& told, Instant now);
  // Of a machine that has not sent a heartbeat: when it is expected.
  void expect_machine(Machine& machine, const standby::Machine& told, Instant now);
  void apply_task(const standby::Key& key, const standby::Task& told, Instant now);
  void apply_failures(const JobId& id, const standby::JobFailures& told, Instant now);
  void apply_refusal(const std::string& type, const standby::Refusal& told, Instant now);
  void apply_sample(const std::string& job_class, const standby::Sample& told, Instant now);
  void apply_gpu_demand(const standby::GpuDemand& told, Instant now);

  ClusterState& cluster_;
  const Leadership& leadership_;
  DemandEstimator& demand_;
  CloudCapacityTracker& supply_;
};

// What a snapshot is taken of.
struct SoftStateSources {
  const ClusterState& cluster;
  const DemandEstimator& demand;
  const CloudCapacityTracker& supply;
  const std::set<std::string>& urgent_classes;  // whose arrivals the autoscaler keeps spare capacity for
};

// What the leader of the term knows, for its standbys.
[[nodiscard]] standby::SoftStateSnapshot soft_state_snapshot(const SoftStateSources& sources, Term term, Instant now);

}  // namespace foxshunt::control
