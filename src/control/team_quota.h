// A team's quota of CPUs and GPUs, by the settings: what all of its tasks together may use. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "config/settings.h"
#include "plan/planner.h"

namespace foxshunt::control {

class TeamQuota {
 public:
  explicit TeamQuota(const config::Team& team);

  // Whether the team may use so much at once.
  [[nodiscard]] bool allows(const plan::ResourceAmounts& used) const;
  // How many tasks more may run beside what is used; nothing if the quota bounds nothing that a task takes.
  [[nodiscard]] std::optional<std::uint64_t> remaining_tasks(const plan::ResourceAmounts& each,
                                                             const plan::ResourceAmounts& used) const;

 private:
  std::array<std::optional<plan::MilliUnits>, plan::kResourceCount> limits_;  // nothing: unlimited
};

}  // namespace foxshunt::control
