// A transaction in which the leader writes job records, together with what the job table needs in order to apply the
// result, and the builder of such transactions. The builder does no I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::jobs {

// Identifies an allocation of the job that a WriteItem belongs to. Another attempt of the same task is another
// allocation.
struct AllocationReference {
  std::uint32_t index = 0;  // index of the task in its job
  AttemptNumber attempt;
};

// What a batch does to the records of one job, or of one of its shards.
struct WriteItem {
  enum class Kind : std::uint8_t {
    update,  // writes the in-memory state of a shard
    finish,  // all tasks are done: replaces the active record by the finished one
    remove,  // the job has ended and has no allocation left: removes its remaining records
  };
  Kind kind = Kind::update;
  JobId job;
  std::uint32_t shard = 0;                       // update: the shard that is written; otherwise 0
  bool writes_job_record = false;                // update: the job record is written as well
  std::vector<AllocationReference> not_durable;  // update: allocations that this write makes durable
  std::vector<std::uint32_t> removed_shards;     // remove: shards whose records are removed
  bool removes_last_record = false;              // remove: no record of the job is left afterwards
};

// A transaction and the items that it consists of.
struct WriteBatch {
  Revision term_revision;  // revision of the term record that the transaction requires
  std::vector<WriteItem> items;
  kv::Txn txn;
};

// Combines writes of several jobs into one transaction, within the limits of the key-value store. Every transaction
// requires that the term record is at the given revision, and that the record of each job in it is at the revision that
// this leader knows.
class WriteBatchBuilder {
 public:
  // `max_changes` is the number of keys that one transaction may change.
  WriteBatchBuilder(Revision term_revision, std::size_t max_changes);

  [[nodiscard]] bool is_empty() const { return batch_.items.empty(); }
  // Whether the batch has an item of this job.
  [[nodiscard]] bool has_job(const JobId& job) const;
  // Whether an item of this kind for the job still fits.
  [[nodiscard]] bool has_room_for(const Job& job, WriteItem::Kind kind) const;

  // Adds a write of the in-memory state of a shard. Notes in the job that the shard may now have a record and,
  // if the displayed counts are written, the time of that.
  void add_update(Job& job, std::uint32_t shard, Instant now);
  // Adds the write that replaces the active record of a completed job by the finished one.
  void add_finish(const Job& job);
  // Adds the removal of as many shard records as fit and, if no shard record is left then, of the last record of the
  // job.
  void add_removal(const Job& job);

  // Returns the batch. The builder must not be used afterwards.
  [[nodiscard]] WriteBatch take() { return std::move(batch_); }

 private:
  void require(std::string key, Revision revision);
  void require_active_record(const Job& job);
  void set(std::string key, wire::Value data);
  void remove(std::string key);
  [[nodiscard]] std::size_t free_changes() const { return max_changes_ - batch_.txn.changes.size(); }

  std::size_t max_changes_;
  std::size_t bytes_ = 0;  // size of the data that is set
  WriteBatch batch_;
};

}  // namespace foxshunt::jobs
