// What foxshunt keeps in the state service.
//
//   live/<job>       an accepted job that is neither done nor withdrawn
//   over/<job>       a job's final state; never changed again
//   linger/<job>     what a withdrawn job may still have on machines, until that is proved gone
//   part/<job>/<n>   tasks [128n, 128n+128) of a job with more than 128 tasks
//   lead/term        the current term and its leader; every write of the leader is conditioned on it
//   lead/holder      there as long as the leader's lease
//   types            the cloud's machine types, so that a node can judge jobs while the cloud is away
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/ids.h"

namespace foxshunt::state {

inline constexpr const char* kTermKey = "lead/term";
inline constexpr const char* kLeaderKey = "lead/holder";
inline constexpr const char* kMachineTypesKey = "types";
inline constexpr const char* kActiveJobPrefix = "live/";
inline constexpr const char* kFinishedJobPrefix = "over/";
inline constexpr const char* kTerminatingJobPrefix = "linger/";
inline constexpr const char* kJobShardPrefix = "part/";
inline constexpr const char* kLeadershipPrefix = "lead/";

[[nodiscard]] std::string active_job_key(const JobId& job);
[[nodiscard]] std::string finished_job_key(const JobId& job);
[[nodiscard]] std::string terminating_job_key(const JobId& job);
[[nodiscard]] std::string job_shard_key(const JobId& job, std::uint32_t shard);

// The job of a key such as live/j-000412 or part/j-000412/3, if it has one.
[[nodiscard]] std::optional<JobId> job_of_key(const std::string& key);
// The number of a part's key, 3 in part/j-000412/3; nothing if there is none.
[[nodiscard]] std::optional<std::uint32_t> shard_of_key(const std::string& key);

}  // namespace foxshunt::state
