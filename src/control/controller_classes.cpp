// The catalog's classes, as the controller hands them to the scheduling queue.
#include "control/controller.h"

namespace foxshunt::control {

void Controller::on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now) {
  cycle_.queue().ranking().on_catalog(set);
  cycle_.queue().ranking().tell_time(wall_ms, now);
  cluster_.plan_wanted = true;
}

}  // namespace foxshunt::control
