// Plans one job of a pass: finds places for its tasks, places what may start now, books the rest ahead, and notes in the job
// what starts late.
//
// A view for the length of a call: it holds references to the modules that it was made of, owns nothing, and must not be
// stored. Never places or stops a task but through the life cycle of tasks, and scales nothing: it only counts late tasks.
#pragma once

#include <cstdint>
#include <vector>

#include "control/autoscaler.h"
#include "control/cluster_state.h"
#include "control/deadline_planner.h"
#include "control/gang_coordinator.h"
#include "control/scheduling_queue.h"
#include "control/task_lifecycle.h"
#include "plan/planner.h"

namespace foxshunt::control {

class JobPlanner {
 public:
  JobPlanner(ClusterState& cluster, SchedulingQueue& queue, GangCoordinator& gangs, const Autoscaler& autoscaler,
             const DeadlinePlanner& deadlines, TaskLifecycle& tasks)
      : cluster_(cluster),
        queue_(queue),
        gangs_(gangs),
        autoscaler_(autoscaler),
        deadlines_(deadlines),
        tasks_(tasks) {}

  // Plans the tasks that wait. How many places it looked at.
  std::size_t plan_job(Job& job, Instant now);
  // Plans the tasks in zones that are being left. How many places it looked at.
  std::size_t plan_stranded(Job& job, Instant now);

 private:
  struct JobTurn;
  // Ends the attempt when it is too late for that.
  [[nodiscard]] bool may_replace_members(Job& job, Instant now);
  // How many of the job's tasks the pass plans: all of a gang, a portion of others, less what its class's cap keeps back.
  [[nodiscard]] std::uint32_t tasks_to_plan(const Job& job, bool joins);
  void add_zones_taken(const Job& job, plan::PlacementRequest& request) const;
  [[nodiscard]] std::vector<plan::Placement> plan_turn(const JobTurn& turn) const;
  // Fills in the turn's placements. How many places it looked at.
  std::size_t find_placings(Job& job, JobTurn& turn, Instant now);
  // Notes how many tasks start later than on a machine rented now. How many are planned at all.
  std::uint32_t count_late_tasks(Job& job, const JobTurn& turn, Instant now) const;
  void book_later_starts(Job& job, const std::vector<plan::Placement>& placements, Instant now);
  [[nodiscard]] bool may_preempt(const Job& job, Instant now) const;
  [[nodiscard]] bool gang_fits_now(const Job& job, const std::vector<plan::Placement>& placements, Instant now) const;
  bool place_gang(Job& job, const std::vector<plan::Placement>& placements, Instant now);
  // Places what may start now. Whether anything was placed.
  bool place_due(Job& job, const std::vector<plan::Placement>& placements, Instant now);

  ClusterState& cluster_;
  SchedulingQueue& queue_;
  GangCoordinator& gangs_;
  const Autoscaler& autoscaler_;
  const DeadlinePlanner& deadlines_;
  TaskLifecycle& tasks_;
};

}  // namespace foxshunt::control
