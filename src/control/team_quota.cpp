#include "control/team_quota.h"

#include <algorithm>

namespace foxshunt::control {

TeamQuota::TeamQuota(const config::Team& team) {
  const plan::ResourceAmounts limit = plan::ResourceAmounts::from(team.cpus_max, team.gpus_max, 0);
  if (team.cpus_max > 0) limits_[0] = limit.values[0];
  if (team.gpus_max > 0) limits_[1] = limit.values[1];
}

bool TeamQuota::allows(const plan::ResourceAmounts& used) const {
  for (std::size_t resource = 0; resource < plan::kResourceCount; ++resource) {
    if (limits_[resource] && used.values[resource] > *limits_[resource]) return false;
  }
  return true;
}

std::optional<std::uint64_t> TeamQuota::remaining_tasks(const plan::ResourceAmounts& each,
                                                        const plan::ResourceAmounts& used) const {
  std::optional<std::uint64_t> remaining;
  for (std::size_t resource = 0; resource < plan::kResourceCount; ++resource) {
    if (!limits_[resource] || each.values[resource] <= 0) continue;
    const plan::AmountUnits left =
        std::max<plan::AmountUnits>(0, *limits_[resource] - used.values[resource]) / each.values[resource];
    remaining = static_cast<std::uint64_t>(std::min<plan::AmountUnits>(remaining.value_or(UINT64_MAX), left));
  }
  return remaining;
}

}  // namespace foxshunt::control
