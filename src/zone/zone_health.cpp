#include "zone/zone_health.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::zone {

std::string_view name_of(ZoneState state) {
  switch (state) {
    case ZoneState::whole: return "whole";
    case ZoneState::doubtful: return "doubtful";
    case ZoneState::cut: return "cut off";
    case ZoneState::lost: return "lost";
    case ZoneState::returning: return "returning";
  }
  return "";
}

namespace {

std::size_t missing_machines(const ZoneObservation& seen) { return seen.silent + seen.ended; }
std::size_t expected_machines(const ZoneObservation& seen) { return seen.heard + missing_machines(seen); }

bool has_many_missing(const ZoneObservation& seen) {
  return missing_machines(seen) >= constants::kMinSilentMachinesOfZone &&
         static_cast<double>(missing_machines(seen)) >=
             constants::kZoneDoubtfulShare * static_cast<double>(expected_machines(seen));
}

// If a controller in the zone is heard, the network path is open: machines have failed, but the zone is reachable.
bool is_unreachable(const ZoneObservation& seen) {
  if (seen.own) return false;
  return !seen.sibling || !seen.sibling_silent || *seen.sibling_silent > constants::kLeaderContactTimeout;
}

bool is_cut_or_lost(ZoneState state) { return state == ZoneState::cut || state == ZoneState::lost; }

// The state of a zone from which nothing is heard.
ZoneState away_state(const ZoneObservation& seen) { return seen.silent == 0 ? ZoneState::lost : ZoneState::cut; }

ZoneState next_state_if_doubtful(const ZoneObservation& seen) {
  if (!has_many_missing(seen)) return ZoneState::whole;
  return seen.heard == 0 && is_unreachable(seen) ? away_state(seen) : ZoneState::doubtful;
}

ZoneState next_state_if_away(ZoneState state, const ZoneObservation& seen) {
  if (seen.heard > 0 || (seen.sibling && !is_unreachable(seen))) return ZoneState::returning;
  // No machine is missing that would show that the zone is unreachable, and none is left to show its return.
  if (expected_machines(seen) == 0) return ZoneState::whole;
  return state == ZoneState::lost ? ZoneState::lost : away_state(seen);
}

ZoneState next_state_if_returning(const ZoneObservation& seen, Millis in_state, Millis settle_interval) {
  const bool many_missing = has_many_missing(seen);
  if (many_missing && is_unreachable(seen) && seen.heard == 0) return away_state(seen);
  if (in_state < settle_interval) return ZoneState::returning;
  const bool is_back =
      static_cast<double>(seen.heard) >= constants::kZoneRecoveredShare * static_cast<double>(expected_machines(seen));
  if (is_back || !many_missing) return ZoneState::whole;
  // The zone is reachable again, and machines are missing all the same: they have failed and are not waited for.
  return in_state < constants::kZoneRecoveryTimeout ? ZoneState::returning : ZoneState::doubtful;
}

}  // namespace

ZoneState ZoneHealthMonitor::next_state(const Standing& zone, const ZoneObservation& seen, Instant now) {
  switch (zone.state) {
    case ZoneState::whole: return has_many_missing(seen) ? ZoneState::doubtful : ZoneState::whole;
    case ZoneState::doubtful: return next_state_if_doubtful(seen);
    case ZoneState::cut:
    case ZoneState::lost: return next_state_if_away(zone.state, seen);
    case ZoneState::returning: return next_state_if_returning(seen, now - zone.since, zone.settle_interval);
  }
  return zone.state;
}

std::vector<ZoneChange> ZoneHealthMonitor::update(const std::map<std::string, ZoneObservation>& zones, Instant now) {
  std::vector<ZoneChange> changes;
  for (const auto& [name, seen] : zones) {
    const auto [entry, is_new] = zones_.try_emplace(name);
    Standing& zone = entry->second;
    if (is_new) {
      zone.since = now;
      zone.settle_interval = constants::kZoneSettleInterval;
    }
    zone.seen = seen;
    // At most one transition per observation, so that a single observation never leads to an evacuation.
    const ZoneState to = next_state(zone, seen, now);
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
  if (zone.state != ZoneState::whole || zone.settle_interval <= constants::kZoneSettleInterval) return;
  if (now - zone.since <= constants::kZoneSteadyInterval) return;
  zone.settle_interval = std::max(constants::kZoneSettleInterval, zone.settle_interval / 2);
  zone.since = now;
}

void ZoneHealthMonitor::move_to(ZoneState to, const std::string& name, Standing& zone, Instant now) {
  if (is_cut_or_lost(to) && !is_cut_or_lost(zone.state)) {
    const auto evacuated_at = evacuated_at_.find(name);
    const bool was_evacuated_before = evacuated_at != evacuated_at_.end();
    zone.evacuating = !was_evacuated_before || now - evacuated_at->second >= zone.settle_interval;
    if (zone.evacuating) evacuated_at_[name] = now;
    if (was_evacuated_before)
      zone.settle_interval = std::min(constants::kMaxZoneSettleInterval, zone.settle_interval * 2);
  }
  if (!is_cut_or_lost(to)) zone.evacuating = false;
  zone.state = to;
  zone.since = now;
}

ZoneState ZoneHealthMonitor::state_of(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? ZoneState::whole : found->second.state;
}

bool ZoneHealthMonitor::should_evacuate(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.evacuating;
}

bool ZoneHealthMonitor::retains_silent_machines(const std::string& zone, Instant now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  switch (found->second.state) {
    case ZoneState::cut:
    case ZoneState::returning: return true;
    case ZoneState::lost: return now - found->second.since < constants::kZoneMachineRetention;
    default: return false;
  }
}

}  // namespace foxshunt::zone
