// Reconciles agents' heartbeats with the job table: determines which tasks have started, which have ended, which are
// unknown to the job table, and which are confirmed terminated because a heartbeat that would have to report them does
// not.
//
// Stateless. Modifies the cluster state that is passed in, asks leadership, and changes tasks only through
// TaskLifecycle. The controller checks beforehand whether a heartbeat may be answered at all. Places no tasks, and
// starts only tasks that TaskLifecycle::can_start() permits. Constructed for a single call and not kept. No I/O; not
// thread-safe.
#pragma once

#include <set>
#include <vector>

#include "control/cluster_state.h"
#include "control/leadership.h"
#include "control/task_lifecycle.h"

namespace foxshunt::control {

class Reconciler {
 public:
  Reconciler(ClusterState& cluster, const Leadership& leadership)
      : cluster_(cluster), leadership_(leadership), tasks_(cluster, leadership) {}

  // Processes a heartbeat and returns the commands for the answer. A heartbeat that is not newer than the last one of
  // the machine is ignored.
  [[nodiscard]] std::vector<wire::Command> on_heartbeat(const wire::Heartbeat& heartbeat, Instant now);
  // Returns further commands for the same heartbeat that have become due since on_heartbeat() processed it.
  [[nodiscard]] std::vector<wire::Command> newly_due_commands(const wire::Heartbeat& heartbeat, Instant now);

 private:
  // The heartbeat that is being processed, and the answer as collected so far.
  struct Exchange {
    const wire::Heartbeat& heartbeat;
    Machine& machine;
    Instant now;
    std::set<TaskKey> reported;  // tasks of the heartbeat that match an allocation to this machine
    std::vector<wire::Command> commands;
  };

  // Updates the machine's inventory entry from the heartbeat; adds the machine if it is unknown.
  Machine& update_machine(const wire::Heartbeat& heartbeat, Instant now);
  // Marks tasks of earlier incarnations of the agent as lost: an agent starts without any tasks.
  void mark_tasks_of_earlier_incarnations_lost(const Exchange& exchange);
  // Processes the status of each task in the heartbeat.
  void process_task_statuses(Exchange& exchange);
  // Returns the job of the reported task, or null if no job has such a task.
  [[nodiscard]] Job* find_job(const wire::TaskStatus& status);
  // Returns the allocation of the reported task, or null if the job table has no such allocation to this machine and
  // incarnation of the agent.
  [[nodiscard]] Allocation* find_allocation(const Exchange& exchange, const wire::TaskStatus& status);
  void on_task_active(Exchange& exchange, Job& job, Allocation& allocation, const wire::TaskStatus& status);
  void on_task_running(Job& job, const Machine& machine, Allocation& allocation, std::uint32_t index, Instant now);
  void on_task_ended(Exchange& exchange, Job& job, const Allocation& allocation, const wire::TaskStatus& status);
  void on_task_checkpointed(Job& job, const Allocation& allocation, std::uint32_t index, Instant now);
  void on_start_refused(Exchange& exchange, const Job& job, const wire::TaskStatus& status);
  void log_refused_start(const Exchange& exchange, const wire::TaskStatus& status) const;
  void on_task_failed(Exchange& exchange, Job& job, const wire::TaskStatus& status);
  // Handles the allocations to the machine that the heartbeat does not report: confirms that they have terminated, or
  // starts them. Returns the start commands.
  [[nodiscard]] std::vector<wire::Command> process_unreported_tasks(Exchange& exchange);
  // Handles the cloud's notice that it will take the machine back in `notice_s` seconds: drains the machine and
  // adds stop commands for its reported tasks to the answer.
  void on_eviction_notice(Exchange& exchange, double notice_s);

  ClusterState& cluster_;
  const Leadership& leadership_;
  TaskLifecycle tasks_;
};

// Whether the ends of all tasks that the heartbeat reports, and all allocations to its machine, are durable.
[[nodiscard]] bool is_heartbeat_durable(const ClusterState& cluster, const wire::Heartbeat& heartbeat);

}  // namespace foxshunt::control
