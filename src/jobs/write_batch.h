// One transaction of the leader on records of jobs, what the job table needs to know of it when its answer comes, and the
// builder of such transactions. Pure; not thread-safe.
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

// A run of the item's job: the same task in another attempt is another run.
struct AllocationReference {
  std::uint32_t index = 0;  // of the task in its job
  AttemptNumber attempt;
};

// What a batch does to the records of one job, or of one of its parts.
struct WriteItem {
  enum class Kind : std::uint8_t {
    update,  // writes a part as memory has it
    finish,  // all tasks are done: the active record gives way to the final one
    remove,  // nothing of a job that has ended may run any more: what is left of its records goes
  };
  Kind kind = Kind::update;
  JobId job;
  std::uint32_t shard = 0;                       // update: the part that is written; otherwise 0
  bool header = false;                           // update: the job's own record is written as well
  std::vector<AllocationReference> not_durable;  // update: runs that become durable by this write
  std::vector<std::uint32_t> removed_parts;      // remove: parts whose records it removes
  bool removes_last = false;                     // remove: no record of the job is left after it
};

struct WriteBatch {
  Revision term_revision;  // of the lead from whose job table it is built
  std::vector<WriteItem> items;
  kv::Txn txn;
};

// Puts writes of several jobs into one transaction, within the store's limits. Every batch is conditioned on the record of
// the leader's term, every job in it on that job's record as this leader knows it.
class WriteBatchBuilder {
 public:
  // `max_changes`: what one transaction may change.
  WriteBatchBuilder(Revision term_revision, std::size_t max_changes);

  [[nodiscard]] bool is_empty() const { return batch_.items.empty(); }
  [[nodiscard]] bool has_job(const JobId& job) const;
  // Whether one more item of this kind fits.
  [[nodiscard]] bool has_room_for(const Job& job, WriteItem::Kind kind) const;

  // Adds the part as it is in memory. Notes in the job what it writes: that the part has a record, and when its displayed
  // counts were last written.
  void add_update(Job& job, std::uint32_t shard, Instant now);
  void add_finish(const Job& job);
  // Removes as many records of parts as fit, and the job's last record if no part is left then.
  void add_removal(const Job& job);

  [[nodiscard]] WriteBatch take() { return std::move(batch_); }

 private:
  void require(std::string key, Revision revision);
  void require_active_record(const Job& job);
  void set(std::string key, wire::Value data);
  void remove(std::string key);
  [[nodiscard]] std::size_t free_changes() const { return max_changes_ - batch_.txn.changes.size(); }

  std::size_t max_changes_;
  std::size_t bytes_ = 0;  // of the data that is set
  WriteBatch batch_;
};

}  // namespace foxshunt::jobs
