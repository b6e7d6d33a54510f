#include "control/explanation.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

// What keeps the job from being planned at all; nothing if nothing does.
std::optional<std::string> Explanation::hold(const Job& job, Instant now) const {
  if (job.not_before > now) {
    return fmt::format("; they failed and are tried again in {:.0f} s", to_seconds(job.not_before - now));
  }
  if (!job.spec.zone.empty() && !cluster_.settings.in_service(job.spec.zone)) {
    return fmt::format("; it may run only in zone {}, which is out of service", job.spec.zone);
  }
  return std::nullopt;
}

// What keeps the tasks from being placed though the job is planned; nothing if nothing does.
std::optional<std::string> Explanation::wait(const Job& job) const {
  const bool gang = is_gang(job);
  if (gang && job.gather_until) return "; they join the rest of the gang, which waits for them";
  if (gang && job.allocation_count > 0) return "; the gang starts again when nothing of its attempt before is left";
  if (!can_start_) return "; nothing is started while the state service does not answer";
  if (!quota_for(cluster_, job, gang ? job.pending() : 1)) return "; its team's limit is used up";
  return std::nullopt;
}

std::string Explanation::rank(const Job& job) const {
  const classes::Rank* found = ranking_.find(job.spec.id);
  if (found == nullptr || !ranking_.on()) return {};
  const std::string place = found->place > 0 ? fmt::format("; ranked {}", found->place) : std::string();
  return place + fmt::format(" with standing {}: {}", found->standing, classes::reason(*found, ranking_.table()));
}

std::string Explanation::plan(const Job& job, Instant now) const {
  if (!job.planned_start) return "; no machine that is up or boots has room for it";
  std::string text = fmt::format("; the first is booked to start in {:.0f} s",
                                 to_seconds(std::max(Millis(0), *job.planned_start - now)));
  if (job.late_tasks > 0) {
    text += fmt::format(", {} of them later than a machine rented now would let them", job.late_tasks);
  }
  return text;
}

std::string Explanation::renting() const {
  if (!cluster_.settings.operators.can_scale_out) return "; the settings forbid renting";
  return capacity_.wanted() ? "; machines are being rented" : "";
}

std::optional<std::string> Explanation::of(const JobId& id, Instant now) const {
  const auto entry = cluster_.jobs.find(id);
  if (entry == cluster_.jobs.end()) return std::nullopt;
  const Job& job = entry->second;
  if (job.cancelled) return fmt::format("withdrawn; {} tasks are being stopped", job.allocation_count);
  const std::uint32_t waiting = job.pending();
  if (waiting == 0) return fmt::format("all tasks that are not done are placed: {}", job.allocation_count);
  std::string text = fmt::format("{} of {} tasks wait", waiting, job.spec.tasks) + rank(job);
  if (const auto held = hold(job, now)) return text + *held;
  if (!job.spec.zone.empty() && !cluster_.zones.is_healthy(job.spec.zone)) {
    text += fmt::format("; it may run only in zone {}, which is {}", job.spec.zone,
                        zone::name_of(cluster_.zones.state_of(job.spec.zone)));
  }
  if (const auto waits = wait(job)) return text + *waits;
  return text + plan(job, now) + renting();
}

}  // namespace foxshunt::control
