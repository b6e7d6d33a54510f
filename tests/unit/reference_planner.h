// A planner that follows the steps of planning and mapping in the paper one by one, without optimizations. Planner
// has to reach the same decisions. Only for tests, because it is slow.
#pragma once

#include "plan/planner.h"

namespace foxshunt::plan {

class ReferencePlanner {
 public:
  void set_team_limit(const std::string& team, const TeamLimit& limit) { team_limits_[team] = limit; }
  // Adds the machine. Requires that no machine with this id was added before.
  void set_machine(const MachineSpec& machine);
  // Requires that the booking's machine was added.
  void book(const Booking& booking);
  // Uses only the machines that are in `setup_times`, and ignores request.machines.
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
    FreeSlots slots;  // in which one task fits for `setup_time` + duration
  };
  // The slots in which `count` tasks fit into the fleet and into the limit of the request's team.
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
