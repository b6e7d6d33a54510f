// A team's quota from the settings: the CPUs and GPUs that all of its tasks together may use. Performs no I/O.
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

  // Whether the team may use this much at once.
  [[nodiscard]] bool allows(const plan::ResourceAmounts& used) const;
  // How many more tasks of size `each` may run in addition to `used`. Nothing if the quota limits no resource that a
  // task takes.
  [[nodiscard]] std::optional<std::uint64_t> remaining_tasks(const plan::ResourceAmounts& each,
                                                             const plan::ResourceAmounts& used) const;

 private:
  std::array<std::optional<plan::AmountUnits>, plan::kResourceCount> limits_;  // by resource; nothing: unlimited
};

}  // namespace foxshunt::control
