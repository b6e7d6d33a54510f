// What runs where and when: bookings, placements, and how many machines that takes.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/team_quota.h"
#include "control/times.h"

namespace foxshunt::control {

Millis Engine::fetch_time(const wire::JobSpec& spec, const std::string& machine_type) const {
  const wire::MachineType* kind = type(machine_type);
  if (kind == nullptr || kind->fetch_gb_per_s <= 0) return Millis(0);
  return from_seconds(spec.image_gb / kind->fetch_gb_per_s);
}

Millis Engine::lag(const Job& job, Instant now) const {
  const Amounts fleet = planner_.fleet().capacity();
  double share = 0;
  for (std::size_t r = 0; r < plan::kResources; ++r) {
    if (fleet.of[r] <= 0) continue;
    share = std::max(share, static_cast<double>(job.each.of[r]) * job.spec.tasks / static_cast<double>(fleet.of[r]));
  }
  const Millis work = from_seconds(share * to_seconds(estimate(job)) * constants::kLagPerWork);
  // What was hoped for a job and can't be had any more must not cost those that can still have it.
  Millis missed{};
  for (const config::Objective& objective : settings_.objectives) {
    if (objective.kind != "wait" || objective.job_class != job.spec.job_class) continue;
    if (now - job.submitted > from_seconds(objective.within_s)) missed += constants::kLagMissed;
  }
  return work + missed;
}

aging::WaitingJob Engine::waiting_job(const Job& job, Instant now) const {
  return {
      .submitted = job.submitted, .lag = lag(job, now), .largest = demand_.largest(job.spec.job_class, job.spec.tasks)};
}

Instant Engine::effective_submission(const Job& job, Instant now) const {
  if (reservation_.held_by(job.spec.id)) return job.submitted - constants::kLargestHeadStart;
  return aging::effective_submission(waiting_job(job, now), now);
}

std::vector<GangReservation::Candidate> Engine::reservation_candidates(Instant now) const {
  std::vector<GangReservation::Candidate> candidates;
  for (const auto& [id, job] : jobs_) {
    const bool waits_whole = job.runs_count == 0 && job.pending() > 0 && !job.withdrawn && job.not_before <= now;
    if (job.spec.kind != wire::JobKind::gang || !waits_whole) continue;
    if (now - job.submitted < constants::kReservationAfter) continue;
    if (!demand_.largest(job.spec.job_class, job.spec.tasks)) continue;
    // At its team's limit no machine would help it.
    if (quota_for(job, job.pending())) candidates.push_back({.job = id, .submitted = job.submitted});
  }
  return candidates;
}

std::vector<Job*> Engine::planning_order(Instant now) {
  // What fits a team's guarantee, its urgent work first, goes before what is borrowed; then by priority.
  struct Entry {
    Job* job;
    bool borrowed;
    Instant since;
  };
  std::vector<Entry> order;
  std::map<std::string, std::vector<Job*>> by_team;
  for (auto& [unused, job] : jobs_) {
    if (!job.withdrawn) by_team[job.spec.team].push_back(&job);
  }
  for (auto& [team_name, jobs] : by_team) {
    std::ranges::sort(jobs, {}, [](const Job* job) {
      return std::tuple(-static_cast<int>(job->spec.priority), job->submitted, job->spec.id);
    });
    const config::Team* team = settings_.team(team_name);
    double cpus = 0;
    double gpus = 0;
    for (Job* job : jobs) {
      const double tasks = job->spec.tasks - job->done_count;
      cpus += job->spec.cpus * tasks;
      gpus += job->spec.gpus * tasks;
      const bool within = team != nullptr && cpus <= team->cpus && (team->gpus <= 0 || gpus <= team->gpus);
      job->borrowed = !within;
      if ((job->pending() > 0 || job->stranded > 0) && job->not_before <= now)
        order.push_back({.job = job, .borrowed = !within, .since = effective_submission(*job, now)});
    }
  }
  std::ranges::sort(order, [](const Entry& a, const Entry& b) {
    return std::tuple(a.borrowed, -static_cast<int>(a.job->spec.priority), a.since, a.job->spec.id) <
           std::tuple(b.borrowed, -static_cast<int>(b.job->spec.priority), b.since, b.job->spec.id);
  });
  std::vector<Job*> jobs;
  for (const Entry& entry : order) jobs.push_back(entry.job);
  if (ranking_.on()) order_by_class(jobs, now);
  return jobs;
}

void Engine::begin_pass(Instant now) {
  plan_wanted_ = false;
  planned_ = now;
  ++counters_.passes;
  planner_.forget_before(now);
  // An overrunning booking is extended by its estimate; what was booked behind it is planned anew below.
  for (auto& [unused, job] : jobs_) {
    for (Part& part : job.parts) {
      for (auto& [index, run] : part.runs) {
        const plan::Booking* booking = planner_.booking(run.booking);
        if (booking != nullptr && booking->stop <= now + constants::kTick) {
          planner_.extend(run.booking, now + estimate(job));
        }
      }
    }
    for (const plan::BookingId booking : job.booked) planner_.revoke(booking);
    job.booked.clear();
    job.planned_start.reset();
    job.late_tasks = 0;
    job.overdue_tasks = 0;
  }
  learn_gpu_demand(now);
  find_stranded();
  reservation_.choose(reservation_candidates(now), now);
  pass_.emplace();
  for (const Job* job : planning_order(now)) pass_->push_back(job->spec.id);
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
    const auto entry = jobs_.find(pass_->front());
    pass_->pop_front();
    if (entry == jobs_.end() || entry->second.withdrawn) continue;
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
  size_fleet(now);
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

}  // namespace

bool Engine::left_to(const Job& job, std::optional<std::size_t> warms, const Machine& machine, Instant now) const {
  if (!pools_.on()) return true;
  if (warms) {
    return pools_.lacks(*warms, machine.id, job.spec.image) &&
           std::ranges::none_of(machine.runs,
                                [&](const TaskKey& key) { return jobs_.at(key.job).spec.image == job.spec.image; });
  }
  // A service's replicas don't end: that one runs gives the others no room.
  const bool stuck = job.runs_count == 0 || job.spec.kind == wire::JobKind::service;
  return pools_.allows(job.spec, estimate(job), stuck ? now - job.submitted : Millis(0), machine.id);
}

// Where the job may run at all, and what each machine has to do before it does.
std::vector<plan::Place> Engine::places_for(const Job& job, Instant now) const {
  struct Kind {  // all that depends on the machine's type alone
    const wire::MachineType* type;
    bool allowed;
    bool guards_gpus;  // plain work leaves the room beside its GPUs
    Amounts offered;
    Millis fetch;
  };
  std::vector<Kind> kinds;
  for (const wire::MachineType& type : types_) {
    kinds.push_back({.type = &type,
                     .allowed = is_type_allowed(job.spec, type.name),
                     .guards_gpus = job.spec.gpus <= 0 && type.gpus > 0,
                     .offered = offered(job.spec, type),
                     .fetch = fetch_time(job.spec, type.name)});
  }
  std::vector<plan::Place> places;
  const std::optional<std::size_t> warms = pools_.warms(job.spec, now - job.submitted);
  plan::Items spare =
      demand_.gpus_spare();  // of which each machine that plain work has, or may have, as a whole takes its GPUs
  const Kind* kind = nullptr;
  for (const auto& [id, machine] : machines_) {
    if (machine.planned == nullptr || (machine.spot && !job.spec.spot)) continue;
    const bool booting = machine.state == MachineState::booting;
    if (booting ? !counted_on(machine.zone) : !usable(machine, now)) continue;
    if (!job.spec.zone.empty() && job.spec.zone != machine.zone) continue;
    if (kind == nullptr || kind->type->name != machine.type) {
      const auto found = std::ranges::find(kinds, machine.type, [](const Kind& one) { return one.type->name; });
      if (found == kinds.end()) continue;
      kind = &*found;
    }
    if (!kind->allowed || job.failed_on.contains(id) || !left_to(job, warms, machine, now)) continue;
    if (kind->guards_gpus) {
      Amounts plain = job.each;
      Amounts gpu_work;
      for (const TaskKey& key : machine.runs) {
        const Job& other = jobs_.at(key.job);
        (other.spec.gpus <= 0 ? plain : gpu_work) += other.each;
      }
      if (!plain.fits(kind->offered)) {
        const plan::Items gpus = machine.planned->info.capacity.of[1];
        if (gpu_work.of[1] > 0 || spare < gpus) continue;
        spare -= gpus;
      }
    }
    Millis before = machine.images.contains(job.spec.image) ? Millis(0) : kind->fetch;
    // Of two that have to fetch it, the one that is to hold it anyway.
    if (before > Millis(0) && pools_.wants(id, job.spec.image)) before -= std::min(before, constants::kWarmFirst);
    if (booting && machine.ready < now) before = kind->fetch + boot_left(machine, now);
    places.push_back({.node = machine.planned, .before = before});
  }
  return places;
}

std::size_t Engine::plan_job(Job& job, Instant now) {
  // A gang begins again only when nothing of its earlier attempt is left.
  const bool gang = job.spec.kind == wire::JobKind::gang;
  // Unless it has lost a task before it began: then another one joins the rest.
  const bool joins = gang && job.runs_count > 0;
  if (joins) {
    if (!job.gather_until || !gathers(job)) return 0;
    // Those that fetch don't give up yet: the rest has until some time after they are there.
    if (fetches(job, now)) job.gather_until = std::max(*job.gather_until, now + gather_span());
    if (now > *job.gather_until) {
      end_gang(job, now);
      return 0;
    }
  } else {
    job.gather_until.reset();
  }
  plan::Request request;
  request.team = job.spec.team;
  request.each = job.each;
  request.count = gang ? job.pending() : std::min<std::uint32_t>(job.pending(), constants::kTasksPlannedPerPass);
  if (ranking_.on() && !joins) {
    request.count = static_cast<std::uint32_t>(ranking_.room(job.spec, request.count, gang));
    if (request.count == 0) return 0;  // kept back by its class's cap
  }
  request.duration = estimate(job);
  request.from = now;
  request.together = gang;
  request.one_zone = job.spec.one_zone;
  if (job.spec.spread) request.zone_most = max_tasks_per_zone(job.spec);
  for (const Part& part : job.parts) {
    if (!job.spec.spread && !job.spec.one_zone) break;
    for (const auto& [unused, run] : part.runs) {
      const auto machine = machines_.find(run.machine);
      if (machine == machines_.end()) continue;
      ++request.zone_taken[machine->second.zone];
      if (job.spec.one_zone) request.zone_bound = machine->second.zone;
    }
  }
  request.places = places_for(job, now);
  std::size_t places = request.places.size();
  const bool warms = pools_.warms(job.spec, now - job.submitted).has_value();
  const bool reserves = !joins && reservation_.held_by(job.spec.id);
  const auto plan = [&] {
    if (reserves) return plan_reserved(request);
    return warms ? one_to_a_machine(planner_, request) : planner_.plan(request);
  };
  std::vector<plan::Placing> placings = plan();
  if (placings.empty() && !job.failed_on.empty()) {
    // It is kept off the machines that it failed on only as long as there are others.
    job.failed_on.clear();
    request.places = places_for(job, now);
    places += request.places.size();
    placings = plan();
  }
  std::uint32_t planned = 0;
  // Renting helps only a task that a machine rented now would start earlier; those that boot are waited for.
  const Instant rent_after = now + std::max(rental_delay(job, now), boot_awaited(job.spec));
  for (const plan::Placing& placing : placings) {
    planned += placing.count;
    if (placing.start > rent_after + constants::kTick) job.late_tasks += placing.count;
  }
  if (planned < request.count) job.late_tasks += request.count - planned;
  // The pool's machines are rented by the pool.
  if (warms) job.late_tasks = 0;
  if (ranking_.on() && !joins) ranking_.take(job.spec, planned);
  const std::uint32_t before = job.pending();
  if (place_due(job, placings, now) && gang) return places;
  for (const plan::Placing& placing : placings) {
    if (placing.start <= now && machines_.at(placing.machine).state == MachineState::up) continue;
    if (!job.planned_start || placing.start < *job.planned_start) job.planned_start = placing.start;
    book_ahead(job, placing);
  }
  if (reserves) keep_machines_free(job, placings, now);
  if (!warms && !joins) job.overdue_tasks = overdue(job, placings, request.places, now);
  // Under a cap only what was planned may displace anything.
  const std::uint32_t left = ranking_.on() ? request.count - (before - job.pending()) : job.pending();
  if (settings_.operators.preemption && !joins && left > 0 && now >= job.displaces_after &&
      job.planned_start.value_or(plan::kForever) > now + constants::kPreemptWait) {
    make_room(job, left, request.places, now);
  }
  if (ranking_.on() && left > 0 && quota_for(job, gang ? left : 1)) ranking_.lacks_room(job.spec.id);
  return places;
}

void Engine::book_ahead(Job& job, const plan::Placing& placing) {
  job.booked.push_back(planner_.book({.machine = placing.machine,
                                      .team = job.spec.team,
                                      .amounts = job.each.times(placing.count),
                                      .start = placing.start,
                                      .stop = placing.stop}));
}

std::vector<plan::Placing> Engine::plan_reserved(plan::Request request) const {
  for (plan::Place& place : request.places) place.preferred = reservation_.keeps(place.node->info.id);
  std::vector<plan::Placing> placings = planner_.plan(request);
  if (!request.one_zone || placings.empty() || reservation_.zone().empty()) return placings;
  // What was kept so far would go to others if it moved to the zone that looks best by the estimates of the moment. It moves
  // only where it can start at once.
  if (placings.front().start <= request.from) return placings;
  request.zone_bound = reservation_.zone();
  std::vector<plan::Placing> there = planner_.plan(request);
  return there.empty() ? placings : there;
}

void Engine::keep_machines_free(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  std::set<MachineId> kept;
  for (const plan::Placing& placing : placings) {
    const plan::PlanNode* node = planner_.node(placing.machine);
    const Amounts amounts = job.each.times(placing.count);
    const plan::Spans free =
        node->use.free_spans(amounts, constants::kTick, std::max(now, node->info.ready), placing.start);
    if (free.empty() || free.back().stop != placing.start) continue;
    // Its team does not use it yet: others of the team may still reach the team's limit.
    job.booked.push_back(planner_.book({.machine = placing.machine,
                                        .team = {},
                                        .amounts = amounts,
                                        .start = free.back().start,
                                        .stop = free.back().stop}));
    if (free.back().start <= now) kept.insert(placing.machine);
  }
  const bool one_zone = job.spec.one_zone && !placings.empty();
  reservation_.plan(one_zone ? machines_.at(placings.front().machine).zone : std::string(), std::move(kept));
}

bool Engine::room_for(const Job& job, const Machine& machine, std::uint32_t count) const {
  const wire::MachineType* kind = type(machine.type);
  if (kind == nullptr) return false;
  Amounts used = job.each.times(count);
  for (const TaskKey& key : machine.runs) used += jobs_.at(key.job).each;
  return used.fits(capacity_of(*kind));
}

bool Engine::quota_for(const Job& job, std::uint32_t count) const {
  const config::Team* team = settings_.team(job.spec.team);
  if (team == nullptr) return false;
  Amounts used = job.each.times(count);
  if (guards::kept(guards::Guard::quota_placed)) used += jobs_.team_use(job.spec.team);
  return TeamQuota(*team).allows(used);
}

bool Engine::place_allowed(const Job& job, const Machine& machine, std::uint32_t count) const {
  if (!is_machine_allowed(job.spec, machine.type, machine.zone, machine.spot)) return false;
  if (!job.spec.one_zone && !job.spec.spread) return true;
  std::uint32_t same = count;
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) {
      const auto other = machines_.find(run.machine);
      // Where a machine that nobody has heard of stands is not known.
      const std::string stands_in = other == machines_.end() ? std::string() : other->second.seen_zone();
      if (stands_in.empty() && guards::kept(guards::Guard::place_known)) return false;
      if (stands_in == machine.zone) {
        ++same;
      } else if (job.spec.one_zone) {
        return false;
      }
    }
  }
  return !job.spec.spread || same <= max_tasks_per_zone(job.spec);
}

void Engine::place(Job& job, std::uint32_t index, AttemptNo attempt, Machine& machine, Instant now) {
  Millis left = estimate(job);
  if (const auto saved = job.saved.find(index); saved != job.saved.end()) {
    left = std::max(left - saved->second, constants::kAllocationLimit);
  }
  const bool found = machine.images.contains(job.spec.image);
  pools_.placed({job.spec.id, index}, job.spec, found);
  if (!found) left += fetch_time(job.spec, machine.type);
  Run& run = jobs_.place(job, index, attempt, machine, now);
  run.booking = planner_.book(
      {.machine = machine.id, .team = job.spec.team, .amounts = job.each, .start = now, .stop = now + left});
  machine.idle_since.reset();
  ++counters_.placed;
  spdlog::info("task {} attempt {} is placed on {}", TaskKey{job.spec.id, index}.text(), attempt.number(),
               machine.id.text());
}

Millis Engine::image_wait(const Job& job, const Machine& machine) const {
  return machine.images.contains(job.spec.image) ? Millis(0) : fetch_time(job.spec, machine.type);
}

Millis Engine::image_left(const Job& job, const Run& run, Instant now) const {
  const auto machine = machines_.find(run.machine);
  if (machine == machines_.end()) return Millis(0);
  const bool told = run.seen && *run.seen == wire::TaskState::fetching;
  if (!told && (run.seen || machine->second.images.contains(job.spec.image))) return Millis(0);
  const Millis passed = std::max(Millis(0), now - run.placed);
  const Millis whole = fetch_time(job.spec, machine->second.type);
  // One that is overdue takes as much longer as it has shown already.
  return std::max({whole - passed, passed / constants::kFetchOverdue, told ? constants::kTick : Millis(0)});
}

bool Engine::fetches(const Job& job, Instant now) const {
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) {
      const auto machine = machines_.find(run.machine);
      if (machine == machines_.end() || image_left(job, run, now) == Millis(0)) continue;
      const Millis most = fetch_time(job.spec, machine->second.type) * constants::kFetchDoubt;
      if (now - run.placed < most + from_seconds(settings_.gang_wait_s)) return true;
    }
  }
  return false;
}

// PROTOCOL: a task that has its image gives up after `gang_wait_s` if the others have not theirs, and begins again only as
// another attempt; when the attempt is ended, the fetches of the others are given up. So those that would wait for too
// long are placed when the others are nearly there: a gang whose fetches differ by more would never begin. A task is
// never started twice with the same attempt on the same machine, since an old report could then tell of either.
std::vector<plan::Placing> Engine::due_of_gang(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  Millis last{};
  Millis first = Millis::max();
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) last = std::max(last, image_left(job, run, now));
  }
  for (const plan::Placing& placing : placings) {
    const Millis wait = image_wait(job, machines_.at(placing.machine));
    last = std::max(last, wait);
    first = std::min(first, wait);
  }
  if (last - first > from_seconds(settings_.gang_wait_s) / constants::kGangApart) job.in_stages = true;
  if (!job.in_stages) return placings;
  std::vector<plan::Placing> due;
  for (const plan::Placing& placing : placings) {
    if (image_wait(job, machines_.at(placing.machine)) >= last) {
      due.push_back(placing);
    } else {
      book_ahead(job, placing);
    }
  }
  if (due.size() < placings.size() && !job.gather_until) job.gather_until = now + last + gather_span();
  return due;
}

bool Engine::place_due(Job& job, const std::vector<plan::Placing>& placings, Instant now) {
  if (!may_start(now)) return false;
  if (job.spec.kind == wire::JobKind::gang) {
    for (const plan::Placing& placing : placings) {
      const Machine& machine = machines_.at(placing.machine);
      if (placing.start > now || !usable(machine, now) || !room_for(job, machine, placing.count) ||
          !place_allowed(job, machine, placing.count)) {
        return false;
      }
    }
    if (placings.empty() || !quota_for(job, job.pending())) return false;
    AttemptNo attempt{1};
    for (const Part& part : job.parts) attempt = std::max(attempt, part.next);
    for (const Part& part : job.parts) {
      // Who joins has the number of the others.
      if (!part.runs.empty()) attempt = part.runs.begin()->second.attempt;
    }
    const std::vector<std::uint32_t> tasks = jobs::JobTable::pending_tasks(job, job.spec.tasks);
    auto next = tasks.begin();
    for (const plan::Placing& placing : due_of_gang(job, placings, now)) {
      for (std::uint32_t at = 0; at < placing.count && next != tasks.end(); ++at, ++next) {
        place(job, *next, attempt, machines_.at(placing.machine), now);
      }
    }
    if (next == tasks.end()) job.gather_until.reset();
    return true;
  }
  bool any = false;
  for (const plan::Placing& placing : placings) {
    Machine& machine = machines_.at(placing.machine);
    if (placing.start > now || !usable(machine, now)) continue;
    for (const std::uint32_t index : jobs::JobTable::pending_tasks(job, placing.count)) {
      if (!room_for(job, machine, 1) || !quota_for(job, 1) || !place_allowed(job, machine, 1)) break;
      place(job, index, job.parts[index / constants::kTasksPerPart].next, machine, now);
      any = true;
    }
  }
  return any;
}

}  // namespace foxshunt::control
