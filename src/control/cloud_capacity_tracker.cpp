#include "control/cloud_capacity_tracker.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::control {

CloudCapacityTracker CloudCapacityTracker::successor() const {
  CloudCapacityTracker next;
  next.refusals_ = refusals_;
  return next;
}

bool CloudCapacityTracker::is_expected_available(const Kind& kind, const HeldMachines& have) const {
  const auto known = refusals_.find(kind);
  const auto held = have.find(kind);
  return known == refusals_.end() || (held != have.end() && held->second < known->second.held_at_refusal);
}

bool CloudCapacityTracker::is_available(const Kind& kind, const HeldMachines& have, plan::Instant now) const {
  const auto known = refusals_.find(kind);
  if (known == refusals_.end()) return true;
  const auto held_now = have.find(kind);
  // Below the number at which it refused there is room again; otherwise it is asked after a pause.
  return now >= known->second.not_before ||
         (held_now == have.end() ? 0 : held_now->second) < known->second.held_at_refusal;
}

void CloudCapacityTracker::set_wanted(WantedMachines wanted) {
  wanted_ = std::move(wanted);
  if (!pending_request_) return;
  std::uint64_t& count = wanted_[{pending_request_->type, pending_request_->zone, pending_request_->spot}];
  count -= std::min(count, pending_request_->count);
}

const std::optional<wire::ScaleOutRequest>& CloudCapacityTracker::next_request(Term term, const HeldMachines& have,
                                                                               plan::Instant now) {
  if (pending_request_) return pending_request_;
  for (auto entry = wanted_.begin(); entry != wanted_.end(); entry = wanted_.erase(entry)) {
    const auto& [kind, count] = *entry;
    // The fleet was sized before the latest refusals.
    if (count == 0 || !is_available(kind, have, now)) continue;
    const auto& [type, zone, spot] = kind;
    // A request's name is never used again: terms only grow.
    pending_request_ = wire::ScaleOutRequest{
        .request = "fox-" + std::to_string(term.number()) + "-" + std::to_string(++request_count_),
        .type = type,
        .zone = zone,
        .spot = spot,
        .count = std::min(count, constants::kMaxScaleOutCount)};
    wanted_.erase(entry);
    break;
  }
  return pending_request_;
}

bool CloudCapacityTracker::complete_request(const wire::ScaleOutRequest& request) {
  if (!pending_request_ || pending_request_->request != request.request) return false;
  pending_request_.reset();
  return true;
}

plan::Millis CloudCapacityTracker::on_refused(const Kind& kind, std::size_t held_now, plan::Instant now) {
  Refusal& refusal = refusals_[kind];
  refusal.pause =
      std::clamp(refusal.pause * 2, constants::kCapacityRefusalBackoff, constants::kMaxCapacityRefusalBackoff);
  refusal.not_before = now + refusal.pause;
  refusal.held_at_refusal = held_now;
  return refusal.pause;
}

}  // namespace foxshunt::control
