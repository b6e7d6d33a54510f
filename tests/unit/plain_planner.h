// The paper's planning and mapping step by step and without any shortcut: what Planner has to decide, however it
// saves work. Only for tests; slow.
#pragma once

#include "plan/planner.h"

namespace foxshunt::plan {

class ReferencePlanner {
 public:
  void set_team_limit(const std::string& team, const TeamLimit& limit) { team_limits_[team] = limit; }
  void set_machine(const MachineSpec& machine);
  void book(const Booking& booking);
  // `before` by machine; a machine that is not in it is not allowed.
  [[nodiscard]] std::vector<Placement> plan(const PlacementRequest& request,
                                            const std::map<MachineId, Millis>& setup_times) const;

 private:
  struct Machine {
    MachineSpec spec;
    ResourceUsage usage;
  };
  struct Candidate {
    const Machine* machine = nullptr;
    Millis setup_time{};
    double weight = 0;
    FreeSlots slots;
  };
  [[nodiscard]] FreeSlots free_fleet_slots(const PlacementRequest& request, std::int64_t count,
                                           const ResourceUsage& fleet, const ResourceUsage& team) const;
  [[nodiscard]] std::vector<Placement> plan_independent_tasks(const PlacementRequest& request,
                                                              const std::vector<Candidate>& candidates) const;
  [[nodiscard]] std::vector<Placement> plan_gang(const PlacementRequest& request,
                                                 const std::vector<Candidate>& candidates) const;

  ResourceUsage fleet_;
  std::map<MachineId, Machine> machines_;
  std::map<std::string, TeamLimit> team_limits_;
  std::map<std::string, ResourceUsage> usage_by_team_;
};

}  // namespace foxshunt::plan
