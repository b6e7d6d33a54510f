#include "node/record_writer.h"

#include "config/constants.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using kv::Status;

RecordWriter::RecordWriter(Context& context)
    : context_(context), client_(context.state_address, context.rate_limiter, kv::Priority::system) {}

void RecordWriter::reload_jobs() {
  while (true) {
    std::optional<jobs::Reload> reload;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::writes));
      reload = context_.control_state.controller.next_reload();
    }
    if (!reload) return;
    const kv::GetResult found = client_.get(reload->key(), store_call_deadline());
    if (!is_answered(found.status)) return;
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::writes));
    context_.control_state.controller.on_reloaded(
        *reload, found.status == Status::ok ? std::optional(found.entry.revision) : std::nullopt, now());
  }
}

void RecordWriter::run(const std::stop_token& stop) {
  while (context_.wait_until_leader(stop)) {
    reload_jobs();
    std::optional<control::WriteBatch> batch;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::writes));
      batch = context_.control_state.controller.begin_write(now());
    }
    if (!batch) {
      if (context_.wakeups.record_writer.wait(stop, constants::kWriteCheckInterval))
        sleep_unless_stopped(stop, constants::kWriteBatchDelay);
      continue;
    }
    const kv::TxnResult result = client_.txn(batch->txn, store_call_deadline());
    if (is_answered(result.status)) context_.on_store_answered();
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::writes));
      context_.control_state.controller.end_write(*batch, result, now());
    }
    context_.control_state.progress_made.notify_all();
    if (!is_answered(result.status)) sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
  }
}

}  // namespace foxshunt::node
