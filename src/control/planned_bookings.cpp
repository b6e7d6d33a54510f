#include "control/planned_bookings.h"

namespace foxshunt::control {

void book_planned_tasks(ClusterState& cluster, Job& job, const plan::Placement& placement) {
  job.bookings.push_back(cluster.planner.book({.machine = placement.machine,
                                               .team = job.spec.team,
                                               .amounts = job.task_resources.times(placement.count),
                                               .start = placement.start,
                                               .stop = placement.stop}));
}

void revoke_planned_bookings(ClusterState& cluster, Job& job) {
  for (const plan::BookingId booking : job.bookings) cluster.planner.revoke(booking);
  job.bookings.clear();
}

}  // namespace foxshunt::control
