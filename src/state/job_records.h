// The stored records of jobs, their codecs, and the transactions that create and cancel jobs.
//
// Decoding functions throw wire::Malformed, naming the field.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/messages.h"
#include "wire/value.h"

namespace foxshunt::state {

// The durable placement of a task: the machine that it was assigned to, and the attempt.
struct AllocationRecord {
  std::uint32_t index = 0;  // of the task
  AttemptNumber attempt;
  MachineId machine;
  AgentIncarnation incarnation;
  friend bool operator==(const AllocationRecord&, const AllocationRecord&) = default;
};

// The progress of one shard of a job's tasks.
struct JobShardRecord {
  AttemptNumber next_attempt{1};  // the next attempt number to use; lower numbers count as used
  std::vector<bool> done;         // whether each task is done, by its index within the shard
  std::vector<AllocationRecord> allocations;
};

// An active job, as stored under live/<job>. The job's tasks are stored in the record itself if they fit one shard, and
// in separate shard records otherwise.
struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_wall_ms = 0;        // wall clock time in milliseconds
  std::optional<JobShardRecord> only_shard;  // the only shard of a job that fits one shard
  std::uint64_t displayed_done = 0;          // done tasks of a job with several shards; for display only
  std::uint64_t displayed_running = 0;       // running tasks of a job with several shards; for display only
};

// Returns the transaction that creates the record of an accepted job. It fails if the job exists already, whether it is
// active or finished.
[[nodiscard]] kv::Txn create_job_txn(const JobRecord& job);
// Returns the transaction that replaces the record of an active job by its final state "cancelled", and keeps the
// allocations that it may still have on machines in a terminating record. It fails if the record no longer has
// `revision`, at which `job` was read, so that no allocation made in the meantime is lost.
[[nodiscard]] kv::Txn cancel_job_txn(const JobRecord& job, Revision revision);
// Returns the record of a job that is submitted at `wall_ms`, in wall clock milliseconds, with no task placed.
[[nodiscard]] JobRecord new_job(const wire::JobSpec& spec, std::int64_t wall_ms);

// Returns the number of shards of a job with this number of tasks.
[[nodiscard]] std::uint32_t shard_count(std::uint32_t tasks);
// Returns the number of tasks in one shard of a job. `shard` must be less than shard_count(tasks).
[[nodiscard]] std::uint32_t shard_size(std::uint32_t tasks, std::uint32_t shard);

// Codecs of the records. `size` is the number of tasks in the shard.
[[nodiscard]] wire::Value to_value(const JobShardRecord& shard);
[[nodiscard]] JobShardRecord job_shard_from(const wire::Value& value, std::uint32_t size);
[[nodiscard]] wire::Value to_value(const JobRecord& job);
[[nodiscard]] JobRecord job_from(const wire::Value& value);
// The codec of a job's final state, as stored under over/<job>.
[[nodiscard]] wire::Value finished_job_value(const wire::JobStatus& status);
[[nodiscard]] wire::JobStatus finished_job_from(const JobId& job, const wire::Value& value);
// Returns the status of an active job: running if it has an allocation, otherwise pending.
[[nodiscard]] wire::JobStatus status_of(const JobRecord& job);

}  // namespace foxshunt::state
