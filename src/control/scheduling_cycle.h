// Runs planning passes. A pass revokes the bookings of the previous pass and plans the waiting jobs in queue order. It
// runs in portions, so that events can be processed between them.
//
// Owns the scheduling queue and the state of the pass in progress; the other modules are passed in with each call.
// Tasks are placed and stopped only through TaskLifecycle. Sends no cloud requests: at the end of a pass the autoscaler
// computes the wanted fleet. Performs no I/O and reads no clock (`now` is passed in). Not thread-safe.
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

// The modules that a pass uses. Holds references; valid only during the call.
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
  // Whether a pass has begun and has not ended. During a pass, the tasks of jobs that it has not planned yet have no
  // planned bookings.
  [[nodiscard]] bool is_pass_in_progress() const { return remaining_jobs_.has_value(); }
  // When the latest pass began; the epoch if none has begun or its plan was invalidated.
  [[nodiscard]] Instant last_pass_started_at() const { return last_pass_started_at_; }
  // Marks the latest plan as outdated: last_pass_started_at() returns the epoch until the next pass begins.
  void invalidate_plan() { last_pass_started_at_ = Instant(); }
  // Discards the pass in progress, if there is one.
  void abort_pass() { remaining_jobs_.reset(); }
  // Requests a pass if the latest one began at least kReplanInterval ago and tasks are pending. The end of a job's
  // retry backoff, or of the backoff after a capacity refusal by the cloud, raises no event that would request one.
  void request_periodic_pass(ClusterState& cluster, Instant now) const;

  // Plans a portion of the pending jobs and places the tasks that may start now. Begins a pass if none is in progress.
  // The portion ends when at least `max_places` candidate machines were examined or no jobs remain; if `max_places` is
  // zero, it plans no job. Returns true when the pass has ended.
  bool plan_portion(const PassContext& context, Instant now, std::size_t max_places);

 private:
  void begin_pass(const PassContext& context, Instant now);
  void end_pass(const PassContext& context, Instant now);

  SchedulingQueue queue_;
  std::optional<std::deque<JobId>> remaining_jobs_;  // not yet planned by the pass in progress; unset between passes
  Instant last_pass_started_at_;
};

}  // namespace foxshunt::control
