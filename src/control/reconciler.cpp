#include "control/reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <string>

#include "config/constants.h"
#include "config/guards.h"
#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

using wire::Command;
using wire::CommandKind;
using wire::EndReason;
using wire::TaskState;

namespace {

Command stop_command(const TaskKey& task, AttemptNumber attempt, double grace_s) {
  return {.kind = CommandKind::stop, .task = task, .attempt = attempt, .grace_s = grace_s};
}

Command start_command(Machine& machine, const TaskKey& task, AttemptNumber attempt, Instant now) {
  machine.sent_starts.add(task, attempt, now);
  return {.kind = CommandKind::run, .task = task, .attempt = attempt};
}

Command forget_command(const wire::TaskStatus& status) {
  return {.kind = CommandKind::clear, .task = status.task, .attempt = status.attempt};
}

// Whether the agent may forget the ended task: its end is durable, and no copy of its start can be carried out any more.
bool can_clear(const ClusterState& cluster, const Machine& machine, const wire::TaskStatus& status, Instant now) {
  if (kept(Guard::clear_settled) && !cluster.jobs.is_record_current(status.task)) return false;
  return !kept(Guard::clear_after_copies) || !machine.sent_starts.may_be_repeated(status.task, status.attempt, now);
}

// Whether the task ended after its image had been fetched.
bool ended_with_image(const wire::TaskStatus& status, const Allocation& allocation) {
  const EndReason reason = status.reason;
  if (reason == EndReason::no_room || reason == EndReason::in_use || reason == EndReason::unknown) return false;
  return allocation.reported_state && *allocation.reported_state != TaskState::fetching;
}

}  // namespace

std::vector<Command> Reconciler::on_heartbeat(const wire::Heartbeat& heartbeat, Instant now) {
  if (!cluster_.machines.should_accept(heartbeat)) return {};
  Exchange exchange{.heartbeat = heartbeat, .machine = update_machine(heartbeat, now), .now = now};
  exchange.machine.sent_starts.drop_expired(now);
  mark_tasks_of_earlier_incarnations_lost(exchange);
  process_task_statuses(exchange);
  std::vector<Command> starts = process_unreported_tasks(exchange);
  if (heartbeat.notice_s && exchange.machine.state == MachineState::up) {
    on_eviction_notice(exchange, *heartbeat.notice_s);
    starts.clear();
  }
  for (const Command& start : starts) {
    spdlog::debug("task_start_sent machine={} task={} attempt={}", exchange.machine.id.text(), start.task.text(),
                  start.attempt.number());
  }
  exchange.commands.insert(exchange.commands.end(), starts.begin(), starts.end());
  return std::move(exchange.commands);
}

Machine& Reconciler::update_machine(const wire::Heartbeat& heartbeat, Instant now) {
  Machine& machine = cluster_.find_or_add_machine(heartbeat.machine, now);
  if (inventory::MachineInventory::apply_heartbeat(machine, heartbeat, leadership_.term(), now))
    cluster_.needs_planning = true;
  cluster_.update_planner_machine(machine);
  return machine;
}

void Reconciler::mark_tasks_of_earlier_incarnations_lost(const Exchange& exchange) {
  std::vector<TaskKey> lost;
  for (const TaskKey& key : exchange.machine.allocations) {
    const Allocation* allocation = cluster_.jobs.find_allocation(key);
    const bool is_earlier = allocation != nullptr && allocation->incarnation < exchange.heartbeat.incarnation;
    if (is_earlier && kept(Guard::ended_session)) lost.push_back(key);
  }
  for (const TaskKey& key : lost) tasks_.mark_task_lost(key, "the agent was restarted", exchange.now);
}

void Reconciler::process_task_statuses(Exchange& exchange) {
  bool unknown_tasks = false;
  for (const wire::TaskStatus& status : exchange.heartbeat.tasks) {
    const bool is_active = status.state != TaskState::ended;
    if (Allocation* allocation = find_allocation(exchange, status); allocation != nullptr) {
      Job& job = *find_job(status);
      exchange.reported.insert(status.task);
      if (is_active) {
        on_task_active(exchange, job, *allocation, status);
        continue;
      }
      on_task_ended(exchange, job, Allocation(*allocation), status);
    }
    if (is_active) {
      // No job record assigns this task to this machine. It uses resources that may be booked for other tasks, so it
      // is stopped without a grace period.
      unknown_tasks = true;
      exchange.commands.push_back(stop_command(status.task, status.attempt, 0));
      continue;
    }
    if (can_clear(cluster_, exchange.machine, status, exchange.now))
      exchange.commands.push_back(forget_command(status));
  }
  Machine& machine = exchange.machine;
  if (unknown_tasks && !machine.has_unknown_tasks)
    spdlog::warn("unknown_tasks_reported machine={} reason=\"no job record assigns them to this machine\"",
                 machine.id.text());
  machine.has_unknown_tasks = unknown_tasks;
}

Job* Reconciler::find_job(const wire::TaskStatus& status) {
  const auto entry = cluster_.jobs.find(status.task.job);
  if (entry == cluster_.jobs.end() || status.task.index >= entry->second.spec.tasks) return nullptr;
  return &entry->second;
}

Allocation* Reconciler::find_allocation(const Exchange& exchange, const wire::TaskStatus& status) {
  if (find_job(status) == nullptr) return nullptr;
  Allocation* allocation = cluster_.jobs.find_allocation(status.task);
  if (allocation == nullptr || allocation->attempt != status.attempt || allocation->machine != exchange.machine.id)
    return nullptr;
  // The replacement of a lost gang member has the same attempt number and may run on the same machine. A delayed
  // heartbeat of the earlier incarnation, received by a new leader, would otherwise report the end of the replacement
  // that still runs.
  if (kept(Guard::report_session) && allocation->incarnation != exchange.heartbeat.incarnation) return nullptr;
  return allocation;
}

void Reconciler::on_task_active(Exchange& exchange, Job& job, Allocation& allocation, const wire::TaskStatus& status) {
  Machine& machine = exchange.machine;
  if (status.state != TaskState::fetching) {
    if (allocation.reported_state.value_or(TaskState::fetching) == TaskState::fetching)
      cluster_.record_cached_image(machine, job.spec);
  } else if (allocation.reported_state && cluster_.pools.on()) {
    // At least the second heartbeat that reports the state `fetching`: the image was not in the cache, contrary to what
    // the leader assumed.
    machine.images.erase(job.spec.image);
    cluster_.pools.was_missing(machine.id, job.spec.image);
  }
  if (status.state == TaskState::running && !allocation.running_since) {
    on_task_running(job, machine, allocation, status.task.index, exchange.now);
  }
  // While a gang lacks members, a state change of the others, such as a finished image fetch, may allow the next ones
  // to be placed, so a planning pass is requested.
  if (allocation.reported_state != status.state && job.barrier_deadline) cluster_.needs_planning = true;
  allocation.reported_state = status.state;
  if (allocation.stopping) exchange.commands.push_back(stop_command(status.task, status.attempt, allocation.grace_s));
}

void Reconciler::on_task_running(Job& job, const Machine& machine, Allocation& allocation, std::uint32_t index,
                                 Instant now) {
  allocation.running_since = std::min(now, allocation.hinted_start.value_or(now));
  cluster_.pools.began({job.spec.id, index}, job.spec, now - allocation.placed_at);
  cluster_.planner.revoke(allocation.booking);
  Millis remaining = booking_duration(job);
  if (const auto saved = job.saved_progress.find(index); saved != job.saved_progress.end()) {
    remaining = std::max(remaining - saved->second, constants::kStartTimeout);
  }
  if (allocation.hinted_start)
    remaining = std::max(remaining - (now - *allocation.running_since), constants::kStartTimeout);
  allocation.booking = cluster_.planner.book({.machine = machine.id,
                                              .team = job.spec.team,
                                              .amounts = job.task_resources,
                                              .start = now,
                                              .stop = now + remaining});
  spdlog::info("task_running task={} attempt={} machine={} since_submission_s={:.1f}",
               TaskKey{job.spec.id, index}.text(), allocation.attempt.number(), machine.id.text(),
               to_seconds(now - job.submitted));
  // The tasks of a gang start together, so the first running task marks the start of the job. A new leader logs
  // the event again, because it does not know that it was logged.
  if (job.has_run) return;
  spdlog::info("job_started job={} class={} tasks={} wait_s={:.1f}", job.spec.id.text(), job.spec.job_class,
               job.spec.tasks, to_seconds(now - job.submitted));
  job.has_run = true;
}

void Reconciler::on_task_ended(Exchange& exchange, Job& job, const Allocation& allocation,
                               const wire::TaskStatus& status) {
  const std::uint32_t index = status.task.index;
  // The task gave up waiting for its gang: the estimated image fetch times were wrong. The next attempt relies on the
  // heartbeats to learn when the images are fetched.
  if (status.reason == EndReason::alone) job.is_placed_in_stages = true;
  if (ended_with_image(status, allocation)) cluster_.record_cached_image(exchange.machine, job.spec);
  // A task that has run leaves room, perhaps enough for the one that was refused.
  if (allocation.running_since) exchange.machine.refused_start.reset();
  switch (status.reason) {
    case EndReason::done:
      exchange.machine.errors = 0;
      // A service replica that exits is started again.
      if (job.spec.kind == wire::JobKind::service || job.cancelled) break;
      return tasks_.finish_task(job, index, exchange.now);
    case EndReason::stopped:
      if (status.saved && allocation.running_since) return on_task_checkpointed(job, allocation, index, exchange.now);
      break;
    case EndReason::error: on_task_failed(exchange, job, status); break;
    case EndReason::unknown: job.not_before = exchange.now + constants::kTaskErrorBackoff; break;
    case EndReason::no_room: on_start_refused(exchange, job, status); break;
    default: break;
  }
  tasks_.confirm_terminated(job, index, std::string(wire::name_of(status.reason)).c_str(), exchange.now);
  tasks_.end_gang_attempt(job);
}

void Reconciler::on_task_checkpointed(Job& job, const Allocation& allocation, std::uint32_t index, Instant now) {
  const Millis run_time = std::max(Millis(0), now - *allocation.running_since);
  job.saved_progress[index] += run_time;
  tasks_.confirm_terminated(job, index, "stopped with a checkpoint", now);
  // confirm_terminated() has added the complete checkpoints of the same run time; they must not count twice.
  const Millis checkpoint_interval = from_seconds(job.spec.checkpoint_s);
  if (checkpoint_interval > Millis(0))
    job.saved_progress[index] -= run_time / checkpoint_interval * checkpoint_interval;
  tasks_.end_gang_attempt(job);
}

void Reconciler::on_start_refused(Exchange& exchange, const Job& job, const wire::TaskStatus& status) {
  log_refused_start(exchange, status);
  exchange.machine.refused_start = {.amounts = job.task_resources,
                                    .until = exchange.now + constants::kRefusedStartBackoff};
}

// The leader's own account of the machine tells whether it counts the tasks' resources otherwise than the agent does, or
// whether the agent holds tasks that the leader does not know.
void Reconciler::log_refused_start(const Exchange& exchange, const wire::TaskStatus& status) const {
  const Machine& machine = exchange.machine;
  const auto active = std::ranges::count_if(
      exchange.heartbeat.tasks, [](const wire::TaskStatus& task) { return task.state != TaskState::ended; });
  const ResourceAmounts left = unallocated_resources(cluster_, machine);
  const auto [cpus, gpus, ram_gb] = left.to_whole_amounts();
  spdlog::warn(
      "task_start_refused task={} attempt={} machine={} allocations={} reported={} left_cpus={} left_gpus={} "
      "left_ram_gb={}",
      status.task.text(), status.attempt.number(), machine.id.text(), machine.allocations.size(), active, cpus, gpus,
      ram_gb);
}

void Reconciler::on_task_failed(Exchange& exchange, Job& job, const wire::TaskStatus& status) {
  Machine& machine = exchange.machine;
  spdlog::warn("task_failed task={} machine={}", status.task.text(), machine.id.text());
  job.failed_on.insert(machine.id);
  // A job that fails on three or more machines is likely faulty itself, so its failure is not counted as an error of
  // further machines.
  if (job.failed_on.size() < 3) ++machine.errors;
  // A task that fails during the job's backoff was started before it, together with the task that caused the backoff.
  // It does not count as another failure.
  if (exchange.now >= job.not_before) {
    const Millis backoff_duration = std::min(constants::kMaxTaskErrorBackoff,
                                             constants::kTaskErrorBackoff * (1 << std::min(job.consecutive_errors, 5)));
    if (++job.consecutive_errors > 1) job.not_before = exchange.now + backoff_duration;
  }
  if (machine.errors >= constants::kMaxMachineErrors) tasks_.drain_machine(machine, "repeated task failures");
}

std::vector<Command> Reconciler::process_unreported_tasks(Exchange& exchange) {
  std::vector<TaskKey> unreported;
  for (const TaskKey& key : exchange.machine.allocations) {
    if (!exchange.reported.contains(key)) unreported.push_back(key);
  }
  // If the agent had seen this leader's term when it built the heartbeat, the heartbeat is newer than any that was
  // answered with the start command. A task that it does not report is not running and will not start. An allocation
  // that was never reported and is not stopping is started instead.
  const bool saw_term = exchange.machine.has_seen_term || !kept(Guard::absent_saw_term);
  std::vector<Command> starts;
  for (const TaskKey& key : unreported) {
    Allocation& allocation = *cluster_.jobs.find_allocation(key);
    if (!allocation.durable || allocation.incarnation != exchange.heartbeat.incarnation) continue;
    Job& job = cluster_.jobs.at(key.job);
    if (saw_term && (allocation.reported_state || allocation.stopping || !kept(Guard::absent_told))) {
      tasks_.confirm_terminated(job, key.index, allocation.reported_state ? "no longer reported" : "never started",
                                exchange.now);
      tasks_.end_gang_attempt(job);
      continue;
    }
    if (tasks_.can_start(job, allocation, exchange.now))
      starts.push_back(start_command(exchange.machine, key, allocation.attempt, exchange.now));
  }
  return starts;
}

void Reconciler::on_eviction_notice(Exchange& exchange, double notice_s) {
  Machine& machine = exchange.machine;
  tasks_.drain_machine(machine,
                       "the cloud reclaims the machine in " + std::to_string(static_cast<int>(notice_s)) + " s");
  for (const TaskKey& key : machine.allocations) {
    if (!exchange.reported.contains(key)) continue;
    const Allocation& allocation = *cluster_.jobs.find_allocation(key);
    exchange.commands.push_back(stop_command(key, allocation.attempt, allocation.grace_s));
  }
}

std::vector<Command> Reconciler::newly_due_commands(const wire::Heartbeat& heartbeat, Instant now) {
  std::vector<Command> commands;
  const auto entry = cluster_.machines.find(heartbeat.machine);
  if (entry == cluster_.machines.end()) return commands;
  Machine& machine = entry->second;
  // A newer heartbeat of the machine has been processed meanwhile, so this one is outdated.
  if (!cluster_.machines.is_latest(heartbeat)) return commands;
  std::set<TaskKey> reported;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    reported.insert(status.task);
    if (status.state == TaskState::ended && cluster_.jobs.is_record_current(status.task)) {
      if (can_clear(cluster_, machine, status, now)) commands.push_back(forget_command(status));
      reported.erase(status.task);
    }
  }
  if (machine.state != MachineState::up) return commands;
  for (const TaskKey& key : machine.allocations) {
    const Allocation& allocation = *cluster_.jobs.find_allocation(key);
    if (reported.contains(key) || allocation.incarnation != heartbeat.incarnation || allocation.reported_state)
      continue;
    if (tasks_.can_start(cluster_.jobs.at(key.job), allocation, now))
      commands.push_back(start_command(machine, key, allocation.attempt, now));
  }
  return commands;
}

bool is_heartbeat_durable(const ClusterState& cluster, const wire::Heartbeat& heartbeat) {
  const auto entry = cluster.machines.find(heartbeat.machine);
  if (entry == cluster.machines.end()) return true;
  const bool ends_recorded = std::ranges::all_of(heartbeat.tasks, [&](const wire::TaskStatus& status) {
    return status.state != TaskState::ended || cluster.jobs.is_record_current(status.task);
  });
  return ends_recorded && std::ranges::all_of(entry->second.allocations, [&](const TaskKey& key) {
           return cluster.jobs.at(key.job)
               .shards[key.index / constants::kTasksPerShard]
               .allocations.at(key.index)
               .durable;
         });
}

}  // namespace foxshunt::control
