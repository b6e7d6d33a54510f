#include "control/scheduling_cycle.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_planner.h"
#include "control/job_requirements.h"
#include "control/planned_bookings.h"

namespace foxshunt::control {

namespace {

// Extends the bookings of allocated tasks that end now or have ended: each to one booking duration from now. The pass
// then replans the bookings that followed them.
void extend_overrunning_bookings(ClusterState& cluster, const Job& job, Instant now) {
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const plan::Booking* booking = cluster.planner.find_booking(allocation.booking);
      if (booking != nullptr && booking->stop <= now + constants::kTick) {
        cluster.planner.extend(allocation.booking, now + booking_duration(job));
      }
    }
  }
}

// Revokes the job's planned bookings and resets the results of the previous pass.
void clear_previous_plan(ClusterState& cluster, Job& job) {
  revoke_planned_bookings(cluster, job);
  job.planned_start.reset();
  job.late_tasks = 0;
  job.overdue_tasks = 0;
}

// Counts each job's tasks in zones under evacuation; these tasks will have to restart in another zone.
void count_stranded_tasks(ClusterState& cluster) {
  if (!cluster.settings.operators.zone_evacuation) return;
  for (auto& [unused, job] : cluster.jobs) job.evacuating_tasks = 0;
  for (const auto& [unused, machine] : cluster.machines) {
    if (machine.allocations.empty() || machine.expired || !cluster.zone_health.should_evacuate(machine.zone)) continue;
    const Instant until = cluster.lease_end(machine);
    for (const TaskKey& key : machine.allocations) {
      Job& job = cluster.jobs.at(key.job);
      if (job.cancelled || job.spec.kind == wire::JobKind::service) continue;
      job.evacuating_until = job.evacuating_tasks == 0 ? until : std::max(job.evacuating_until, until);
      ++job.evacuating_tasks;
    }
  }
}

}  // namespace

void SchedulingCycle::begin_pass(const PassContext& context, Instant now) {
  ClusterState& cluster = context.cluster;
  cluster.needs_planning = false;
  last_pass_started_at_ = now;
  ++context.counters.passes;
  cluster.planner.forget_before(now);
  for (auto& [unused, job] : cluster.jobs) {
    extend_overrunning_bookings(cluster, job, now);
    clear_previous_plan(cluster, job);
  }
  context.autoscaler.record_gpu_demand(cluster, now);
  count_stranded_tasks(cluster);
  context.gangs.choose_reservation_holder(cluster, context.autoscaler.demand(), now);
  remaining_jobs_.emplace();
  for (const Job* job : queue_.order_jobs(cluster, context.gangs, context.autoscaler.demand(), now))
    remaining_jobs_->push_back(job->spec.id);
}

void SchedulingCycle::end_pass(const PassContext& context, Instant now) {
  if (context.cluster.machine_types.empty()) {
    context.autoscaler.clear_wanted_machines();
  } else {
    context.autoscaler.size_fleet(context.cluster,
                                  queue_.order_jobs(context.cluster, context.gangs, context.autoscaler.demand(), now),
                                  context.deadlines, now);
  }
}

void SchedulingCycle::request_periodic_pass(ClusterState& cluster, Instant now) const {
  if (now - last_pass_started_at_ < constants::kReplanInterval) return;
  const bool any_pending = std::ranges::any_of(
      cluster.jobs, [](const auto& entry) { return !entry.second.cancelled && entry.second.pending() > 0; });
  if (any_pending) cluster.needs_planning = true;
}

bool SchedulingCycle::plan_portion(const PassContext& context, Instant now, std::size_t max_places) {
  if (!remaining_jobs_) begin_pass(context, now);
  ClusterState& cluster = context.cluster;
  JobPlanner planner(cluster, queue_, context.gangs, context.autoscaler, context.deadlines, context.tasks);
  ++context.counters.portions;
  std::size_t places = 0;
  while (!remaining_jobs_->empty() && places < max_places) {
    // A job may have been cancelled since the previous portion. Capacity may also have become free: the rest of this
    // pass may use it, and the next pass plans all jobs for it in queue order.
    const auto entry = cluster.jobs.find(remaining_jobs_->front());
    remaining_jobs_->pop_front();
    if (entry == cluster.jobs.end() || entry->second.cancelled) continue;
    Job& job = entry->second;
    if (job.pending() > 0) {
      ++context.counters.jobs_planned;
      places += planner.plan_job(job, now);
    }
    if (job.evacuating_tasks > 0) places += planner.plan_stranded_tasks(job, now);
  }
  context.counters.machines_examined += places;
  if (!remaining_jobs_->empty()) return false;
  remaining_jobs_.reset();
  end_pass(context, now);
  return true;
}

}  // namespace foxshunt::control
