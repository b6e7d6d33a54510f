#include "control/deadline_planner.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/task_pricing.h"
#include "control/team_quota.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

std::uint64_t task_count(const plan::Booking& booking, const Job& job) {
  return static_cast<std::uint64_t>(booking.amounts.of[0] / std::max<plan::Items>(1, job.each.of[0]));
}

// How many tasks the places have room for, so early that these end by that time; counted up to `enough`.
std::int64_t timely_room(const Job& job, const std::vector<plan::Place>& places, Instant by, std::uint32_t enough,
                         Instant now) {
  std::int64_t room = 0;
  for (const plan::Place& place : places) {
    const Instant from = std::max(now, place.node->info.ready);
    if (from + place.before + run_time(job) > by) continue;
    room += job.each.count_in(place.node->use.free(from, from + place.before + estimate(job)));
    if (room >= enough) break;
  }
  return room;
}

std::optional<Instant> planned_end(const ClusterState& cluster, const Job& job) {
  // Tasks that have neither a place nor a booking end at no known time, and the job with them.
  std::uint64_t booked = job.allocation_count;
  Instant end;
  const Millis beyond = run_time_beyond_booking(job);
  for (const plan::BookingId booking : job.booked) {
    const plan::Booking* found = cluster.planner.booking(booking);
    if (found == nullptr) continue;
    end = std::max(end, found->stop + beyond);
    booked += task_count(*found, job);
  }
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const plan::Booking* found = cluster.planner.booking(allocation.booking);
      if (found != nullptr) end = std::max(end, found->stop);
    }
  }
  if (booked == 0 || booked < job.spec.tasks - job.done_count) return std::nullopt;
  return end;
}

std::uint64_t tasks_booked_by(const plan::Planner& planner, const Job& job, Instant by) {
  std::uint64_t timely = 0;
  for (const plan::BookingId booking : job.booked) {
    const plan::Booking* found = planner.booking(booking);
    if (found == nullptr || found->stop + run_time_beyond_booking(job) > by) continue;
    timely += task_count(*found, job);
  }
  return timely;
}

std::optional<foresight::Kind> rentable_kind(const PlanView& view, const Job& job, const wire::MachineType& kind,
                                             double price_most, const CloudCapacityTracker::Held& have) {
  const std::int64_t fit = job.each.count_in(TaskPricing(view.cluster, view.demand).offered(job.spec, kind));
  if (fit <= 0) return std::nullopt;
  foresight::Kind found{.name = kind.name,
                        .boot = from_seconds(kind.boot_s) + constants::kCloudCallTimeout,
                        .fetch = view.cluster.fetch_time(job.spec, kind.name),
                        .fit = static_cast<std::uint64_t>(fit)};
  bool any = false;
  for (const std::string& zone : kind.zones) {
    for (const bool spot : {false, true}) {
      if (!is_machine_allowed(job.spec, kind.name, zone, spot)) continue;
      any = true;
      const double hourly = spot ? kind.spot_price : kind.price;
      if (!view.cluster.counted_on(zone) || hourly > price_most * static_cast<double>(fit)) continue;
      found.can_scale_out = found.can_scale_out || view.capacity.counted_on({kind.name, zone, spot}, have);
    }
  }
  return any ? std::optional(std::move(found)) : std::nullopt;
}

foresight::Work work_of(const PlanView& view, const Job& job, Instant by, const CloudCapacityTracker::Held& have) {
  foresight::Work work{.by = by, .run = run_time(job)};
  work.waiting = job.pending();
  work.together = is_gang(job);
  work.can_scale_out = view.cluster.settings.operators.can_scale_out;
  work.end = planned_end(view.cluster, job);
  work.late = work.waiting - std::min(work.waiting, tasks_booked_by(view.cluster.planner, job, by));
  if (const config::Team* team = view.cluster.settings.team(job.spec.team); team != nullptr) {
    work.limit = TeamQuota(*team).remaining_tasks(job.each, view.cluster.jobs.team_use(job.spec.team));
  }
  if (const classes::Rank* rank = view.ranking.find(job.spec.id); rank != nullptr && view.ranking.on()) {
    work.capped = rank->capped;
  }
  const double price_most =
      TaskPricing(view.cluster, view.demand).lowest_price(job.spec) * constants::kMaxLatePriceFactor;
  for (const wire::MachineType& kind : view.cluster.types) {
    if (auto rentable = rentable_kind(view, job, kind, price_most, have)) work.kinds.push_back(std::move(*rentable));
  }
  return work;
}

std::optional<foresight::DeadlineForecast> forecast_of(const PlanView& view, const Job& job, Instant by,
                                                       const CloudCapacityTracker::Held& have, Instant planned_at,
                                                       Instant now) {
  // A pass books some of a very large array only; the rest is not late for that.
  if (job.cancelled || is_service(job) || job.pending() > constants::kMaxTasksPlannedPerPass) return std::nullopt;
  const auto end = planned_end(view.cluster, job);
  if (end && *end <= by) return foresight::DeadlineForecast{.end = end};
  // What came after the latest pass began has no place in it yet.
  if (!end && job.submitted >= planned_at) return std::nullopt;
  return foresight::forecast_deadline(work_of(view, job, by, have), now);
}

}  // namespace

bool DeadlinePlanner::on_due_jobs(foresight::DueJobs dues) {
  const bool same = std::ranges::equal(dues, due_jobs_, [](const auto& one, const auto& other) {
    return one.first == other.first && one.second.step == other.second.step;
  });
  due_jobs_ = std::move(dues);
  return !same;
}

std::map<JobId, int> DeadlinePlanner::slack() const {
  std::map<JobId, int> slack;
  for (const auto& [id, due] : due_jobs_) slack.emplace_hint(slack.end(), id, due.step);
  return slack;
}

std::map<JobId, Instant> DeadlinePlanner::planned_ends(const ClusterState& cluster) const {
  std::map<JobId, Instant> ends;
  for (const auto& [id, job] : cluster.jobs) {
    if (job.cancelled || is_service(job) || due_jobs_.contains(id)) continue;
    if (const auto end = planned_end(cluster, job)) ends.emplace_hint(ends.end(), id, *end);
  }
  return ends;
}

std::map<JobId, foresight::DeadlineForecast> DeadlinePlanner::deadline_forecasts(const PlanView& view,
                                                                                 Instant planned_at,
                                                                                 Instant now) const {
  std::map<JobId, foresight::DeadlineForecast> deadline_forecasts;
  if (due_jobs_.empty() || view.cluster.types.empty()) return deadline_forecasts;
  const CloudCapacityTracker::Held have = view.cluster.machines.count_by_kind();
  for (const auto& [id, due] : due_jobs_) {
    const auto entry = view.cluster.jobs.find(id);
    if (entry == view.cluster.jobs.end()) continue;
    if (auto forecast = forecast_of(view, entry->second, due.by, have, planned_at, now)) {
      deadline_forecasts.emplace_hint(deadline_forecasts.end(), id, std::move(*forecast));
    }
  }
  return deadline_forecasts;
}

std::uint32_t DeadlinePlanner::overdue(const PlanView& view, const Job& job, const std::vector<plan::Placing>& placings,
                                       const std::vector<plan::Place>& places, Instant now) const {
  const auto due = due_jobs_.find(job.spec.id);
  if (due == due_jobs_.end()) return 0;
  const Instant by = due->second.by;
  std::uint32_t late = 0;
  for (const plan::Placing& placing : placings) {
    if (placing.stop + run_time_beyond_booking(job) > by) late += placing.count;
  }
  if (late == 0) return 0;
  const foresight::Work work = work_of(view, job, by, {});
  if (std::ranges::none_of(work.kinds, [&](const auto& kind) { return foresight::in_time(work, kind, now); })) return 0;
  // Where machines have room for these in time it is something else that lacks, a limit perhaps: renting for it would go
  // on in each pass, as what is rented stays empty.
  return timely_room(job, places, by, late, now) >= late ? 0 : late;
}

Millis DeadlinePlanner::max_startup_for_deadline(const Job& job, Instant now) const {
  const auto due = due_jobs_.find(job.spec.id);
  if (due == due_jobs_.end()) return Millis::max();
  return due->second.by - now - run_time(job);
}

Millis DeadlinePlanner::scale_out_delay(const Job& job, Instant now) const {
  if (job.spec.deadline_s) {
    Instant by = job.submitted + from_seconds(*job.spec.deadline_s);
    if (const auto due = due_jobs_.find(job.spec.id); due != due_jobs_.end()) by = std::min(by, due->second.by);
    const Instant latest = by - estimate(job) * 3 / 2;
    return std::max(Millis(0), latest - now);
  }
  return Millis(0);
}

}  // namespace foxshunt::control
