#include "control/job_requirements.h"

#include <algorithm>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::control {

plan::ResourceAmounts task_amounts(const wire::JobSpec& spec) {
  return plan::ResourceAmounts::from(spec.cpus, spec.gpus, spec.ram_gb);
}

plan::ResourceAmounts capacity_of(const wire::MachineType& type) {
  return plan::ResourceAmounts::from(type.cpus, type.gpus, type.ram_gb);
}

bool is_type_allowed(const wire::JobSpec& spec, const std::string& type) {
  return spec.types.empty() || std::ranges::find(spec.types, type) != spec.types.end();
}

bool is_machine_allowed(const wire::JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != zone) return false;
  return is_type_allowed(spec, type);
}

std::uint32_t max_tasks_per_zone(const wire::JobSpec& spec) { return (spec.tasks + 1) / 2; }

plan::Millis booking_duration(const jobs::Job& job) {
  if (job.spec.kind == wire::JobKind::service || job.spec.estimate_s <= 0) return constants::kPlanHorizon;
  return std::max(plan::Millis(1000), std::min(from_seconds(job.spec.estimate_s), constants::kPlanHorizon));
}

plan::Millis estimated_run_time(const jobs::Job& job) {
  return std::max(booking_duration(job), from_seconds(job.spec.estimate_s));
}

plan::Millis run_time_beyond_booking(const jobs::Job& job) { return estimated_run_time(job) - booking_duration(job); }

plan::PlacementRequest make_planning_request(const jobs::Job& job, std::uint32_t count, plan::Instant from) {
  plan::PlacementRequest request;
  request.team = job.spec.team;
  request.per_task = job.task_resources;
  request.count = count;
  request.duration = booking_duration(job);
  request.earliest_start = from;
  request.is_gang = is_gang(job);
  request.one_zone = job.spec.one_zone;
  if (job.spec.spread) request.zone_task_limit = max_tasks_per_zone(job.spec);
  return request;
}

}  // namespace foxshunt::control
