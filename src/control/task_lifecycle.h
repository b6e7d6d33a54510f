// Changes the state of a single task's allocation: placed, started once the placement is durable, stopped with a grace
// period or killed, and confirmed terminated.
//
// Stateless: allocations are stored in the job table of the cluster state, which this class modifies. It asks
// leadership whether an action is permitted. It does not choose which tasks to place or stop, and it does not decide
// that a task has terminated: callers with proof call confirm_terminated(). Constructed for a single call and not kept.
// No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/cluster_state.h"
#include "control/leadership.h"

namespace foxshunt::control {

// Stop commands for one agent that are sent at once instead of in the answer to its next heartbeat.
struct DirectStop {
  Term term;  // the term in which the stop was decided; sent as the fencing token, even if another node leads by then
  MachineId machine;
  std::string address;
  AgentIncarnation incarnation;
  std::vector<wire::Command> commands;
};

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& cluster, const Leadership& leadership) : cluster_(cluster), leadership_(leadership) {}

  // Whether leadership permits to start or preempt tasks now.
  [[nodiscard]] bool can_start_or_preempt(Instant now) const { return leadership_.can_modify_cluster(now); }
  // Allocates the task to the machine and books its resources. The task may start once the allocation is durable.
  void place_task(Job& job, std::uint32_t index, AttemptNumber attempt, Machine& machine, Instant now);
  // Whether the agent may be told to start the task now. Requires a durable allocation that is not being stopped; for a
  // gang, the allocations of all members must be durable.
  [[nodiscard]] bool can_start(const Job& job, const Allocation& allocation, Instant now) const;

  // The grace period in seconds in which a task of the job can write a checkpoint. Zero for a job without checkpoints
  // and for a cancelled job.
  [[nodiscard]] double checkpoint_grace_s(const Job& job) const;
  // Stops the task with a grace period of `grace_s` seconds; zero kills it. A stop in progress can be shortened, never
  // extended.
  void stop_task(Job& job, std::uint32_t index, double grace_s);
  // Stops the task in favour of other work, with the grace period for its checkpoint.
  void preempt_task(Job& job, std::uint32_t index) { stop_task(job, index, checkpoint_grace_s(job)); }
  // Drains the machine: it gets no new tasks, and its tasks are stopped with their grace period. If a task belongs to a
  // gang, the whole gang is stopped. `why` is logged and shown to operators.
  void drain_machine(Machine& machine, const std::string& why);
  // Ends a cancelled job: kills its running tasks and drops allocations that no agent was told about.
  void cancel_job(Job& job, Instant now);
  // The stop commands that are due to be sent directly, because no answer to a heartbeat has delivered them in time.
  // Schedules the next attempt of each.
  [[nodiscard]] std::vector<DirectStop> due_direct_stops(Instant now);

  // Ends the allocation of a task that is proved not to run any more. Progress up to the last checkpoint is kept. `why`
  // is logged.
  void confirm_terminated(Job& job, std::uint32_t index, const char* why, Instant now);
  // Marks the task as completed successfully and ends its allocation.
  void finish_task(Job& job, std::uint32_t index, Instant now);
  // Ends the allocation of a task that terminated with its machine or agent. The other members of its gang wait for a
  // replacement if the gang coordinator allows that, and are killed otherwise.
  void mark_task_lost(const TaskKey& task, const char* why, Instant now);
  // Kills all tasks of a gang that are not being stopped yet. Does nothing for jobs of another kind.
  void end_gang_attempt(Job& job);

 private:
  // Makes due_direct_stops() look at the machine.
  void mark_machine_stopping(const MachineId& id);

  ClusterState& cluster_;
  const Leadership& leadership_;
};

}  // namespace foxshunt::control
