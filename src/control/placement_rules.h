// The rules that every placement has to keep, whatever the plan says: the job's own constraints, the machine's capacity and
// the team's quota. They count what is placed, not what is booked. Pure functions of the cluster state; they change nothing.
#pragma once

#include <cstdint>

#include "control/cluster_state.h"

namespace foxshunt::control {

// Whether the machine has room for so many more tasks of the job, beside all that is placed there.
[[nodiscard]] bool machine_has_room(const ClusterState& cluster, const Job& job, const Machine& machine,
                                    std::uint32_t count);
// Whether the team's quota lets so many more tasks of the job run.
[[nodiscard]] bool team_has_quota(const ClusterState& cluster, const Job& job, std::uint32_t count);
// Whether so many more tasks of the job may run there, by its constraints on kinds of machines and on zones.
[[nodiscard]] bool is_placement_allowed(const ClusterState& cluster, const Job& job, const Machine& machine,
                                        std::uint32_t count);

}  // namespace foxshunt::control
