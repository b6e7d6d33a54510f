#include "calendar/plans.h"

namespace foxshunt::calendar {

foresight::DueJobs dues_of(const DeadlineController& keeper, Both now) {
  foresight::DueJobs dues;
  for (const JobId& id : keeper.listed()) {
    const auto step = keeper.slack_step(id);
    const auto deadline = keeper.deadline_ms(id);
    if (!step || !deadline) continue;
    const foresight::Millis left(*deadline - keeper.limits().skew_ms - now.wall_ms);
    dues.emplace(id, foresight::JobDeadline{.deadline = now.at + left, .slack_step = *step});
  }
  return dues;
}

std::map<JobId, DeadlineController::Plan> plans_of(
    const std::map<JobId, foresight::Instant>& ends,
    const std::map<JobId, foresight::DeadlineForecast>& deadline_forecasts, Both now) {
  const auto wall = [now](foresight::Instant when) { return now.wall_ms + (when - now.at).count(); };
  std::map<JobId, DeadlineController::Plan> plans;
  for (const auto& [job, end] : ends) plans[job].end_ms = wall(end);
  for (const auto& [job, forecast] : deadline_forecasts) {
    DeadlineController::Plan& plan = plans[job];
    if (forecast.end) plan.end_ms = wall(*forecast.end);
    if (forecast.shortfall_reason == foresight::ShortfallReason::none) continue;
    plan.need = foresight::Shortfall{.shortfall_reason = forecast.shortfall_reason,
                                     .job = job.text(),
                                     .kind = forecast.kind,
                                     .tasks = forecast.tasks,
                                     .machines = forecast.machines,
                                     .up_by_ms = wall(forecast.up_by)};
  }
  return plans;
}

}  // namespace foxshunt::calendar
