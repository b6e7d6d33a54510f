// The keys under which foxshunt stores jobs, leadership and machine types in the key-value store.
//
//   live/<job>       an accepted job that is neither done nor cancelled
//   over/<job>       the final state of a job; it never changes again
//   linger/<job>     a cancelled job that may still have allocations on machines, until they are confirmed terminated;
//                    also a done job with several shards, until its shard records are removed
//   part/<job>/<n>   the shard with tasks [128n, 128n+128) of a job with more than 128 tasks
//   lead/term        the current term and its leader; every write of the leader has its revision as a precondition
//   lead/holder      the current leader; the key exists as long as the leader's lease
//   types            the cloud's machine types, so that a node can check jobs while the cloud is unreachable
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/ids.h"

namespace foxshunt::state {

// Keys and key prefixes, as listed above. They must not change: existing records have to stay readable.
inline constexpr const char* kTermKey = "lead/term";
inline constexpr const char* kLeaderKey = "lead/holder";
inline constexpr const char* kMachineTypesKey = "types";
inline constexpr const char* kActiveJobPrefix = "live/";
inline constexpr const char* kFinishedJobPrefix = "over/";
inline constexpr const char* kTerminatingJobPrefix = "linger/";
inline constexpr const char* kJobShardPrefix = "part/";
inline constexpr const char* kLeadershipPrefix = "lead/";

// Keys of a job's records: the active job, its final state, its terminating allocations, and one shard of its tasks.
[[nodiscard]] std::string active_job_key(const JobId& job);
[[nodiscard]] std::string finished_job_key(const JobId& job);
[[nodiscard]] std::string terminating_job_key(const JobId& job);
[[nodiscard]] std::string job_shard_key(const JobId& job, std::uint32_t shard);

// Returns the job id in a key such as live/j-000412 or part/j-000412/3, or nothing if the key holds none.
[[nodiscard]] std::optional<JobId> job_of_key(const std::string& key);
// Returns the shard number in the key of a job shard, such as 3 in part/j-000412/3, or nothing for any other key.
[[nodiscard]] std::optional<std::uint32_t> shard_of_key(const std::string& key);

}  // namespace foxshunt::state
