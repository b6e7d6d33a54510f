// The job table holds the jobs that this leader knows, their shards, and the allocations of their tasks to machines. It
// tracks which state is durable in the key-value store, which records are out of date, which writes are in flight, and
// how much each team uses. It builds the write transactions. Its callers decide what is placed, what is stopped, and
// which allocations are confirmed to have terminated.
//
// It keeps two invariants, each in one place:
//
//   Durable before start. A task is started only if the store is known to hold its placement, which Allocation::durable
//   records. It is set by make_durable(), when a write is known to have succeeded, and by adopt_shard(), for
//   allocations that were read from a record.
//
//   Confirmed before removal. An allocation that may still be running never leaves the table. Allocations are removed
//   only by confirm_terminated(). A job is removed, or its records are, only when it has no allocation left (see
//   Job::is_complete and Job::is_removable).
//
// The table does no I/O and reads no clock: callers pass in the time. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "inventory/machine_inventory.h"
#include "jobs/job.h"
#include "jobs/write_batch.h"
#include "kv/txn.h"
#include "plan/planner.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::jobs {

// A record that has to be read again: the record of the job itself, or that of one shard if `shard` is set.
struct Reload {
  JobId job;
  std::optional<std::uint32_t> shard;

  [[nodiscard]] std::string key() const {
    return shard ? state::job_shard_key(job, *shard) : state::active_job_key(job);
  }
};

// All jobs known to the leader of the current term. See the top of this file for its invariants.
class JobTable {
 public:
  // ---- lookup ----
  // at() requires that the job is in the table.
  [[nodiscard]] auto begin() { return jobs_.begin(); }
  [[nodiscard]] auto end() { return jobs_.end(); }
  [[nodiscard]] auto begin() const { return jobs_.begin(); }
  [[nodiscard]] auto end() const { return jobs_.end(); }
  [[nodiscard]] auto find(const JobId& id) { return jobs_.find(id); }
  [[nodiscard]] auto find(const JobId& id) const { return jobs_.find(id); }
  [[nodiscard]] Job& at(const JobId& id) { return jobs_.at(id); }
  [[nodiscard]] const Job& at(const JobId& id) const { return jobs_.at(id); }
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }
  [[nodiscard]] const std::map<JobId, Job>& all() const { return jobs_; }
  // The allocation of the task, or null if the task is unknown or not placed.
  [[nodiscard]] Allocation* find_allocation(const TaskKey& task);
  // Indices of tasks that are neither done nor placed, in ascending order; at most `max_count` of them.
  [[nodiscard]] static std::vector<std::uint32_t> pending_tasks(const Job& job, std::uint32_t max_count);
  // Resources of all allocations of the team that are not yet confirmed terminated.
  [[nodiscard]] ResourceAmounts team_use(const std::string& team) const;
  // Whether the record of the task's shard is up to date, with no write of it pending or in flight. Also true if the
  // task is unknown or its job is cancelled, because its result is then no longer needed.
  [[nodiscard]] bool is_record_current(const TaskKey& task) const;
  // Whether the store is known to hold every placement of the job.
  [[nodiscard]] static bool all_durable(const Job& job);

  // ---- records, applied in the order of their revisions ----
  // Adds the job of a record that was read at `revision`. `wall_ms` is the current wall-clock time in milliseconds. If
  // the record holds the job's only shard, its allocations are adopted; machines that are not in the inventory are
  // added.
  Job& add(const state::JobRecord& record, Revision revision, std::int64_t wall_ms,
           inventory::MachineInventory& machines, Instant now);
  // Takes progress and allocations from the record of shard `number`. The allocations count as durable. To be called
  // once for each shard record of a job with several shards; add() has adopted the only shard of any other job.
  void adopt_shard(Job& job, std::uint32_t number, const state::JobShardRecord& record,
                   inventory::MachineInventory& machines, Instant now);
  // To be called when the watch reports a value of live/<job>. Returns true if the caller must add the job.
  [[nodiscard]] bool on_record(const JobId& id, Revision revision);
  // To be called when the watch reports that live/<job> was deleted. Returns the job that the caller must cancel, or
  // null if the job is unknown or already cancelled. If a write of the job is in flight, this leader may have deleted
  // the record itself; the result of that write decides, and null is returned.
  [[nodiscard]] Job* on_record_deleted(const JobId& id);
  // The next record that has to be read again. Jobs with a write in flight are skipped.
  [[nodiscard]] std::optional<Reload> next_reload() const;
  // Whether the job record of any job has to be read again, now or once the write in flight has ended.
  [[nodiscard]] bool has_job_reload() const;
  // To be called with the revision at which a record was found, or without one if the record does not exist. Returns
  // the job that the caller must cancel because its job record no longer exists, otherwise null.
  [[nodiscard]] Job* on_reloaded(const Reload& reload, std::optional<Revision> revision);
  // Marks the job as cancelled. Returns the tasks whose placement is not durable. No start command was or will be sent
  // for them, so the caller may confirm them as terminated at once.
  [[nodiscard]] std::vector<std::uint32_t> cancel(Job& job);

  // ---- allocations ----
  // Records the placement of task `index` on the machine. The task must not be placed already.
  Allocation& place_task(Job& job, std::uint32_t index, AttemptNumber attempt, inventory::Machine& machine,
                         Instant now);
  // Marks a task as done; has no effect if it already is.
  void mark_done(Job& job, std::uint32_t index);
  // Removes the allocation of a task that is confirmed to have terminated, and returns it; returns nothing if the task
  // has no allocation. This is the only way in which an allocation leaves the table.
  std::optional<Allocation> confirm_terminated(Job& job, std::uint32_t index, inventory::MachineInventory& machines,
                                               Instant now);

  // ---- writes ----
  // Whether any record is out of date and no write of it has begun.
  [[nodiscard]] bool has_pending_writes() const { return !dirty_.empty(); }
  // Builds one transaction from the writes that may begin now. It makes at most `max_changes` changes and requires that
  // the term record is still at `term_revision`. Returns nothing if no write can begin now.
  [[nodiscard]] std::optional<WriteBatch> begin_write(Revision term_revision, std::size_t max_changes, Instant now);
  // Applies the result of a write that begin_write() returned. Returns the jobs that were removed from the table
  // because they have neither allocations nor active, terminating or shard records left.
  std::vector<Job> end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now);

  // Describes the first inconsistency found in the table, if any. Used by tests.
  [[nodiscard]] std::optional<std::string> find_inconsistency(const inventory::MachineInventory& machines) const;

 private:
  class ConsistencyCheck;  // in job_table_consistency.cpp

  struct ShardKey {
    JobId job;
    std::uint32_t shard = 0;
    friend auto operator<=>(const ShardKey&, const ShardKey&) = default;
  };
  using DirtyShards = std::set<ShardKey>;

  // Marks a shard as dirty and schedules a write, unless the job is cancelled and still has allocations: its records
  // are then kept until the last allocation is confirmed terminated.
  void mark_dirty(Job& job, std::uint32_t number, Instant now);
  // Removes the job from the table and returns it.
  Job extract_job(const JobId& id);

  // Steps of begin_write(). They return the first dirty shard after those they have removed from the set.
  DirtyShards::iterator on_shard_write_begun(Job& job, const ShardKey& key);
  DirtyShards::iterator on_job_write_begun(Job& job);
  DirtyShards::iterator erase_dirty_shards(const JobId& job);

  // Steps of end_write().
  void on_write_failed(Job& job, const WriteItem& item, const kv::TxnResult& result);
  void on_updated(Job& job, const WriteItem& item, Revision revision, Instant now);
  void on_finished(Job& job, Instant now);
  void on_records_removed(Job& job, const WriteItem& item);
  static void make_durable(JobShard& shard, const std::vector<AllocationReference>& written, Instant now);

  std::map<JobId, Job> jobs_;
  DirtyShards dirty_;             // shards whose records are out of date
  std::set<JobId> removed_jobs_;  // jobs whose active record was removed; the watch may still report it
  std::map<std::string, ResourceAmounts> team_use_;  // resources of allocations that are not confirmed terminated
};

}  // namespace foxshunt::jobs
