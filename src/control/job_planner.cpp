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

std::vector<plan::Placement> plan_one_per_machine(const plan::Planner& planner, plan::PlacementRequest request) {
  std::vector<plan::Placement> placements;
  const std::vector<plan::EligibleMachine> places = std::move(request.machines);
  std::uint32_t left = std::exchange(request.count, 1);
  for (auto place = places.begin(); place != places.end() && left > 0; ++place) {
    request.machines = {*place};
    for (const plan::Placement& placement : planner.plan(request)) {
      placements.push_back(placement);
      --left;
    }
  }
  return placements;
}

AttemptNumber gang_attempt(const Job& job) {
  for (const JobShard& shard : job.shards | std::views::reverse) {
    // Who joins has the number of the others.
    if (!shard.allocations.empty()) return shard.allocations.begin()->second.attempt;
  }
  AttemptNumber attempt{1};
  for (const JobShard& shard : job.shards) attempt = std::max(attempt, shard.next);
  return attempt;
}

}  // namespace

// One job's turn in a planning pass.
struct JobPlanner::JobTurn {
  bool gang = false;
  bool joins = false;     // in place of members that a gang lost before its start
  bool warms = false;     // its tasks warm the machines of a pool
  bool reserves = false;  // the gang holds the backfill reservation
  plan::PlacementRequest request;
  std::vector<plan::Placement> placements;
};

bool JobPlanner::may_replace_members(Job& job, Instant now) {
  const MissingMembers missing = GangCoordinator::missing_members(cluster_, job, now);
  if (missing == MissingMembers::overdue) tasks_.end_gang_attempt(job);
  return missing == MissingMembers::replace;
}

std::uint32_t JobPlanner::tasks_to_plan(const Job& job, bool joins) {
  const bool gang = is_gang(job);
  const std::uint32_t count =
      gang ? job.pending() : std::min<std::uint32_t>(job.pending(), constants::kMaxTasksPlannedPerPass);
  if (!queue_.ranking().on() || joins) return count;
  return static_cast<std::uint32_t>(queue_.ranking().room(job.spec, count, gang));
}

void JobPlanner::add_zones_taken(const Job& job, plan::PlacementRequest& request) const {
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

std::vector<plan::Placement> JobPlanner::plan_turn(const JobTurn& turn) const {
  if (turn.reserves) return gangs_.plan_reserved(cluster_.planner, turn.request);
  return turn.warms ? plan_one_per_machine(cluster_.planner, turn.request) : cluster_.planner.plan(turn.request);
}

std::size_t JobPlanner::find_placings(Job& job, JobTurn& turn, Instant now) {
  turn.request.machines = MachineFilter(cluster_, autoscaler_.demand()).places_for(job, now);
  std::size_t places = turn.request.machines.size();
  turn.placements = plan_turn(turn);
  if (!turn.placements.empty() || job.failed_on.empty()) return places;
  // It is kept off the machines that it failed on only as long as there are others.
  job.failed_on.clear();
  turn.request.machines = MachineFilter(cluster_, autoscaler_.demand()).places_for(job, now);
  places += turn.request.machines.size();
  turn.placements = plan_turn(turn);
  return places;
}

std::uint32_t JobPlanner::count_late_tasks(Job& job, const JobTurn& turn, Instant now) const {
  std::uint32_t planned = 0;
  // Renting helps only a task that a machine rented now would start earlier; those that boot are waited for.
  const Instant rent_after =
      now + std::max(deadlines_.scale_out_delay(job, now), autoscaler_.pricing(cluster_).longest_boot(job.spec));
  for (const plan::Placement& placement : turn.placements) {
    planned += placement.count;
    if (placement.start > rent_after + constants::kTick) job.late_tasks += placement.count;
  }
  if (planned < turn.request.count) job.late_tasks += turn.request.count - planned;
  // The pool's machines are rented by the pool.
  if (turn.warms) job.late_tasks = 0;
  return planned;
}

void JobPlanner::book_later_starts(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  for (const plan::Placement& placement : placements) {
    if (placement.start <= now && cluster_.machines.at(placement.machine).state == MachineState::up) continue;
    if (!job.planned_start || placement.start < *job.planned_start) job.planned_start = placement.start;
    book_ahead(cluster_, job, placement);
  }
}

bool JobPlanner::may_preempt(const Job& job, Instant now) const {
  return cluster_.settings.operators.preemption && now >= job.displaces_after &&
         job.planned_start.value_or(plan::kForever) > now + constants::kMinWaitToPreempt;
}

std::size_t JobPlanner::plan_job(Job& job, Instant now) {
  JobTurn turn;
  turn.gang = is_gang(job);
  // A gang begins again only when nothing of its earlier attempt is left, unless it has lost a task before it began: then
  // another one joins the rest.
  turn.joins = turn.gang && job.allocation_count > 0;
  if (!turn.joins) {
    job.gather_until.reset();
  } else if (!may_replace_members(job, now)) {
    return 0;
  }
  const std::uint32_t count = tasks_to_plan(job, turn.joins);
  if (count == 0) return 0;  // kept back by its class's cap
  turn.warms = cluster_.pools.warms(job.spec, now - job.submitted).has_value();
  turn.reserves = !turn.joins && gangs_.holds_reservation(job.spec.id);
  turn.request = planning_request(job, count, now);
  add_zones_taken(job, turn.request);
  const std::size_t places = find_placings(job, turn, now);
  const std::uint32_t planned = count_late_tasks(job, turn, now);
  if (queue_.ranking().on() && !turn.joins) queue_.ranking().take(job.spec, planned);
  const std::uint32_t pending_before = job.pending();
  if (place_due(job, turn.placements, now) && turn.gang) return places;
  book_later_starts(job, turn.placements, now);
  if (turn.reserves) gangs_.keep_machines_free(cluster_, job, turn.placements, now);
  if (!turn.warms && !turn.joins)
    job.overdue_tasks = deadlines_.overdue({cluster_, autoscaler_.demand(), autoscaler_.capacity(), queue_.ranking()},
                                           job, turn.placements, turn.request.machines, now);
  // Under a cap only what was planned may displace anything.
  const std::uint32_t left = queue_.ranking().on() ? count - (pending_before - job.pending()) : job.pending();
  if (left == 0) return places;
  if (!turn.joins && may_preempt(job, now))
    Preemptor(cluster_, queue_, tasks_).preempt_for(job, left, turn.request.machines, now);
  if (queue_.ranking().on() && quota_for(cluster_, job, turn.gang ? left : 1)) queue_.ranking().lacks_room(job.spec.id);
  return places;
}

bool JobPlanner::gang_fits_now(const Job& job, const std::vector<plan::Placement>& placements, Instant now) const {
  const bool all_fit = std::ranges::all_of(placements, [&](const plan::Placement& placement) {
    const Machine& machine = cluster_.machines.at(placement.machine);
    return placement.start <= now && cluster_.usable(machine, now) &&
           room_for(cluster_, job, machine, placement.count) && place_allowed(cluster_, job, machine, placement.count);
  });
  return all_fit && !placements.empty() && quota_for(cluster_, job, job.pending());
}

bool JobPlanner::place_gang(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  if (!gang_fits_now(job, placements, now)) return false;
  const AttemptNumber attempt = gang_attempt(job);
  const std::vector<std::uint32_t> tasks = jobs::JobTable::pending_tasks(job, job.spec.tasks);
  auto next = tasks.begin();
  for (const plan::Placement& placement : GangCoordinator::members_due(cluster_, job, placements, now)) {
    for (std::uint32_t at = 0; at < placement.count && next != tasks.end(); ++at, ++next) {
      tasks_.place(job, *next, attempt, cluster_.machines.at(placement.machine), now);
    }
  }
  if (next == tasks.end()) job.gather_until.reset();
  return true;
}

bool JobPlanner::place_due(Job& job, const std::vector<plan::Placement>& placements, Instant now) {
  if (!tasks_.can_start_anything(now)) return false;
  if (is_gang(job)) return place_gang(job, placements, now);
  bool any = false;
  for (const plan::Placement& placement : placements) {
    Machine& machine = cluster_.machines.at(placement.machine);
    if (placement.start > now || !cluster_.usable(machine, now)) continue;
    for (const std::uint32_t index : jobs::JobTable::pending_tasks(job, placement.count)) {
      if (!room_for(cluster_, job, machine, 1) || !quota_for(cluster_, job, 1) ||
          !place_allowed(cluster_, job, machine, 1))
        break;
      tasks_.place(job, index, job.shards[index / constants::kTasksPerShard].next, machine, now);
      any = true;
    }
  }
  return any;
}

// Room for what will have to start again elsewhere once it is proved gone: booked from then on in the job's turn, so that
// machines are rented for it just in time and nothing less important takes the room meanwhile. If the zone returns before,
// nothing has moved, and the next pass books none of it.
std::size_t JobPlanner::plan_stranded(Job& job, Instant now) {
  // Renting before a boot would end at the proof costs for nothing.
  const bool due = job.stranded_until - now <= autoscaler_.pricing(cluster_).longest_boot(job.spec);
  if (!due) return 0;
  const std::uint32_t count = is_gang(job) ? job.spec.tasks - job.done_count
                                           : std::min(job.stranded, std::uint32_t{constants::kMaxTasksPlannedPerPass});
  plan::PlacementRequest request = planning_request(job, count, std::max(now, job.stranded_until));
  request.machines = MachineFilter(cluster_, autoscaler_.demand()).places_for(job, now);
  std::uint32_t planned = 0;
  for (const plan::Placement& placement : cluster_.planner.plan(request)) {
    planned += placement.count;
    if (placement.start > request.earliest_start + constants::kTick) job.late_tasks += placement.count;
    book_ahead(cluster_, job, placement);
  }
  if (planned < request.count) job.late_tasks += static_cast<std::uint32_t>(request.count - planned);
  return request.machines.size();
}

}  // namespace foxshunt::control
