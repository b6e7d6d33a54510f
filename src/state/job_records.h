// The records of jobs, their codecs, and the transactions by which jobs come and go. Codecs throw wire::Malformed, naming the field.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/messages.h"
#include "wire/value.h"

namespace foxshunt::state {

// A task's durable placement.
struct AllocationRecord {
  std::uint32_t index = 0;
  AttemptNumber attempt;
  MachineId machine;
  AgentIncarnation incarnation;
  friend bool operator==(const AllocationRecord&, const AllocationRecord&) = default;
};

struct JobShardRecord {
  AttemptNumber next{1};   // attempts below it were used
  std::vector<bool> done;  // by index within the part
  std::vector<AllocationRecord> allocations;
};

struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_wall_ms = 0;
  std::optional<JobShardRecord> whole;  // of a job that fits one part
  std::uint64_t done_shown = 0;         // of a job in parts, for display
  std::uint64_t running_shown = 0;
};

// The transactions by which jobs come and go. Acceptance creates the record unless the job is known already, in
// whatever state; withdrawal moves it as it was read, so that no placement can slip in between.
[[nodiscard]] kv::Txn create_job_txn(const JobRecord& job);
[[nodiscard]] kv::Txn cancel_job_txn(const JobRecord& job, Revision revision);
[[nodiscard]] JobRecord new_job(const wire::JobSpec& spec, std::int64_t wall_ms);

[[nodiscard]] std::uint32_t shard_count(std::uint32_t tasks);
[[nodiscard]] std::uint32_t shard_size(std::uint32_t tasks, std::uint32_t shard);

[[nodiscard]] wire::Value to_value(const JobShardRecord& shard);
[[nodiscard]] JobShardRecord job_shard_from(const wire::Value& value, std::uint32_t size);  // throws Malformed
[[nodiscard]] wire::Value to_value(const JobRecord& job);
[[nodiscard]] JobRecord job_from(const wire::Value& value);
[[nodiscard]] wire::Value finished_job_value(const wire::JobStatus& status);
[[nodiscard]] wire::JobStatus finished_job_from(const JobId& job, const wire::Value& value);
[[nodiscard]] wire::JobStatus status_of(const JobRecord& job);

}  // namespace foxshunt::state
