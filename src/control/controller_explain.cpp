// What operators are told of the leader's state.
#include <algorithm>

#include "control/controller.h"
#include "control/explanation.h"
#include "control/times.h"

namespace foxshunt::control {

Census Controller::census(Instant now) const {
  Census census;
  census.jobs = cluster_.jobs.size();
  for (const auto& [unused, job] : cluster_.jobs) {
    if (!job.withdrawn) census.tasks_waiting += job.pending();
    census.tasks_placed += job.runs_count;
    for (const Part& part : job.parts) {
      if (job.withdrawn || part.settled()) continue;
      ++census.unwritten;
      census.unwritten_oldest = std::max(census.unwritten_oldest, now - part.dirty_since);
    }
  }
  for (const auto& [unused, machine] : cluster_.machines) {
    switch (machine.state) {
      case MachineState::up: ++census.machines_up; break;
      case MachineState::booting: ++census.machines_booting; break;
      default: ++census.machines_leaving; break;
    }
  }
  census.fence_left = std::max(Millis(0), leadership_.last_confirmed() + fence_span(cluster_.settings) - now);
  return census;
}

std::optional<std::string> Controller::explain(const JobId& id, Instant now) const {
  if (!leadership_.is_leader()) return std::nullopt;
  return Explanation(cluster_, cycle_.queue().ranking(), autoscaler_.capacity(), leadership_.can_start(now))
      .of(id, now);
}

}  // namespace foxshunt::control
