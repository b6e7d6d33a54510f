#include "node/standby_subscriber.h"

#include "config/constants.h"
#include "node/clock.h"

namespace foxshunt::node {

StandbySubscriber::StandbySubscriber(Context& context) : context_(context) {
  for (const config::Sibling& sibling : context.settings.siblings) {
    if (const auto address = net::parse_address(sibling.endpoint)) {
      siblings_.try_emplace(sibling.name, *address, constants::kPeerCallTimeout);
    }
  }
}

bool StandbySubscriber::ask(const NodeName& sibling, std::optional<Term> least, const std::stop_token& stop) {
  const auto link = siblings_.find(sibling);
  if (link == siblings_.end()) return false;
  while (!stop.stop_requested()) {
    const standby::SnapshotRequest ask = context_.standby.next_request(sibling, least);
    const auto answer =
        link->second.call({.method = "POST", .path = "/standby", .body = wire::encode(standby::to_value(ask))},
                          net::Clock::now() + constants::kStandbyCallTimeout);
    if (!answer) return false;
    if (answer->status == 200 && least) context_.standby.on_leader_seen();
    if (!context_.standby.on_answer(sibling, *answer)) return answer->status == 200 && context_.standby.is_caught_up();
    sleep_unless_stopped(stop, constants::kStandbyNextPageDelay);
  }
  return false;
}

void StandbySubscriber::look_for_hints(const std::stop_token& stop) {
  for (const auto& [sibling, unused] : siblings_) {
    if (!ask(sibling, {}, stop)) continue;
    const plan::Instant at = now();
    const auto snapshot = context_.standby.take_snapshot(at);
    if (!snapshot) continue;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::metrics));
      if (!context_.control_state.controller.is_leader() || snapshot->term >= context_.control_state.controller.term())
        continue;
      context_.control_state.controller.apply_soft_state(*snapshot, at);
    }
    context_.standby.on_soft_state_applied(*snapshot);
    context_.wakeups.scheduler.signal();
    return;
  }
}

void StandbySubscriber::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const auto [leader, term] = context_.known_leader();
    if (context_.standby.wants_soft_state()) {
      look_for_hints(stop);
    } else if (siblings_.contains(leader)) {
      (void)ask(leader, term, stop);
    } else if (leader.empty() && !context_.standby.has_snapshot()) {
      // A process that has just begun: it may soon lead.
      for (const auto& [sibling, unused] : siblings_) {
        if (ask(sibling, {}, stop)) break;
      }
    }
    context_.wakeups.standby_subscriber.wait(stop, constants::kStandbyInterval);
  }
}

}  // namespace foxshunt::node
