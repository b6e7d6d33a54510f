#include "control/planned_bookings.h"

namespace foxshunt::control {

void book_planned_tasks(ClusterState& cluster, Job& job, const plan::Placement& placement) {
  job.booked.push_back(cluster.planner.book({.machine = placement.machine,
                                             .team = job.spec.team,
                                             .amounts = job.each.times(placement.count),
                                             .start = placement.start,
                                             .stop = placement.stop}));
}

void revoke_planned_bookings(ClusterState& cluster, Job& job) {
  for (const plan::BookingId booking : job.booked) cluster.planner.revoke(booking);
  job.booked.clear();
}

}  // namespace foxshunt::control
