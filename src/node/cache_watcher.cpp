#include "node/cache_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "calendar/keeper.h"
#include "catalog/records.h"
#include "config/constants.h"
#include "node/clock.h"
#include "node/store_calls.h"

namespace foxshunt::node {

using kv::Status;

namespace {

// Read and told to readers, not held: the catalog's book holds the items of its sets itself, encoded. Twenty sets at the
// limits are 27 MB as values and 6 MB there.
constexpr const char* kToldAlone = catalog::kItemPrefix;

// Every key: one watch tells all changes in the order of revisions.
constexpr const char* kEverything = "";

// Tells the controller of the catalog in force when that is another one. To be called without locks.

void publish_catalog(Context& context) {
  std::shared_ptr<const catalog::Set> set;
  {
    const std::lock_guard lock(context.shared.mutex);
    set = context.shared.catalog.in_force();
    if (set == context.shared.told) return;
    context.shared.told = set;
  }
  calendar::warm(*set);  // reads zone files, while nobody waits for them
  const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::records));
  context.control_state.controller.on_catalog(*set, wall_ms(), now());
}

}  // namespace

CacheWatcher::CacheWatcher(Context& context)
    : context_(context),
      client_(context.state_address, context.rate_limiter, kv::Priority::system),
      compared_(net::Clock::now()) {}

std::optional<CacheWatcher::Found> CacheWatcher::read_all(bool to_compare) {
  Found found;
  bool first = true;
  std::vector<std::string> prefixes = kept_prefixes();
  if (!to_compare) prefixes.emplace_back(kToldAlone);
  for (const std::string& prefix : prefixes) {
    kv::ListResult page = client_.list(prefix, constants::kStoreCallTimeout);
    if (page.status != Status::ok) return std::nullopt;
    if (first) found.from = page.revision;
    first = false;
    std::ranges::move(page.entries, std::back_inserter(found.entries));
  }
  context_.on_store_answered();
  return found;
}

bool CacheWatcher::read() {
  const auto found = read_all(false);
  if (!found) return false;
  SharedRecords& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    shared.record_cache.read(found->entries, found->from);
    shared.calendar.cold_read();
    ++shared.cold_reads;
  }
  shared.moved.notify_all();  // a new leader may await no more than this
  return true;
}

void CacheWatcher::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (read()) {
      watch(stop);
    } else {
      sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
    }
  }
}

void CacheWatcher::watch(const std::stop_token& stop) {
  SharedRecords& shared = context_.shared;
  while (!stop.stop_requested()) {
    Revision from;
    {
      const std::lock_guard lock(shared.mutex);
      from = shared.record_cache.revision();
    }
    const kv::WatchResult news = client_.watch(kEverything, from, constants::kRecordCacheWatchHoldTimeout,
                                               store_call_deadline() + constants::kRecordCacheWatchHoldTimeout);
    if (news.status == Status::compacted) return;  // it fell behind: a cold read
    if (news.status != Status::ok) {
      sleep_unless_stopped(stop, constants::kStoreRetryBackoff);
      continue;
    }
    context_.on_store_answered();
    {
      const std::lock_guard lock(shared.mutex);
      shared.record_cache.heard(news.events, news.revision);
      shared.changes_heard += news.events.size();
      shared.calendar.look(moment());
    }
    shared.moved.notify_all();
    publish_catalog(context_);
    if (!news.events.empty()) context_.wakeups.record_controllers.signal();
    if (net::Clock::now() - compared_ > constants::kRecordCacheVerifyInterval && !compare(stop)) return;
    // Changes that come together are read together: a watch that wakes for each costs more than what it tells.
    if (!news.events.empty()) sleep_unless_stopped(stop, constants::kRecordCacheRetryBackoff);
  }
}

bool CacheWatcher::compare(const std::stop_token& stop) {
  SharedRecords& shared = context_.shared;
  compared_ = net::Clock::now();
  {
    const std::lock_guard lock(shared.mutex);
    shared.cache_verifier.begin();
  }
  const auto found = read_all(true);
  if (!found) return true;
  // Once the watch has told of something asked after the read, all that the read can have seen is known.
  Revision from;
  {
    const std::lock_guard lock(shared.mutex);
    from = shared.record_cache.revision();
  }
  const kv::WatchResult news = client_.watch(kEverything, from, std::chrono::milliseconds(0), store_call_deadline());
  if (news.status != Status::ok || stop.stop_requested()) return news.status != Status::compacted;
  const std::lock_guard lock(shared.mutex);
  shared.record_cache.heard(news.events, news.revision);
  shared.calendar.look(moment());
  const std::vector<std::string> differ =
      shared.cache_verifier.differences(shared.record_cache, found->entries, found->from);
  shared.cache_verifier.begin();
  if (differ.empty()) return true;
  shared.differences += differ.size();
  spdlog::error("record_cache_differs keys={} first={} revision={}", differ.size(), differ.front(),
                shared.record_cache.revision().number());
  return false;
}

}  // namespace foxshunt::node
