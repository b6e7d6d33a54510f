// The calendar's deadlines, as the controller hands them to the modules.
#include "control/controller.h"
#include "control/times.h"

namespace foxshunt::control {

void Controller::on_dues(foresight::Dues dues) {
  if (deadlines_.on_dues(std::move(dues))) {
    cluster_.plan_wanted = true;  // it ranks them
    cycle_.outdate();             // what was planned before tells nothing of them
  }
  cycle_.queue().ranking().on_slack(deadlines_.slack());
}

std::map<JobId, foresight::Prospect> Controller::prospects(Instant now) const {
  // Nothing is known without a whole pass over the machines that there are, whose workers a new leader has to hear first.
  if (!leadership_.is_leader() || cycle_.under_way() ||
      cycle_.planned_at() < leadership_.since() + detour_span(cluster_.settings))
    return {};
  return deadlines_.prospects({cluster_, autoscaler_.demand(), autoscaler_.capacity(), cycle_.queue().ranking()},
                              cycle_.planned_at(), now);
}

}  // namespace foxshunt::control
