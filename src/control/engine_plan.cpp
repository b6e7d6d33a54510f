// What runs where and when: bookings, placements, and how many machines that takes.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/machine_filter.h"
#include "control/planned_bookings.h"
#include "control/preemptor.h"
#include "control/team_quota.h"
#include "control/times.h"

namespace foxshunt::control {

// An overrunning booking is extended by its estimate; what was booked behind it is planned anew.
void Engine::extend_overrunning(const Job& job, Instant now) {
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) {
      const plan::Booking* booking = cluster_.planner.booking(run.booking);
      if (booking != nullptr && booking->stop <= now + constants::kTick) {
        cluster_.planner.extend(run.booking, now + estimate(job));
      }
    }
  }
}

void Engine::forget_latest_plan(Job& job) {
  revoke_bookings(cluster_, job);
  job.planned_start.reset();
  job.late_tasks = 0;
  job.overdue_tasks = 0;
}

void Engine::begin_pass(Instant now) {
  cluster_.plan_wanted = false;
  planned_ = now;
  ++counters_.passes;
  cluster_.planner.forget_before(now);
  for (auto& [unused, job] : cluster_.jobs) {
    extend_overrunning(job, now);
    forget_latest_plan(job);
  }
  autoscaler_.learn_gpu_demand(cluster_, now);
  find_stranded();
  gangs_.choose_holder(cluster_, autoscaler_.demand(), now);
  pass_.emplace();
  for (const Job* job : queue_.order(cluster_, gangs_, autoscaler_.demand(), now)) pass_->push_back(job->spec.id);
}

bool Engine::plan_some(Instant now, std::size_t places_most) {
  if (!leading_) {
    pass_.reset();
    return true;
  }
  if (!pass_) begin_pass(now);
  ++counters_.portions;
  std::size_t places = 0;
  while (!pass_->empty() && places < places_most) {
    // Between portions a job may have been withdrawn, and room may have become free: that is planned for in its order
    // by the next pass, and what is left of this one may use it already.
    const auto entry = cluster_.jobs.find(pass_->front());
    pass_->pop_front();
    if (entry == cluster_.jobs.end() || entry->second.withdrawn) continue;
    Job& job = entry->second;
    if (job.pending() > 0) {
      ++counters_.jobs_planned;
      places += plan_job(job, now);
    }
    if (job.stranded > 0) places += plan_stranded(job, now);
  }
  counters_.places_seen += places;
  if (!pass_->empty()) return false;
  pass_.reset();
  if (cluster_.types.empty()) {
    autoscaler_.want_nothing();
  } else {
    autoscaler_.size_fleet(cluster_, queue_.order(cluster_, gangs_, autoscaler_.demand(), now), deadlines_, now);
  }
  return true;
}

void Engine::plan_pass(Instant now) {
  bool ended = false;
  while (!ended) ended = plan_some(now, SIZE_MAX);
}

namespace {

std::vector<plan::Placing> one_to_a_machine(const plan::Planner& planner, plan::Request request) {
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

AttemptNo gang_attempt(const Job& job) {
  for (const Part& part : job.parts | std::views::reverse) {
    // Who joins has the number of the others.
    if (!part.runs.empty()) return part.runs.begin()->second.attempt;
  }
  AttemptNo attempt{1};
  for (const Part& part : job.parts) attempt = std::max(attempt, part.next);
  return attempt;
}

}  // namespace

// One job's turn in a planning pass.
struct Engine::JobTurn {
  bool gang = false;
  bool joins = false;     // in place of members that a gang lost before its start
  bool warms = false;     // its tasks warm the machines of a pool
  bool reserves = false;  // the gang holds the backfill reservation
  plan::Request request;
  std::vector<plan::Placing> placings;
};

bool Engine::may_replace_members(Job& job, Instant now) {
  const MissingMembers missing = GangCoordinator::missing_members(cluster_, job, now);
  if (missing == MissingMembers::overdue) end_gang(job, now);
  return missing == MissingMembers::replace;
}

std::uint32_t Engine::tasks_to_plan(const Job& job, bool joins) {
  const bool gang = is_gang(job);
  const std::uint32_t count =
      gang ? job.pending() : std::min<std::uint32_t>(job.pending(), constants::kTasksPlannedPerPass);
  if (!queue_.ranking().on() || joins) return count;
  return static_cast<std::uint32_t>(queue_.ranking().room(job.spec, count, gang));
}

void Engine::add_zones_taken(const Job& job, plan::Request& request) const {
  if (!job.spec.spread && !job.spec.one_zone) return;
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) {
      const auto machine = cluster_.machines.find(run.machine);
      if (machine == cluster_.machines.end()) continue;
      ++request.zone_taken[machine->second.zone];
      if (job.spec.one_zone) request.zone_bound = machine->second.zone;
    }
  }
}

std::vector<plan::Placing> Engine::plan_turn(const JobTurn& turn) const {
  if (turn.reserves) return gangs_.plan_reserved(cluster_.planner, turn.request);
  return turn.warms ? one_to_a_machine(cluster_.planner, turn.request) : cluster_.planner.plan(turn.request);
}

std::size_t Engine::find_placings(Job& job, JobTurn& turn, Instant now) {
  turn.request.places = MachineFilter(cluster_, autoscaler_.demand()).places_for(job, now);
  std::size_t places = turn.request.places.size();
  turn.placings = plan_turn(turn);
  if (!turn.placings.empty() || job.failed_on.empty()) return places;
  // It is kept off the machines that it failed on only as long as there are others.
  job.failed_on.clear();
  turn.request.places = MachineFilter(cluster_, autoscaler_.demand()).places_for(job, now);
  places += turn.request.places.size();
  turn.placings = plan_turn(turn);
  return places;
}

std::uint32_t Engine::count_late_tasks(Job& job, const JobTurn& turn, Instant now) const {
  std::uint32_t planned = 0;
  // Renting helps only a task that a machine rented now would start earlier; those that boot are waited for.
  const Instant rent_after =
      now + std::max(deadlines_.rental_delay(job, now), autoscaler_.pricing(cluster_).boot_awaited(job.spec));
  for (const plan::Placing& placing : turn.placings) {
    planned += placing.count;
    if (placing.start > rent_after + constants::kTick) job.late_tasks += placing.count;
  }
  if (planned < turn.request.count) job.late_tasks += turn.request.count - planned;
  // The pool's machines are rented by the pool.
  if (turn.warms) job.late_tasks = 0;
  return planned;
}

void Engine::book_later_starts(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  for (const plan::Placing& placing : placings) {
    if (placing.start <= now && cluster_.machines.at(placing.machine).state == MachineState::up) continue;
    if (!job.planned_start || placing.start < *job.planned_start) job.planned_start = placing.start;
    book_ahead(cluster_, job, placing);
  }
}

bool Engine::may_preempt(const Job& job, Instant now) const {
  return cluster_.settings.operators.preemption && now >= job.displaces_after &&
         job.planned_start.value_or(plan::kForever) > now + constants::kPreemptWait;
}

std::size_t Engine::plan_job(Job& job, Instant now) {
  JobTurn turn;
  turn.gang = is_gang(job);
  // A gang begins again only when nothing of its earlier attempt is left, unless it has lost a task before it began: then
  // another one joins the rest.
  turn.joins = turn.gang && job.runs_count > 0;
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
  if (place_due(job, turn.placings, now) && turn.gang) return places;
  book_later_starts(job, turn.placings, now);
  if (turn.reserves) gangs_.keep_machines_free(cluster_, job, turn.placings, now);
  if (!turn.warms && !turn.joins)
    job.overdue_tasks = deadlines_.overdue({cluster_, autoscaler_.demand(), autoscaler_.capacity(), queue_.ranking()},
                                           job, turn.placings, turn.request.places, now);
  // Under a cap only what was planned may displace anything.
  const std::uint32_t left = queue_.ranking().on() ? count - (pending_before - job.pending()) : job.pending();
  if (left == 0) return places;
  if (!turn.joins && may_preempt(job, now))
    Preemptor(cluster_, queue_, *this).make_room(job, left, turn.request.places, now);
  if (queue_.ranking().on() && quota_for(cluster_, job, turn.gang ? left : 1)) queue_.ranking().lacks_room(job.spec.id);
  return places;
}

void Engine::place(Job& job, std::uint32_t index, AttemptNo attempt, Machine& machine, Instant now) {
  Millis left = estimate(job);
  if (const auto saved = job.saved.find(index); saved != job.saved.end()) {
    left = std::max(left - saved->second, constants::kAllocationLimit);
  }
  const bool found = machine.images.contains(job.spec.image);
  cluster_.pools.placed({job.spec.id, index}, job.spec, found);
  if (!found) left += cluster_.fetch_time(job.spec, machine.type);
  Run& run = cluster_.jobs.place(job, index, attempt, machine, now);
  run.booking = cluster_.planner.book(
      {.machine = machine.id, .team = job.spec.team, .amounts = job.each, .start = now, .stop = now + left});
  machine.idle_since.reset();
  ++counters_.placed;
  spdlog::info("task {} attempt {} is placed on {}", TaskKey{job.spec.id, index}.text(), attempt.number(),
               machine.id.text());
}

bool Engine::gang_fits_now(const Job& job, const std::vector<plan::Placing>& placings, Instant now) const {
  const bool all_fit = std::ranges::all_of(placings, [&](const plan::Placing& placing) {
    const Machine& machine = cluster_.machines.at(placing.machine);
    return placing.start <= now && cluster_.usable(machine, now) && room_for(cluster_, job, machine, placing.count) &&
           place_allowed(cluster_, job, machine, placing.count);
  });
  return all_fit && !placings.empty() && quota_for(cluster_, job, job.pending());
}

bool Engine::place_gang(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  if (!gang_fits_now(job, placings, now)) return false;
  const AttemptNo attempt = gang_attempt(job);
  const std::vector<std::uint32_t> tasks = jobs::JobTable::pending_tasks(job, job.spec.tasks);
  auto next = tasks.begin();
  for (const plan::Placing& placing : GangCoordinator::due_of_gang(cluster_, job, placings, now)) {
    for (std::uint32_t at = 0; at < placing.count && next != tasks.end(); ++at, ++next) {
      place(job, *next, attempt, cluster_.machines.at(placing.machine), now);
    }
  }
  if (next == tasks.end()) job.gather_until.reset();
  return true;
}

bool Engine::place_due(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  if (!may_start(now)) return false;
  if (is_gang(job)) return place_gang(job, placings, now);
  bool any = false;
  for (const plan::Placing& placing : placings) {
    Machine& machine = cluster_.machines.at(placing.machine);
    if (placing.start > now || !cluster_.usable(machine, now)) continue;
    for (const std::uint32_t index : jobs::JobTable::pending_tasks(job, placing.count)) {
      if (!room_for(cluster_, job, machine, 1) || !quota_for(cluster_, job, 1) ||
          !place_allowed(cluster_, job, machine, 1))
        break;
      place(job, index, job.parts[index / constants::kTasksPerPart].next, machine, now);
      any = true;
    }
  }
  return any;
}

}  // namespace foxshunt::control
