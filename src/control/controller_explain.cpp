// Controller: cluster totals and job explanations for operators.
#include <algorithm>

#include "control/controller.h"
#include "control/explanation.h"
#include "control/times.h"

namespace foxshunt::control {

ClusterSummary Controller::cluster_summary(Instant now) const {
  ClusterSummary summary;
  summary.jobs = cluster_.jobs.size();
  for (const auto& [unused, job] : cluster_.jobs) {
    if (!job.cancelled) summary.tasks_waiting += job.pending();
    summary.tasks_placed += job.allocation_count;
    for (const JobShard& shard : job.shards) {
      if (job.cancelled || shard.is_record_current()) continue;
      ++summary.unwritten_records;
      summary.oldest_unwritten_age = std::max(summary.oldest_unwritten_age, now - shard.dirty_since);
    }
  }
  for (const auto& [unused, machine] : cluster_.machines) {
    switch (machine.state) {
      case MachineState::up: ++summary.machines_up; break;
      case MachineState::booting: ++summary.machines_booting; break;
      default: ++summary.machines_leaving; break;
    }
  }
  summary.fence_remaining =
      std::max(Millis(0), leadership_.last_confirmed() + fencing_timeout(cluster_.settings) - now);
  return summary;
}

std::optional<std::string> Controller::explain(const JobId& id, Instant now) const {
  if (!leadership_.is_leader()) return std::nullopt;
  return Explanation(cluster_, scheduling_cycle_.queue().ranking(), autoscaler_.capacity(),
                     leadership_.can_modify_cluster(now))
      .describe(id, now);
}

}  // namespace foxshunt::control
