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

std::vector<plan::Placing> plan_one_per_machine(const plan::Planner& planner, plan::Request request) {
  std::vector<plan::Placing> placings;
  const std::vector<plan::Place> places = std::move(request.places);
  std::uint32_t left = std::exchange(request.count, 1);
  for (auto place = places.begin(); place != places.end() && left > 0; ++place) {
    request.places = {*place};
    for (const plan::Placing& placing : planner.plan(request)) {
      placings.push_back(placing);
      --left;
    }
  }
  return placings;
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
struct JobPlanner::JobPlanningContext {
  bool gang = false;
  bool joins = false;     // in place of members that a gang lost before its start
  bool warms = false;     // its tasks warm the machines of a pool
  bool reserves = false;  // the gang holds the backfill reservation
  plan::Request request;
  std::vector<plan::Placing> placings;
};

bool JobPlanner::may_replace_members(Job& job, Instant now) {
  const MissingMemberAction missing = GangCoordinator::choose_missing_member_action(cluster_, job, now);
  if (missing == MissingMemberAction::end_attempt) tasks_.end_gang_attempt(job);
  return missing == MissingMemberAction::replace;
}

std::uint32_t JobPlanner::count_tasks_to_plan(const Job& job, bool joins) {
  const bool gang = is_gang(job);
  const std::uint32_t count =
      gang ? job.pending() : std::min<std::uint32_t>(job.pending(), constants::kMaxTasksPlannedPerPass);
  if (!queue_.ranking().on() || joins) return count;
  return static_cast<std::uint32_t>(queue_.ranking().room(job.spec, count, gang));
}

void JobPlanner::add_occupied_zones(const Job& job, plan::Request& request) const {
  if (!job.spec.spread && !job.spec.one_zone) return;
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto machine = cluster_.machines.find(allocation.machine);
      if (machine == cluster_.machines.end()) continue;
      ++request.zone_taken[machine->second.zone];
      if (job.spec.one_zone) request.zone_bound = machine->second.zone;
    }
  }
}

std::vector<plan::Placing> JobPlanner::compute_placings(const JobPlanningContext& turn) const {
  if (turn.reserves) return gangs_.plan_reservation_holder(cluster_.planner, turn.request);
  return turn.warms ? plan_one_per_machine(cluster_.planner, turn.request) : cluster_.planner.plan(turn.request);
}

std::size_t JobPlanner::find_placings(Job& job, JobPlanningContext& turn, Instant now) {
  turn.request.places = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  std::size_t places = turn.request.places.size();
  turn.placings = compute_placings(turn);
  if (!turn.placings.empty() || job.failed_on.empty()) return places;
  // It is kept off the machines that it failed on only as long as there are others.
  job.failed_on.clear();
  turn.request.places = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  places += turn.request.places.size();
  turn.placings = compute_placings(turn);
  return places;
}

std::uint32_t JobPlanner::count_late_tasks(Job& job, const JobPlanningContext& turn, Instant now) const {
  std::uint32_t planned = 0;
  // Renting helps only a task that a machine rented now would start earlier; those that boot are waited for.
  const Instant rent_after =
      now + std::max(deadlines_.scale_out_delay(job, now), autoscaler_.pricing(cluster_).max_boot_time(job.spec));
  for (const plan::Placing& placing : turn.placings) {
    planned += placing.count;
    if (placing.start > rent_after + constants::kTick) job.late_tasks += placing.count;
  }
  if (planned < turn.request.count) job.late_tasks += turn.request.count - planned;
  // The pool's machines are rented by the pool.
  if (turn.warms) job.late_tasks = 0;
  return planned;
}

void JobPlanner::book_later_starts(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  for (const plan::Placing& placing : placings) {
    if (placing.start <= now && cluster_.machines.at(placing.machine).state == MachineState::up) continue;
    if (!job.planned_start || placing.start < *job.planned_start) job.planned_start = placing.start;
    book_planned_tasks(cluster_, job, placing);
  }
}

bool JobPlanner::may_preempt(const Job& job, Instant now) const {
  return cluster_.settings.operators.preemption && now >= job.displaces_after &&
         job.planned_start.value_or(plan::kForever) > now + constants::kMinWaitToPreempt;
}

std::size_t JobPlanner::plan_job(Job& job, Instant now) {
  JobPlanningContext turn;
  turn.gang = is_gang(job);
  // A gang begins again only when nothing of its earlier attempt is left, unless it has lost a task before it began: then
  // another one joins the rest.
  turn.joins = turn.gang && job.allocation_count > 0;
  if (!turn.joins) {
    job.gather_until.reset();
  } else if (!may_replace_members(job, now)) {
    return 0;
  }
  const std::uint32_t count = count_tasks_to_plan(job, turn.joins);
  if (count == 0) return 0;  // kept back by its class's cap
  turn.warms = cluster_.pools.warms(job.spec, now - job.submitted).has_value();
  turn.reserves = !turn.joins && gangs_.holds_reservation(job.spec.id);
  turn.request = make_planning_request(job, count, now);
  add_occupied_zones(job, turn.request);
  const std::size_t places = find_placings(job, turn, now);
  const std::uint32_t planned = count_late_tasks(job, turn, now);
  if (queue_.ranking().on() && !turn.joins) queue_.ranking().take(job.spec, planned);
  const std::uint32_t pending_before = job.pending();
  if (place_due_tasks(job, turn.placings, now) && turn.gang) return places;
  book_later_starts(job, turn.placings, now);
  if (turn.reserves) gangs_.reserve_machines(cluster_, job, turn.placings, now);
  if (!turn.warms && !turn.joins)
    job.overdue_tasks =
        deadlines_.count_overdue_tasks({cluster_, autoscaler_.demand(), autoscaler_.capacity(), queue_.ranking()}, job,
                                       turn.placings, turn.request.places, now);
  // Under a cap only what was planned may displace anything.
  const std::uint32_t left = queue_.ranking().on() ? count - (pending_before - job.pending()) : job.pending();
  if (left == 0) return places;
  if (!turn.joins && may_preempt(job, now))
    Preemptor(cluster_, queue_, tasks_).preempt_for(job, left, turn.request.places, now);
  if (queue_.ranking().on() && team_has_quota(cluster_, job, turn.gang ? left : 1))
    queue_.ranking().lacks_room(job.spec.id);
  return places;
}

bool JobPlanner::can_place_gang_now(const Job& job, const std::vector<plan::Placing>& placings, Instant now) const {
  const bool all_fit = std::ranges::all_of(placings, [&](const plan::Placing& placing) {
    const Machine& machine = cluster_.machines.at(placing.machine);
    return placing.start <= now && cluster_.is_schedulable(machine, now) &&
           machine_has_room(cluster_, job, machine, placing.count) &&
           is_placement_allowed(cluster_, job, machine, placing.count);
  });
  return all_fit && !placings.empty() && team_has_quota(cluster_, job, job.pending());
}

bool JobPlanner::place_gang(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  if (!can_place_gang_now(job, placings, now)) return false;
  const AttemptNumber attempt = gang_attempt(job);
  const std::vector<std::uint32_t> tasks = jobs::JobTable::pending_tasks(job, job.spec.tasks);
  auto next = tasks.begin();
  for (const plan::Placing& placing : GangCoordinator::select_members_to_place(cluster_, job, placings, now)) {
    for (std::uint32_t at = 0; at < placing.count && next != tasks.end(); ++at, ++next) {
      tasks_.place_task(job, *next, attempt, cluster_.machines.at(placing.machine), now);
    }
  }
  if (next == tasks.end()) job.gather_until.reset();
  return true;
}

bool JobPlanner::place_due_tasks(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  if (!tasks_.can_start_or_preempt(now)) return false;
  if (is_gang(job)) return place_gang(job, placings, now);
  bool any = false;
  for (const plan::Placing& placing : placings) {
    Machine& machine = cluster_.machines.at(placing.machine);
    if (placing.start > now || !cluster_.is_schedulable(machine, now)) continue;
    for (const std::uint32_t index : jobs::JobTable::pending_tasks(job, placing.count)) {
      if (!machine_has_room(cluster_, job, machine, 1) || !team_has_quota(cluster_, job, 1) ||
          !is_placement_allowed(cluster_, job, machine, 1))
        break;
      tasks_.place_task(job, index, job.shards[index / constants::kTasksPerShard].next, machine, now);
      any = true;
    }
  }
  return any;
}

// Room for what will have to start again elsewhere once it is proved gone: booked from then on in the job's turn, so that
// machines are rented for it just in time and nothing less important takes the room meanwhile. If the zone returns before,
// nothing has moved, and the next pass books none of it.
std::size_t JobPlanner::plan_stranded_tasks(Job& job, Instant now) {
  // Renting before a boot would end at the proof costs for nothing.
  const bool due = job.stranded_until - now <= autoscaler_.pricing(cluster_).max_boot_time(job.spec);
  if (!due) return 0;
  const std::uint32_t count = is_gang(job) ? job.spec.tasks - job.done_count
                                           : std::min(job.stranded, std::uint32_t{constants::kMaxTasksPlannedPerPass});
  plan::Request request = make_planning_request(job, count, std::max(now, job.stranded_until));
  request.places = MachineFilter(cluster_, autoscaler_.demand()).find_candidate_places(job, now);
  std::uint32_t planned = 0;
  for (const plan::Placing& placing : cluster_.planner.plan(request)) {
    planned += placing.count;
    if (placing.start > request.from + constants::kTick) job.late_tasks += placing.count;
    book_planned_tasks(cluster_, job, placing);
  }
  if (planned < request.count) job.late_tasks += static_cast<std::uint32_t>(request.count - planned);
  return request.places.size();
}

}  // namespace foxshunt::control
