// The calendar's deadlines, as the engine hands them to the modules.
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

void Engine::on_dues(foresight::Dues dues) {
  if (deadlines_.on_dues(std::move(dues))) {
    cluster_.plan_wanted = true;  // it ranks them
    planned_ = Instant();         // what was planned before tells nothing of them
  }
  queue_.ranking().on_slack(deadlines_.slack());
}

std::map<JobId, foresight::Prospect> Engine::prospects(Instant now) const {
  // Nothing is known without a whole pass over the machines that there are, whose workers a new leader has to hear first.
  if (!leading_ || pass_ || planned_ < led_ + detour_span(cluster_.settings)) return {};
  return deadlines_.prospects({cluster_, autoscaler_.demand(), autoscaler_.capacity(), queue_.ranking()}, planned_,
                              now);
}

}  // namespace foxshunt::control
