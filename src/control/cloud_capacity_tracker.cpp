#include "control/cloud_capacity_tracker.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::control {

CloudCapacityTracker CloudCapacityTracker::refusals() const {
  CloudCapacityTracker kept;
  kept.refused_ = refused_;
  return kept;
}

bool CloudCapacityTracker::counted_on(const Kind& kind, const Held& have) const {
  const auto known = refused_.find(kind);
  const auto held = have.find(kind);
  return known == refused_.end() || (held != have.end() && held->second < known->second.most);
}

bool CloudCapacityTracker::is_available(const Kind& kind, const Held& have, plan::Instant now) const {
  const auto known = refused_.find(kind);
  if (known == refused_.end()) return true;
  const auto held_now = have.find(kind);
  // Below the number at which it refused there is room again; otherwise it is asked after a pause.
  return now >= known->second.not_before || (held_now == have.end() ? 0 : held_now->second) < known->second.most;
}

void CloudCapacityTracker::want(Wanted wanted) {
  wanted_ = std::move(wanted);
  if (!under_way_) return;
  std::uint64_t& count = wanted_[{under_way_->type, under_way_->zone, under_way_->spot}];
  count -= std::min(count, under_way_->count);
}

const std::optional<wire::ScaleOutRequest>& CloudCapacityTracker::next(Term term, const Held& have, plan::Instant now) {
  if (under_way_) return under_way_;
  for (auto at = wanted_.begin(); at != wanted_.end(); at = wanted_.erase(at)) {
    const auto& [kind, count] = *at;
    // The fleet was sized before the latest refusals.
    if (count == 0 || !is_available(kind, have, now)) continue;
    const auto& [type, zone, spot] = kind;
    // A request's name is never used again: terms only grow.
    under_way_ =
        wire::ScaleOutRequest{.request = "fox-" + std::to_string(term.number()) + "-" + std::to_string(++rentals_),
                              .type = type,
                              .zone = zone,
                              .spot = spot,
                              .count = std::min(count, constants::kMaxScaleOutCount)};
    wanted_.erase(at);
    break;
  }
  return under_way_;
}

bool CloudCapacityTracker::answered(const wire::ScaleOutRequest& request) {
  if (!under_way_ || under_way_->request != request.request) return false;
  under_way_.reset();
  return true;
}

plan::Millis CloudCapacityTracker::refused(const Kind& kind, std::size_t held_now, plan::Instant now) {
  Refusal& refusal = refused_[kind];
  refusal.pause =
      std::clamp(refusal.pause * 2, constants::kCapacityRefusalBackoff, constants::kMaxCapacityRefusalBackoff);
  refusal.not_before = now + refusal.pause;
  refusal.most = held_now;
  return refusal.pause;
}

}  // namespace foxshunt::control
