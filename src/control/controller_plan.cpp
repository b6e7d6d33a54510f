// Planning passes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "control/controller.h"
#include "control/times.h"

namespace foxshunt::control {

bool Controller::plan_some(Instant now, std::size_t places_most) {
  if (!leadership_.is_leader()) {
    cycle_.abandon();
    return true;
  }
  TaskLifecycle lifecycle = tasks();
  return cycle_.plan_some({cluster_, gangs_, autoscaler_, deadlines_, lifecycle, cluster_.counters}, now, places_most);
}

void Controller::plan_pass(Instant now) {
  bool ended = false;
  while (!ended) ended = plan_some(now, SIZE_MAX);
}

}  // namespace foxshunt::control
