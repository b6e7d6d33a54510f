// The life of a task on a machine: allocated, started once that is durable, stopped with grace or killed, and confirmed
// terminated.
//
// Owns no state of its own: allocations stand in the job table. Is given the cluster state, which it changes, and leadership,
// which it asks. Never chooses what to place or to stop, and never takes a task for terminated by itself: whoever has the proof
// calls confirm_terminated(). Made for the moment of a call and not kept; pure; not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/cluster_state.h"
#include "control/leadership.h"

namespace foxshunt::control {

// Stop commands that are sent to an agent at once, without waiting for its next heartbeat.
struct DirectStop {
  Term term;  // in which it was decided: its token, whoever leads when it is sent
  MachineId machine;
  std::string address;
  AgentIncarnation incarnation;
  std::vector<wire::Command> commands;
};

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& cluster, const Leadership& leadership) : cluster_(cluster), leadership_(leadership) {}

  // Whether anything may be started, or stopped for the sake of other work, now.
  [[nodiscard]] bool can_start_or_preempt(Instant now) const { return leadership_.can_modify_cluster(now); }
  // Allocates the task to the machine. It may start once the record of that is written.
  void place_task(Job& job, std::uint32_t index, AttemptNumber attempt, Machine& machine, Instant now);
  // Whether the agent may be told to start the task now: its allocation is durable, and so is the whole gang's.
  [[nodiscard]] bool can_start(const Job& job, const Allocation& allocation, Instant now) const;

  // The grace in seconds that lets the job's tasks save their progress when they are stopped.
  [[nodiscard]] double checkpoint_grace(const Job& job) const;
  // Stops the task with that grace, zero to kill it. A stop that is under way is only ever made sooner.
  void stop_task(Job& job, std::uint32_t index, double grace_s);
  // Stops the task for the sake of other work, with the grace that its checkpoint takes.
  void preempt_task(Job& job, std::uint32_t index) { stop_task(job, index, checkpoint_grace(job)); }
  // Drains the machine: it gets no work any more, and what runs there is stopped with grace.
  void drain_machine(Machine& machine, const std::string& why);
  // Ends a cancelled job: kills what runs and gives up what was never told to a machine.
  void cancel_job(Job& job, Instant now);
  // The stops that did not reach their agents by an answer to a heartbeat in time, and are due to be sent directly.
  [[nodiscard]] std::vector<DirectStop> due_direct_stops(Instant now);

  // Ends the allocation of a task that certainly does not run any more; `why` is logged. Checkpointed progress is kept.
  void confirm_terminated(Job& job, std::uint32_t index, const char* why, Instant now);
  // The same of a task that has done its work.
  void finish_task(Job& job, std::uint32_t index, Instant now);
  // The same of a task that terminated together with its machine. The rest of its gang waits for a replacement or ends too.
  void mark_task_lost(const TaskKey& task, const char* why, Instant now);
  // Kills all tasks of a gang that are not being stopped yet; other jobs are left alone.
  void end_gang_attempt(Job& job);

 private:
  void mark_machine_stopping(const MachineId& id);

  ClusterState& cluster_;
  const Leadership& leadership_;
};

}  // namespace foxshunt::control
