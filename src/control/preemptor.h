// Preemption: collects the tasks that run on a job's candidate machines, lets src/preempt choose victims among them,
// and stops the chosen ones.
//
// Holds references to the modules that it was constructed with, owns nothing and must not outlive the call that created
// it. Records in jobs when they were preempted (Job::preempted_at) and when they may preempt again
// (Job::may_preempt_after). Stops tasks only through TaskLifecycle.
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

  // Stops work that the job may displace, if that makes room for up to `max_tasks` of its tasks. `places`: the job's
  // candidate machines. Stops nothing while this leader may not start tasks.
  void preempt_for(Job& job, std::uint32_t max_tasks, const std::vector<plan::EligibleMachine>& places, Instant now);

 private:
  struct Victims;
  // For how many tasks of the job room is to be made: limited by the team's quota and, except for gangs, by
  // kMaxTasksPreemptedFor.
  [[nodiscard]] std::uint32_t count_tasks_to_preempt_for(const Job& job, std::uint32_t max_tasks) const;
  // Describes a running task as a possible victim; for a gang's task, the gang as a whole.
  [[nodiscard]] preempt::Victim describe_victim(const TaskKey& key, const Job& victim_job, const Allocation& allocation,
                                                const Job& preempting_job, Instant now) const;
  // Returns the index of the victim that the task belongs to, adding the victim if it is new. Nothing for a task that
  // cannot be preempted: it is being stopped, has not started, or belongs to a service or a cancelled job.
  [[nodiscard]] std::optional<std::size_t> find_or_add_victim(const TaskKey& key, const Job& preempting_job,
                                                              Victims& victims, Instant now);
  // Returns the machines that the job may use, each with its free capacity and the amounts that its victims would free.
  [[nodiscard]] std::vector<preempt::PreemptionCandidate> find_contested_machines(
      const Job& job, const std::vector<plan::EligibleMachine>& places, Victims& victims, Instant now);
  // Stops all tasks of the victim. Returns how many these are.
  std::size_t stop_victim(const preempt::Victim& victim, Instant now);

  ClusterState& cluster_;
  const SchedulingQueue& queue_;
  TaskLifecycle& tasks_;
};

}  // namespace foxshunt::control
