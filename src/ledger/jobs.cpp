#include "ledger/jobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::record_cache {

const CachedJob* Jobs::find(const JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

void Jobs::recount(CachedJob& job) const {
  const auto shards = parts_.find(job.spec.id);
  if (shards == parts_.end()) return;
  job.done = job.placed = 0;
  for (const auto& [unused, counts] : shards->second) {
    job.done += counts.done;
    job.placed += counts.placed;
  }
}

void Jobs::on_change(const std::string& key, const wire::Value* data, Revision) {
  const bool live = key.starts_with(state::kActiveJobPrefix);
  const bool linger = key.starts_with(state::kTerminatingJobPrefix);
  const bool shard = key.starts_with(state::kJobShardPrefix);
  if (!live && !linger && !shard) return;
  const auto id = state::job_of_key(key);
  if (!id) return;
  const auto known = jobs_.find(*id);
  if (shard) {
    const auto number = state::shard_of_key(key);
    if (!number) return;
    auto& counts = parts_[*id];
    if (data == nullptr) {
      counts.erase(*number);
      if (counts.empty()) parts_.erase(*id);
      return;
    }
    try {
      const state::JobShardRecord record = state::job_shard_from(*data, constants::kTasksPerShard);
      counts[*number] = {.done = static_cast<std::uint64_t>(std::ranges::count(record.done, true)),
                         .placed = record.allocations.size()};
    } catch (const wire::Malformed& error) {
      if (unreadable_++ == 0) spdlog::error("ledger: key={} cannot be read: {}", key, error.what());
    }
    if (known != jobs_.end()) recount(known->second);
    return;
  }
  if (data == nullptr) {
    // A withdrawn job moves from live/ to linger/ in one transaction, whose changes come one after the other.
    if (known != jobs_.end() && known->second.cancelled == linger) jobs_.erase(known);
    return;
  }
  try {
    const state::JobRecord record = state::job_from(*data);
    CachedJob job{.spec = record.spec, .submitted_wall_ms = record.submitted_wall_ms, .cancelled = linger};
    if (record.only_shard) {
      job.done = static_cast<std::uint64_t>(std::ranges::count(record.only_shard->done, true));
      job.placed = record.only_shard->allocations.size();
    }
    recount(job);
    jobs_.insert_or_assign(*id, std::move(job));
  } catch (const wire::Malformed& error) {
    if (unreadable_++ == 0) spdlog::error("ledger: key={} cannot be read: {}", key, error.what());
  }
}

}  // namespace foxshunt::record_cache
