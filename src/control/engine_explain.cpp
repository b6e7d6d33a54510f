// What operators are told of the leader's state.
#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "config/constants.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

Census Engine::census(Instant now) const {
  Census census;
  census.jobs = cluster_.jobs.size();
  for (const auto& [unused, job] : cluster_.jobs) {
    if (!job.withdrawn) census.tasks_waiting += job.pending();
    census.tasks_placed += job.runs_count;
    for (const Part& part : job.parts) {
      if (job.withdrawn || part.settled()) continue;
      ++census.unwritten;
      census.unwritten_oldest = std::max(census.unwritten_oldest, now - part.dirty_since);
    }
  }
  for (const auto& [unused, machine] : cluster_.machines) {
    switch (machine.state) {
      case MachineState::up: ++census.machines_up; break;
      case MachineState::booting: ++census.machines_booting; break;
      default: ++census.machines_leaving; break;
    }
  }
  census.fence_left =
      std::max(Millis(0), std::min(lease_confirmed_, read_confirmed_) + fence_span(cluster_.settings) - now);
  return census;
}

// What keeps the job from being planned at all; nothing if nothing does.
std::optional<std::string> Engine::explain_hold(const Job& job, Instant now) const {
  if (job.not_before > now) {
    return fmt::format("; they failed and are tried again in {:.0f} s", to_seconds(job.not_before - now));
  }
  if (!job.spec.zone.empty() && !cluster_.settings.in_service(job.spec.zone)) {
    return fmt::format("; it may run only in zone {}, which is out of service", job.spec.zone);
  }
  return std::nullopt;
}

// What keeps the tasks from being placed though the job is planned; nothing if nothing does.
std::optional<std::string> Engine::explain_wait(const Job& job, Instant now) const {
  const bool gang = is_gang(job);
  if (gang && job.gather_until) return "; they join the rest of the gang, which waits for them";
  if (gang && job.runs_count > 0) return "; the gang starts again when nothing of its attempt before is left";
  if (!may_start(now)) return "; nothing is started while the state service does not answer";
  if (!quota_for(cluster_, job, gang ? job.pending() : 1)) return "; its team's limit is used up";
  return std::nullopt;
}

std::string Engine::explain_rank(const Job& job) const {
  const classes::Rank* rank = cycle_.queue().ranking().find(job.spec.id);
  if (rank == nullptr || !cycle_.queue().ranking().on()) return {};
  const std::string place = rank->place > 0 ? fmt::format("; ranked {}", rank->place) : std::string();
  return place +
         fmt::format(" with standing {}: {}", rank->standing, classes::reason(*rank, cycle_.queue().ranking().table()));
}

std::string Engine::explain_plan(const Job& job, Instant now) const {
  if (!job.planned_start) return "; no machine that is up or boots has room for it";
  std::string text = fmt::format("; the first is booked to start in {:.0f} s",
                                 to_seconds(std::max(Millis(0), *job.planned_start - now)));
  if (job.late_tasks > 0) {
    text += fmt::format(", {} of them later than a machine rented now would let them", job.late_tasks);
  }
  return text;
}

std::string Engine::explain_renting() const {
  if (!cluster_.settings.operators.may_rent) return "; the settings forbid renting";
  return autoscaler_.capacity().wanted() ? "; machines are being rented" : "";
}

std::optional<std::string> Engine::explain(const JobId& id, Instant now) const {
  const auto entry = cluster_.jobs.find(id);
  if (!leading_ || entry == cluster_.jobs.end()) return std::nullopt;
  const Job& job = entry->second;
  if (job.withdrawn) return fmt::format("withdrawn; {} tasks are being stopped", job.runs_count);
  const std::uint32_t waiting = job.pending();
  if (waiting == 0) return fmt::format("all tasks that are not done are placed: {}", job.runs_count);
  std::string text = fmt::format("{} of {} tasks wait", waiting, job.spec.tasks) + explain_rank(job);
  if (const auto hold = explain_hold(job, now)) return text + *hold;
  if (!job.spec.zone.empty() && !cluster_.zones.trusted(job.spec.zone)) {
    text += fmt::format("; it may run only in zone {}, which is {}", job.spec.zone,
                        zone::name_of(cluster_.zones.of(job.spec.zone)));
  }
  if (const auto wait = explain_wait(job, now)) return text + *wait;
  return text + explain_plan(job, now) + explain_renting();
}

}  // namespace foxshunt::control
