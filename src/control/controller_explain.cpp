// What operators are told of the leader's state.
#include <algorithm>

#include "control/controller.h"
#include "control/explanation.h"
#include "control/times.h"

namespace foxshunt::control {

ClusterSummary Controller::cluster_summary(Instant now) const {
  ClusterSummary cluster_summary;
  cluster_summary.jobs = cluster_.jobs.size();
  for (const auto& [unused, job] : cluster_.jobs) {
    if (!job.cancelled) cluster_summary.tasks_waiting += job.pending();
    cluster_summary.tasks_placed += job.allocation_count;
    for (const JobShard& shard : job.shards) {
      if (job.cancelled || shard.settled()) continue;
      ++cluster_summary.unwritten;
      cluster_summary.unwritten_oldest = std::max(cluster_summary.unwritten_oldest, now - shard.dirty_since);
    }
  }
  for (const auto& [unused, machine] : cluster_.machines) {
    switch (machine.state) {
      case MachineState::up: ++cluster_summary.machines_up; break;
      case MachineState::booting: ++cluster_summary.machines_booting; break;
      default: ++cluster_summary.machines_leaving; break;
    }
  }
  cluster_summary.fence_left =
      std::max(Millis(0), leadership_.last_confirmed() + fencing_timeout(cluster_.settings) - now);
  return cluster_summary;
}

std::optional<std::string> Controller::explain(const JobId& id, Instant now) const {
  if (!leadership_.is_leader()) return std::nullopt;
  return Explanation(cluster_, cycle_.queue().ranking(), autoscaler_.capacity(), leadership_.can_start(now))
      .of(id, now);
}

}  // namespace foxshunt::control
