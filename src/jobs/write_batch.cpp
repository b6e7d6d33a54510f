#include "jobs/write_batch.h"

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::jobs {

using guards::Guard;
using guards::kept;

namespace {

state::JobShardRecord shard_record(const JobShard& shard) {
  state::JobShardRecord record{.next_attempt = shard.next_attempt, .done = shard.done, .allocations = {}};
  for (const auto& [index, allocation] : shard.allocations) {
    record.allocations.push_back({.index = index,
                                  .attempt = allocation.attempt,
                                  .machine = allocation.machine,
                                  .incarnation = allocation.incarnation});
  }
  return record;
}

std::vector<AllocationReference> non_durable_allocations(const JobShard& shard) {
  std::vector<AllocationReference> found;
  for (const auto& [index, allocation] : shard.allocations) {
    if (!allocation.durable) found.push_back({.index = index, .attempt = allocation.attempt});
  }
  return found;
}

// The job record without the state that is stored in the shard records.
state::JobRecord job_header(const Job& job) {
  return {.spec = job.spec, .submitted_wall_ms = job.submitted_wall_ms, .only_shard = {}};
}

// The number of keys that an item of this kind changes at least. A removal needs one: it can be spread over several
// batches.
std::size_t min_changes(const Job& job, WriteItem::Kind kind) {
  if (kind != WriteItem::Kind::finish) return 1;
  return job.shards.size() > 1 ? 3 : 2;
}

}  // namespace

WriteBatchBuilder::WriteBatchBuilder(Revision term_revision, std::size_t max_changes)
    : max_changes_(max_changes), batch_{.term_revision = term_revision, .items = {}, .txn = {}} {
  if (kept(Guard::write_term)) require(state::kTermKey, term_revision);
}

bool WriteBatchBuilder::has_job(const JobId& job) const {
  return std::ranges::any_of(batch_.items, [&](const WriteItem& item) { return item.job == job; });
}

bool WriteBatchBuilder::has_room_for(const Job& job, WriteItem::Kind kind) const {
  const bool changes_fit = batch_.txn.changes.size() + min_changes(job, kind) <= max_changes_;
  const bool conditions_fit = batch_.txn.preconditions.size() + constants::kMaxWriteItemConditions <=
                              constants::kMaxConditionsPerChange * max_changes_;
  return changes_fit && conditions_fit && bytes_ <= constants::kMaxWriteBatchBytes;
}

void WriteBatchBuilder::add_update(Job& job, std::uint32_t number, Instant now) {
  require_active_record(job);
  JobShard& shard = job.shards[number];
  WriteItem item{.kind = WriteItem::Kind::update,
                 .job = job.spec.id,
                 .shard = number,
                 .not_durable = non_durable_allocations(shard),
                 .removed_shards = {}};
  if (job.shards.size() == 1) {
    state::JobRecord whole = job_header(job);
    whole.only_shard = shard_record(shard);
    set(state::active_job_key(job.spec.id), state::to_value(whole));
  } else {
    const std::string key = state::job_shard_key(job.spec.id, number);
    if (kept(Guard::write_part)) require(key, shard.revision);
    shard.may_have_record = true;
    set(key, state::to_value(shard_record(shard)));
    // The displayed counts may lag by up to kDisplayedCountsInterval.
    if (now - job.counts_written_at >= constants::kDisplayedCountsInterval && free_changes() > 0) {
      job.counts_written_at = now;
      item.writes_job_record = true;
      state::JobRecord header = job_header(job);
      header.displayed_done = job.done_count;
      header.displayed_running = job.allocation_count;
      set(state::active_job_key(job.spec.id), state::to_value(header));
    }
  }
  batch_.items.push_back(std::move(item));
}

void WriteBatchBuilder::add_finish(const Job& job) {
  const JobId& id = job.spec.id;
  require_active_record(job);
  require(state::finished_job_key(id), Revision{});
  remove(state::active_job_key(id));
  const wire::JobStatus status{.id = id, .state = wire::JobState::done, .done = job.spec.tasks, .running = 0};
  set(state::finished_job_key(id), state::finished_job_value(status));
  // The shard records are removed in later batches. The terminating record lets a new leader find the job until then.
  if (job.shards.size() > 1) set(state::terminating_job_key(id), state::to_value(job_header(job)));
  batch_.items.push_back(
      {.kind = WriteItem::Kind::finish, .job = id, .shard = 0, .not_durable = {}, .removed_shards = {}});
}

void WriteBatchBuilder::add_removal(const Job& job) {
  const JobId& id = job.spec.id;
  WriteItem item{.kind = WriteItem::Kind::remove, .job = id, .shard = 0, .not_durable = {}, .removed_shards = {}};
  if (job.shards.size() > 1) {
    // One change is reserved for the terminating record.
    for (std::uint32_t shard = 0; shard < job.shards.size() && free_changes() > 1; ++shard) {
      if (!job.shards[shard].may_have_record) continue;
      remove(state::job_shard_key(id, shard));
      item.removed_shards.push_back(shard);
    }
  }
  const auto recorded = std::ranges::count_if(job.shards, [](const JobShard& shard) { return shard.may_have_record; });
  if (static_cast<std::size_t>(recorded) == item.removed_shards.size()) {
    remove(state::terminating_job_key(id));
    item.removes_last_record = true;
  }
  batch_.items.push_back(std::move(item));
}

void WriteBatchBuilder::require(std::string key, Revision revision) {
  batch_.txn.preconditions.push_back({.key = std::move(key), .revision = revision});
}

void WriteBatchBuilder::require_active_record(const Job& job) {
  if (!has_job(job.spec.id) && kept(Guard::write_job)) require(state::active_job_key(job.spec.id), job.revision);
}

void WriteBatchBuilder::set(std::string key, wire::Value data) {
  bytes_ += wire::json_length(data);
  batch_.txn.changes.push_back({.key = std::move(key), .data = std::move(data), .lease = {}});
}

void WriteBatchBuilder::remove(std::string key) {
  batch_.txn.changes.push_back({.key = std::move(key), .data = {}, .lease = {}});
}

}  // namespace foxshunt::jobs
