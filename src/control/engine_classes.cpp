// The order of the catalog's classes in the leader's planning.
#include <algorithm>
#include <deque>

#include "control/engine.h"

namespace foxshunt::control {

void Engine::on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now) {
  ranking_.on_catalog(set);
  ranking_.tell_time(wall_ms, now);
  cluster_.plan_wanted = true;
}

void Engine::order_by_class(std::vector<Job*>& jobs, Instant now) {
  std::vector<classes::Candidate> candidates;
  candidates.reserve(cluster_.jobs.size());
  for (const auto& [unused, job] : cluster_.jobs) {
    candidates.push_back({.spec = &job.spec,
                          .submitted_wall_ms = job.submitted_wall_ms,
                          .done = job.done_count,
                          .placed = job.runs_count,
                          .waiting = job.withdrawn ? 0 : job.pending(),
                          .withdrawn = job.withdrawn});
  }
  ranking_.begin(std::move(candidates), cluster_.settings.teams, now);
  // Jobs of no class keep the order that they had among themselves, in the places that such jobs have.
  using Room = std::tuple<bool, std::uint32_t, wire::Priority>;
  const auto room_of = [](const classes::Rank& rank) { return Room(rank.borrowed, rank.standing, rank.priority); };
  std::map<Room, std::deque<Job*>> unclassed;
  std::map<JobId, Job*> planned;
  for (Job* job : jobs) {
    const classes::Rank& rank = *ranking_.find(job->spec.id);
    planned.emplace(job->spec.id, job);
    if (!rank.of) unclassed[room_of(rank)].push_back(job);
  }
  std::vector<Job*> ordered;
  for (const classes::Rank& rank : ranking_.order()) {
    cluster_.jobs.at(rank.job).borrowed = rank.borrowed;
    const auto job = planned.find(rank.job);
    if (job == planned.end()) continue;
    if (rank.of) {
      ordered.push_back(job->second);
      continue;
    }
    std::deque<Job*>& next = unclassed.at(room_of(rank));
    ordered.push_back(next.front());
    next.pop_front();
  }
  jobs = std::move(ordered);
}

bool Engine::kept_by_rank(const Job& runs, const preempt::Victim& victim, const Job& asks) const {
  if (ranking_.find(runs.spec.id) == nullptr) return false;
  if (!ranking_.goes_first(asks.spec.id, runs.spec.id)) return true;
  return std::ranges::any_of(ranking_.lacking(), [&](const classes::Rank* rank) {
    preempt::Victim seen{.priority = victim.priority, .borrowed = victim.borrowed};
    seen.same_team = rank->team == runs.spec.team;
    return !preempt::entitled({.priority = rank->priority, .guaranteed = !rank->borrowed}, seen);
  });
}

}  // namespace foxshunt::control
