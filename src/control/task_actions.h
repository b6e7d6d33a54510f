// What planning does to tasks: the actions of their life cycle that the scheduling modules call for. An interface, so that
// these modules decide what is placed and stopped without knowing how a placement becomes durable or a stop is sent.
#pragma once

#include <cstdint>

#include "control/cluster_state.h"

namespace foxshunt::control {

class TaskActions {
 public:
  virtual ~TaskActions() = default;

  // Whether anything may be started or stopped for the sake of other work now.
  [[nodiscard]] virtual bool may_start(Instant now) const = 0;
  // Allocates the machine to the task. It starts there when that is durable.
  virtual void place(Job& job, std::uint32_t index, AttemptNo attempt, Machine& machine, Instant now) = 0;
  // Stops a task, with the grace that its checkpoint takes.
  virtual void stop_for_other_work(Job& job, std::uint32_t index) = 0;
  // Stops all tasks of the gang's attempt that are not being stopped yet.
  virtual void end_gang(Job& job, Instant now) = 0;

 protected:
  TaskActions() = default;
  TaskActions(const TaskActions&) = default;
  TaskActions& operator=(const TaskActions&) = default;
  TaskActions(TaskActions&&) = default;
  TaskActions& operator=(TaskActions&&) = default;
};

}  // namespace foxshunt::control
