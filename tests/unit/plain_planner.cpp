#include "unit/plain_planner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace foxshunt::plan {
namespace {

Instant plus(Instant when, Millis duration) { return when >= kForever - duration ? kForever : when + duration; }

FreeSlots free_slots(const ResourceSet& set, const Amounts& amounts, Millis duration, Instant from, Instant to) {
  FreeSlots found{{from, to, std::numeric_limits<Items>::max()}};
  for (std::size_t r = 0; r < kResources && !found.empty(); ++r) {
    if (amounts.of[r] > 0) found = intersect(found, set.of(r).free_slots(amounts.of[r], duration, from, to), duration);
  }
  return found;
}

}  // namespace

void PlainPlanner::set_machine(const PlanMachine& machine) {
  Amounts total = fleet_.capacity();
  total += machine.capacity;
  fleet_.set_capacity(total);
  machines_[machine.id] = {.info = machine, .use = ResourceSet(machine.capacity)};
}

void PlainPlanner::book(const Booking& booking) {
  fleet_.book(booking.amounts, booking.start, booking.stop);
  teams_[booking.team].book(booking.amounts, booking.start, booking.stop);
  machines_.at(booking.machine).use.book(booking.amounts, booking.start, booking.stop);
}

FreeSlots PlainPlanner::fleet_slots(const Request& request, std::int64_t count, const ResourceSet& fleet,
                                    const ResourceSet& team) const {
  const Amounts need = request.each.times(count);
  FreeSlots found{{request.from, kForever, std::numeric_limits<Items>::max()}};
  const auto limit_entry = limits_.find(request.team);
  const TeamLimit limit = limit_entry == limits_.end() ? TeamLimit{} : limit_entry->second;
  const std::array<std::optional<Items>, kResources> limits{limit.cpus, limit.gpus, std::nullopt};
  for (std::size_t r = 0; r < kResources && !found.empty(); ++r) {
    if (need.of[r] <= 0) continue;
    UsageVector view = fleet.of(r);
    if (request.keep_free.of[r] > 0) view.add({request.from, kForever, request.keep_free.of[r]});
    if (limits[r]) view = UsageVector::min_free(view, *limits[r], team.of(r));
    found = intersect(found, view.free_slots(need.of[r], request.duration, request.from, kForever), request.duration);
  }
  return found;
}

std::vector<Placing> PlainPlanner::plan(const Request& request, const std::map<MachineId, Millis>& before) const {
  if (request.count == 0) return {};
  const Amounts total = fleet_.capacity();
  std::vector<Candidate> candidates;
  for (const auto& [id, node] : machines_) {
    if (!before.contains(id) || !request.each.fits(node.info.capacity)) continue;
    FreeSlots slots = free_slots(node.use, request.each, before.at(id) + request.duration,
                                 std::max(request.from, node.info.ready), node.info.until);
    if (slots.empty()) continue;
    double share = 0;
    for (std::size_t r = 0; r < kResources; ++r) {
      if (total.of[r] <= 0) continue;
      share = std::max(share, static_cast<double>(node.info.capacity.of[r]) / static_cast<double>(total.of[r]));
    }
    const auto cores = static_cast<double>(total.of[0]);
    candidates.push_back({.node = &node,
                          .before = before.at(id),
                          .weight = share * cores + node.info.priority * cores,
                          .slots = std::move(slots)});
  }
  if (candidates.empty()) return {};
  return request.together ? plan_together(request, candidates) : plan_apart(request, candidates);
}

std::vector<Placing> PlainPlanner::plan_apart(const Request& request, const std::vector<Candidate>& candidates) const {
  struct Open {
    const Candidate* from;
    FreeSlots slots;
    std::optional<ResourceSet> use;  // the machine's use with what this call placed
  };
  std::vector<Open> open;
  open.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    open.push_back({.from = &candidate, .slots = candidate.slots, .use = {}});
  std::vector<Placing> placed;
  // What this call placed counts against the fleet, the team and the zones at once.
  ResourceSet fleet = fleet_;
  ResourceSet team = teams_.contains(request.team) ? teams_.at(request.team) : ResourceSet{};
  std::map<std::string, std::uint32_t> in_zone = request.zone_taken;
  std::string zone_bound = request.zone_bound;
  std::uint32_t left = request.count;
  while (left > 0) {
    const FreeSlots free = fleet_slots(request, 1, fleet, team);
    if (free.empty()) break;
    Open* best = nullptr;
    Instant start;
    std::tuple<Millis::rep, double> best_rank{};
    for (Open& entry : open) {
      const PlanMachine& info = entry.from->node->info;
      if (!zone_bound.empty() && info.zone != zone_bound) continue;
      if (request.zone_most) {
        const auto taken = in_zone.find(info.zone);
        if (taken != in_zone.end() && taken->second >= *request.zone_most) continue;
      }
      const FreeSlots both = intersect(entry.slots, free, entry.from->before + request.duration);
      if (both.empty() || both.front().start > request.to) continue;
      // Whole seconds: a start that is a little earlier is not worth a dear machine.
      const auto runs =
          std::chrono::floor<std::chrono::seconds>((both.front().start + entry.from->before).time_since_epoch());
      const std::tuple<Millis::rep, double> rank{runs.count(), entry.from->weight};
      if (best == nullptr || rank < best_rank) {
        best = &entry;
        start = both.front().start;
        best_rank = rank;
      }
    }
    if (best == nullptr) break;
    const PlanMachine& info = best->from->node->info;
    const Millis whole = best->from->before + request.duration;
    const Instant stop = plus(start, whole);
    if (!best->use) best->use = best->from->node->use;
    std::int64_t count = std::min<std::int64_t>(left, request.each.count_in(best->use->free(start, stop)));
    if (request.zone_most) count = std::min<std::int64_t>(count, *request.zone_most - in_zone[info.zone]);
    // As many as fleet and team allow at once; one is allowed, it was looked for.
    Request at_start = request;
    at_start.from = start;
    while (count > 1) {
      const FreeSlots slots = fleet_slots(at_start, count, fleet, team);
      if (!slots.empty() && slots.front().start == start) break;
      --count;
    }
    if (count < 1) break;
    best->use->book(request.each.times(count), start, stop);
    best->slots = free_slots(*best->use, request.each, whole, std::max(request.from, info.ready), info.until);
    fleet.book(request.each.times(count), start, stop);
    team.book(request.each.times(count), start, stop);
    in_zone[info.zone] += static_cast<std::uint32_t>(count);
    if (request.one_zone) zone_bound = info.zone;
    placed.push_back({.machine = info.id, .start = start, .stop = stop, .count = static_cast<std::uint32_t>(count)});
    left -= static_cast<std::uint32_t>(count);
  }
  return placed;
}

std::vector<Placing> PlainPlanner::plan_together(const Request& request,
                                                 const std::vector<Candidate>& candidates) const {
  const FreeSlots free = fleet_slots(request, request.count, fleet_,
                                     teams_.contains(request.team) ? teams_.at(request.team) : ResourceSet{});
  // Where a piece becomes free on some machine, or the fleet has room again, the gang may begin.
  std::set<Instant> starts;
  for (const Slot& slot : free) starts.insert(slot.start);
  for (const Candidate& candidate : candidates) {
    for (const Slot& slot : candidate.slots) starts.insert(slot.start);
  }
  std::vector<const Candidate*> ranked;
  for (const Candidate& candidate : candidates) ranked.push_back(&candidate);
  std::ranges::sort(ranked, [](const Candidate* a, const Candidate* b) {
    return std::tie(a->weight, a->before, a->node->info.id) < std::tie(b->weight, b->before, b->node->info.id);
  });
  std::set<std::string> zones;
  for (const Candidate& candidate : candidates) zones.insert(candidate.node->info.zone);

  for (const Instant start : starts) {
    if (start > request.to) break;
    const bool fleet_free = std::ranges::any_of(free, [&](const Slot& slot) {
      return slot.start <= start && (slot.stop == kForever || slot.stop >= plus(start, request.duration));
    });
    if (!fleet_free) continue;
    const auto fit = [&](const Candidate& candidate) -> std::int64_t {
      if (candidate.node->info.ready > start) return 0;
      const Instant stop = plus(start, candidate.before + request.duration);
      if (stop > candidate.node->info.until) return 0;
      return request.each.count_in(candidate.node->use.free(start, stop));
    };
    const auto map_in = [&](const std::string* zone) {
      std::vector<Placing> placed;
      std::map<std::string, std::uint32_t> in_zone = request.zone_taken;
      std::uint32_t left = request.count;
      for (const Candidate* candidate : ranked) {
        if (left == 0) break;
        const PlanMachine& info = candidate->node->info;
        if (zone != nullptr && info.zone != *zone) continue;
        std::int64_t count = std::min<std::int64_t>(left, fit(*candidate));
        if (request.zone_most) {
          const std::uint32_t taken = in_zone[info.zone];
          count = std::min<std::int64_t>(count, taken >= *request.zone_most ? 0 : *request.zone_most - taken);
        }
        if (count <= 0) continue;
        in_zone[info.zone] += static_cast<std::uint32_t>(count);
        left -= static_cast<std::uint32_t>(count);
        placed.push_back({.machine = info.id,
                          .start = start,
                          .stop = plus(start, candidate->before + request.duration),
                          .count = static_cast<std::uint32_t>(count)});
      }
      if (left > 0) placed.clear();
      return placed;
    };
    if (!request.one_zone) {
      if (auto placed = map_in(nullptr); !placed.empty()) return placed;
      continue;
    }
    for (const std::string& zone : zones) {
      if (!request.zone_bound.empty() && zone != request.zone_bound) continue;
      if (auto placed = map_in(&zone); !placed.empty()) return placed;
    }
  }
  return {};
}

}  // namespace foxshunt::plan
