#include "control/cloud_capacity_tracker.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::control {

CloudCapacityTracker CloudCapacityTracker::successor() const {
  CloudCapacityTracker next;
  next.refusals_ = refusals_;
  return next;
}

bool CloudCapacityTracker::is_expected_available(const Kind& kind, const HeldMachines& held) const {
  const auto refusal = refusals_.find(kind);
  const auto held_now = held.find(kind);
  return refusal == refusals_.end() || (held_now != held.end() && held_now->second < refusal->second.held_at_refusal);
}

bool CloudCapacityTracker::is_available(const Kind& kind, const HeldMachines& held, plan::Instant now) const {
  const auto refusal = refusals_.find(kind);
  if (refusal == refusals_.end()) return true;
  const auto held_now = held.find(kind);
  // With fewer machines than at the refusal, the cloud is likely to have one again. Otherwise it is asked after the
  // backoff.
  return now >= refusal->second.not_before ||
         (held_now == held.end() ? 0 : held_now->second) < refusal->second.held_at_refusal;
}

void CloudCapacityTracker::set_wanted(WantedMachines wanted) {
  wanted_ = std::move(wanted);
  if (!pending_request_) return;
  std::uint64_t& count = wanted_[{pending_request_->type, pending_request_->zone, pending_request_->spot}];
  count -= std::min(count, pending_request_->count);
}

const std::optional<wire::ScaleOutRequest>& CloudCapacityTracker::next_request(Term term, const HeldMachines& held,
                                                                               plan::Instant now) {
  if (pending_request_) return pending_request_;
  for (auto entry = wanted_.begin(); entry != wanted_.end(); entry = wanted_.erase(entry)) {
    const auto& [kind, count] = *entry;
    // Refusals may held arrived after the wanted machines were computed.
    if (count == 0 || !is_available(kind, held, now)) continue;
    const auto& [type, zone, spot] = kind;
    // The term makes the name unique: terms only increase, and the counter does not repeat within a term.
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
