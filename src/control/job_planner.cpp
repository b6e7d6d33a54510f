#include "control/job_planner.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/machine_filter.h"
#include "control/placement_rules.h"
#include "control/planned_bookings.h"
#include "control/preemptor.h"

namespace foxshunt::control {

namespace {

// Plans at most one task per machine, in the order of the request's machines.
std::vector<plan::Placement> plan_one_per_machine(const plan::Planner& planner, plan::PlacementRequest request) {
  std::vector<plan::Placement> placements;
  const std::vector<plan::EligibleMachine> eligible_machines = std::move(request.machines);
  std::uint32_t remaining = std::exchange(request.count, 1);
  for (auto eligible = eligible_machines.begin(); eligible != eligible_machines.end() && remaining > 0; ++eligible) {
    request.machines = {*eligible};
    for (const plan::Placement& placement : planner.plan(request)) {
      placements.push_back(placement);
      --remaining;
    }
  }
  return placements;
}

// The attempt number for the gang's next placements: that of its allocated members, or a new one if there are none.
AttemptNumber gang_attempt_number(const Job& job) {
  for (const JobShard& shard : job.shards | std::views::reverse) {
    // A replacement gets the attempt number of the other members.
    if (!shard.allocations.empty()) return shard.allocations.begin()->second.attempt;
  }
  AttemptNumber attempt{1};
  for (const JobShard& shard : job.shards) attempt = std::max(attempt, shard.next_attempt);
  return attempt;
}

}  // namespace

// The state of planning one job in a pass.
struct JobPlanner::JobPlanningContext {
  bool gang = false;
  bool replaces_members = false;  // the tasks replace members that the gang lost before its start
  bool warms_pool = false;        // the job fills the image caches of a warm pool's machines
  bool uses_reservation = false;  // the gang holds the backfill reservation
  plan::PlacementRequest request;
  std::vector<plan::Placement> placements;
};

bool JobPlanner::may_replace_members(Job& job, Instant now) {
  const MissingMemberAction missing = GangCoordinator::choose_missing_member_action(cluster_, job, now);
  if (missing == MissingMemberAction::end_attempt) tasks_.end_gang_attempt(job);
  return missing == MissingMemberAction::replace;
}

std::uint32_t JobPlanner::count_tasks_to_plan(const Job& job, bool replaces_members) {
  const bool gang = is_gang(job);
  const std::uint32_t count =
      gang ? job.pending() : std::min<std::uint32_t>(job.pending(), constants::kMaxTasksPlannedPerPass);
  if (!queue_.ranking().on() || replaces_members) return count;
  return static_cast<std::uint32_t>(queue_.ranking().room(job.spec, count, gang));
}

void JobPlanner::add_occupied_zones(const Job& job, plan::PlacementRequest& request) const {
  if (!job.spec.spread && !job.spec.one_zone) return;
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto machine = cluster_.machines.find(allocation.machine);
      if (machine == cluster_.machines.end()) continue;
      ++request.tasks_by_zone[machine->second.zone];
      if (job.spec.one_zone) request.required_zone = machine->second.zone;
    }
  }
}

std::vector<plan::Placement> JobPlanner::compute_placements(const JobPlanningContext& context) const {
  if (context.uses_reservation) return gangs_.plan_reservation_holder(cluster_.planner, context.request);
  return context.warms_pool ? plan_one_per_machine(cluster_.planner, context.request)
                            : cluster_.planner.plan(context.request);
}

std::size_t JobPlanner::find_placements(Job& job, JobPlanningContext& context, Instant now) {
  context.request.machines = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  std::size_t examined_machines = context.request.machines.size();
  context.placements = compute_placements(context);
  if (!context.placements.empty() || job.failed_on.empty()) return examined_machines;
  // The machines on which the job failed are excluded only while it can be planned on other machines.
  job.failed_on.clear();
  context.request.machines = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  examined_machines += context.request.machines.size();
  context.placements = compute_placements(context);
  return examined_machines;
}

std::uint32_t JobPlanner::count_late_tasks(Job& job, const JobPlanningContext& context, Instant now) const {
  std::uint32_t planned = 0;
  // A task counts as late only if it could start earlier on a machine rented now. The plan already includes the
  // machines that are booting.
  const Instant rented_machine_ready =
      now + std::max(deadlines_.scale_out_delay(job, now), autoscaler_.pricing(cluster_).max_boot_time(job.spec));
  for (const plan::Placement& placement : context.placements) {
    planned += placement.count;
    if (placement.start > rented_machine_ready + constants::kTick) job.late_tasks += placement.count;
  }
  if (planned < context.request.count) job.late_tasks += context.request.count - planned;
  // Warm pools rent their own machines. Tasks counted as late would make the autoscaler rent machines as well.
  if (context.warms_pool) job.late_tasks = 0;
  return planned;
}

void JobPlanner::book_later_starts(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  for (const plan::Placement& placement : placements) {
    if (placement.start <= now && cluster_.machines.at(placement.machine).state == MachineState::up) continue;
    if (!job.planned_start || placement.start < *job.planned_start) job.planned_start = placement.start;
    book_planned_tasks(cluster_, job, placement);
  }
}

bool JobPlanner::may_preempt(const Job& job, Instant now) const {
  return cluster_.settings.operators.preemption && now >= job.may_preempt_after &&
         job.planned_start.value_or(plan::kForever) > now + constants::kMinWaitToPreempt;
}

std::size_t JobPlanner::plan_job(Job& job, Instant now) {
  JobPlanningContext context;
  context.gang = is_gang(job);
  // A gang starts a new attempt only when no member of the previous attempt is allocated. Members lost before the start
  // are replaced within the attempt.
  context.replaces_members = context.gang && job.allocation_count > 0;
  if (!context.replaces_members) {
    job.barrier_deadline.reset();
  } else if (!may_replace_members(job, now)) {
    return 0;
  }
  const std::uint32_t count = count_tasks_to_plan(job, context.replaces_members);
  if (count == 0) return 0;  // the cap of the job's class is reached
  context.warms_pool = cluster_.pools.warms(job.spec, now - job.submitted).has_value();
  context.uses_reservation = !context.replaces_members && gangs_.holds_reservation(job.spec.id);
  context.request = make_planning_request(job, count, now);
  add_occupied_zones(job, context.request);
  const std::size_t examined_machines = find_placements(job, context, now);
  const std::uint32_t planned = count_late_tasks(job, context, now);
  if (queue_.ranking().on() && !context.replaces_members) queue_.ranking().take(job.spec, planned);
  const std::uint32_t pending_before = job.pending();
  if (place_due_tasks(job, context.placements, now) && context.gang) return examined_machines;
  book_later_starts(job, context.placements, now);
  if (context.uses_reservation) gangs_.reserve_machines(cluster_, job, context.placements, now);
  if (!context.warms_pool && !context.replaces_members)
    job.overdue_tasks =
        deadlines_.count_overdue_tasks({cluster_, autoscaler_.demand(), autoscaler_.capacity(), queue_.ranking()}, job,
                                       context.placements, context.request.machines, now);
  // If the class ranking is enabled, only tasks within the class's cap may preempt other work.
  const std::uint32_t unplaced_tasks = queue_.ranking().on() ? count - (pending_before - job.pending()) : job.pending();
  if (unplaced_tasks == 0) return examined_machines;
  if (!context.replaces_members && may_preempt(job, now))
    Preemptor(cluster_, queue_, tasks_).preempt_for(job, unplaced_tasks, context.request.machines, now);
  if (queue_.ranking().on() && team_has_quota(cluster_, job, context.gang ? unplaced_tasks : 1))
    queue_.ranking().lacks_room(job.spec.id);
  return examined_machines;
}

bool JobPlanner::can_place_gang_now(const Job& job, const std::vector<plan::Placement>& placements, Instant now) const {
  const bool all_fit = std::ranges::all_of(placements, [&](const plan::Placement& placement) {
    const Machine& machine = cluster_.machines.at(placement.machine);
    return placement.start <= now && cluster_.is_schedulable(machine, now) &&
           machine_has_room(cluster_, job, machine, placement.count) &&
           is_placement_allowed(cluster_, job, machine, placement.count);
  });
  return all_fit && !placements.empty() && team_has_quota(cluster_, job, job.pending());
}

bool JobPlanner::place_gang(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  if (!can_place_gang_now(job, placements, now)) return false;
  const AttemptNumber attempt = gang_attempt_number(job);
  const std::vector<std::uint32_t> tasks = jobs::JobTable::pending_tasks(job, job.spec.tasks);
  auto next = tasks.begin();
  for (const plan::Placement& placement : GangCoordinator::select_members_to_place(cluster_, job, placements, now)) {
    for (std::uint32_t at = 0; at < placement.count && next != tasks.end(); ++at, ++next) {
      tasks_.place_task(job, *next, attempt, cluster_.machines.at(placement.machine), now);
    }
  }
  if (next == tasks.end()) job.barrier_deadline.reset();
  return true;
}

bool JobPlanner::place_due_tasks(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  if (!tasks_.can_start_or_preempt(now)) return false;
  if (is_gang(job)) return place_gang(job, placements, now);
  bool any_placed = false;
  for (const plan::Placement& placement : placements) {
    Machine& machine = cluster_.machines.at(placement.machine);
    if (placement.start > now || !cluster_.is_schedulable(machine, now)) continue;
    for (const std::uint32_t index : jobs::JobTable::pending_tasks(job, placement.count)) {
      if (!machine_has_room(cluster_, job, machine, 1) || !team_has_quota(cluster_, job, 1) ||
          !is_placement_allowed(cluster_, job, machine, 1))
        break;
      tasks_.place_task(job, index, job.shards[index / constants::kTasksPerShard].next_attempt, machine, now);
      any_placed = true;
    }
  }
  return any_placed;
}

// Tasks in a zone under evacuation restart elsewhere once they are confirmed terminated. Room for them is booked from
// that time on, in queue order, so that machines are rented just in time and less important jobs do not take the room
// meanwhile. If the zone recovers first, no task has moved, and the next pass does not renew the bookings.
std::size_t JobPlanner::plan_stranded_tasks(Job& job, Instant now) {
  // A machine rented earlier would be ready, idle and paid for before the tasks are confirmed terminated.
  const bool due = job.evacuating_until - now <= autoscaler_.pricing(cluster_).max_boot_time(job.spec);
  if (!due) return 0;
  const std::uint32_t count = is_gang(job)
                                  ? job.spec.tasks - job.done_count
                                  : std::min(job.evacuating_tasks, std::uint32_t{constants::kMaxTasksPlannedPerPass});
  plan::PlacementRequest request = make_planning_request(job, count, std::max(now, job.evacuating_until));
  request.machines = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  std::uint32_t planned = 0;
  for (const plan::Placement& placement : cluster_.planner.plan(request)) {
    planned += placement.count;
    if (placement.start > request.earliest_start + constants::kTick) job.late_tasks += placement.count;
    book_planned_tasks(cluster_, job, placement);
  }
  if (planned < request.count) job.late_tasks += static_cast<std::uint32_t>(request.count - planned);
  return request.machines.size();
}

}  // namespace foxshunt::control
