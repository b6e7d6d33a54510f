// The writes of the job table: which jobs go into one transaction, and how its result is applied to them.
//
// A shard is `dirty` while its record is out of date, and `in_flight` from begin_write() until end_write(). A job has
// at most one transaction in flight, because the next one requires the revision that results from it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "config/guards.h"
#include "jobs/job_table.h"
#include "state/keys.h"

namespace foxshunt::jobs {

using guards::Guard;
using guards::kept;

namespace {

WriteItem::Kind next_write(const Job& job) {
  if (job.is_removable()) return WriteItem::Kind::remove;
  return job.is_complete() ? WriteItem::Kind::finish : WriteItem::Kind::update;
}

bool can_write(const Job& job, std::uint32_t shard, const WriteBatchBuilder& batch) {
  if (job.reload || job.shards[shard].reload) return false;
  if (!batch.has_job(job.spec.id)) return !job.in_flight();
  // One transaction may update several shards of a job. It contains any other write of a job only once.
  return next_write(job) == WriteItem::Kind::update && job.shards.size() > 1;
}

void add_next_write(Job& job, std::uint32_t shard, WriteBatchBuilder& batch, Instant now) {
  switch (next_write(job)) {
    case WriteItem::Kind::update: batch.add_update(job, shard, now); break;
    case WriteItem::Kind::finish: batch.add_finish(job); break;
    case WriteItem::Kind::remove: batch.add_removal(job); break;
  }
}

// Whether, once the item is written, the job has no record left except the finished record.
bool leaves_no_record(const Job& job, const WriteItem& item) {
  switch (item.kind) {
    case WriteItem::Kind::update: return false;
    case WriteItem::Kind::finish: return job.shards.size() == 1;
    case WriteItem::Kind::remove: return item.removes_last_record;
  }
  return false;
}

}  // namespace

// ---- begin ----

std::optional<WriteBatch> JobTable::begin_write(Revision term_revision, std::size_t max_changes, Instant now) {
  WriteBatchBuilder batch(term_revision, max_changes);
  for (auto at = dirty_.begin(); at != dirty_.end();) {
    const auto entry = jobs_.find(at->job);
    if (entry == jobs_.end()) {
      at = dirty_.erase(at);
      continue;
    }
    Job& job = entry->second;
    const ShardKey key = *at;
    if (!can_write(job, key.shard, batch)) {
      ++at;
      continue;
    }
    if (!batch.has_room_for(job, next_write(job))) break;
    add_next_write(job, key.shard, batch, now);
    at = next_write(job) == WriteItem::Kind::update ? on_shard_write_begun(job, key) : on_job_write_begun(job);
  }
  if (batch.is_empty()) return std::nullopt;
  return batch.take();
}

JobTable::DirtyShards::iterator JobTable::on_shard_write_begun(Job& job, const ShardKey& key) {
  JobShard& shard = job.shards[key.shard];
  shard.dirty = false;
  shard.in_flight = true;
  dirty_.erase(key);
  return dirty_.upper_bound(key);
}

JobTable::DirtyShards::iterator JobTable::on_job_write_begun(Job& job) {
  for (JobShard& shard : job.shards) shard.dirty = false;
  job.shards.front().in_flight = true;
  return erase_dirty_shards(job.spec.id);
}

JobTable::DirtyShards::iterator JobTable::erase_dirty_shards(const JobId& job) {
  return dirty_.erase(dirty_.lower_bound({job, 0}), dirty_.upper_bound({job, UINT32_MAX}));
}

// ---- end ----

std::vector<Job> JobTable::end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now) {
  std::vector<Job> erased;
  for (const WriteItem& item : batch.items) {
    const auto entry = jobs_.find(item.job);
    if (entry == jobs_.end()) continue;
    Job& job = entry->second;
    JobShard& shard = job.shards[item.shard];
    shard.in_flight = false;
    if (result.status != kv::Status::ok) {
      on_write_failed(job, item, result);
      continue;
    }
    if (shard.dirty) shard.dirty_since = now;  // changes made during this write wait for the next one
    switch (item.kind) {
      case WriteItem::Kind::update: on_updated(job, item, result.revision, now); break;
      case WriteItem::Kind::finish: on_finished(job, now); break;
      case WriteItem::Kind::remove: on_records_removed(job, item); break;
    }
    if (leaves_no_record(job, item)) erased.push_back(extract_job(item.job));
  }
  return erased;
}

// A write without an answer may still be applied. The next write requires the same revision, so that one of the two
// fails. Until a write is known to have succeeded, no start command is sent.
void JobTable::on_write_failed(Job& job, const WriteItem& item, const kv::TxnResult& result) {
  job.shards[item.shard].dirty = true;
  dirty_.insert({item.job, item.shard});
  if (item.kind == WriteItem::Kind::remove) return;
  if (result.status != kv::Status::conflict || !kept(Guard::write_reload)) return;
  const auto has_failed = [&](const std::string& key) {
    return std::ranges::find(result.failed_keys, key) != result.failed_keys.end();
  };
  if (has_failed(state::active_job_key(item.job)) || has_failed(state::finished_job_key(item.job))) job.reload = true;
  if (has_failed(state::job_shard_key(item.job, item.shard))) job.shards[item.shard].reload = true;
}

void JobTable::on_updated(Job& job, const WriteItem& item, Revision revision, Instant now) {
  JobShard& shard = job.shards[item.shard];
  if (job.shards.size() == 1 || item.writes_job_record) job.revision = revision;
  if (job.shards.size() > 1) shard.revision = revision;
  make_durable(shard, item.not_durable, now);
  if (!item.not_durable.empty()) job.had_allocations = true;
}

// This is the only place where a placement made by this leader becomes durable. An allocation that has ended since the
// write began, or was replaced by another attempt, is skipped.
void JobTable::make_durable(JobShard& shard, const std::vector<AllocationReference>& written, Instant now) {
  for (const auto& [index, attempt] : written) {
    const auto allocation = shard.allocations.find(index);
    if (allocation == shard.allocations.end() || allocation->second.attempt != attempt) continue;
    allocation->second.durable.set();
    allocation->second.placed_at = now;
  }
}

void JobTable::on_finished(Job& job, Instant now) {
  const JobId& id = job.spec.id;
  spdlog::info("job_finished job={} tasks={} since_submission_s={:.1f}", id.text(), job.spec.tasks,
               std::chrono::duration<double>(now - job.submitted).count());
  removed_jobs_.insert(id);
  if (job.shards.size() == 1) return;
  job.cancelled = true;  // its shard records are removed like those of a cancelled job
  dirty_.insert({id, 0});
}

void JobTable::on_records_removed(Job& job, const WriteItem& item) {
  for (const std::uint32_t removed_shard : item.removed_shards) {
    job.shards[removed_shard].revision = Revision{};
    job.shards[removed_shard].may_have_record = false;
  }
  if (!item.removes_last_record) dirty_.insert({item.job, 0});
}

}  // namespace foxshunt::jobs
