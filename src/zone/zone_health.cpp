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

namespace {

std::size_t missing(const ZoneObservation& seen) { return seen.silent + seen.ended; }
std::size_t expected(const ZoneObservation& seen) { return seen.heard + missing(seen); }

bool has_many_missing(const ZoneObservation& seen) {
  return missing(seen) >= constants::kMinSilentMachinesOfZone &&
         static_cast<double>(missing(seen)) >= constants::kZoneDoubtfulShare * static_cast<double>(expected(seen));
}

// A controller that is heard of shows that the way there is open: its machines have failed, not the zone.
bool is_unreachable(const ZoneObservation& seen) {
  if (seen.own) return false;
  return !seen.sibling || !seen.sibling_silent || *seen.sibling_silent > constants::kLeaderContactTimeout;
}

bool is_away(State state) { return state == State::cut || state == State::lost; }

// Of a zone that nothing is heard of.
State away_state(const ZoneObservation& seen) { return seen.silent == 0 ? State::lost : State::cut; }

State next_of_doubtful(const ZoneObservation& seen) {
  if (!has_many_missing(seen)) return State::whole;
  return seen.heard == 0 && is_unreachable(seen) ? away_state(seen) : State::doubtful;
}

State next_of_away(State state, const ZoneObservation& seen, Millis in_state) {
  if (seen.heard > 0 || (seen.sibling && !is_unreachable(seen))) return State::returning;
  // Nothing is left there by which its return could be seen: it is tried by renting.
  if (expected(seen) == 0 && in_state > constants::kZoneMachineRetention) return State::whole;
  return state == State::lost ? State::lost : away_state(seen);
}

State next_of_returning(const ZoneObservation& seen, Millis in_state, Millis settle) {
  const bool many_missing = has_many_missing(seen);
  if (many_missing && is_unreachable(seen) && seen.heard == 0) return away_state(seen);
  if (in_state < settle) return State::returning;
  const bool is_back =
      static_cast<double>(seen.heard) >= constants::kZoneRecoveredShare * static_cast<double>(expected(seen));
  return is_back || !many_missing ? State::whole : State::returning;
}

}  // namespace

State ZoneHealthMonitor::next(const Standing& zone, const ZoneObservation& seen, Instant now) {
  switch (zone.state) {
    case State::whole: return has_many_missing(seen) ? State::doubtful : State::whole;
    case State::doubtful: return next_of_doubtful(seen);
    case State::cut:
    case State::lost: return next_of_away(zone.state, seen, now - zone.since);
    case State::returning: return next_of_returning(seen, now - zone.since, zone.settle);
  }
  return zone.state;
}

std::vector<Change> ZoneHealthMonitor::look(const std::map<std::string, ZoneObservation>& zones, Instant now) {
  std::vector<Change> changes;
  for (const auto& [name, seen] : zones) {
    const auto [entry, is_new] = zones_.try_emplace(name);
    Standing& zone = entry->second;
    if (is_new) {
      zone.since = now;
      zone.settle = constants::kZoneSettleInterval;
    }
    zone.seen = seen;
    // One step a look: a zone is never left on the evidence of a single moment.
    const State to = next(zone, seen, now);
    if (to == zone.state) {
      shorten_settling_if_steady(zone, now);
      continue;
    }
    changes.push_back({.zone = name, .from = zone.state, .to = to, .seen = seen});
    move_to(to, name, zone, now);
  }
  return changes;
}

void ZoneHealthMonitor::shorten_settling_if_steady(Standing& zone, Instant now) {
  if (zone.state != State::whole || zone.settle <= constants::kZoneSettleInterval) return;
  if (now - zone.since <= constants::kZoneSteadyInterval) return;
  zone.settle = std::max(constants::kZoneSettleInterval, zone.settle / 2);
  zone.since = now;
}

void ZoneHealthMonitor::move_to(State to, const std::string& name, Standing& zone, Instant now) {
  if (is_away(to) && !is_away(zone.state)) {
    const auto left = left_.find(name);
    const bool was_left_before = left != left_.end();
    zone.leaving = !was_left_before || now - left->second >= zone.settle;
    if (zone.leaving) left_[name] = now;
    if (was_left_before) zone.settle = std::min(constants::kMaxZoneSettleInterval, zone.settle * 2);
  }
  if (!is_away(to)) zone.leaving = false;
  zone.state = to;
  zone.since = now;
}

State ZoneHealthMonitor::of(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? State::whole : found->second.state;
}

bool ZoneHealthMonitor::leaves(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.leaving;
}

bool ZoneHealthMonitor::keeps(const std::string& zone, Instant now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  switch (found->second.state) {
    case State::cut:
    case State::returning: return true;
    case State::lost: return now - found->second.since < constants::kZoneMachineRetention;
    default: return false;
  }
}

}  // namespace foxshunt::zone
