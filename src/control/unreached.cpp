#include "control/unreached.h"

#include "config/constants.h"

namespace foxshunt::control {

bool Unreached::passes(const MachineId& machine, Term seen, Term current, plan::Instant now) {
  if (current != term_ || visits_.size() > constants::kMaxRelayed) visits_.clear();
  term_ = current;
  Visit& visit = visits_[machine];
  if (visit.since) {
    if (now - *visit.since < constants::kRelayPeriod) return true;
    // The leader may be in reach again, which only the worker can tell: it comes back if not.
    visit = {.sent = now, .since = {}};
    return false;
  }
  // Whoever has seen the term was served by its leader, and would still be there if it answered. Without this a cut
  // costs such a worker the time of two answers that don't come, and that is more than a short lease.
  const bool left_leader = seen == current;
  const bool came_back = visit.sent && now - *visit.sent < constants::kRelayReturnWindow;
  if (!left_leader && !came_back) {
    visit.sent = now;
    return false;
  }
  visit.since = now;
  return true;
}

}  // namespace foxshunt::control
