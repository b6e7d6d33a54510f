#include "control/planned_bookings.h"

namespace foxshunt::control {

void book_planned_tasks(ClusterState& cluster, Job& job, const plan::Placing& placing) {
  job.booked.push_back(cluster.planner.book({.machine = placing.machine,
                                             .team = job.spec.team,
                                             .amounts = job.each.times(placing.count),
                                             .start = placing.start,
                                             .stop = placing.stop}));
}

void revoke_planned_bookings(ClusterState& cluster, Job& job) {
  for (const plan::BookingId booking : job.booked) cluster.planner.revoke(booking);
  job.booked.clear();
}

}  // namespace foxshunt::control
