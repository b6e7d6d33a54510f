// Planning passes, and the placements that they decide.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

bool Engine::plan_some(Instant now, std::size_t places_most) {
  if (!leadership_.is_leader()) {
    cycle_.abandon();
    return true;
  }
  return cycle_.plan_some({cluster_, gangs_, autoscaler_, deadlines_, *this, counters_}, now, places_most);
}

void Engine::plan_pass(Instant now) {
  bool ended = false;
  while (!ended) ended = plan_some(now, SIZE_MAX);
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

}  // namespace foxshunt::control
