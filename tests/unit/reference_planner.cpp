#include "unit/reference_planner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace foxshunt::plan {
namespace {

Instant add_saturating(Instant when, Millis duration) {
  return when >= kForever - duration ? kForever : when + duration;
}

// The slots within [from, to) in which all of the amounts are free and which last at least `duration`.
FreeSlots free_slots(const ResourceUsage& usage, const ResourceAmounts& amounts, Millis duration, Instant from,
                     Instant to) {
  FreeSlots found{{from, to, std::numeric_limits<AmountUnits>::max()}};
  for (std::size_t r = 0; r < kResourceCount && !found.empty(); ++r) {
    if (amounts.values[r] > 0)
      found = intersect(found, usage.usage_of(r).free_slots(amounts.values[r], duration, from, to), duration);
  }
  return found;
}

}  // namespace

void ReferencePlanner::set_machine(const MachineSpec& machine) {
  ResourceAmounts total = fleet_.capacity();
  total += machine.capacity;
  fleet_.set_capacity(total);
  machines_[machine.id] = {.spec = machine, .usage = ResourceUsage(machine.capacity)};
}

void ReferencePlanner::book(const Booking& booking) {
  fleet_.book(booking.amounts, booking.start, booking.stop);
  usage_by_team_[booking.team].book(booking.amounts, booking.start, booking.stop);
  machines_.at(booking.machine).usage.book(booking.amounts, booking.start, booking.stop);
}

FreeSlots ReferencePlanner::free_fleet_slots(const PlacementRequest& request, std::int64_t count,
                                             const ResourceUsage& fleet, const ResourceUsage& team) const {
  const ResourceAmounts needed = request.per_task.times(count);
  FreeSlots found{{request.earliest_start, kForever, std::numeric_limits<AmountUnits>::max()}};
  const auto limit_entry = team_limits_.find(request.team);
  const TeamLimit limit = limit_entry == team_limits_.end() ? TeamLimit{} : limit_entry->second;
  const std::array<std::optional<AmountUnits>, kResourceCount> limits{limit.cpus, limit.gpus, std::nullopt};
  for (std::size_t r = 0; r < kResourceCount && !found.empty(); ++r) {
    if (needed.values[r] <= 0) continue;
    UsageVector view = fleet.usage_of(r);
    if (request.keep_free.values[r] > 0) view.add({request.earliest_start, kForever, request.keep_free.values[r]});
    if (limits[r]) view = UsageVector::min_free(view, *limits[r], team.usage_of(r));
    found = intersect(found, view.free_slots(needed.values[r], request.duration, request.earliest_start, kForever),
                      request.duration);
  }
  return found;
}

std::vector<Placement> ReferencePlanner::plan(const PlacementRequest& request,
                                              const std::map<MachineId, Millis>& setup_times) const {
  if (request.count == 0) return {};
  const ResourceAmounts total = fleet_.capacity();
  std::vector<Candidate> candidates;
  for (const auto& [id, machine] : machines_) {
    if (!setup_times.contains(id) || !request.per_task.fits_in(machine.spec.capacity)) continue;
    FreeSlots slots = free_slots(machine.usage, request.per_task, setup_times.at(id) + request.duration,
                                 std::max(request.earliest_start, machine.spec.ready_at), machine.spec.available_until);
    if (slots.empty()) continue;
    double share = 0;
    for (std::size_t r = 0; r < kResourceCount; ++r) {
      if (total.values[r] <= 0) continue;
      share = std::max(share, to_whole(machine.spec.capacity.values[r]) / to_whole(total.values[r]));
    }
    const double cores = to_whole(total.values[0]);
    candidates.push_back({.machine = &machine,
                          .setup_time = setup_times.at(id),
                          .weight = share * cores + machine.spec.priority * cores,
                          .slots = std::move(slots)});
  }
  if (candidates.empty()) return {};
  return request.is_gang ? plan_gang(request, candidates) : plan_independent_tasks(request, candidates);
}

std::vector<Placement> ReferencePlanner::plan_independent_tasks(const PlacementRequest& request,
                                                                const std::vector<Candidate>& candidates) const {
  struct CandidateState {
    const Candidate* candidate;
    FreeSlots slots;
    // Usage of the machine with the tasks placed by this call; unset if this call placed none on it.
    std::optional<ResourceUsage> usage;
  };
  std::vector<CandidateState> states;
  states.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    states.push_back({.candidate = &candidate, .slots = candidate.slots, .usage = {}});
  std::vector<Placement> placements;
  // The tasks placed by this call count at once against the fleet, the team and the zones.
  ResourceUsage fleet = fleet_;
  ResourceUsage team = usage_by_team_.contains(request.team) ? usage_by_team_.at(request.team) : ResourceUsage{};
  std::map<std::string, std::uint32_t> tasks_in_zone = request.tasks_by_zone;
  std::string required_zone = request.required_zone;
  std::uint32_t remaining = request.count;
  while (remaining > 0) {
    const FreeSlots free = free_fleet_slots(request, 1, fleet, team);
    if (free.empty()) break;
    CandidateState* best = nullptr;
    Instant start;
    std::tuple<Millis::rep, double> best_rank{};
    for (CandidateState& entry : states) {
      const MachineSpec& spec = entry.candidate->machine->spec;
      if (!required_zone.empty() && spec.zone != required_zone) continue;
      if (request.zone_task_limit) {
        const auto taken = tasks_in_zone.find(spec.zone);
        if (taken != tasks_in_zone.end() && taken->second >= *request.zone_task_limit) continue;
      }
      const FreeSlots common = intersect(entry.slots, free, entry.candidate->setup_time + request.duration);
      if (common.empty() || common.front().start > request.latest_start) continue;
      // Compares start times in whole seconds, because a slightly earlier start does not justify a machine of higher
      // weight.
      const auto run_start = std::chrono::floor<std::chrono::seconds>(
          (common.front().start + entry.candidate->setup_time).time_since_epoch());
      const std::tuple<Millis::rep, double> rank{run_start.count(), entry.candidate->weight};
      if (best == nullptr || rank < best_rank) {
        best = &entry;
        start = common.front().start;
        best_rank = rank;
      }
    }
    if (best == nullptr) break;
    const MachineSpec& spec = best->candidate->machine->spec;
    const Millis booked_time = best->candidate->setup_time + request.duration;
    const Instant stop = add_saturating(start, booked_time);
    if (!best->usage) best->usage = best->candidate->machine->usage;
    std::int64_t count =
        std::min<std::int64_t>(remaining, request.per_task.count_fitting_in(best->usage->free(start, stop)));
    if (request.zone_task_limit)
      count = std::min<std::int64_t>(count, *request.zone_task_limit - tasks_in_zone[spec.zone]);
    // Limits the count by the room in the fleet and in the team's limit. One task always fits: the start was chosen
    // for it.
    PlacementRequest at_start = request;
    at_start.earliest_start = start;
    while (count > 1) {
      const FreeSlots slots = free_fleet_slots(at_start, count, fleet, team);
      if (!slots.empty() && slots.front().start == start) break;
      --count;
    }
    if (count < 1) break;
    best->usage->book(request.per_task.times(count), start, stop);
    best->slots = free_slots(*best->usage, request.per_task, booked_time,
                             std::max(request.earliest_start, spec.ready_at), spec.available_until);
    fleet.book(request.per_task.times(count), start, stop);
    team.book(request.per_task.times(count), start, stop);
    tasks_in_zone[spec.zone] += static_cast<std::uint32_t>(count);
    if (request.one_zone) required_zone = spec.zone;
    placements.push_back(
        {.machine = spec.id, .start = start, .stop = stop, .count = static_cast<std::uint32_t>(count)});
    remaining -= static_cast<std::uint32_t>(count);
  }
  return placements;
}

std::vector<Placement> ReferencePlanner::plan_gang(const PlacementRequest& request,
                                                   const std::vector<Candidate>& candidates) const {
  const FreeSlots free =
      free_fleet_slots(request, request.count, fleet_,
                       usage_by_team_.contains(request.team) ? usage_by_team_.at(request.team) : ResourceUsage{});
  // A gang that does not fit at some time can fit later only where a slot of the fleet or of a machine begins.
  std::set<Instant> starts;
  for (const Slot& slot : free) starts.insert(slot.start);
  for (const Candidate& candidate : candidates) {
    for (const Slot& slot : candidate.slots) starts.insert(slot.start);
  }
  std::vector<const Candidate*> ranked;
  for (const Candidate& candidate : candidates) ranked.push_back(&candidate);
  std::ranges::sort(ranked, [](const Candidate* a, const Candidate* b) {
    return std::tie(a->weight, a->setup_time, a->machine->spec.id) <
           std::tie(b->weight, b->setup_time, b->machine->spec.id);
  });
  std::set<std::string> zones;
  for (const Candidate& candidate : candidates) zones.insert(candidate.machine->spec.zone);

  for (const Instant start : starts) {
    if (start > request.latest_start) break;
    const bool fleet_has_room = std::ranges::any_of(free, [&](const Slot& slot) {
      return slot.start <= start && (slot.stop == kForever || slot.stop >= add_saturating(start, request.duration));
    });
    if (!fleet_has_room) continue;
    const auto count_fitting = [&](const Candidate& candidate) -> std::int64_t {
      if (candidate.machine->spec.ready_at > start) return 0;
      const Instant stop = add_saturating(start, candidate.setup_time + request.duration);
      if (stop > candidate.machine->spec.available_until) return 0;
      return request.per_task.count_fitting_in(candidate.machine->usage.free(start, stop));
    };
    const auto place_in = [&](const std::string* zone) {
      std::vector<Placement> placements;
      std::map<std::string, std::uint32_t> tasks_in_zone = request.tasks_by_zone;
      std::uint32_t remaining = request.count;
      for (const Candidate* candidate : ranked) {
        if (remaining == 0) break;
        const MachineSpec& spec = candidate->machine->spec;
        if (zone != nullptr && spec.zone != *zone) continue;
        std::int64_t count = std::min<std::int64_t>(remaining, count_fitting(*candidate));
        if (request.zone_task_limit) {
          const std::uint32_t taken = tasks_in_zone[spec.zone];
          count =
              std::min<std::int64_t>(count, taken >= *request.zone_task_limit ? 0 : *request.zone_task_limit - taken);
        }
        if (count <= 0) continue;
        tasks_in_zone[spec.zone] += static_cast<std::uint32_t>(count);
        remaining -= static_cast<std::uint32_t>(count);
        placements.push_back({.machine = spec.id,
                              .start = start,
                              .stop = add_saturating(start, candidate->setup_time + request.duration),
                              .count = static_cast<std::uint32_t>(count)});
      }
      if (remaining > 0) placements.clear();
      return placements;
    };
    if (!request.one_zone) {
      if (auto placements = place_in(nullptr); !placements.empty()) return placements;
      continue;
    }
    for (const std::string& zone : zones) {
      if (!request.required_zone.empty() && zone != request.required_zone) continue;
      if (auto placements = place_in(&zone); !placements.empty()) return placements;
    }
  }
  return {};
}

}  // namespace foxshunt::plan
