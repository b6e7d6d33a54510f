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
    context_.wakeups.scheduler.wait(stop, constants::kHousekeepEvery);
    bool wanted = false;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      context_.control_state.controller.tick(now());
      wanted = context_.control_state.controller.plan_wanted();
      if (!context_.control_state.controller.leading()) context_.wakeups.leader_elector.signal();
    }
    // Reports, records and the lease take their turn between portions.
    const auto began = net::Clock::now();
    for (bool ended = !wanted; !ended && !stop.stop_requested();) {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      ended = context_.control_state.controller.plan_some(now(), constants::kPlacesPerPortion);
    }
    bool writes = false;
    bool cloud = false;
    bool halts = false;
    bool placed = false;
    control::Census census;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::scheduling));
      writes = context_.control_state.controller.writes_wanted();
      cloud = context_.control_state.controller.cloud_wanted();
      std::ranges::move(context_.control_state.controller.due_halts(now()),
                        std::back_inserter(context_.control_state.halts));
      halts = !context_.control_state.halts.empty();
      if (wanted) census = context_.control_state.controller.census(now());
      placed = context_.control_state.controller.counters().placed > 0;
    }
    if (wanted) {
      context_.standby.on_phase_reached(standby::Phase::planned);
      if (placed) context_.standby.on_phase_reached(standby::Phase::placed);
    }
    context_.standby.log_takeover();
    if (census.unwritten_oldest > constants::kBehind && late_write_.should_log(net::Clock::now())) {
      spdlog::warn("writes_behind records={} oldest_s={:.1f}", census.unwritten,
                   control::to_seconds(census.unwritten_oldest));
    }
    if (writes) context_.wakeups.record_writer.signal();
    if (cloud) context_.wakeups.cloud_loop.signal();
    if (halts) context_.wakeups.stop_sender.signal();
    if (!wanted) continue;
    const auto ended_at = net::Clock::now();
    context_.metrics.planned(ended_at - began);
    if (ended_at - began > constants::kBehind && late_pass_.should_log(ended_at)) {
      spdlog::warn("planning_behind pass_s={:.1f}", std::chrono::duration<double>(ended_at - began).count());
    }
    context_.control_state.progress_made.notify_all();
    sleep_unless_stopped(stop, constants::kPlanPause);
  }
}

}  // namespace foxshunt::node
