#include "control/explanation.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

// Returns why the job is not planned at all, or nullopt if it is planned.
std::optional<std::string> Explanation::planning_blocker(const Job& job, Instant now) const {
  if (job.not_before > now) {
    return fmt::format("; they failed and are tried again in {:.0f} s", to_seconds(job.not_before - now));
  }
  if (!job.spec.zone.empty() && !cluster_.settings.in_service(job.spec.zone)) {
    return fmt::format("; it may run only in zone {}, which is out of service", job.spec.zone);
  }
  return std::nullopt;
}

// Returns why the tasks of a planned job cannot be placed yet, or nullopt if nothing prevents it.
std::optional<std::string> Explanation::placement_blocker(const Job& job) const {
  const bool gang = is_gang(job);
  if (gang && job.barrier_deadline) return "; they join the rest of the gang, which waits for them";
  if (gang && job.allocation_count > 0) return "; the gang starts again when nothing of its attempt before is left";
  if (!can_start_) return "; nothing is started while the state service does not answer";
  if (!team_has_quota(cluster_, job, gang ? job.pending() : 1)) return "; its team's limit is used up";
  return std::nullopt;
}

std::string Explanation::rank_text(const Job& job) const {
  const classes::Rank* job_rank = ranking_.find(job.spec.id);
  if (job_rank == nullptr || !ranking_.on()) return {};
  const std::string place_text = job_rank->place > 0 ? fmt::format("; ranked {}", job_rank->place) : std::string();
  return place_text +
         fmt::format(" with standing {}: {}", job_rank->standing, classes::reason(*job_rank, ranking_.table()));
}

std::string Explanation::plan_text(const Job& job, Instant now) const {
  if (!job.planned_start) return "; no machine that is up or boots has room for it";
  std::string text = fmt::format("; the first is booked to start in {:.0f} s",
                                 to_seconds(std::max(Millis(0), *job.planned_start - now)));
  if (job.late_tasks > 0) {
    text += fmt::format(", {} of them later than a machine rented now would let them", job.late_tasks);
  }
  return text;
}

std::string Explanation::renting_text() const {
  if (!cluster_.settings.operators.can_scale_out) return "; the settings forbid renting";
  return capacity_.has_wanted_machines() ? "; machines are being rented" : "";
}

std::optional<std::string> Explanation::describe(const JobId& id, Instant now) const {
  const auto entry = cluster_.jobs.find(id);
  if (entry == cluster_.jobs.end()) return std::nullopt;
  const Job& job = entry->second;
  if (job.cancelled) return fmt::format("withdrawn; {} tasks are being stopped", job.allocation_count);
  const std::uint32_t waiting = job.pending();
  if (waiting == 0) return fmt::format("all tasks that are not done are placed: {}", job.allocation_count);
  std::string text = fmt::format("{} of {} tasks wait", waiting, job.spec.tasks) + rank_text(job);
  if (const auto blocker = planning_blocker(job, now)) return text + *blocker;
  if (!job.spec.zone.empty() && !cluster_.zone_health.is_healthy(job.spec.zone)) {
    text += fmt::format("; it may run only in zone {}, which is {}", job.spec.zone,
                        zone::name_of(cluster_.zone_health.state_of(job.spec.zone)));
  }
  if (const auto blocker = placement_blocker(job)) return text + *blocker;
  return text + plan_text(job, now) + renting_text();
}

}  // namespace foxshunt::control
