#include "control/scheduling_queue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <string>
#include <tuple>

#include "aging/aging.h"
#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

// How much later than its real submission a job counts as submitted. The penalty grows with the job's share of the
// fleet times its booking duration, and with each wait objective of its class that it has missed.
Millis aging_penalty(const ClusterState& cluster, const Job& job, Instant now) {
  const std::array<double, plan::kResourceCount>& fleet = cluster.planner.whole_fleet_capacity();
  const std::array<double, plan::kResourceCount> task{job.spec.cpus, job.spec.gpus, job.spec.ram_gb};
  double share = 0;
  for (std::size_t r = 0; r < plan::kResourceCount; ++r) {
    if (fleet[r] > 0) share = std::max(share, task[r] * job.spec.tasks / fleet[r]);
  }
  const Millis work = from_seconds(share * to_seconds(booking_duration(job)) * constants::kAgingPenaltyPerWork);
  // A job that has missed its objective yields, so that jobs that can still meet theirs are not delayed by it.
  Millis missed{};
  for (const config::Objective& objective : cluster.settings.objectives) {
    if (objective.kind != "wait" || objective.job_class != job.spec.job_class) continue;
    if (now - job.submitted > from_seconds(objective.within_s)) missed += constants::kAgingPenaltyPerMissedObjective;
  }
  return work + missed;
}

aging::WaitingJob make_waiting_job(const ClusterState& cluster, const DemandEstimator& demand, const Job& job,
                                   Instant now) {
  return {.submitted = job.submitted,
          .aging_penalty = aging_penalty(cluster, job, now),
          .is_among_largest = demand.is_among_largest(job.spec.job_class, job.spec.tasks)};
}

// The submission time by which the job is ordered, after aging. The holder of the backfill reservation counts as
// submitted earlier by kLargestHeadStart.
Instant effective_submission(const ClusterState& cluster, const GangCoordinator& gangs, const DemandEstimator& demand,
                             const Job& job, Instant now) {
  if (gangs.holds_reservation(job.spec.id)) return job.submitted - constants::kLargestHeadStart;
  return aging::effective_submission(make_waiting_job(cluster, demand, job, now), now);
}

struct QueueEntry {
  Job* job;
  bool borrowed;
  Instant queued_since;  // effective submission time
};

// Sorts a team's jobs in the order in which they use up its guarantee: by priority, then by submission.
void sort_for_guarantee(std::vector<Job*>& jobs) {
  std::ranges::sort(jobs, {}, [](const Job* job) {
    return std::tuple(-static_cast<int>(job->spec.priority), job->submitted, job->spec.id);
  });
}

// Sets Job::is_over_guarantee of a team's jobs: whether they exceed the team's guarantee. `team` is null for a team
// that the settings do not define; such a team has no guarantee.
void mark_borrowed(const std::vector<Job*>& jobs, const config::Team* team) {
  const ResourceAmounts guarantee =
      team == nullptr ? ResourceAmounts{} : ResourceAmounts::from(team->cpus, team->gpus, 0);
  ResourceAmounts needed;
  for (Job* job : jobs) {
    needed += job->task_resources.times(job->spec.tasks - job->done_count);
    job->is_over_guarantee = team == nullptr || needed.values[0] > guarantee.values[0] ||
                             (team->gpus > 0 && needed.values[1] > guarantee.values[1]);
  }
}

}  // namespace

// Jobs within their team's guarantee go before jobs that borrow; each group is ordered by priority, then by effective
// submission time.
std::vector<Job*> SchedulingQueue::order_jobs(ClusterState& cluster, const GangCoordinator& gangs,
                                              const DemandEstimator& demand, Instant now) {
  std::map<std::string, std::vector<Job*>> jobs_by_team;
  for (auto& [unused, job] : cluster.jobs) {
    if (!job.cancelled) jobs_by_team[job.spec.team].push_back(&job);
  }
  std::vector<QueueEntry> queue;
  for (auto& [team_name, jobs] : jobs_by_team) {
    sort_for_guarantee(jobs);
    mark_borrowed(jobs, cluster.settings.team(team_name));
    for (Job* job : jobs) {
      if ((job->pending() == 0 && job->evacuating_tasks == 0) || job->not_before > now) continue;
      queue.push_back({.job = job,
                       .borrowed = job->is_over_guarantee,
                       .queued_since = effective_submission(cluster, gangs, demand, *job, now)});
    }
  }
  std::ranges::sort(queue, {}, [](const QueueEntry& entry) {
    return std::tuple(entry.borrowed, -static_cast<int>(entry.job->spec.priority), entry.queued_since,
                      entry.job->spec.id);
  });
  std::vector<Job*> jobs;
  jobs.reserve(queue.size());
  for (const QueueEntry& entry : queue) jobs.push_back(entry.job);
  if (ranking_.on()) order_jobs_by_class(cluster, jobs, now);
  return jobs;
}

void SchedulingQueue::order_jobs_by_class(ClusterState& cluster, std::vector<Job*>& jobs, Instant now) {
  std::vector<classes::Candidate> candidates;
  candidates.reserve(cluster.jobs.size());
  for (const auto& [unused, job] : cluster.jobs) {
    candidates.push_back({.spec = &job.spec,
                          .submitted_wall_ms = job.submitted_wall_ms,
                          .done = job.done_count,
                          .placed = job.allocation_count,
                          .waiting = job.cancelled ? 0 : job.pending(),
                          .cancelled = job.cancelled});
  }
  ranking_.begin(std::move(candidates), cluster.settings.teams, now);
  // The ranking decides which positions jobs without a class take. Among themselves they keep their order by aging.
  using RankGroup = std::tuple<bool, std::uint32_t, wire::Priority>;
  const auto rank_group_of = [](const classes::Rank& rank) {
    return RankGroup(rank.borrowed, rank.standing, rank.priority);
  };
  std::map<RankGroup, std::deque<Job*>> unclassified;
  std::map<JobId, Job*> queued_jobs;
  for (Job* job : jobs) {
    const classes::Rank& rank = *ranking_.find(job->spec.id);
    queued_jobs.emplace(job->spec.id, job);
    if (!rank.of) unclassified[rank_group_of(rank)].push_back(job);
  }
  std::vector<Job*> ordered;
  for (const classes::Rank& rank : ranking_.order()) {
    cluster.jobs.at(rank.job).is_over_guarantee = rank.borrowed;
    const auto job = queued_jobs.find(rank.job);
    if (job == queued_jobs.end()) continue;
    if (rank.of) {
      ordered.push_back(job->second);
      continue;
    }
    std::deque<Job*>& next = unclassified.at(rank_group_of(rank));
    ordered.push_back(next.front());
    next.pop_front();
  }
  jobs = std::move(ordered);
}

bool SchedulingQueue::is_protected_by_rank(const Job& running_job, const preempt::Victim& victim,
                                           const Job& preempting_job) const {
  if (ranking_.find(running_job.spec.id) == nullptr) return false;
  if (!ranking_.goes_first(preempting_job.spec.id, running_job.spec.id)) return true;
  return std::ranges::any_of(ranking_.lacking(), [&](const classes::Rank* rank) {
    preempt::Victim seen{.priority = victim.priority, .borrowed = victim.borrowed};
    seen.same_team = rank->team == running_job.spec.team;
    return !preempt::is_preemption_allowed({.priority = rank->priority, .guaranteed = !rank->borrowed}, seen);
  });
}

}  // namespace foxshunt::control
