#include "node/record_controller_loop.h"

#include <algorithm>
#include <set>

#include "calendar/plans.h"
#include "config/constants.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using kv::Status;

RecordControllerLoop::RecordControllerLoop(Context& context)
    : context_(context), client_(context.state_address, context.rate_limiter, kv::Priority::user) {}

void RecordControllerLoop::run(const std::stop_token& stop) {
  while (context_.wait_until_leader(stop)) {
    read_ends();
    tell_plan();
    tell_types();
    while (!stop.stop_requested() && write_one()) sleep_unless_stopped(stop, constants::kRecordControllerRetryBackoff);
    context_.wakeups.record_controllers.wait(stop, constants::kRecordControllerInterval);
  }
}

void RecordControllerLoop::read_ends() {
  SharedRecords& shared = context_.shared;
  std::optional<std::string> key;
  {
    const std::lock_guard lock(shared.mutex);
    key = shared.calendar.next_read();
  }
  if (!key) return;
  const kv::GetResult found = client_.get(*key, store_call_deadline());
  const std::lock_guard lock(shared.mutex);
  shared.calendar.on_read(*key, found);
}

void RecordControllerLoop::tell_types() {
  SharedRecords& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    if (!shared.catalog_founder.wants_types()) return;
  }
  std::set<std::string> names;
  {
    const std::lock_guard lock(context_.cluster_view.mutex);
    for (const wire::MachineType& type : context_.cluster_view.types) names.insert(type.name);
  }
  const std::lock_guard lock(shared.mutex);
  shared.catalog_founder.learn_types(names);
}

void RecordControllerLoop::tell_plan() {
  SharedRecords& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    if (shared.calendar.occurrences().empty()) return;
  }
  const calendar::Both moment{.at = now(), .wall_ms = wall_ms()};
  foresight::DueJobs dues;
  {
    const std::lock_guard lock(shared.mutex);
    dues = calendar::dues_of(shared.calendar, moment);
  }
  std::map<JobId, plan::Instant> ends;
  std::map<JobId, foresight::DeadlineForecast> deadline_forecasts;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::metrics));
    context_.control_state.controller.on_due_jobs(std::move(dues));
    if (context_.control_state.controller.is_planning()) return;
    ends = context_.control_state.controller.planned_ends();
    deadline_forecasts = context_.control_state.controller.deadline_forecasts(moment.at);
  }
  const std::lock_guard lock(shared.mutex);
  shared.calendar.planned(calendar::plans_of(ends, deadline_forecasts, moment));
}

bool RecordControllerLoop::write_one() {
  Revision term_revision;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::metrics));
    if (!context_.control_state.controller.can_start_tasks(now())) return false;
    term_revision = context_.control_state.controller.term_revision();
  }
  SharedRecords& shared = context_.shared;
  record_cache::RecordController* keeper = nullptr;
  std::optional<kv::Txn> txn;
  {
    const std::lock_guard lock(shared.mutex);
    if (!shared.record_cache.whole() || shared.record_cache.revision() < term_revision) return false;
    for (record_cache::RecordController* one : shared.keepers) {
      txn = one->next_write(shared.jobs, moment(), context_.settings.state_txn_ops);
      keeper = one;
      if (txn) break;
    }
  }
  if (!txn) return false;
  kv::Txn guarded = *txn;
  guarded.preconditions.push_back({.key = state::kTermKey, .revision = term_revision});
  const kv::TxnResult result = client_.txn(guarded, store_call_deadline());
  if (result.status == Status::conflict &&
      std::ranges::find(result.failed_keys, std::string(state::kTermKey)) != result.failed_keys.end()) {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
    context_.control_state.controller.on_term_conflict(term_revision);
  }
  const std::lock_guard lock(shared.mutex);
  keeper->on_written(*txn, result);
  return result.status == Status::ok;
}

}  // namespace foxshunt::node
