#include "node/shared_records.h"

#include "catalog/records.h"
#include "node/catalog_settings.h"
#include "node/clock.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::node {

// `lead/` is kept so that the revision of a term comes by the same watch. `over/` grows for ever and is not.
std::vector<std::string> kept_prefixes() {
  return {state::kActiveJobPrefix,
          state::kTerminatingJobPrefix,
          state::kJobShardPrefix,
          state::kLeadershipPrefix,
          catalog::kHeadKey,
          catalog::kStagePrefix,
          "calendar/",
          "pool/",
          "account/"};
}

record_cache::Moment moment() { return {.wall_ms = wall_ms(), .steady = net::Clock::now()}; }

SharedRecords::SharedRecords(const config::Settings& settings)
    : record_cache(kept_prefixes()),
      catalog_founder(bootstrap_catalog_of(settings), catalog_write_limits_of(settings)),
      calendar([this] { return catalog.in_force(); },
               {.value_bytes = static_cast<std::size_t>(settings.state_value_kb * 1024),
                .skew_ms = static_cast<std::int64_t>(settings.skew_ms)}) {
  record_cache.add_reader(jobs);
  record_cache.add_reader(cache_verifier);
  record_cache.add_reader(catalog);
  record_cache.add_reader(catalog_sweeper);
  record_cache.add_reader(catalog_founder);
  record_cache.add_reader(calendar);
  keepers.push_back(&catalog_founder);
  keepers.push_back(&catalog_sweeper);
  keepers.push_back(&calendar);
}

std::optional<SharedRecords::Snapshot> SharedRecords::snapshot(Revision least, net::Deadline until) {
  std::unique_lock lock(mutex);
  if (!moved.wait_until(lock, until, [&] { return record_cache.whole() && record_cache.revision() >= least; })) {
    return std::nullopt;
  }
  Snapshot snapshot{
      .active_jobs = {}, .terminating_jobs = {}, .shards = {}, .term = {}, .revision = record_cache.revision()};
  if (const record_cache::Record* record = record_cache.find(state::kTermKey)) {
    snapshot.term = kv::Entry{.key = state::kTermKey, .data = record->data, .revision = record->revision};
  }
  const auto copy = [this](const char* prefix, std::vector<kv::Entry>& into) {
    record_cache.each(prefix, [&into](const std::string& key, const record_cache::Record& record) {
      into.push_back({.key = key, .data = record.data, .revision = record.revision});
    });
  };
  copy(state::kActiveJobPrefix, snapshot.active_jobs);
  copy(state::kTerminatingJobPrefix, snapshot.terminating_jobs);
  copy(state::kJobShardPrefix, snapshot.shards);
  return snapshot;
}

std::map<JobId, int> slack_of(const SharedRecords& shared) {
  std::map<JobId, int> slack;
  for (const JobId& id : shared.calendar.listed()) {
    if (const auto step = shared.calendar.slack_step(id)) slack.emplace(id, *step);
  }
  return slack;
}

}  // namespace foxshunt::node
