// The planning pass: revokes what the pass before booked, and plans the waiting jobs in the order of the queue, in portions
// between which events are taken.
//
// Owns the scheduling queue and the pass under way. Given the other modules with each call. Never places or stops a task but
// through the life cycle of tasks, and asks the cloud for nothing: at the end of a pass the autoscaler works out what is
// wanted. Pure, with the time passed in; not thread-safe.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "control/autoscaler.h"
#include "control/cluster_state.h"
#include "control/counters.h"
#include "control/deadline_planner.h"
#include "control/gang_coordinator.h"
#include "control/scheduling_queue.h"
#include "control/task_lifecycle.h"

namespace foxshunt::control {

// What a pass works on; for the length of a call.
struct PassContext {
  ClusterState& cluster;
  GangCoordinator& gangs;
  Autoscaler& autoscaler;
  const DeadlinePlanner& deadlines;
  TaskLifecycle& tasks;
  Counters& counters;
};

class SchedulingCycle {
 public:
  [[nodiscard]] SchedulingQueue& queue() { return queue_; }
  [[nodiscard]] const SchedulingQueue& queue() const { return queue_; }
  // Whether a pass is under way: what it has not come to has no booking.
  [[nodiscard]] bool is_pass_in_progress() const { return pass_.has_value(); }
  // When the latest pass began.
  [[nodiscard]] Instant last_pass_started_at() const { return planned_; }
  // What was planned so far tells nothing any more.
  void invalidate_plan() { planned_ = Instant(); }
  void abort_pass() { pass_.reset(); }
  // Wants a pass for what waits for the end of a pause, its own or the cloud's, and is not woken by any event.
  void request_periodic_pass(ClusterState& cluster, Instant now) const;

  // Plans what is pending and places what may start now, a portion of it. At least one job is planned, and no more once this
  // many places were looked at. True when the pass has ended.
  bool plan_portion(const PassContext& context, Instant now, std::size_t places_most);

 private:
  void begin_pass(const PassContext& context, Instant now);
  void end_pass(const PassContext& context, Instant now);

  SchedulingQueue queue_;
  std::optional<std::deque<JobId>> pass_;  // what the pass under way has left to plan
  Instant planned_;                        // when the latest pass began
};

}  // namespace foxshunt::control
