// Requests to the key-value store and their results, as plain values.
//
// The store counts its changes. Each change has a revision, and each key has the revision of its last change. A
// transaction is a compare-and-swap on any number of keys: it names the revisions that keys must have and the changes
// to make if they do.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

// The outcome of a request, with the HTTP status that it stands for.
enum class Status {
  ok,               // 200: the request was executed
  not_found,        // 404: the key or lease does not exist
  conflict,         // 409: a precondition failed and nothing was changed
  unavailable,      // 429 or 503, or the node's own rate limit: the request was not executed
  compacted,        // 410: the watch asked for changes that the store no longer has; it must start again
  invalid_request,  // 400: the store does not accept the request as it is
  unknown,          // no usable response: the request may have been executed, or may still be executed later
};

// A key, its value and the revision of its last change.
struct Entry {
  std::string key;
  wire::Value data;
  Revision revision;
};

// The result of reading one key. The entry is valid only if the status is `ok`.
struct GetResult {
  Status status = Status::unknown;
  Entry entry;
};

// The result of listing the keys with a prefix. The entries are complete only if the status is `ok`.
struct ListResult {
  Status status = Status::unknown;
  std::vector<Entry> entries;
  Revision revision;  // the store's revision at the first page: a watch that starts from it misses no change
};

// The store's number of a lease. Keys that are set with a lease are removed when it expires.
struct LeaseId {
  std::uint64_t number = 0;
};

// A condition of a transaction: the key must have this revision.
struct Precondition {
  std::string key;
  Revision revision;  // 0: the key must not exist
};

// A change of a transaction: the key is set or removed.
struct Change {
  std::string key;
  std::optional<wire::Value> data;  // the new value; empty: the key is removed
  std::optional<LeaseId> lease;     // the lease that the key is bound to, if any
};

// An atomic compare-and-swap: if all preconditions hold, all changes are made; otherwise none is.
struct Txn {
  std::vector<Precondition> preconditions;
  std::vector<Change> changes;
};

// The result of a transaction.
struct TxnResult {
  Status status = Status::unknown;
  Revision revision;                     // for `ok`: the new revision of all keys that were set
  std::vector<std::string> failed_keys;  // for `conflict`: the keys that had another revision
};

// A change of one key, as a watch reports it.
struct Event {
  std::string key;
  std::optional<wire::Value> data;  // the new value; empty: the key was removed
  Revision revision;
};

// The result of one poll of a watch. Revision and events are valid only if the status is `ok`.
struct WatchResult {
  Status status = Status::unknown;
  Revision revision;  // the watch has reported every change up to this revision
  std::vector<Event> events;
};

}  // namespace foxshunt::kv
