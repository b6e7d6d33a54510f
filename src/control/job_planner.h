// Plans the jobs of a pass one by one: finds machines for a job's tasks, places the tasks that may start now, books
// later starts, and records in the job how many tasks start late.
//
// Holds references to the modules that it was constructed with, owns nothing and must not outlive the call that created
// it. Places and stops tasks only through TaskLifecycle. Does not scale the fleet: it only counts late tasks for the
// autoscaler.
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

  // Plans the pending tasks. Returns the number of candidate machines examined.
  std::size_t plan_job(Job& job, Instant now);
  // Books room for the restart of the tasks in zones under evacuation, if it is time to rent machines for them. Returns
  // the number of candidate machines examined.
  std::size_t plan_stranded_tasks(Job& job, Instant now);

 private:
  struct JobPlanningContext;
  // Whether replacements for a partly placed gang's missing members may be placed. Ends the gang's attempt if its start
  // barrier has timed out.
  [[nodiscard]] bool may_replace_members(Job& job, Instant now);
  // How many of the job's tasks the pass plans: all pending tasks of a gang, otherwise at most kMaxTasksPlannedPerPass,
  // less the tasks held back by the class's cap. The cap does not apply to replacements.
  [[nodiscard]] std::uint32_t count_tasks_to_plan(const Job& job, bool replaces_members);
  // Tells the planner in which zones a `spread` or `one_zone` job has allocated tasks.
  void add_occupied_zones(const Job& job, plan::PlacementRequest& request) const;
  [[nodiscard]] std::vector<plan::Placement> compute_placements(const JobPlanningContext& context) const;
  // Fills in `context.placements`. Returns the number of candidate machines examined.
  std::size_t find_placements(Job& job, JobPlanningContext& context, Instant now);
  // Adds to Job::late_tasks the tasks that are not planned or start later than they would on a machine rented now. Sets
  // it to zero for a job that warms a pool. Returns how many tasks are planned.
  std::uint32_t count_late_tasks(Job& job, const JobPlanningContext& context, Instant now) const;
  // Books the placements that start later or on machines that are not up, and lowers Job::planned_start to the earliest
  // of them.
  void book_later_starts(Job& job, const std::vector<plan::Placement>& placements, Instant now);
  // Whether preemption is enabled, the job's wait since its last preemption attempt is over, and its planned start is
  // far enough away.
  [[nodiscard]] bool may_preempt(const Job& job, Instant now) const;
  // Whether the placements, which are not empty, can all start now within machine capacity, job constraints and team
  // quota.
  [[nodiscard]] bool can_place_gang_now(const Job& job, const std::vector<plan::Placement>& placements,
                                        Instant now) const;
  // Places the gang's members that are due, if the whole gang fits now. Returns whether it fits.
  bool place_gang(Job& job, const std::vector<plan::Placement>& placements, Instant now);
  // Places the tasks that may start now. Returns whether any task was placed, or for a gang whether it fits now.
  bool place_due_tasks(Job& job, const std::vector<plan::Placement>& placements, Instant now);

  ClusterState& cluster_;
  SchedulingQueue& queue_;
  GangCoordinator& gangs_;
  const Autoscaler& autoscaler_;
  const DeadlinePlanner& deadlines_;
  TaskLifecycle& tasks_;
};

}  // namespace foxshunt::control
