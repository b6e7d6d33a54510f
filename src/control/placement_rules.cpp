#include "control/placement_rules.h"

#include <string>

#include "config/guards.h"
#include "control/job_requirements.h"
#include "control/team_quota.h"

namespace foxshunt::control {

bool room_for(const ClusterState& cluster, const Job& job, const Machine& machine, std::uint32_t count) {
  const wire::MachineType* kind = cluster.type(machine.type);
  if (kind == nullptr) return false;
  Amounts used = job.each.times(count);
  for (const TaskKey& key : machine.allocations) used += cluster.jobs.at(key.job).each;
  return used.fits(capacity_of(*kind));
}

bool quota_for(const ClusterState& cluster, const Job& job, std::uint32_t count) {
  const config::Team* team = cluster.settings.team(job.spec.team);
  if (team == nullptr) return false;
  Amounts used = job.each.times(count);
  if (guards::kept(guards::Guard::quota_placed)) used += cluster.jobs.team_use(job.spec.team);
  return TeamQuota(*team).allows(used);
}

bool place_allowed(const ClusterState& cluster, const Job& job, const Machine& machine, std::uint32_t count) {
  if (!is_machine_allowed(job.spec, machine.type, machine.zone, machine.spot)) return false;
  if (!job.spec.one_zone && !job.spec.spread) return true;
  std::uint32_t same = count;
  for (const JobShard& shard : job.shards) {
    for (const auto& [unused, allocation] : shard.allocations) {
      const auto other = cluster.machines.find(allocation.machine);
      // Where a machine that nobody has heard of stands is not known.
      const std::string stands_in = other == cluster.machines.end() ? std::string() : other->second.confirmed_zone();
      if (stands_in.empty() && guards::kept(guards::Guard::place_known)) return false;
      if (stands_in == machine.zone) {
        ++same;
      } else if (job.spec.one_zone) {
        return false;
      }
    }
  }
  return !job.spec.spread || same <= max_tasks_per_zone(job.spec);
}

}  // namespace foxshunt::control
