#include "node/leader_elector.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "control/readiness.h"
#include "control/times.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using kv::Status;

LeaderElector::LeaderElector(Context& context)
    : context_(context), client_(context.state_address, context.rate_limiter, kv::Priority::system) {}

std::optional<state::LeadershipView> LeaderElector::read_leadership() {
  const kv::GetResult holder = client_.get(state::kLeaderKey, store_call_deadline());
  if (!is_answered(holder.status)) return std::nullopt;
  const kv::GetResult term = client_.get(state::kTermKey, store_call_deadline());
  if (!is_answered(term.status)) return std::nullopt;
  context_.on_store_answered();
  return state::leadership_view(holder, term);
}

void LeaderElector::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    try {
      const auto view = read_leadership();
      if (!view) {
        sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
        continue;
      }
      // A lease of this node's earlier life: that process has ended, so it can't act any more.
      const bool own = view->record.leader == context_.settings.name;
      if (view->leader_revision != Revision{} && !own) {
        context_.observe_leader(view->record.leader, view->record.term);
        watch(stop, *view);
        continue;
      }
      context_.observe_leader({}, view->record.term);
      context_.standby.on_leadership_free();
      // Its own earlier life's lease keeps siblings out as well: they can't go first.
      if (view->leader_revision == Revision{} && context_.standby.should_yield(has_all_records(), view->record.term)) {
        sleep_unless_stopped(stop, constants::kStandbyYield);
        continue;
      }
      if (should_yield_leadership()) {
        sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
        continue;
      }
      if (try_acquire(*view)) hold_leadership(stop);
    } catch (const wire::Malformed& error) {
      spdlog::error("leadership_record_unreadable error=\"{}\"", error.what());
      sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
    }
  }
  // An orderly end lets another node lead at once.
  if (lease_.number != 0) (void)client_.revoke_lease(lease_, store_call_deadline());
}

bool LeaderElector::has_all_records() {
  if (!context_.settings.operators.shared_records) return true;  // nobody knows them before
  const std::lock_guard lock(context_.shared.mutex);
  return context_.shared.record_cache.whole();
}

bool LeaderElector::should_yield_leadership() {
  const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
  return context_.control_state.controller.should_yield_leadership(now());
}

// A follower that serves no users hears of the state service by this watch alone. When it was held for longer than
// silence is taken for trouble, the node seemed to have lost the service for some seconds of every ten.
static_assert(constants::kLeaderWatchHoldTimeout < constants::kPeerSilenceTimeout &&
              constants::kPeerSilenceTimeout < constants::kStoreSilenceTimeout);

void LeaderElector::watch(const std::stop_token& stop, const state::LeadershipView& view) {
  Revision from = std::max(view.leader_revision, view.term_revision);
  while (!stop.stop_requested()) {
    const kv::WatchResult news = client_.watch(state::kLeadershipPrefix, from, constants::kLeaderWatchHoldTimeout,
                                               store_call_deadline() + constants::kLeaderWatchHoldTimeout);
    if (news.status != Status::ok) {
      sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
      return;
    }
    context_.on_store_answered();
    from = news.revision;
    if (!news.events.empty()) return;
  }
}

bool LeaderElector::try_acquire(const state::LeadershipView& view) {
  const auto lease = client_.grant_lease(constants::kLeaderLeaseTtl, store_call_deadline());
  if (!lease) return false;
  lease_ = *lease;
  const NodeName& self = context_.settings.name;
  const Term term = view.record.term.next();
  // What this lead is confirmed by is asked for now: a node that stands still after the answer leads no longer for it.
  const plan::Instant asked = now();
  const std::int64_t until =
      state::older_leaders_deadline(view, wall_ms(), control::fencing_timeout(context_.settings).count(),
                                    static_cast<std::int64_t>(context_.settings.skew_ms));
  kv::TxnResult result = client_.txn(state::acquire_leadership_txn(view, self, lease_, until), store_call_deadline());
  if (result.status == Status::unknown) {
    const auto there = read_leadership();
    // An earlier life may have taken the same term just before it ended, by a lease that nobody renews.
    if (there && there->record.term == term && there->record.leader == self && there->leader_lease == lease_.number) {
      result.status = Status::ok;
      result.revision = there->term_revision;
    }
  }
  const AcquiredTerm acquired{
      .term = term, .term_revision = result.revision, .older_leaders_until_wall_ms = until, .asked = asked};
  if (result.status == Status::ok && try_lead(acquired)) return true;
  (void)client_.revoke_lease(lease_, store_call_deadline());
  lease_ = {};
  return false;
}

bool LeaderElector::read_records(SharedRecords::Snapshot& snapshot, plan::Instant& renewed) {
  // The lease goes on while a day's records are read: with a slow state service that takes longer than it lasts.
  const auto renew = [&] {
    const plan::Instant sent = now();
    if (client_.renew_lease(lease_, store_call_deadline()) == Status::ok) renewed = sent;
  };
  kv::ListResult live = client_.list(state::kActiveJobPrefix, constants::kStoreCallTimeout, renew);
  if (live.status != Status::ok) return false;
  renew();
  kv::ListResult linger = client_.list(state::kTerminatingJobPrefix, constants::kStoreCallTimeout, renew);
  if (linger.status != Status::ok) return false;
  renew();
  kv::ListResult parts = client_.list(state::kJobShardPrefix, constants::kStoreCallTimeout, renew);
  if (parts.status != Status::ok) return false;
  snapshot = {.active_jobs = std::move(live.entries),
              .terminating_jobs = std::move(linger.entries),
              .shards = std::move(parts.entries),
              .term = {},
              .revision = live.revision};
  return true;
}

std::optional<SharedRecords::Snapshot> LeaderElector::load_records(Revision term_revision, plan::Instant& renewed) {
  SharedRecords::Snapshot snapshot;
  // A node that follows the records has them: all up to its own term, after which no older leader's write can come.
  std::optional<SharedRecords::Snapshot> known;
  if (context_.settings.operators.shared_records) {
    known = context_.shared.snapshot(term_revision, net::Clock::now() + constants::kRecordCacheFailoverTimeout);
  }
  if (known) {
    snapshot = std::move(*known);
  } else if (!read_records(snapshot, renewed)) {
    return std::nullopt;
  }
  if (!snapshot.term) {
    const kv::GetResult record = client_.get(state::kTermKey, store_call_deadline());
    if (record.status != Status::ok) return std::nullopt;
    snapshot.term = record.entry;
  }
  return snapshot;
}

bool LeaderElector::try_lead(const AcquiredTerm& acquired) {
  plan::Instant renewed = acquired.asked;
  std::optional<SharedRecords::Snapshot> snapshot = load_records(acquired.term_revision, renewed);
  if (!snapshot) return false;
  const auto hints = context_.standby.take_snapshot(now());
  // The steady clock last: what passes between the two counts as longer, not shorter, for older leaders.
  const std::int64_t wall = wall_ms();
  const plan::Instant at = now();
  foresight::DueJobs dues;
  {
    const std::lock_guard lock(context_.shared.mutex);
    dues = calendar::dues_of(context_.shared.calendar, {.at = at, .wall_ms = wall});
  }
  const std::int64_t older_leaders_ms = std::max<std::int64_t>(0, acquired.older_leaders_until_wall_ms - wall);
  const control::FailoverSnapshot failover{.term = acquired.term,
                                           .term_revision = acquired.term_revision,
                                           .older_leaders_until = at + plan::Millis(older_leaders_ms),
                                           .active_jobs = std::move(snapshot->active_jobs),
                                           .terminating_jobs = std::move(snapshot->terminating_jobs),
                                           .shards = std::move(snapshot->shards),
                                           .wall_ms = wall};
  // The clock is looked at once more: the process may have stood still at any point above.
  const plan::Instant knew = now();
  if (!is_ready(acquired, *snapshot, failover.older_leaders_until, renewed, knew)) return false;
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
    control::Controller& controller = context_.control_state.controller;
    controller.become_leader(failover, acquired.asked);
    controller.on_due_jobs(std::move(dues));  // its first pass ranks as the records say
    controller.on_leader_lease_renewed(renewed);
    if (hints) controller.apply_soft_state(*hints, now());
    context_.control_state.watch_from = snapshot->revision;
  }
  context_.standby.on_leadership_acquired(acquired.term, acquired.asked, knew, hints);
  context_.wakeups.standby_subscriber.signal();
  context_.observe_leader(context_.settings.name, acquired.term);
  context_.rate_limiter.set_share(constants::kLeaderShare);
  context_.control_state.became_leader.notify_all();
  context_.wakeups.scheduler.signal();
  return true;
}

bool LeaderElector::is_ready(const AcquiredTerm& acquired, const SharedRecords::Snapshot& snapshot,
                             plan::Instant older_leaders_until, plan::Instant renewed, plan::Instant at) const {
  const bool first_leader = acquired.older_leaders_until_wall_ms == 0;
  const control::Readiness found{
      .self = context_.settings.name,
      .term = acquired.term,
      .term_revision = acquired.term_revision,
      .record = state::term_record_from(snapshot.term->data),
      .record_revision = snapshot.term->revision,
      .records_revision = snapshot.revision,
      .lease_renewal_requested = renewed,
      .older_leaders_until = older_leaders_until,
      .min_older_leaders_until =
          first_leader ? plan::Instant{}
                       : acquired.asked + control::fencing_timeout(context_.settings) - constants::kClockRounding};
  const auto missing = control::first_unmet_condition(found, at);
  if (!missing) return true;
  spdlog::warn("failover_given_up term={} check={}", acquired.term.number(), *missing);
  return false;
}

void LeaderElector::hold_leadership(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
      if (!context_.control_state.controller.is_leader()) break;
    }
    const plan::Instant sent = now();
    const Status status = client_.renew_lease(lease_, store_call_deadline());
    if (status == Status::ok) {
      context_.on_store_answered();
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
      context_.control_state.controller.on_leader_lease_renewed(sent);
    } else if (status == Status::not_found) {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
      context_.control_state.controller.step_down("its lease has ended");
      break;
    }
    // No confirmation may be an outage, in which leases don't end: the controller's fence bounds how long.
    context_.wakeups.leader_elector.wait(
        stop, status == Status::ok ? constants::kLeaderLeaseRenewInterval : constants::kStoreRetryBackoff);
  }
  {
    const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::lease));
    context_.control_state.controller.step_down("this node stops leading");
  }
  (void)client_.revoke_lease(lease_, store_call_deadline());
  lease_ = {};
  const auto nodes = static_cast<double>(std::max<std::size_t>(2, context_.settings.nodes));
  context_.rate_limiter.set_share((1 - constants::kLeaderShare) / (nodes - 1));
}

}  // namespace foxshunt::node
