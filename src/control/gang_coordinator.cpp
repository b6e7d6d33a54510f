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

// How long placed members wait at the start barrier for replacements: a quarter of `gang_wait_s`, at most
// kGangBarrierTimeout.
Millis barrier_timeout(const config::Settings& settings) {
  return from_seconds(std::min(settings.gang_wait_s / 4, to_seconds(constants::kGangBarrierTimeout)));
}

// How long the machine takes to fetch the job's image if a task is placed there now; zero if it holds the image.
Millis image_fetch_time(const ClusterState& cluster, const Job& job, const Machine& machine) {
  return machine.images.contains(job.spec.image) ? Millis(0) : cluster.image_fetch_duration(job.spec, machine.type);
}

// How long the placed task will still fetch its image, by the machine type's fetch rate and the task's reported state.
// Never zero while the task is reported as fetching.
Millis remaining_fetch_time(const ClusterState& cluster, const Job& job, const Allocation& allocation, Instant now) {
  const auto machine = cluster.machines.find(allocation.machine);
  if (machine == cluster.machines.end()) return Millis(0);
  const bool reported_fetching = allocation.reported_state && *allocation.reported_state == wire::TaskState::fetching;
  if (!reported_fetching && (allocation.reported_state || machine->second.images.contains(job.spec.image)))
    return Millis(0);
  const Millis elapsed = std::max(Millis(0), now - allocation.placed_at);
  const Millis expected_total = cluster.image_fetch_duration(job.spec, machine->second.type);
  // An overdue fetch is expected to take a further 1/kFetchOverdueDivisor of the time that it has taken.
  return std::max({expected_total - elapsed, elapsed / constants::kFetchOverdueDivisor,
                   reported_fetching ? constants::kTick : Millis(0)});
}

// Whether a placed task of the gang still fetches its image within the time that a fetch may plausibly take.
bool is_fetching_image(const ClusterState& cluster, const Job& job, Instant now) {
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto machine = cluster.machines.find(allocation.machine);
      if (machine == cluster.machines.end() || remaining_fetch_time(cluster, job, allocation, now) == Millis(0))
        continue;
      const Millis max_fetch_time =
          cluster.image_fetch_duration(job.spec, machine->second.type) * constants::kFetchDoubtFactor;
      if (now - allocation.placed_at < max_fetch_time + from_seconds(cluster.settings.gang_wait_s)) return true;
    }
  }
  return false;
}

// The gangs that may get the backfill reservation: among the largest of their class, without placed tasks, waiting for
// at least kReservationAfter, and not held back by their team's quota.
std::vector<GangReservation::Candidate> reservation_candidates(const ClusterState& cluster,
                                                               const DemandEstimator& demand, Instant now) {
  std::vector<GangReservation::Candidate> candidates;
  for (const auto& [id, job] : cluster.jobs) {
    const bool waits_unplaced =
        job.allocation_count == 0 && job.pending() > 0 && !job.cancelled && job.not_before <= now;
    if (!is_gang(job) || !waits_unplaced) continue;
    if (now - job.submitted < constants::kReservationAfter) continue;
    if (!demand.is_among_largest(job.spec.job_class, job.spec.tasks)) continue;
    // A gang that exceeds its team's quota could not start on reserved machines either.
    if (team_has_quota(cluster, job, job.pending())) candidates.push_back({.job = id, .submitted = job.submitted});
  }
  return candidates;
}

}  // namespace

// ---- start barrier ----

bool GangCoordinator::is_waiting_at_barrier(const Job& job) {
  return job.spec.kind == wire::JobKind::gang && job.allocation_count > 0 &&
         std::ranges::all_of(job.shards, [](const JobShard& shard) {
           return std::ranges::all_of(shard.allocations, [](const auto& entry) {
             const Allocation& allocation = entry.second;
             if (allocation.stopping) return false;
             // A task that an earlier leader placed may have started already.
             if (!allocation.reported_state) return !allocation.adopted;
             return *allocation.reported_state == TaskState::fetching ||
                    *allocation.reported_state == TaskState::waiting;
           });
         });
}

void GangCoordinator::hold_start_barrier(ClusterState& cluster, Job& job, Instant now) {
  if (!job.barrier_deadline) {
    job.barrier_deadline = now + barrier_timeout(cluster.settings);
    spdlog::info("gang member lost before the start, will be replaced job={}", job.spec.id.text());
  }
  cluster.needs_planning = true;
}

// PROTOCOL, "Gangs": before the gang has started, the remaining members keep waiting, and a replacement with the same
// attempt number completes the gang. Ending the attempt instead would discard the placements and image fetches of all
// other members. If the gang had started after all, the other members report `mates_gone`, and the attempt ends as
// usual.
bool GangCoordinator::handle_member_loss(ClusterState& cluster, Job& job, bool had_run, Instant now) {
  if (had_run || job.cancelled || !is_waiting_at_barrier(job)) return false;
  hold_start_barrier(cluster, job, now);
  return true;
}

MissingMemberAction GangCoordinator::choose_missing_member_action(const ClusterState& cluster, Job& job, Instant now) {
  if (!job.barrier_deadline || !is_waiting_at_barrier(job)) return MissingMemberAction::none;
  // Members that fetch their image have not begun to wait for the others: the timeout runs from the end of the fetches.
  if (is_fetching_image(cluster, job, now)) {
    job.barrier_deadline = std::max(*job.barrier_deadline, now + barrier_timeout(cluster.settings));
  }
  return now <= *job.barrier_deadline ? MissingMemberAction::replace : MissingMemberAction::end_attempt;
}

// PROTOCOL: a task that has its image gives up after `gang_wait_s` if other members do not have theirs, and can start
// again only in a new attempt; ending the attempt aborts the fetches of the other members. A gang whose fetch times
// differ by more than `gang_wait_s` would therefore never start if all members were placed at once. So members with
// short fetches are placed when the long fetches are nearly complete. A task is never started twice with the same
// attempt number on the same machine, because a late report could then refer to either run.
std::vector<plan::Placement> GangCoordinator::select_members_to_place(ClusterState& cluster, Job& job,
                                                                      const std::vector<plan::Placement>& placements,
                                                                      Instant now) {
  Millis longest_fetch{};
  Millis shortest_fetch = Millis::max();
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations)
      longest_fetch = std::max(longest_fetch, remaining_fetch_time(cluster, job, allocation, now));
  }
  for (const plan::Placement& placement : placements) {
    const Millis wait = image_fetch_time(cluster, job, cluster.machines.at(placement.machine));
    longest_fetch = std::max(longest_fetch, wait);
    shortest_fetch = std::min(shortest_fetch, wait);
  }
  if (longest_fetch - shortest_fetch > from_seconds(cluster.settings.gang_wait_s) / constants::kGangFetchSpreadDivisor)
    job.is_placed_in_stages = true;
  if (!job.is_placed_in_stages) return placements;
  std::vector<plan::Placement> due;
  for (const plan::Placement& placement : placements) {
    if (image_fetch_time(cluster, job, cluster.machines.at(placement.machine)) >= longest_fetch) {
      due.push_back(placement);
    } else {
      book_planned_tasks(cluster, job, placement);
    }
  }
  if (due.size() < placements.size() && !job.barrier_deadline)
    job.barrier_deadline = now + longest_fetch + barrier_timeout(cluster.settings);
  return due;
}

// ---- backfill reservation ----

void GangCoordinator::choose_reservation_holder(const ClusterState& cluster, const DemandEstimator& demand,
                                                Instant now) {
  reservation_.choose_holder(reservation_candidates(cluster, demand, now), now);
}

std::vector<plan::Placement> GangCoordinator::plan_reservation_holder(const plan::Planner& planner,
                                                                      plan::PlacementRequest request) const {
  for (plan::EligibleMachine& place : request.machines)
    place.preferred = reservation_.is_machine_kept(place.machine->spec.id);
  std::vector<plan::Placement> placements = planner.plan(request);
  if (!request.one_zone || placements.empty() || reservation_.zone().empty()) return placements;
  // Moving to the zone with the earliest estimated start would release the machines that are kept free in the reserved
  // zone. The gang moves only if it can start at once.
  if (placements.front().start <= request.earliest_start) return placements;
  // If the plan is in the reserved zone already, planning with that zone bound would give the same plan.
  if (planner.find_machine(placements.front().machine)->spec.zone == reservation_.zone()) return placements;
  request.required_zone = reservation_.zone();
  std::vector<plan::Placement> plan_in_reserved_zone = planner.plan(request);
  return plan_in_reserved_zone.empty() ? placements : plan_in_reserved_zone;
}

void GangCoordinator::reserve_machines(ClusterState& cluster, Job& job, const std::vector<plan::Placement>& placements,
                                       Instant now) {
  std::set<MachineId> kept;
  for (const plan::Placement& placement : placements) {
    const plan::PlannedMachine* node = cluster.planner.find_machine(placement.machine);
    const ResourceAmounts amounts = job.task_resources.times(placement.count);
    const plan::TimeIntervals free =
        node->usage.free_intervals(amounts, constants::kTick, std::max(now, node->spec.ready_at), placement.start);
    if (free.empty() || free.back().stop != placement.start) continue;
    // Booked without a team: until the gang starts, the machine does not count against the team's quota.
    job.bookings.push_back(cluster.planner.book({.machine = placement.machine,
                                                 .team = {},
                                                 .amounts = amounts,
                                                 .start = free.back().start,
                                                 .stop = free.back().stop}));
    if (free.back().start <= now) kept.insert(placement.machine);
  }
  const bool one_zone = job.spec.one_zone && !placements.empty();
  reservation_.record_plan(one_zone ? cluster.machines.at(placements.front().machine).zone : std::string(),
                           std::move(kept));
}

}  // namespace foxshunt::control
