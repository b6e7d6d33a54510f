#include "control/gang_reservation.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/constants.h"

namespace foxshunt::control {

void GangReservation::choose_holder(std::span<const Candidate> candidates, plan::Instant now) {
  if (holder_) {
    const bool is_candidate = std::ranges::find(candidates, *holder_, &Candidate::job) != candidates.end();
    if (is_candidate && now < held_until_) return;
    release(now);
  }
  if (candidates.empty() || now < next_holder_not_before_) return;
  const auto oldest = std::ranges::min_element(
      candidates, {}, [](const Candidate& candidate) { return std::tie(candidate.submitted, candidate.job); });
  holder_ = oldest->job;
  held_until_ = now + constants::kMaxReservation;
}

void GangReservation::record_plan(std::string zone, std::set<MachineId> machines) {
  zone_ = std::move(zone);
  machines_ = std::move(machines);
}

void GangReservation::release(plan::Instant now) {
  holder_.reset();
  zone_.clear();
  machines_.clear();
  next_holder_not_before_ = now + constants::kReservationBackoff;
}

}  // namespace foxshunt::control
