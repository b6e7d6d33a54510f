#include "control/gang_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/planned_bookings.h"
#include "control/times.h"

namespace foxshunt::control {

using wire::TaskState;

namespace {

Millis barrier_timeout(const config::Settings& settings) {
  return from_seconds(std::min(settings.gang_wait_s / 4, to_seconds(constants::kGangBarrierTimeout)));
}

// How long until the machine has the job's image, if the task is placed there now.
Millis image_wait(const ClusterState& cluster, const Job& job, const Machine& machine) {
  return machine.images.contains(job.spec.image) ? Millis(0) : cluster.fetch_time(job.spec, machine.type);
}

// How long until the placed task has its image, by the machine type's rate and by what was reported; never nothing
// while it is known to fetch.
Millis image_left(const ClusterState& cluster, const Job& job, const Allocation& allocation, Instant now) {
  const auto machine = cluster.machines.find(allocation.machine);
  if (machine == cluster.machines.end()) return Millis(0);
  const bool told = allocation.seen && *allocation.seen == wire::TaskState::fetching;
  if (!told && (allocation.seen || machine->second.images.contains(job.spec.image))) return Millis(0);
  const Millis passed = std::max(Millis(0), now - allocation.placed);
  const Millis whole = cluster.fetch_time(job.spec, machine->second.type);
  // One that is overdue takes as much longer as it has shown already.
  return std::max({whole - passed, passed / constants::kFetchOverdueDivisor, told ? constants::kTick : Millis(0)});
}

// Whether the placed tasks of a gang fetch still, and not for longer than is to be believed.
bool fetches(const ClusterState& cluster, const Job& job, Instant now) {
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto machine = cluster.machines.find(allocation.machine);
      if (machine == cluster.machines.end() || image_left(cluster, job, allocation, now) == Millis(0)) continue;
      const Millis most = cluster.fetch_time(job.spec, machine->second.type) * constants::kFetchDoubtFactor;
      if (now - allocation.placed < most + from_seconds(cluster.settings.gang_wait_s)) return true;
    }
  }
  return false;
}

// Gangs that have waited long enough for a backfill reservation and that their team's limit does not hold back.
std::vector<GangReservation::Candidate> reservation_candidates(const ClusterState& cluster,
                                                               const DemandEstimator& demand, Instant now) {
  std::vector<GangReservation::Candidate> candidates;
  for (const auto& [id, job] : cluster.jobs) {
    const bool waits_whole = job.allocation_count == 0 && job.pending() > 0 && !job.cancelled && job.not_before <= now;
    if (!is_gang(job) || !waits_whole) continue;
    if (now - job.submitted < constants::kReservationAfter) continue;
    if (!demand.largest(job.spec.job_class, job.spec.tasks)) continue;
    // At its team's limit no machine would help it.
    if (quota_for(cluster, job, job.pending())) candidates.push_back({.job = id, .submitted = job.submitted});
  }
  return candidates;
}

}  // namespace

// ---- start barrier ----

bool GangCoordinator::waits_at_barrier(const Job& job) {
  return job.spec.kind == wire::JobKind::gang && job.allocation_count > 0 &&
         std::ranges::all_of(job.shards, [](const JobShard& shard) {
           return std::ranges::all_of(shard.allocations, [](const auto& entry) {
             const Allocation& allocation = entry.second;
             if (allocation.stopping) return false;
             // What an earlier leader placed may have begun long ago.
             if (!allocation.seen) return !allocation.adopted;
             return *allocation.seen == TaskState::fetching || *allocation.seen == TaskState::waiting;
           });
         });
}

void GangCoordinator::hold_start_barrier(ClusterState& cluster, Job& job, Instant now) {
  if (!job.gather_until) {
    job.gather_until = now + barrier_timeout(cluster.settings);
    spdlog::info("job {}: its gang lost a task before its start, another one is to join", job.spec.id.text());
  }
  cluster.plan_wanted = true;
}

// PROTOCOL, "Gangs": while the gang has not started the rest keep waiting, and a replacement with the same attempt number
// completes it. Ending the attempt instead costs all the others their places and image fetches. If it has started after all
// the others tell so by `mates_gone`, and the attempt ends as always.
bool GangCoordinator::survives_loss(ClusterState& cluster, Job& job, bool had_run, Instant now) {
  if (had_run || job.cancelled || !waits_at_barrier(job)) return false;
  hold_start_barrier(cluster, job, now);
  return true;
}

MissingMembers GangCoordinator::missing_members(const ClusterState& cluster, Job& job, Instant now) {
  if (!job.gather_until || !waits_at_barrier(job)) return MissingMembers::none;
  // Those that fetch don't give up yet: the rest has until some time after they are there.
  if (fetches(cluster, job, now)) {
    job.gather_until = std::max(*job.gather_until, now + barrier_timeout(cluster.settings));
  }
  return now <= *job.gather_until ? MissingMembers::replace : MissingMembers::overdue;
}

// PROTOCOL: a task that has its image gives up after `gang_wait_s` if the others have not theirs, and begins again only as
// another attempt; when the attempt is ended, the fetches of the others are given up. So those that would wait for too
// long are placed when the others are nearly there: a gang whose fetches differ by more would never begin. A task is
// never started twice with the same attempt on the same machine, since an old report could then tell of either.
std::vector<plan::Placement> GangCoordinator::members_due(ClusterState& cluster, Job& job,
                                                          const std::vector<plan::Placement>& placements, Instant now) {
  Millis last{};
  Millis first = Millis::max();
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations)
      last = std::max(last, image_left(cluster, job, allocation, now));
  }
  for (const plan::Placement& placement : placements) {
    const Millis wait = image_wait(cluster, job, cluster.machines.at(placement.machine));
    last = std::max(last, wait);
    first = std::min(first, wait);
  }
  if (last - first > from_seconds(cluster.settings.gang_wait_s) / constants::kGangFetchSpreadDivisor)
    job.in_stages = true;
  if (!job.in_stages) return placements;
  std::vector<plan::Placement> due;
  for (const plan::Placement& placement : placements) {
    if (image_wait(cluster, job, cluster.machines.at(placement.machine)) >= last) {
      due.push_back(placement);
    } else {
      book_ahead(cluster, job, placement);
    }
  }
  if (due.size() < placements.size() && !job.gather_until)
    job.gather_until = now + last + barrier_timeout(cluster.settings);
  return due;
}

// ---- backfill reservation ----

void GangCoordinator::choose_holder(const ClusterState& cluster, const DemandEstimator& demand, Instant now) {
  reservation_.choose(reservation_candidates(cluster, demand, now), now);
}

std::vector<plan::Placement> GangCoordinator::plan_reserved(const plan::Planner& planner,
                                                            plan::PlacementRequest request) const {
  for (plan::EligibleMachine& place : request.machines) place.preferred = reservation_.keeps(place.machine->spec.id);
  std::vector<plan::Placement> placements = planner.plan(request);
  if (!request.one_zone || placements.empty() || reservation_.zone().empty()) return placements;
  // What was kept so far would go to others if it moved to the zone that looks best by the estimates of the moment. It moves
  // only where it can start at once.
  if (placements.front().start <= request.earliest_start) return placements;
  // Bound to the zone where it is planned already, the same plan would be found again.
  if (planner.find_machine(placements.front().machine)->spec.zone == reservation_.zone()) return placements;
  request.required_zone = reservation_.zone();
  std::vector<plan::Placement> there = planner.plan(request);
  return there.empty() ? placements : there;
}

void GangCoordinator::keep_machines_free(ClusterState& cluster, Job& job,
                                         const std::vector<plan::Placement>& placements, Instant now) {
  std::set<MachineId> kept;
  for (const plan::Placement& placement : placements) {
    const plan::PlannedMachine* node = cluster.planner.find_machine(placement.machine);
    const ResourceAmounts amounts = job.each.times(placement.count);
    const plan::TimeIntervals free =
        node->usage.free_intervals(amounts, constants::kTick, std::max(now, node->spec.ready_at), placement.start);
    if (free.empty() || free.back().stop != placement.start) continue;
    // Its team does not use it yet: others of the team may still reach the team's limit.
    job.booked.push_back(cluster.planner.book({.machine = placement.machine,
                                               .team = {},
                                               .amounts = amounts,
                                               .start = free.back().start,
                                               .stop = free.back().stop}));
    if (free.back().start <= now) kept.insert(placement.machine);
  }
  const bool one_zone = job.spec.one_zone && !placements.empty();
  reservation_.plan(one_zone ? cluster.machines.at(placements.front().machine).zone : std::string(), std::move(kept));
}

}  // namespace foxshunt::control
