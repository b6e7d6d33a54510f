// The paper's planning and mapping step by step and without any shortcut: what Planner has to decide, however it
// saves work. Only for tests; slow.
#pragma once

#include "plan/planner.h"

namespace foxshunt::plan {

class PlainPlanner {
 public:
  void set_team(const std::string& team, const TeamLimit& limit) { limits_[team] = limit; }
  void set_machine(const PlanMachine& machine);
  void book(const Booking& booking);
  // `before` by machine; a machine that is not in it is not allowed.
  [[nodiscard]] std::vector<Placing> plan(const Request& request, const std::map<MachineId, Millis>& before) const;

 private:
  struct Node {
    PlanMachine info;
    ResourceSet use;
  };
  struct Candidate {
    const Node* node = nullptr;
    Millis before{};
    double weight = 0;
    FreeSlots slots;
  };
  [[nodiscard]] FreeSlots fleet_slots(const Request& request, std::int64_t count, const ResourceSet& fleet,
                                      const ResourceSet& team) const;
  [[nodiscard]] std::vector<Placing> plan_apart(const Request& request, const std::vector<Candidate>& candidates) const;
  [[nodiscard]] std::vector<Placing> plan_together(const Request& request,
                                                   const std::vector<Candidate>& candidates) const;

  ResourceSet fleet_;
  std::map<MachineId, Node> machines_;
  std::map<std::string, TeamLimit> limits_;
  std::map<std::string, ResourceSet> teams_;
};

}  // namespace foxshunt::plan
