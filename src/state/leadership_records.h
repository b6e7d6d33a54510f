// The records of the current term and its leader, and the transaction by which a node becomes leader.
#pragma once

#include <cstdint>

#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::state {

// The current term and its leader, as stored under lead/term.
struct TermRecord {
  Term term;
  NodeName leader;
};

// The content of lead/term and lead/holder, as a node read them.
struct LeadershipView {
  Revision leader_revision;        // of lead/holder; 0: there is no leader
  Revision term_revision;          // of lead/term; 0: there was no term yet
  std::uint64_t leader_lease = 0;  // the store's number of the lease that lead/holder is bound to; 0: none
  TermRecord record;
  std::int64_t older_leaders_until_wall_ms = 0;  // leaders of terms before `record` may answer agents until then
};
// Combines the results of reading lead/holder and lead/term. Throws wire::Malformed, naming the field.
[[nodiscard]] LeadershipView leadership_view(const kv::GetResult& leader, const kv::GetResult& term);
// Returns the transaction that makes `node` the leader of the next term. It fails if lead/holder or lead/term has
// changed since `view` was read. `lease` is the node's lease, to which lead/holder is bound.
// `older_leaders_until_wall_ms` is the wall clock time, in milliseconds, until which leaders of earlier terms may
// answer agents.
[[nodiscard]] kv::Txn acquire_leadership_txn(const LeadershipView& view, const NodeName& node, kv::LeaseId lease,
                                             std::int64_t older_leaders_until_wall_ms);
// Returns the wall clock time, in milliseconds, until which leaders of earlier terms may act, or 0 if there was no
// earlier term. `wall_ms` is the current wall clock time, `fencing_timeout_ms` the leaders' fencing timeout, and
// `skew_ms` the greatest clock skew that is assumed.
[[nodiscard]] std::int64_t older_leaders_deadline(const LeadershipView& view, std::int64_t wall_ms,
                                                  std::int64_t fencing_timeout_ms, std::int64_t skew_ms);

// The codec of a term record. Decoding throws wire::Malformed, naming the field.
[[nodiscard]] wire::Value to_value(const TermRecord& term);
[[nodiscard]] TermRecord term_record_from(const wire::Value& value);

}  // namespace foxshunt::state
