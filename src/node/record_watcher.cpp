#include "node/record_watcher.h"

#include "config/constants.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using kv::Status;

RecordWatcher::RecordWatcher(Context& context)
    : context_(context), client_(context.state_address, context.rate_limiter, kv::Priority::system) {}

void RecordWatcher::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    Revision from;
    Term term;
    bool is_leader = false;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::records));
      is_leader = context_.control_state.controller.is_leader();
      from = context_.control_state.watch_from;
      term = context_.control_state.controller.term();
    }
    if (!is_leader) {
      if (!context_.wait_until_leader(stop)) return;
      continue;
    }
    const plan::Instant sent = now();
    const kv::WatchResult news = client_.watch(state::kActiveJobPrefix, from, constants::kWatchHoldTimeout,
                                               store_call_deadline() + constants::kWatchHoldTimeout);
    if (news.status == Status::compacted) {
      reload(stop, term);
      continue;
    }
    if (news.status != Status::ok) {
      sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
      continue;
    }
    context_.on_store_answered();
    const plan::Instant at = now();
    const std::int64_t wall = wall_ms();
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::records));
      if (!context_.control_state.controller.is_leader() || context_.control_state.controller.term() != term) continue;
      for (const kv::Event& event : news.events) {
        const auto id = state::job_of_key(event.key);
        if (!id) continue;
        if (event.data) {
          context_.control_state.controller.on_job_record(*id, *event.data, event.revision, wall, at);
        } else {
          context_.control_state.controller.on_job_removed(*id, at);
        }
      }
      context_.control_state.controller.on_records_confirmed(sent);
      context_.control_state.watch_from = news.revision;
    }
    if (!news.events.empty()) {
      context_.wakeups.scheduler.signal();
      context_.wakeups.record_writer.signal();
    }
  }
}

// The watch is too far behind: what is there now is compared with what is known.
void RecordWatcher::reload(const std::stop_token& stop, Term term) {
  const plan::Instant sent = now();
  const kv::ListResult live = client_.list(state::kActiveJobPrefix, constants::kStoreCallTimeout);
  if (live.status != Status::ok) {
    sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
    return;
  }
  const plan::Instant at = now();
  const std::int64_t wall = wall_ms();
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::records));
  if (!context_.control_state.controller.on_job_list(term, live.entries, wall, at)) return;
  context_.control_state.controller.on_records_confirmed(sent);
  context_.control_state.watch_from = live.revision;
  context_.wakeups.scheduler.signal();
}

}  // namespace foxshunt::node
