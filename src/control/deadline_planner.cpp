#include "control/deadline_planner.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/task_pricing.h"
#include "control/team_quota.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

// How many of the job's tasks the booking covers, by its amount of CPU.
std::uint64_t booked_task_count(const plan::Booking& booking, const Job& job) {
  return static_cast<std::uint64_t>(booking.amounts.values[0] /
                                    std::max<plan::AmountUnits>(1, job.task_resources.values[0]));
}

// For how many tasks the places have room early enough for the tasks to end by the deadline. Stops counting at
// `max_count`.
std::int64_t count_timely_room(const Job& job, const std::vector<plan::EligibleMachine>& places, Instant deadline,
                               std::uint32_t max_count, Instant now) {
  std::int64_t room = 0;
  for (const plan::EligibleMachine& place : places) {
    const Instant from = std::max(now, place.machine->spec.ready_at);
    if (from + place.setup_time + estimated_run_time(job) > deadline) continue;
    room += job.task_resources.count_fitting_in(
        place.machine->usage.free(from, from + place.setup_time + booking_duration(job)));
    if (room >= max_count) break;
  }
  return room;
}

// When the job's last task is planned to end. Nothing if some task is neither allocated nor booked.
std::optional<Instant> planned_end(const ClusterState& cluster, const Job& job) {
  std::uint64_t booked = job.allocation_count;
  Instant end;
  const Millis beyond = run_time_beyond_booking(job);
  for (const plan::BookingId booking : job.bookings) {
    const plan::Booking* found = cluster.planner.find_booking(booking);
    if (found == nullptr) continue;
    end = std::max(end, found->stop + beyond);
    booked += booked_task_count(*found, job);
  }
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const plan::Booking* found = cluster.planner.find_booking(allocation.booking);
      if (found != nullptr) end = std::max(end, found->stop);
    }
  }
  if (booked == 0 || booked < job.spec.tasks - job.done_count) return std::nullopt;
  return end;
}

// How many of the job's tasks have planned bookings with which they end by the deadline.
std::uint64_t count_tasks_booked_by(const plan::Planner& planner, const Job& job, Instant deadline) {
  std::uint64_t timely = 0;
  for (const plan::BookingId booking : job.bookings) {
    const plan::Booking* found = planner.find_booking(booking);
    if (found == nullptr || found->stop + run_time_beyond_booking(job) > deadline) continue;
    timely += booked_task_count(*found, job);
  }
  return timely;
}

// Describes the machine type for a forecast of the job. Nothing if no task fits it or the job may run on none of its
// machines. `max_price_per_task`: the hourly price above which no machine is rented even for late work.
std::optional<foresight::MachineOption> describe_machine_type(const DeadlineContext& context, const Job& job,
                                                              const wire::MachineType& kind, double max_price_per_task,
                                                              const CloudCapacityTracker::HeldMachines& held_machines) {
  const std::int64_t fit =
      job.task_resources.count_fitting_in(TaskPricing(context.cluster, context.demand).usable_capacity(job.spec, kind));
  if (fit <= 0) return std::nullopt;
  foresight::MachineOption found{.name = kind.name,
                                 .boot_time = from_seconds(kind.boot_s) + constants::kCloudCallTimeout,
                                 .fetch_time = context.cluster.image_fetch_duration(job.spec, kind.name),
                                 .tasks_per_machine = static_cast<std::uint64_t>(fit)};
  bool is_allowed = false;
  for (const std::string& zone : kind.zones) {
    for (const bool spot : {false, true}) {
      if (!is_machine_allowed(job.spec, kind.name, zone, spot)) continue;
      is_allowed = true;
      const double hourly = spot ? kind.spot_price : kind.price;
      if (!context.cluster.can_rent_in_zone(zone) || hourly > max_price_per_task * static_cast<double>(fit)) continue;
      found.can_scale_out =
          found.can_scale_out || context.capacity.is_expected_available({kind.name, zone, spot}, held_machines);
    }
  }
  return is_allowed ? std::optional(std::move(found)) : std::nullopt;
}

// Describes the job's pending tasks for a forecast.
foresight::DeadlineWork describe_work(const DeadlineContext& context, const Job& job, Instant deadline,
                                      const CloudCapacityTracker::HeldMachines& held_machines) {
  foresight::DeadlineWork work{.deadline = deadline, .run_time = estimated_run_time(job)};
  work.waiting_tasks = job.pending();
  work.is_gang = is_gang(job);
  work.can_scale_out = context.cluster.settings.operators.can_scale_out;
  work.end = planned_end(context.cluster, job);
  work.late_tasks =
      work.waiting_tasks - std::min(work.waiting_tasks, count_tasks_booked_by(context.cluster.planner, job, deadline));
  if (const config::Team* team = context.cluster.settings.team(job.spec.team); team != nullptr) {
    work.remaining_quota =
        TeamQuota(*team).remaining_tasks(job.task_resources, context.cluster.jobs.team_use(job.spec.team));
  }
  if (const classes::Rank* rank = context.ranking.find(job.spec.id); rank != nullptr && context.ranking.on()) {
    work.held_by_class_cap = rank->capped;
  }
  const double max_price_per_task =
      TaskPricing(context.cluster, context.demand).lowest_task_price(job.spec) * constants::kMaxLatePriceFactor;
  for (const wire::MachineType& kind : context.cluster.machine_types) {
    if (auto rentable = describe_machine_type(context, job, kind, max_price_per_task, held_machines))
      work.machine_options.push_back(std::move(*rentable));
  }
  return work;
}

std::optional<foresight::DeadlineForecast> forecast_job(const DeadlineContext& context, const Job& job,
                                                        Instant deadline,
                                                        const CloudCapacityTracker::HeldMachines& held_machines,
                                                        Instant last_pass_started_at, Instant now) {
  // A pass books only kMaxTasksPlannedPerPass tasks of a very large array. The other tasks are not late because of
  // that.
  if (job.cancelled || is_service(job) || job.pending() > constants::kMaxTasksPlannedPerPass) return std::nullopt;
  const auto end = planned_end(context.cluster, job);
  if (end && *end <= deadline) return foresight::DeadlineForecast{.end = end};
  // A job that was submitted after the latest pass began has not been planned yet.
  if (!end && job.submitted >= last_pass_started_at) return std::nullopt;
  return foresight::forecast_deadline(describe_work(context, job, deadline, held_machines), now);
}

}  // namespace

bool DeadlinePlanner::on_due_jobs(foresight::DueJobs due_jobs) {
  const bool same = std::ranges::equal(due_jobs, due_jobs_, [](const auto& left, const auto& right) {
    return left.first == right.first && left.second.slack_step == right.second.slack_step;
  });
  due_jobs_ = std::move(due_jobs);
  return !same;
}

std::map<JobId, int> DeadlinePlanner::slack_steps() const {
  std::map<JobId, int> slack;
  for (const auto& [id, due] : due_jobs_) slack.emplace_hint(slack.end(), id, due.slack_step);
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

std::map<JobId, foresight::DeadlineForecast> DeadlinePlanner::deadline_forecasts(const DeadlineContext& context,
                                                                                 Instant last_pass_started_at,
                                                                                 Instant now) const {
  std::map<JobId, foresight::DeadlineForecast> forecasts;
  if (due_jobs_.empty() || context.cluster.machine_types.empty()) return forecasts;
  const CloudCapacityTracker::HeldMachines held_machines = context.cluster.machines.count_by_kind();
  for (const auto& [id, due] : due_jobs_) {
    const auto entry = context.cluster.jobs.find(id);
    if (entry == context.cluster.jobs.end()) continue;
    if (auto forecast = forecast_job(context, entry->second, due.deadline, held_machines, last_pass_started_at, now)) {
      forecasts.emplace_hint(forecasts.end(), id, std::move(*forecast));
    }
  }
  return forecasts;
}

std::uint32_t DeadlinePlanner::count_overdue_tasks(const DeadlineContext& context, const Job& job,
                                                   const std::vector<plan::Placement>& placements,
                                                   const std::vector<plan::EligibleMachine>& places,
                                                   Instant now) const {
  const auto due = due_jobs_.find(job.spec.id);
  if (due == due_jobs_.end()) return 0;
  const Instant deadline = due->second.deadline;
  std::uint32_t late = 0;
  for (const plan::Placement& placement : placements) {
    if (placement.stop + run_time_beyond_booking(job) > deadline) late += placement.count;
  }
  if (late == 0) return 0;
  const foresight::DeadlineWork work = describe_work(context, job, deadline, {});
  if (std::ranges::none_of(work.machine_options,
                           [&](const auto& kind) { return foresight::can_finish_in_time(work, kind, now); }))
    return 0;
  // If the machines have room for these tasks in time, something else holds them back, such as a quota.
  // Renting would then be repeated in every pass, because the rented machines would stay empty.
  return count_timely_room(job, places, deadline, late, now) >= late ? 0 : late;
}

Millis DeadlinePlanner::max_startup_for_deadline(const Job& job, Instant now) const {
  const auto due = due_jobs_.find(job.spec.id);
  if (due == due_jobs_.end()) return Millis::max();
  return due->second.deadline - now - estimated_run_time(job);
}

Millis DeadlinePlanner::scale_out_delay(const Job& job, Instant now) const {
  if (job.spec.deadline_s) {
    Instant deadline = job.submitted + from_seconds(*job.spec.deadline_s);
    if (const auto due = due_jobs_.find(job.spec.id); due != due_jobs_.end())
      deadline = std::min(deadline, due->second.deadline);
    const Instant latest = deadline - booking_duration(job) * 3 / 2;
    return std::max(Millis(0), latest - now);
  }
  return Millis(0);
}

}  // namespace foxshunt::control
