// The job table: the jobs that this leader knows, their parts, and the runs (allocations of tasks to machines): what is
// durable, what memory is ahead of the records, which writes are under way, and what teams use. It builds the writes;
// what is placed, stopped or taken for terminated its callers decide.
//
// It keeps two invariants, each in one place:
//
//   Durable before start. Nothing is started whose placement the store may not hold. Run::durable says that it does; it
//   is set by make_durable(), when a write is known to have succeeded, and by adopt_shard(), for what a record holds.
//
//   Confirmed before removal. Nothing that may run leaves the table unconfirmed. A run leaves it by confirm_terminated() alone,
//   and a job is taken out, or its records are removed, when it has no run left (Job::is_complete, is_removable).
//
// Pure: the time is passed in. Not thread-safe.
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

// A record that has to be read again: the job's own, or that of a part.
struct Reload {
  JobId job;
  std::optional<std::uint32_t> shard;

  [[nodiscard]] std::string key() const {
    return shard ? state::job_shard_key(job, *shard) : state::active_job_key(job);
  }
};

class JobTable {
 public:
  // ---- who is known ----
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
  [[nodiscard]] Allocation* find_allocation(const TaskKey& task);
  // Tasks that are neither done nor placed, lowest first.
  [[nodiscard]] static std::vector<std::uint32_t> pending_tasks(const Job& job, std::uint32_t most);
  // Everything that is placed and not proved gone.
  [[nodiscard]] ResourceAmounts team_use(const std::string& team) const;
  // Whether the record says how the task ended, or nobody asks any more.
  [[nodiscard]] bool settled(const TaskKey& task) const;
  [[nodiscard]] static bool all_durable(const Job& job);

  // ---- records, in the order of their revisions ----
  // `wall_ms`: now, by the time of day. What the record places is adopted, on machines that may be known by it alone.
  Job& add(const state::JobRecord& record, Revision revision, std::int64_t wall_ms,
           inventory::MachineInventory& machines, Instant now);
  void adopt_shard(Job& job, std::uint32_t number, const state::JobShardRecord& record,
                   inventory::MachineInventory& machines, Instant now);
  // The watch tells of live/<job>. True when that job is to be added.
  [[nodiscard]] bool on_record(const JobId& id, Revision revision);
  // The watch tells that live/<job> is gone. The job that is to be withdrawn, if that was not this leader's own doing.
  [[nodiscard]] Job* on_removed(const JobId& id);
  // What has to be read again, and the revision that was found. The job that is to be withdrawn, if its record is gone.
  [[nodiscard]] std::optional<Reload> next_reload() const;
  // Whether any job's own record has to be, now or when the write under way has ended.
  [[nodiscard]] bool has_unread() const;
  [[nodiscard]] Job* on_reloaded(const Reload& reload, std::optional<Revision> revision);
  // No task of it is wanted any more. Those whose placement was never told to a machine, nor will be, are given back:
  // they are proved by that.
  [[nodiscard]] std::vector<std::uint32_t> cancel(Job& job);

  // ---- runs ----
  Allocation& place(Job& job, std::uint32_t index, AttemptNumber attempt, inventory::Machine& machine, Instant now);
  void mark_done(Job& job, std::uint32_t index);
  // The only way in which a run leaves memory. Gives back what it was.
  std::optional<Allocation> confirm_terminated(Job& job, std::uint32_t index, inventory::MachineInventory& machines,
                                               Instant now);

  // ---- writes ----
  [[nodiscard]] bool writes_wanted() const { return !dirty_.empty(); }
  // Of all that may be written now, what fits one transaction: at most `ops_most` changes, conditioned on the term's
  // record.
  [[nodiscard]] std::optional<WriteBatch> begin_write(Revision term_revision, std::size_t ops_most, Instant now);
  // Jobs that nothing is left of, in memory and in the records, are given back.
  std::vector<Job> end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now);

  // The first inconsistency of the table, in words; for tests.
  [[nodiscard]] std::optional<std::string> find_inconsistency(const inventory::MachineInventory& machines) const;

 private:
  class ConsistencyCheck;  // in job_table_consistency.cpp

  struct PartKey {
    JobId job;
    std::uint32_t shard = 0;
    friend auto operator<=>(const PartKey&, const PartKey&) = default;
  };
  using DirtyParts = std::set<PartKey>;

  void touch(Job& job, std::uint32_t number, Instant now);
  Job take_out(const JobId& id);

  // Steps of begin_write(). They return the first dirty part behind what they took.
  DirtyParts::iterator on_part_write_begun(Job& job, const PartKey& key);
  DirtyParts::iterator on_job_write_begun(Job& job);
  DirtyParts::iterator erase_dirty_parts(const JobId& job);

  // Steps of end_write().
  void on_write_failed(Job& job, const WriteItem& item, const kv::TxnResult& result);
  void on_updated(Job& job, const WriteItem& item, Revision revision, Instant now);
  void on_finished(Job& job, Instant now);
  void on_records_removed(Job& job, const WriteItem& item);
  static void make_durable(JobShard& shard, const std::vector<AllocationReference>& written, Instant now);

  std::map<JobId, Job> jobs_;
  DirtyParts dirty_;                                 // memory is ahead of their records
  std::set<JobId> ended_;                            // removed by us; the watch may still tell of them
  std::map<std::string, ResourceAmounts> team_use_;  // everything placed and not proved gone
};

}  // namespace foxshunt::jobs
