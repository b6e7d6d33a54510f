// Bookings of tasks that are planned but not placed. Each planning pass revokes the bookings of the previous pass and
// makes new ones. Functions of the cluster state; they place no task.
#pragma once

#include "control/cluster_state.h"
#include "plan/planner.h"

namespace foxshunt::control {

// Books the placing's machine for tasks that start later, and adds the booking to Job::bookings.
void book_planned_tasks(ClusterState& cluster, Job& job, const plan::Placement& placement);
// Revokes all bookings in Job::bookings.
void revoke_planned_bookings(ClusterState& cluster, Job& job);

}  // namespace foxshunt::control
