#include "preempt/preempt.h"

#include <algorithm>
#include <map>
#include <set>

#include "config/constants.h"

namespace foxshunt::preempt {

bool entitled(const Need& need, const Victim& victim) {
  // Only what is planned before the victim as well, or the room would be the victim's again at once.
  const bool by_priority = victim.priority < need.priority && (need.guaranteed || victim.borrowed);
  const bool by_guarantee = need.guaranteed && victim.borrowed && !victim.same_team;
  return by_priority || by_guarantee;
}

bool may_displace(const Need& need, const Victim& victim) {
  if (!entitled(need, victim) || victim.kept) return false;
  if (victim.ran < constants::kMinRunBeforePreemption || victim.left < constants::kMinRemainingToPreempt) return false;
  if (victim.spared && *victim.spared < constants::kPreemptionCooldown) return false;
  return victim.lost <= need.wait;
}

namespace {

struct Offer {  // of one machine
  const Contested* machine = nullptr;
  std::int64_t pieces = 0;
  std::vector<std::size_t> victims;
  plan::Millis lost{};
};

// As few and as cheap victims as make room for another piece, again and again.
std::vector<Offer> offers_of(const Need& need, const std::vector<Victim>& victims, const Contested& machine) {
  std::vector<std::pair<std::size_t, plan::Amounts>> held;
  for (const auto& entry : machine.held) {
    if (may_displace(need, victims[entry.first])) held.push_back(entry);
  }
  std::ranges::sort(held, {}, [&](const auto& entry) {
    const Victim& victim = victims[entry.first];
    return std::tuple(victim.priority, victim.lost, victim.ran, victim.job, entry.first);
  });
  std::vector<Offer> offers;
  Offer offer{.machine = &machine, .pieces = need.each.count_in(machine.free), .victims = {}};
  if (offer.pieces > 0) offers.push_back(offer);
  plan::Amounts free = machine.free;
  for (const auto& [number, amounts] : held) {
    free += amounts;
    offer.victims.push_back(number);
    offer.lost += victims[number].lost;
    const std::int64_t pieces = need.each.count_in(free);
    if (pieces <= offer.pieces) continue;
    offer.pieces = pieces;
    offers.push_back(offer);
  }
  return offers;
}

}  // namespace

std::vector<std::size_t> choose_victims(const Need& need, const std::vector<Victim>& victims,
                                        const std::vector<Contested>& machines) {
  std::map<std::string, std::vector<Offer>> by_zone;
  for (const Contested& machine : machines) {
    for (Offer& offer : offers_of(need, victims, machine)) {
      by_zone[need.one_zone ? machine.zone : std::string()].push_back(std::move(offer));
    }
  }
  std::vector<std::size_t> best;
  std::optional<std::pair<std::int64_t, plan::Millis>> best_rank;  // pieces missing, work lost
  for (auto& [unused, offers] : by_zone) {
    std::ranges::stable_sort(offers, {}, [](const Offer& offer) {
      return std::tuple(offer.lost / std::max<std::int64_t>(1, offer.pieces), offer.victims.size());
    });
    std::set<MachineId> taken;
    std::set<std::size_t> chosen;
    std::int64_t pieces = 0;
    plan::Millis lost{};
    for (const Offer& offer : offers) {
      if (pieces >= need.count) break;
      if (!taken.insert(offer.machine->machine).second) continue;
      pieces += offer.pieces;
      for (const std::size_t victim : offer.victims) {
        if (chosen.insert(victim).second) lost += victims[victim].lost;
      }
    }
    if (chosen.empty() || (need.together && pieces < need.count)) continue;
    const std::pair rank{std::max<std::int64_t>(0, need.count - pieces), lost};
    if (best_rank && *best_rank <= rank) continue;
    best_rank = rank;
    best.assign(chosen.begin(), chosen.end());
  }
  return best;
}

}  // namespace foxshunt::preempt
