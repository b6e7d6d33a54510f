#include "node/scheduler_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "config/constants.h"
#include "control/times.h"
#include "node/clock.h"

namespace foxshunt::node {

void SchedulerLoop::run(const std::stop_token& stop) {
  while (context_.wait_until_leader(stop)) {
    context_.wakeups.scheduler.wait(stop, constants::kHousekeepingInterval);
    bool wanted = false;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      context_.control_state.controller.tick(now());
      wanted = context_.control_state.controller.needs_planning();
      if (!context_.control_state.controller.is_leader()) context_.wakeups.leader_elector.signal();
    }
    // Reports, records and the lease take their turn between portions.
    const auto began = net::Clock::now();
    for (bool ended = !wanted; !ended && !stop.stop_requested();) {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      ended = context_.control_state.controller.plan_portion(now(), constants::kMaxPlacesPerPortion);
    }
    bool writes = false;
    bool cloud = false;
    bool direct_stops = false;
    bool placed = false;
    control::ClusterSummary cluster_summary;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      writes = context_.control_state.controller.has_pending_writes();
      cloud = context_.control_state.controller.needs_scaling();
      std::ranges::move(context_.control_state.controller.due_direct_stops(now()),
                        std::back_inserter(context_.control_state.direct_stops));
      direct_stops = !context_.control_state.direct_stops.empty();
      if (wanted) cluster_summary = context_.control_state.controller.cluster_summary(now());
      placed = context_.control_state.controller.counters().placed > 0;
    }
    if (wanted) {
      context_.standby.on_phase_reached(standby::Phase::planned);
      if (placed) context_.standby.on_phase_reached(standby::Phase::placed);
    }
    context_.standby.log_takeover();
    if (cluster_summary.oldest_unwritten_age > constants::kBehindThreshold &&
        late_write_.should_log(net::Clock::now())) {
      spdlog::warn("writes_behind records={} oldest_s={:.1f}", cluster_summary.unwritten_records,
                   control::to_seconds(cluster_summary.oldest_unwritten_age));
    }
    if (writes) context_.wakeups.record_writer.signal();
    if (cloud) context_.wakeups.cloud_loop.signal();
    if (direct_stops) context_.wakeups.stop_sender.signal();
    if (!wanted) continue;
    const auto ended_at = net::Clock::now();
    context_.metrics.planned(ended_at - began);
    if (ended_at - began > constants::kBehindThreshold && late_pass_.should_log(ended_at)) {
      spdlog::warn("planning_behind pass_s={:.1f}", std::chrono::duration<double>(ended_at - began).count());
    }
    context_.control_state.progress_made.notify_all();
    sleep_unless_stopped(stop, constants::kMinPassInterval);
  }
}

}  // namespace foxshunt::node
