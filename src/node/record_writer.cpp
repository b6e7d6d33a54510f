#include "node/record_writer.h"

#include "config/constants.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using state::Answer;

WriteDuty::WriteDuty(Context& context)
    : context_(context), client_(context.state_address, context.budget, state::Urgency::duty) {}

void WriteDuty::reload_jobs() {
  while (true) {
    std::optional<jobs::Reload> reload;
    {
      const std::lock_guard lock(context_.engine_mutex.of(Duty::writes));
      reload = context_.engine.next_reload();
    }
    if (!reload) return;
    const state::GetResult found = client_.get(reload->key(), call_limit());
    if (!answered(found.answer)) return;
    const std::lock_guard lock(context_.engine_mutex.of(Duty::writes));
    context_.engine.on_reloaded(*reload, found.answer == Answer::ok ? std::optional(found.entry.mark) : std::nullopt,
                                now());
  }
}

void WriteDuty::run(const std::stop_token& stop) {
  while (context_.wait_to_lead(stop)) {
    reload_jobs();
    std::optional<control::WriteBatch> batch;
    {
      const std::lock_guard lock(context_.engine_mutex.of(Duty::writes));
      batch = context_.engine.begin_write(now());
    }
    if (!batch) {
      if (context_.write_signal.wait(stop, constants::kWriteLook)) pause(stop, constants::kWritePause);
      continue;
    }
    const state::TxnResult result = client_.txn(batch->txn, call_limit());
    if (answered(result.answer)) context_.heard_state();
    {
      const std::lock_guard lock(context_.engine_mutex.of(Duty::writes));
      context_.engine.end_write(*batch, result, now());
    }
    context_.engine_moved.notify_all();
    if (!answered(result.answer)) pause(stop, constants::kStateRetryPause);
  }
}

}  // namespace foxshunt::node
