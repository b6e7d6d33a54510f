// The records of who leads, and the transaction that takes the lead.
#pragma once

#include <cstdint>

#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::state {

struct TermRecord {
  Term term;
  NodeName leader;
};

// What lead/term and lead/holder say, and the transaction that takes the lead in the next term.
struct LeadershipView {
  Revision leader_revision;  // 0: nobody leads
  Revision term_revision;
  std::uint64_t leader_lease = 0;  // the state service's number of the lease that lead/holder is kept by
  TermRecord record;
  std::int64_t older_leaders_until_wall_ms = 0;  // until then leaders before `record` may answer workers
};
[[nodiscard]] LeadershipView leadership_view(const kv::GetResult& holder, const kv::GetResult& term);
// `older_leaders_until_wall_ms`: until when any older leader may answer workers, by the time of day.
[[nodiscard]] kv::Txn acquire_leadership_txn(const LeadershipView& view, const NodeName& node, kv::LeaseId lease,
                                             std::int64_t older_leaders_until_wall_ms);
[[nodiscard]] std::int64_t older_leaders_until(const LeadershipView& view, std::int64_t wall_ms, std::int64_t fence_ms,
                                               std::int64_t skew_ms);

[[nodiscard]] wire::Value to_value(const TermRecord& term);
[[nodiscard]] TermRecord term_from(const wire::Value& value);

}  // namespace foxshunt::state
