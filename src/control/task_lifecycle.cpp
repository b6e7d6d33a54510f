#include "control/task_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/gang_coordinator.h"
#include "control/job_requirements.h"
#include "control/planned_bookings.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

using wire::CommandKind;

void TaskLifecycle::place_task(Job& job, std::uint32_t index, AttemptNumber attempt, Machine& machine, Instant now) {
  Millis remaining = booking_duration(job);
  if (const auto saved = job.saved_progress.find(index); saved != job.saved_progress.end()) {
    remaining = std::max(remaining - saved->second, constants::kStartTimeout);
  }
  const bool has_image = machine.images.contains(job.spec.image);
  cluster_.pools.placed({job.spec.id, index}, job.spec, has_image);
  if (!has_image) remaining += cluster_.image_fetch_duration(job.spec, machine.type);
  Allocation& allocation = cluster_.jobs.place_task(job, index, attempt, machine, now);
  allocation.booking = cluster_.planner.book({.machine = machine.id,
                                              .team = job.spec.team,
                                              .amounts = job.task_resources,
                                              .start = now,
                                              .stop = now + remaining});
  machine.idle_since.reset();
  ++cluster_.counters.placed;
  spdlog::info("task_placed task={} attempt={} machine={}", TaskKey{job.spec.id, index}.text(), attempt.number(),
               machine.id.text());
}

bool TaskLifecycle::can_start(const Job& job, const Allocation& allocation, Instant now) const {
  if ((kept(Guard::start_durable) && !allocation.durable) || allocation.stopping ||
      !leadership_.can_modify_cluster(now))
    return false;
  // A gang starts all of its tasks or none, so every member's allocation has to be durable.
  return job.spec.kind != wire::JobKind::gang || !kept(Guard::gang_durable) || jobs::JobTable::all_durable(job);
}

double TaskLifecycle::checkpoint_grace_s(const Job& job) const {
  // 10 ms more than the job's `buryS`, so that decimal rounding cannot make the grace period shorter than that.
  return job.spec.checkpoint_s > 0 && !job.cancelled ? job.spec.save_s + 0.01 : 0;
}

void TaskLifecycle::stop_task(Job& job, std::uint32_t index, double grace_s) {
  Allocation* allocation = cluster_.jobs.find_allocation({job.spec.id, index});
  if (allocation == nullptr || (allocation->stopping && allocation->grace_s <= grace_s)) return;
  allocation->stopping = true;
  allocation->grace_s = grace_s;
  mark_machine_stopping(allocation->machine);
}

void TaskLifecycle::mark_machine_stopping(const MachineId& id) {
  if (const auto machine = cluster_.machines.find(id); machine != cluster_.machines.end())
    machine->second.stopping = true;
}

void TaskLifecycle::drain_machine(Machine& machine, const std::string& why) {
  if (machine.state == MachineState::draining || machine.state == MachineState::returning) return;
  spdlog::info("machine_draining machine={} reason=\"{}\"", machine.id.text(), why);
  machine.state = MachineState::draining;
  machine.release_reason = why;
  const std::set<TaskKey> tasks = machine.allocations.copy();
  for (const TaskKey& key : tasks) {
    Job& job = cluster_.jobs.at(key.job);
    const double grace_s = checkpoint_grace_s(job);
    if (job.spec.kind == wire::JobKind::gang) {
      // Gang members are stopped together, so that all of them can write their checkpoints.
      for (JobShard& shard : job.shards) {
        for (auto& [index, unused] : shard.allocations) stop_task(job, index, grace_s);
      }
    } else {
      stop_task(job, key.index, grace_s);
    }
  }
  cluster_.needs_planning = true;
}

void TaskLifecycle::cancel_job(Job& job, Instant now) {
  revoke_planned_bookings(cluster_, job);
  for (JobShard& shard : job.shards) {
    for (auto& [unused, allocation] : shard.allocations) {
      allocation.stopping = true;
      allocation.grace_s = 0;
      mark_machine_stopping(allocation.machine);
    }
  }
  for (const std::uint32_t index : cluster_.jobs.cancel(job)) confirm_terminated(job, index, "never started", now);
  cluster_.needs_planning = true;
}

std::vector<DirectStop> TaskLifecycle::due_direct_stops(Instant now) {
  std::vector<DirectStop> due;
  if (!leadership_.is_leader()) return due;
  for (auto& [id, machine] : cluster_.machines) {
    if (!machine.stopping || !machine.has_reported || machine.address.empty()) continue;
    machine.stopping = false;
    DirectStop direct_stops{.term = leadership_.term(),
                            .machine = id,
                            .address = machine.address,
                            .incarnation = machine.incarnation,
                            .commands = {}};
    for (const TaskKey& key : machine.allocations) {
      Allocation& allocation = *cluster_.jobs.find_allocation(key);
      machine.stopping = machine.stopping || allocation.stopping;
      if (!allocation.stopping || allocation.incarnation != machine.incarnation || !allocation.reported_state) continue;
      // The answer to the next heartbeat carries the stop as well. It is sent directly only if that answer fails to
      // arrive within 1.5 heartbeat intervals.
      if (allocation.stop_due == Instant{})
        allocation.stop_due = now + from_seconds(cluster_.settings.heartbeat_interval_s * 1.5);
      if (now < allocation.stop_due) continue;
      allocation.stop_due = now + constants::kDirectStopRetryInterval;
      direct_stops.commands.push_back(
          {.kind = CommandKind::stop, .task = key, .attempt = allocation.attempt, .grace_s = allocation.grace_s});
    }
    if (!direct_stops.commands.empty()) due.push_back(std::move(direct_stops));
  }
  return due;
}

void TaskLifecycle::confirm_terminated(Job& job, std::uint32_t index, const char* why, Instant now) {
  const std::optional<Allocation> allocation = cluster_.jobs.confirm_terminated(job, index, cluster_.machines, now);
  if (!allocation) return;
  const TaskKey key{job.spec.id, index};
  cluster_.pools.ended(key);
  cluster_.planner.revoke(allocation->booking);
  spdlog::info("task_terminated task={} attempt={} machine={} reason=\"{}\"", key.text(), allocation->attempt.number(),
               allocation->machine.text(), why);
  if (allocation->running_since && job.spec.checkpoint_s > 0) {
    // Complete checkpoints survive, even if the machine is lost.
    const Millis step = from_seconds(job.spec.checkpoint_s);
    Millis& saved = job.saved_progress[index];
    saved += std::max(Millis(0), now - *allocation->running_since) / step * step;
  }
  cluster_.needs_planning = true;
}

void TaskLifecycle::finish_task(Job& job, std::uint32_t index, Instant now) {
  cluster_.jobs.mark_done(job, index);
  job.saved_progress.erase(index);
  job.consecutive_errors = 0;
  job.failed_on.clear();
  confirm_terminated(job, index, "done", now);
}

void TaskLifecycle::mark_task_lost(const TaskKey& task, const char* why, Instant now) {
  Job& job = cluster_.jobs.at(task.job);
  const bool had_run = cluster_.jobs.find_allocation(task)->running_since.has_value();
  confirm_terminated(job, task.index, why, now);
  if (!GangCoordinator::handle_member_loss(cluster_, job, had_run, now)) end_gang_attempt(job);
}

void TaskLifecycle::end_gang_attempt(Job& job) {
  if (job.spec.kind != wire::JobKind::gang) return;
  for (JobShard& shard : job.shards) {
    for (auto& [index, allocation] : shard.allocations) {
      if (!allocation.stopping) stop_task(job, index, 0);
    }
  }
}

}  // namespace foxshunt::control
