// The rules that every placement must satisfy independently of the plan: the job's constraints, the machine's capacity
// and the team's quota. They count allocated tasks, not bookings. Pure functions of the cluster state.
#pragma once

#include <cstdint>

#include "control/cluster_state.h"

namespace foxshunt::control {

// The machine's capacity less the resources of the tasks allocated there. Nothing if the machine's type is unknown.
[[nodiscard]] ResourceAmounts unallocated_resources(const ClusterState& cluster, const Machine& machine);
// Whether the machine's capacity suffices for `count` more tasks of the job in addition to the tasks allocated there.
// False if the machine's type is unknown.
[[nodiscard]] bool machine_has_room(const ClusterState& cluster, const Job& job, const Machine& machine,
                                    std::uint32_t count);
// Whether the quota of the job's team allows `count` more tasks of the job. False if the settings do not define the
// team.
[[nodiscard]] bool team_has_quota(const ClusterState& cluster, const Job& job, std::uint32_t count);
// Whether the job's constraints on machine type, zone, spot, `one_zone` and `spread` allow `count` more of its tasks on
// the machine.
[[nodiscard]] bool is_placement_allowed(const ClusterState& cluster, const Job& job, const Machine& machine,
                                        std::uint32_t count);

}  // namespace foxshunt::control
