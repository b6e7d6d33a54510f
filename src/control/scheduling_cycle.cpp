#include "control/scheduling_cycle.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_planner.h"
#include "control/job_requirements.h"
#include "control/planned_bookings.h"

namespace foxshunt::control {

namespace {

// An overrunning booking is extended by its estimate; what was booked behind it is planned anew.
void extend_overrunning(ClusterState& cluster, const Job& job, Instant now) {
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const plan::Booking* booking = cluster.planner.booking(allocation.booking);
      if (booking != nullptr && booking->stop <= now + constants::kTick) {
        cluster.planner.extend(allocation.booking, now + estimate(job));
      }
    }
  }
}

void forget_latest_plan(ClusterState& cluster, Job& job) {
  revoke_bookings(cluster, job);
  job.planned_start.reset();
  job.late_tasks = 0;
  job.overdue_tasks = 0;
}

// Counts the tasks in zones that are being left, which will have to start again elsewhere.
void find_stranded(ClusterState& cluster) {
  if (!cluster.settings.operators.zone_evacuation) return;
  for (auto& [unused, job] : cluster.jobs) job.stranded = 0;
  for (const auto& [unused, machine] : cluster.machines) {
    if (machine.allocations.empty() || machine.expired || !cluster.zones.should_evacuate(machine.zone)) continue;
    const Instant until = cluster.lease_end(machine);
    for (const TaskKey& key : machine.allocations) {
      Job& job = cluster.jobs.at(key.job);
      if (job.cancelled || job.spec.kind == wire::JobKind::service) continue;
      job.stranded_until = job.stranded == 0 ? until : std::max(job.stranded_until, until);
      ++job.stranded;
    }
  }
}

}  // namespace

void SchedulingCycle::begin_pass(const PassContext& context, Instant now) {
  ClusterState& cluster = context.cluster;
  cluster.plan_wanted = false;
  planned_ = now;
  ++context.counters.passes;
  cluster.planner.forget_before(now);
  for (auto& [unused, job] : cluster.jobs) {
    extend_overrunning(cluster, job, now);
    forget_latest_plan(cluster, job);
  }
  context.autoscaler.learn_gpu_demand(cluster, now);
  find_stranded(cluster);
  context.gangs.choose_holder(cluster, context.autoscaler.demand(), now);
  pass_.emplace();
  for (const Job* job : queue_.order(cluster, context.gangs, context.autoscaler.demand(), now))
    pass_->push_back(job->spec.id);
}

void SchedulingCycle::end_pass(const PassContext& context, Instant now) {
  if (context.cluster.types.empty()) {
    context.autoscaler.want_nothing();
  } else {
    context.autoscaler.size_fleet(context.cluster,
                                  queue_.order(context.cluster, context.gangs, context.autoscaler.demand(), now),
                                  context.deadlines, now);
  }
}

void SchedulingCycle::request_overdue_pass(ClusterState& cluster, Instant now) const {
  if (now - planned_ < constants::kReplanInterval) return;
  const bool any_pending = std::ranges::any_of(
      cluster.jobs, [](const auto& entry) { return !entry.second.cancelled && entry.second.pending() > 0; });
  if (any_pending) cluster.plan_wanted = true;
}

bool SchedulingCycle::plan_portion(const PassContext& context, Instant now, std::size_t places_most) {
  if (!pass_) begin_pass(context, now);
  ClusterState& cluster = context.cluster;
  JobPlanner planner(cluster, queue_, context.gangs, context.autoscaler, context.deadlines, context.tasks);
  ++context.counters.portions;
  std::size_t places = 0;
  while (!pass_->empty() && places < places_most) {
    // Between portions a job may have been withdrawn, and room may have become free: that is planned for in its order
    // by the next pass, and what is left of this one may use it already.
    const auto entry = cluster.jobs.find(pass_->front());
    pass_->pop_front();
    if (entry == cluster.jobs.end() || entry->second.cancelled) continue;
    Job& job = entry->second;
    if (job.pending() > 0) {
      ++context.counters.jobs_planned;
      places += planner.plan_job(job, now);
    }
    if (job.stranded > 0) places += planner.plan_stranded(job, now);
  }
  context.counters.places_seen += places;
  if (!pass_->empty()) return false;
  pass_.reset();
  end_pass(context, now);
  return true;
}

}  // namespace foxshunt::control
