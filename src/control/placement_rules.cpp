#include "control/placement_rules.h"

#include <string>

#include "config/guards.h"
#include "control/job_requirements.h"
#include "control/team_quota.h"

namespace foxshunt::control {

ResourceAmounts unallocated_resources(const ClusterState& cluster, const Machine& machine) {
  const wire::MachineType* machine_type = cluster.find_machine_type(machine.type);
  if (machine_type == nullptr) return {};
  ResourceAmounts left = capacity_of(*machine_type);
  for (const TaskKey& key : machine.allocations) left -= cluster.jobs.at(key.job).task_resources;
  return left;
}

bool machine_has_room(const ClusterState& cluster, const Job& job, const Machine& machine, std::uint32_t count) {
  if (cluster.find_machine_type(machine.type) == nullptr) return false;
  return job.task_resources.times(count).fits_in(unallocated_resources(cluster, machine));
}

bool team_has_quota(const ClusterState& cluster, const Job& job, std::uint32_t count) {
  const config::Team* team = cluster.settings.team(job.spec.team);
  if (team == nullptr) return false;
  ResourceAmounts used = job.task_resources.times(count);
  if (guards::kept(guards::Guard::quota_placed)) used += cluster.jobs.team_use(job.spec.team);
  return TeamQuota(*team).allows(used);
}

bool is_placement_allowed(const ClusterState& cluster, const Job& job, const Machine& machine, std::uint32_t count) {
  if (!is_machine_allowed(job.spec, machine.type, machine.zone, machine.spot)) return false;
  if (!job.spec.one_zone && !job.spec.spread) return true;
  std::uint32_t tasks_in_zone = count;
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto other = cluster.machines.find(allocation.machine);
      // The zone of a machine that was never heard of is unknown.
      const std::string occupied_zone =
          other == cluster.machines.end() ? std::string() : other->second.confirmed_zone();
      if (occupied_zone.empty() && guards::kept(guards::Guard::place_known)) return false;
      if (occupied_zone == machine.zone) {
        ++tasks_in_zone;
      } else if (job.spec.one_zone) {
        return false;
      }
    }
  }
  return !job.spec.spread || tasks_in_zone <= max_tasks_per_zone(job.spec);
}

}  // namespace foxshunt::control
