#include "state/leadership_records.h"

#include "state/keys.h"

namespace foxshunt::state {

using wire::Value;

namespace {

// Field names of the stored records. They must not change: existing records have to stay readable.
constexpr const char* kNodeField = "node";
constexpr const char* kLeaseField = "tether";
constexpr const char* kTermField = "term";
constexpr const char* kLeaderField = "leader";
constexpr const char* kOlderLeadersUntilField = "until";

}  // namespace

LeadershipView leadership_view(const kv::GetResult& leader, const kv::GetResult& term) {
  LeadershipView view{.leader_revision = leader.entry.revision, .term_revision = term.entry.revision};
  if (leader.status == kv::Status::ok && !leader.entry.data[kLeaseField].is_null()) {
    view.leader_lease = leader.entry.data.count(kLeaseField);
  }
  if (term.status == kv::Status::ok) {
    view.record = term_record_from(term.entry.data);
    view.older_leaders_until_wall_ms = static_cast<std::int64_t>(term.entry.data.count(kOlderLeadersUntilField));
  }
  return view;
}

std::int64_t older_leaders_deadline(const LeadershipView& view, std::int64_t wall_ms, std::int64_t fencing_timeout_ms,
                                    std::int64_t skew_ms) {
  if (view.term_revision == Revision{}) return 0;
  // The previous leader computes its fencing deadline, and the end of what it delegated to other nodes, from the last
  // confirmation of its lease, which was before now. This also applies if the previous leader was this node before a
  // restart, because the nodes that hold its delegations keep running.
  return wall_ms + fencing_timeout_ms + 2 * skew_ms;
}

kv::Txn acquire_leadership_txn(const LeadershipView& view, const NodeName& node, kv::LeaseId lease,
                               std::int64_t older_leaders_until_wall_ms) {
  Value record = to_value(TermRecord{.term = view.record.term.next(), .leader = node});
  record.as_map()->emplace_back(kOlderLeadersUntilField, static_cast<std::uint64_t>(older_leaders_until_wall_ms));
  return {.preconditions = {{.key = kLeaderKey, .revision = view.leader_revision},
                            {.key = kTermKey, .revision = view.term_revision}},
          .changes = {{.key = kLeaderKey,
                       .data = Value::Map{{kNodeField, node.text()}, {kLeaseField, lease.number}},
                       .lease = lease},
                      {.key = kTermKey, .data = record, .lease = {}}}};
}

Value to_value(const TermRecord& term) {
  return Value::Map{{kTermField, term.term.number()}, {kLeaderField, term.leader.text()}};
}

TermRecord term_record_from(const Value& value) {
  return {.term = Term(value.count(kTermField)), .leader = NodeName(value.text(kLeaderField))};
}

}  // namespace foxshunt::state
