#include "zone/zone_health.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::zone {

std::string_view name_of(State state) {
  switch (state) {
    case State::whole: return "whole";
    case State::doubtful: return "doubtful";
    case State::cut: return "cut off";
    case State::lost: return "lost";
    case State::returning: return "returning";
  }
  return "";
}

State View::next(const Standing& zone, const Sighting& seen, Instant now) {
  const std::size_t missing = seen.silent + seen.ended;
  const std::size_t all = seen.heard + missing;
  const bool many = missing >= constants::kZoneSilentLeast &&
                    static_cast<double>(missing) >= constants::kZoneDoubtful * static_cast<double>(all);
  // A controller that is heard of shows that the way there is open: its machines have failed, not the zone.
  const bool mute =
      !seen.own && (!seen.sibling || !seen.sibling_silent || *seen.sibling_silent > constants::kContactLost);
  const State gone = seen.silent == 0 ? State::lost : State::cut;
  switch (zone.state) {
    case State::whole: return many ? State::doubtful : State::whole;
    case State::doubtful:
      if (!many) return State::whole;
      return seen.heard == 0 && mute ? gone : State::doubtful;
    case State::cut:
    case State::lost:
      if (seen.heard > 0 || (seen.sibling && !mute)) return State::returning;
      // Nothing is left there by which its return could be seen: it is tried by renting.
      if (all == 0 && now - zone.since > constants::kZoneKeep) return State::whole;
      return zone.state == State::lost ? State::lost : gone;
    case State::returning:
      if (many && mute && seen.heard == 0) return gone;
      if (now - zone.since < zone.settle) return State::returning;
      return static_cast<double>(seen.heard) >= constants::kZoneBack * static_cast<double>(all) || !many
                 ? State::whole
                 : State::returning;
  }
  return zone.state;
}

std::vector<Change> View::look(const std::map<std::string, Sighting>& zones, Instant now) {
  std::vector<Change> changes;
  for (const auto& [name, seen] : zones) {
    const auto [entry, fresh] = zones_.try_emplace(name);
    Standing& zone = entry->second;
    if (fresh) {
      zone.since = now;
      zone.settle = constants::kZoneSettle;
    }
    zone.seen = seen;
    // One step a look: a zone is never left on the evidence of a single moment.
    const State to = next(zone, seen, now);
    if (to == zone.state) {
      if (to == State::whole && zone.settle > constants::kZoneSettle && now - zone.since > constants::kZoneSteady) {
        zone.settle = std::max(constants::kZoneSettle, zone.settle / 2);
        zone.since = now;
      }
      continue;
    }
    const bool was_away = zone.state == State::cut || zone.state == State::lost;
    const bool is_away = to == State::cut || to == State::lost;
    if (is_away && !was_away) {
      const auto left = left_.find(name);
      const bool again = left != left_.end();
      zone.leaving = !again || now - left->second >= zone.settle;
      if (zone.leaving) left_[name] = now;
      if (again) zone.settle = std::min(constants::kZoneSettleMost, zone.settle * 2);
    }
    if (!is_away) zone.leaving = false;
    changes.push_back({.zone = name, .from = zone.state, .to = to, .seen = seen});
    zone.state = to;
    zone.since = now;
  }
  return changes;
}

State View::of(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? State::whole : found->second.state;
}

bool View::leaves(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.leaving;
}

bool View::keeps(const std::string& zone, Instant now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  switch (found->second.state) {
    case State::cut:
    case State::returning: return true;
    case State::lost: return now - found->second.since < constants::kZoneKeep;
    default: return false;
  }
}

}  // namespace foxshunt::zone
