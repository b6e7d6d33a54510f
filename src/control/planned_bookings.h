// The bookings of tasks that are planned but not placed. They hold until the next planning pass, which makes them anew.
// Functions of the cluster state; they own nothing and place nothing.
#pragma once

#include "control/cluster_state.h"
#include "plan/planner.h"

namespace foxshunt::control {

// For tasks that start later; revoked by the next pass.
void book_ahead(ClusterState& cluster, Job& job, const plan::Placement& placement);
void revoke_bookings(ClusterState& cluster, Job& job);

}  // namespace foxshunt::control
