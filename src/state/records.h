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
#include <vector>

#include "wire/ids.h"
#include "kv/txn.h"
#include "wire/messages.h"

namespace foxshunt::state {

inline constexpr const char* kTermKey = "lead/term";
inline constexpr const char* kHolderKey = "lead/holder";
inline constexpr const char* kTypesKey = "types";
inline constexpr const char* kLivePrefix = "live/";
inline constexpr const char* kOverPrefix = "over/";
inline constexpr const char* kLingerPrefix = "linger/";
inline constexpr const char* kPartPrefix = "part/";
inline constexpr const char* kLeadPrefix = "lead/";

[[nodiscard]] std::string live_key(const JobId& job);
[[nodiscard]] std::string over_key(const JobId& job);
[[nodiscard]] std::string linger_key(const JobId& job);
[[nodiscard]] std::string part_key(const JobId& job, std::uint32_t part);

// A task's durable placement.
struct RunRecord {
  std::uint32_t index = 0;
  AttemptNo attempt;
  MachineId machine;
  SessionNo session;
  friend bool operator==(const RunRecord&, const RunRecord&) = default;
};

struct PartRecord {
  AttemptNo next{1};       // attempts below it were used
  std::vector<bool> done;  // by index within the part
  std::vector<RunRecord> runs;
};

struct JobRecord {
  wire::JobSpec spec;
  std::int64_t submitted_wall_ms = 0;
  std::optional<PartRecord> whole;  // of a job that fits one part
  std::uint64_t done_shown = 0;     // of a job in parts, for display
  std::uint64_t running_shown = 0;
};

struct TermRecord {
  Term term;
  NodeName leader;
};

// The transactions by which jobs come and go. Acceptance creates the record unless the job is known already, in
// whatever state; withdrawal moves it as it was read, so that no placement can slip in between.
[[nodiscard]] kv::Txn accept_txn(const JobRecord& job);
[[nodiscard]] kv::Txn withdraw_txn(const JobRecord& job, Revision mark);
[[nodiscard]] JobRecord new_job(const wire::JobSpec& spec, std::int64_t wall_ms);

// What lead/term and lead/holder say, and the transaction that takes the lead in the next term.
struct LeadView {
  Revision holder_mark;  // 0: nobody leads
  Revision term_mark;
  std::uint64_t holder_lease = 0;  // the state service's number of the lease that lead/holder is kept by
  TermRecord record;
  std::int64_t others_until_wall_ms = 0;  // until then leaders before `record` may answer workers
};
[[nodiscard]] LeadView lead_view(const kv::GetResult& holder, const kv::GetResult& term);
// `others_until_wall_ms`: until when any older leader may answer workers, by the time of day.
[[nodiscard]] kv::Txn take_lead_txn(const LeadView& view, const NodeName& node, kv::LeaseId lease,
                                    std::int64_t others_until_wall_ms);
[[nodiscard]] std::int64_t others_until(const LeadView& view, std::int64_t wall_ms, std::int64_t fence_ms,
                                        std::int64_t skew_ms);

[[nodiscard]] std::uint32_t parts_of(std::uint32_t tasks);
[[nodiscard]] std::uint32_t part_size(std::uint32_t tasks, std::uint32_t part);

[[nodiscard]] wire::Value to_value(const PartRecord& part);
[[nodiscard]] PartRecord part_from(const wire::Value& value, std::uint32_t size);  // throws Malformed
[[nodiscard]] wire::Value to_value(const JobRecord& job);
[[nodiscard]] JobRecord job_from(const wire::Value& value);
[[nodiscard]] wire::Value over_value(const wire::JobStatus& status);
[[nodiscard]] wire::JobStatus over_from(const JobId& job, const wire::Value& value);
[[nodiscard]] wire::JobStatus status_of(const JobRecord& job);
[[nodiscard]] wire::Value to_value(const TermRecord& term);
[[nodiscard]] TermRecord term_from(const wire::Value& value);
// The job of a key such as live/j-000412 or part/j-000412/3, if it has one.
[[nodiscard]] std::optional<JobId> job_of_key(const std::string& key);
// The number of a part's key, 3 in part/j-000412/3; nothing if there is none.
[[nodiscard]] std::optional<std::uint32_t> part_of_key(const std::string& key);

}  // namespace foxshunt::state
