// Reconciles agents' heartbeats with the job table: which tasks have begun, which have ended, which are unknown, and which are
// confirmed terminated because a heartbeat that had to tell of them does not.
//
// Owns no state of its own. Is given the cluster state, which it changes, leadership, which it asks, and changes tasks only by
// way of their life cycle. Whether a heartbeat may be answered at all is the controller's to ask first. Never
// places anything, and starts only what the life cycle allows. Made for the moment of a call and not kept; pure; not
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

  // Takes a heartbeat. Returns the commands to answer with; none if it was held up on its way and teaches nothing.
  [[nodiscard]] std::vector<wire::Command> on_heartbeat(const wire::Heartbeat& heartbeat, Instant now);
  // Commands that have become due since the heartbeat was answered.
  [[nodiscard]] std::vector<wire::Command> newly_due_commands(const wire::Heartbeat& heartbeat, Instant now);

 private:
  // A heartbeat while it is taken, and the answer to it so far.
  struct Exchange {
    const wire::Heartbeat& heartbeat;
    Machine& machine;
    Instant now;
    std::set<TaskKey> reported;  // known tasks that it tells of
    std::vector<wire::Command> commands;
  };

  Machine& update_machine(const wire::Heartbeat& heartbeat, Instant now);
  // Tasks of an earlier incarnation of the agent: a later one began with nothing.
  void mark_tasks_of_earlier_incarnations_lost(const Exchange& exchange);
  void process_task_statuses(Exchange& exchange);
  // The job that the status is of; null if there is none with such a task.
  [[nodiscard]] Job* find_job(const wire::TaskStatus& status);
  // The allocation that the status is of; null if the machine has no such allocation in this incarnation.
  [[nodiscard]] Allocation* find_allocation(const Exchange& exchange, const wire::TaskStatus& status);
  void on_task_active(Exchange& exchange, Job& job, Allocation& allocation, const wire::TaskStatus& status);
  void on_task_running(Job& job, const Machine& machine, Allocation& allocation, std::uint32_t index, Instant now);
  void on_task_ended(Exchange& exchange, Job& job, const Allocation& allocation, const wire::TaskStatus& status);
  void on_task_checkpointed(Job& job, const Allocation& allocation, std::uint32_t index, Instant now);
  void on_task_failed(Exchange& exchange, Job& job, const wire::TaskStatus& status);
  // Allocations to the machine that the heartbeat does not tell of: confirms their termination or starts them. Returns the
  // start commands.
  [[nodiscard]] std::vector<wire::Command> process_unreported_tasks(Exchange& exchange);
  // The cloud takes the machine soon: stops what runs there.
  void evict(Exchange& exchange, double notice_s);

  ClusterState& cluster_;
  const Leadership& leadership_;
  TaskLifecycle tasks_;
};

// Whether all that the heartbeat told, and all that is allocated to its machine, is durable.
[[nodiscard]] bool is_heartbeat_durable(const ClusterState& cluster, const wire::Heartbeat& heartbeat);

}  // namespace foxshunt::control
