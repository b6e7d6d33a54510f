#include "plan/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace foxshunt::plan {
namespace {

Items thousandths(double amount) { return static_cast<Items>(std::llround(amount * 1000.0)); }

Instant plus(Instant when, Millis duration) {
  return when >= kForever - duration ? kForever : when + duration;
}

}  // namespace

Amounts Amounts::from(double cpus, double gpus, double ram_gb) {
  return {{thousandths(cpus), thousandths(gpus), thousandths(ram_gb)}};
}

Amounts& Amounts::operator+=(const Amounts& other) {
  for (std::size_t r = 0; r < kResources; ++r) of[r] += other.of[r];
  return *this;
}

Amounts& Amounts::operator-=(const Amounts& other) {
  for (std::size_t r = 0; r < kResources; ++r) of[r] -= other.of[r];
  return *this;
}

Amounts Amounts::times(std::int64_t count) const {
  Amounts product = *this;
  for (Items& items : product.of) items *= count;
  return product;
}

bool Amounts::fits(const Amounts& room) const {
  for (std::size_t r = 0; r < kResources; ++r) {
    if (of[r] > room.of[r]) return false;
  }
  return true;
}

std::int64_t Amounts::count_in(const Amounts& room) const {
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  for (std::size_t r = 0; r < kResources; ++r) {
    if (of[r] > 0) count = std::min(count, std::max<Items>(0, room.of[r]) / of[r]);
  }
  return count;
}

ResourceSet::ResourceSet(const Amounts& capacity) { set_capacity(capacity); }

void ResourceSet::set_capacity(const Amounts& capacity) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].set_max(capacity.of[r]);
}

Amounts ResourceSet::capacity() const {
  Amounts amounts;
  for (std::size_t r = 0; r < kResources; ++r) amounts.of[r] = vectors_[r].available();
  return amounts;
}

void ResourceSet::book(const Amounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].add({start, stop, amounts.of[r]});
}

void ResourceSet::revoke(const Amounts& amounts, Instant start, Instant stop) {
  for (std::size_t r = 0; r < kResources; ++r) vectors_[r].subtract({start, stop, amounts.of[r]});
}

FreeSlots ResourceSet::free_slots(const Amounts& amounts, Millis duration, Instant from, Instant to) const {
  FreeSlots found{{from, to, std::numeric_limits<Items>::max()}};
  for (std::size_t r = 0; r < kResources && !found.empty(); ++r) {
    if (amounts.of[r] > 0) found = intersect(found, vectors_[r].free_slots(amounts.of[r], duration, from, to), duration);
  }
  return found;
}

Amounts ResourceSet::free(Instant from, Instant to) const {
  Amounts room;
  for (std::size_t r = 0; r < kResources; ++r) room.of[r] = vectors_[r].available() - vectors_[r].peak(from, to);
  return room;
}

void ResourceSet::forget_before(Instant when) {
  for (UsageVector& vector : vectors_) vector.forget_before(when);
}

void Planner::set_team(const std::string& team, const TeamLimit& limit) { limits_[team] = limit; }

void Planner::set_machine(const PlanMachine& machine) {
  Amounts total = fleet_.capacity();
  const auto [entry, fresh] = machines_.try_emplace(machine.id);
  if (!fresh) total -= entry->second.info.capacity;
  total += machine.capacity;
  entry->second.info = machine;
  entry->second.use.set_capacity(machine.capacity);
  fleet_.set_capacity(total);
}

void Planner::remove_machine(const MachineId& machine) {
  const auto entry = machines_.find(machine);
  if (entry == machines_.end()) return;
  Amounts total = fleet_.capacity();
  total -= entry->second.info.capacity;
  fleet_.set_capacity(total);
  machines_.erase(entry);
}

const PlanMachine* Planner::machine(const MachineId& machine) const {
  const auto entry = machines_.find(machine);
  return entry == machines_.end() ? nullptr : &entry->second.info;
}

const ResourceSet* Planner::use_of(const MachineId& machine) const {
  const auto entry = machines_.find(machine);
  return entry == machines_.end() ? nullptr : &entry->second.use;
}

BookingId Planner::book(const Booking& booking) {
  const BookingId id = next_booking_++;
  fleet_.book(booking.amounts, booking.start, booking.stop);
  teams_[booking.team].book(booking.amounts, booking.start, booking.stop);
  if (const auto node = machines_.find(booking.machine); node != machines_.end()) {
    node->second.use.book(booking.amounts, booking.start, booking.stop);
  }
  bookings_.emplace(id, booking);
  return id;
}

void Planner::revoke(BookingId id) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end()) return;
  const Booking& booking = entry->second;
  fleet_.revoke(booking.amounts, booking.start, booking.stop);
  teams_[booking.team].revoke(booking.amounts, booking.start, booking.stop);
  if (const auto node = machines_.find(booking.machine); node != machines_.end()) {
    node->second.use.revoke(booking.amounts, booking.start, booking.stop);
  }
  bookings_.erase(entry);
}

void Planner::extend(BookingId id, Instant stop) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end() || stop <= entry->second.stop) return;
  Booking& booking = entry->second;
  fleet_.book(booking.amounts, booking.stop, stop);
  teams_[booking.team].book(booking.amounts, booking.stop, stop);
  if (const auto node = machines_.find(booking.machine); node != machines_.end()) {
    node->second.use.book(booking.amounts, booking.stop, stop);
  }
  booking.stop = stop;
}

const Booking* Planner::booking(BookingId id) const {
  const auto entry = bookings_.find(id);
  return entry == bookings_.end() ? nullptr : &entry->second;
}

void Planner::forget_before(Instant when) {
  fleet_.forget_before(when);
  for (auto& [unused, node] : machines_) node.use.forget_before(when);
  for (auto& [unused, use] : teams_) use.forget_before(when);
}

// W = max over resources of (its share of the fleet), times the fleet's cores, plus priority times cores.
double Planner::weight(const Node& node) const {
  const Amounts total = fleet_.capacity();
  double share = 0;
  for (std::size_t r = 0; r < kResources; ++r) {
    if (total.of[r] > 0) {
      share = std::max(share, static_cast<double>(node.info.capacity.of[r]) / static_cast<double>(total.of[r]));
    }
  }
  const double cores = static_cast<double>(total.of[0]);
  return share * cores + node.info.priority * cores;
}

// The paper's uRS and R_freeSlots: the fleet's use plus what is kept free, within the team's limit.
FreeSlots Planner::fleet_slots(const Request& request, std::int64_t count, const ResourceSet& fleet,
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

struct Planner::Candidate {
  const Node* node = nullptr;
  Millis before{};    // fetching
  double weight = 0;
  FreeSlots slots;    // where one task fits for `before` + duration
};

std::vector<Placing> Planner::plan(const Request& request) const {
  if (request.count == 0) return {};
  std::vector<Candidate> candidates;
  for (const auto& [unused, node] : machines_) {
    if (!request.each.fits(node.info.capacity)) continue;
    const auto before = request.suits(node.info);
    if (!before) continue;
    const Instant from = std::max(request.from, node.info.ready);
    const Millis duration = *before + request.duration;
    FreeSlots slots = node.use.free_slots(request.each, duration, from, node.info.until);
    if (slots.empty()) continue;
    candidates.push_back({.node = &node, .before = *before, .weight = weight(node), .slots = std::move(slots)});
  }
  if (candidates.empty()) return {};
  return request.together ? plan_together(request, candidates) : plan_apart(request, candidates);
}

std::vector<Placing> Planner::plan_apart(const Request& request, const std::vector<Candidate>& candidates) const {
  struct Open {
    const Candidate* from;
    FreeSlots slots;
    std::optional<ResourceSet> use;   // the machine's use with what this call placed
  };
  std::vector<Open> open;
  open.reserve(candidates.size());
  for (const Candidate& candidate : candidates) open.push_back({.from = &candidate, .slots = candidate.slots, .use = {}});
  std::vector<Placing> placed;
  // What this call placed counts against the fleet, the team and the zones at once.
  ResourceSet fleet = fleet_;
  ResourceSet team = team_use(request.team);
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
    best->slots = best->use->free_slots(request.each, whole, std::max(request.from, info.ready), info.until);
    fleet.book(request.each.times(count), start, stop);
    team.book(request.each.times(count), start, stop);
    in_zone[info.zone] += static_cast<std::uint32_t>(count);
    if (request.one_zone) zone_bound = info.zone;
    placed.push_back({.machine = info.id, .start = start, .stop = stop, .count = static_cast<std::uint32_t>(count)});
    left -= static_cast<std::uint32_t>(count);
  }
  return placed;
}

const ResourceSet& Planner::team_use(const std::string& team) const {
  static const ResourceSet kUnused;
  const auto entry = teams_.find(team);
  return entry == teams_.end() ? kUnused : entry->second;
}

std::vector<Placing> Planner::plan_together(const Request& request, const std::vector<Candidate>& candidates) const {
  const FreeSlots free = fleet_slots(request, request.count, fleet_, team_use(request.team));
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
