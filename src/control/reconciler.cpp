#include "control/reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <string>

#include "config/constants.h"
#include "config/guards.h"
#include "control/job_requirements.h"
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

Command start_command(const TaskKey& task, AttemptNumber attempt) {
  return {.kind = CommandKind::run, .task = task, .attempt = attempt};
}

Command forget_command(const wire::TaskStatus& status) {
  return {.kind = CommandKind::clear, .task = status.task, .attempt = status.attempt};
}

// Whether the task ended only after its image was there.
bool ended_with_image(const wire::TaskStatus& status, const Allocation& allocation) {
  const EndReason reason = status.reason;
  if (reason == EndReason::no_room || reason == EndReason::in_use || reason == EndReason::unknown) return false;
  return allocation.seen && *allocation.seen != TaskState::fetching;
}

}  // namespace

std::vector<Command> Reconciler::on_heartbeat(const wire::Heartbeat& heartbeat, Instant now) {
  if (!cluster_.machines.should_accept(heartbeat)) return {};
  Exchange exchange{.heartbeat = heartbeat, .machine = learn_machine(heartbeat, now), .now = now};
  lose_tasks_of_earlier_incarnations(exchange);
  take_statuses(exchange);
  std::vector<Command> starts = take_absent_tasks(exchange);
  if (heartbeat.notice_s && exchange.machine.state == MachineState::up) {
    evict(exchange, *heartbeat.notice_s);
    starts.clear();
  }
  for (const Command& start : starts) {
    spdlog::debug("machine {}: told to run {} attempt {}", exchange.machine.id.text(), start.task.text(),
                  start.attempt.number());
  }
  exchange.commands.insert(exchange.commands.end(), starts.begin(), starts.end());
  return std::move(exchange.commands);
}

Machine& Reconciler::learn_machine(const wire::Heartbeat& heartbeat, Instant now) {
  Machine& machine = cluster_.know_machine(heartbeat.machine, now);
  if (cluster_.machines.apply_heartbeat(machine, heartbeat, leadership_.term(), now)) cluster_.plan_wanted = true;
  cluster_.refresh_plan_machine(machine);
  return machine;
}

void Reconciler::lose_tasks_of_earlier_incarnations(const Exchange& exchange) {
  std::vector<TaskKey> lost;
  for (const TaskKey& key : exchange.machine.allocations) {
    const Allocation* allocation = cluster_.jobs.find_allocation(key);
    const bool earlier = allocation != nullptr && allocation->incarnation < exchange.heartbeat.incarnation;
    if (earlier && kept(Guard::ended_session)) lost.push_back(key);
  }
  for (const TaskKey& key : lost) tasks_.lose_task(key, "the machine's session ended", exchange.now);
}

void Reconciler::take_statuses(Exchange& exchange) {
  bool unknown_tasks = false;
  for (const wire::TaskStatus& status : exchange.heartbeat.tasks) {
    const bool active = status.state != TaskState::ended;
    if (Allocation* allocation = find_allocation(exchange, status); allocation != nullptr) {
      Job& job = *find_job(status);
      exchange.present.insert(status.task);
      if (active) {
        on_task_active(exchange, job, *allocation, status);
        continue;
      }
      on_task_ended(exchange, job, Allocation(*allocation), status);
    }
    if (active) {
      // Not placed here by any record: nobody wants it, and it takes room.
      unknown_tasks = true;
      exchange.commands.push_back(stop_command(status.task, status.attempt, 0));
      continue;
    }
    // Forgotten by the agent only when the record says how it ended.
    if (!kept(Guard::clear_settled) || cluster_.jobs.settled(status.task)) {
      exchange.commands.push_back(forget_command(status));
    }
  }
  Machine& machine = exchange.machine;
  if (unknown_tasks && !machine.has_unknown_tasks)
    spdlog::warn("machine {} has tasks that no record places there", machine.id.text());
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
  // A gang's lost task is replaced with the same attempt number, on the same machine perhaps. A heartbeat of the incarnation
  // before, held up until a new leader has begun, would tell of the end of the one that runs.
  if (kept(Guard::report_session) && allocation->incarnation != exchange.heartbeat.incarnation) return nullptr;
  return allocation;
}

void Reconciler::on_task_active(Exchange& exchange, Job& job, Allocation& allocation, const wire::TaskStatus& status) {
  Machine& machine = exchange.machine;
  if (status.state != TaskState::fetching) {
    if (allocation.seen.value_or(TaskState::fetching) == TaskState::fetching) cluster_.know_image(machine, job.spec);
  } else if (allocation.seen && cluster_.pools.on()) {
    // Told twice, it is not only on its way: what was believed to be there is not.
    machine.images.erase(job.spec.image);
    cluster_.pools.was_missing(machine.id, job.spec.image);
  }
  if (status.state == TaskState::running && !allocation.running_since) {
    on_task_began(job, machine, allocation, status.task.index, exchange.now);
  }
  // Who waits for the last image is due.
  if (allocation.seen != status.state && job.gather_until) cluster_.plan_wanted = true;
  allocation.seen = status.state;
  if (allocation.stopping) exchange.commands.push_back(stop_command(status.task, status.attempt, allocation.grace_s));
}

void Reconciler::on_task_began(Job& job, const Machine& machine, Allocation& allocation, std::uint32_t index,
                               Instant now) {
  allocation.running_since = std::min(now, allocation.told_began.value_or(now));
  cluster_.pools.began({job.spec.id, index}, job.spec, now - allocation.placed);
  cluster_.planner.revoke(allocation.booking);
  Millis left = estimate(job);
  if (const auto saved = job.saved.find(index); saved != job.saved.end()) {
    left = std::max(left - saved->second, constants::kStartTimeout);
  }
  if (allocation.told_began) left = std::max(left - (now - *allocation.running_since), constants::kStartTimeout);
  allocation.booking = cluster_.planner.book(
      {.machine = machine.id, .team = job.spec.team, .amounts = job.each, .start = now, .stop = now + left});
  spdlog::info("task {} attempt {} runs on {}, {:.1f} s after its job's submission", TaskKey{job.spec.id, index}.text(),
               allocation.attempt.number(), machine.id.text(), to_seconds(now - job.submitted));
  // The tasks of a gang begin together, so that the first one to run tells it of all. A new leader tells it once more.
  if (job.begun) return;
  spdlog::info("job begins job={} class={} tasks={} wait_s={:.1f}", job.spec.id.text(), job.spec.job_class,
               job.spec.tasks, to_seconds(now - job.submitted));
  job.begun = true;
}

void Reconciler::on_task_ended(Exchange& exchange, Job& job, const Allocation& allocation,
                               const wire::TaskStatus& status) {
  const std::uint32_t index = status.task.index;
  // What was reckoned of its fetches was wrong: the next attempt waits for the heartbeats.
  if (status.reason == EndReason::alone) job.in_stages = true;
  if (ended_with_image(status, allocation)) cluster_.know_image(exchange.machine, job.spec);
  switch (status.reason) {
    case EndReason::done:
      exchange.machine.errors = 0;
      // A service's replica has no end of its own: it is started again.
      if (job.spec.kind == wire::JobKind::service || job.cancelled) break;
      return tasks_.finish(job, index, exchange.now);
    case EndReason::stopped:
      if (status.saved && allocation.running_since) return on_task_saved(job, allocation, index, exchange.now);
      break;
    case EndReason::error: on_task_failed(exchange, job, status); break;
    case EndReason::unknown: job.not_before = exchange.now + constants::kTaskErrorBackoff; break;
    default: break;
  }
  tasks_.confirm_terminated(job, index, std::string(wire::name_of(status.reason)).c_str(), exchange.now);
  tasks_.end_gang_attempt(job);
}

void Reconciler::on_task_saved(Job& job, const Allocation& allocation, std::uint32_t index, Instant now) {
  const Millis ran = std::max(Millis(0), now - *allocation.running_since);
  job.saved[index] += ran;
  tasks_.confirm_terminated(job, index, "stopped, saved", now);
  // confirm_terminated() added the whole checkpoints of the same span.
  const Millis step = from_seconds(job.spec.checkpoint_s);
  if (step > Millis(0)) job.saved[index] -= ran / step * step;
  tasks_.end_gang_attempt(job);
}

void Reconciler::on_task_failed(Exchange& exchange, Job& job, const wire::TaskStatus& status) {
  Machine& machine = exchange.machine;
  spdlog::warn("task {} failed on {}", status.task.text(), machine.id.text());
  job.failed_on.insert(machine.id);
  // A job that fails wherever it runs says nothing about the machines.
  if (job.failed_on.size() < 3) ++machine.errors;
  // What fails while the job pauses had begun before, with what it pauses for: it is no further failure.
  if (exchange.now >= job.not_before) {
    const Millis pause =
        std::min(constants::kMaxTaskErrorBackoff, constants::kTaskErrorBackoff * (1 << std::min(job.errors, 5)));
    if (++job.errors > 1) job.not_before = exchange.now + pause;
  }
  if (machine.errors >= constants::kMaxMachineErrors) tasks_.drain(machine, "tasks fail on it");
}

std::vector<Command> Reconciler::take_absent_tasks(Exchange& exchange) {
  std::vector<TaskKey> absent;
  for (const TaskKey& key : exchange.machine.allocations) {
    if (!exchange.present.contains(key)) absent.push_back(key);
  }
  // The agent had seen our term when it made this heartbeat, and this heartbeat is newer than any that was answered with the
  // start command: what is not in it does not run and will not.
  const bool saw_term = exchange.machine.has_seen_term || !kept(Guard::absent_saw_term);
  std::vector<Command> starts;
  for (const TaskKey& key : absent) {
    Allocation& allocation = *cluster_.jobs.find_allocation(key);
    if (!allocation.durable || allocation.incarnation != exchange.heartbeat.incarnation) continue;
    Job& job = cluster_.jobs.at(key.job);
    if (saw_term && (allocation.seen || allocation.stopping || !kept(Guard::absent_told))) {
      tasks_.confirm_terminated(job, key.index, allocation.seen ? "no longer reported" : "never started", exchange.now);
      tasks_.end_gang_attempt(job);
      continue;
    }
    if (tasks_.can_start(job, allocation, exchange.now)) starts.push_back(start_command(key, allocation.attempt));
  }
  return starts;
}

void Reconciler::evict(Exchange& exchange, double notice_s) {
  Machine& machine = exchange.machine;
  tasks_.drain(machine, "the cloud takes it in " + std::to_string(static_cast<int>(notice_s)) + " s");
  for (const TaskKey& key : machine.allocations) {
    if (!exchange.present.contains(key)) continue;
    const Allocation& allocation = *cluster_.jobs.find_allocation(key);
    exchange.commands.push_back(stop_command(key, allocation.attempt, allocation.grace_s));
  }
}

std::vector<Command> Reconciler::later_commands(const wire::Heartbeat& heartbeat, Instant now) {
  std::vector<Command> commands;
  const auto entry = cluster_.machines.find(heartbeat.machine);
  if (entry == cluster_.machines.end()) return commands;
  const Machine& machine = entry->second;
  // A newer heartbeat has been taken meanwhile: this one teaches nothing any more.
  if (!cluster_.machines.is_latest(heartbeat)) return commands;
  std::set<TaskKey> present;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    present.insert(status.task);
    if (status.state == TaskState::ended && cluster_.jobs.settled(status.task)) {
      commands.push_back(forget_command(status));
      present.erase(status.task);
    }
  }
  if (machine.state != MachineState::up) return commands;
  for (const TaskKey& key : machine.allocations) {
    const Allocation& allocation = *cluster_.jobs.find_allocation(key);
    if (present.contains(key) || allocation.incarnation != heartbeat.incarnation || allocation.seen) continue;
    if (tasks_.can_start(cluster_.jobs.at(key.job), allocation, now))
      commands.push_back(start_command(key, allocation.attempt));
  }
  return commands;
}

bool is_durable(const ClusterState& cluster, const wire::Heartbeat& heartbeat) {
  const auto entry = cluster.machines.find(heartbeat.machine);
  if (entry == cluster.machines.end()) return true;
  const bool ends_recorded = std::ranges::all_of(heartbeat.tasks, [&](const wire::TaskStatus& status) {
    return status.state != TaskState::ended || cluster.jobs.settled(status.task);
  });
  return ends_recorded && std::ranges::all_of(entry->second.allocations, [&](const TaskKey& key) {
           return cluster.jobs.at(key.job)
               .shards[key.index / constants::kTasksPerShard]
               .allocations.at(key.index)
               .durable;
         });
}

}  // namespace foxshunt::control
