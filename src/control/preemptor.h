// Preemption: shows src/preempt what runs where a job might, and has the victims stopped that it chooses.
//
// A view for the length of a call: it holds references to what it was made of, owns nothing, and must not be stored. It notes
// in jobs when they were preempted and when they may preempt again. Never chooses victims by itself, and never stops a task
// but through the life cycle of tasks.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "control/cluster_state.h"
#include "control/scheduling_queue.h"
#include "control/task_lifecycle.h"
#include "plan/planner.h"
#include "preempt/preempt.h"

namespace foxshunt::control {

class Preemptor {
 public:
  Preemptor(ClusterState& cluster, const SchedulingQueue& queue, TaskLifecycle& tasks)
      : cluster_(cluster), queue_(queue), tasks_(tasks) {}

  // Stops work that has to give way to the job, if that makes room for it.
  void preempt_for(Job& job, std::uint32_t tasks_most, const std::vector<plan::EligibleMachine>& places, Instant now);

 private:
  struct Victims;
  [[nodiscard]] std::uint32_t tasks_to_preempt_for(const Job& job, std::uint32_t tasks_most) const;
  [[nodiscard]] preempt::Victim describe_victim(const TaskKey& key, const Job& other, const Allocation& allocation,
                                                const Job& asks, Instant now) const;
  [[nodiscard]] std::optional<std::size_t> victim_of(const TaskKey& key, const Job& asks, Victims& victims,
                                                     Instant now);
  [[nodiscard]] std::vector<preempt::PreemptionCandidate> contested_machines(
      const Job& job, const std::vector<plan::EligibleMachine>& places, Victims& victims, Instant now);
  // How many tasks it stops.
  std::size_t stop_victim(const preempt::Victim& victim, Instant now);

  ClusterState& cluster_;
  const SchedulingQueue& queue_;
  TaskLifecycle& tasks_;
};

}  // namespace foxshunt::control
