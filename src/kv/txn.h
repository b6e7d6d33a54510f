// Requests to the key-value store and what comes back, as values.
//
// The store counts its changes: each has a revision, each key the revision of its last change. A transaction is a
// compare-and-swap on any number of keys: it names the revisions that keys must have, and what to change if they do.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

// How a request went.
enum class Answer {
  ok,
  not_found,  // 404
  conflict,   // 409: a condition failed, nothing was changed
  refused,    // 429 or 503: not executed
  too_old,    // 410: the watch must start again
  rejected,   // 400: the request can't be taken
  none,       // no answer: it may have been executed, or may be yet
};

// A key, its value and the revision of its last change.
struct Entry {
  std::string key;
  wire::Value data;
  Revision revision;
};

struct GetResult {
  Answer answer = Answer::none;
  Entry entry;
};

struct ListResult {
  Answer answer = Answer::none;
  std::vector<Entry> entries;
  Revision revision;  // of the first page: a watch from there misses nothing
};

struct LeaseId {
  std::uint64_t number = 0;
};

// A key must have this revision.
struct Precondition {
  std::string key;
  Revision revision;  // 0: must not exist
};

// A key is set, or removed.
struct Change {
  std::string key;
  std::optional<wire::Value> data;  // nothing: remove
  std::optional<LeaseId> lease;
};

// All changes are made, if all conditions hold, or none.
struct Txn {
  std::vector<Precondition> preconditions;
  std::vector<Change> changes;
};

struct TxnResult {
  Answer answer = Answer::none;
  Revision revision;                // if `ok`: of all keys that were set
  std::vector<std::string> failed;  // if `conflict`: keys that had another revision
};

// What a watch tells of a key.
struct Event {
  std::string key;
  std::optional<wire::Value> data;  // nothing: removed
  Revision revision;
};

struct WatchResult {
  Answer answer = Answer::none;
  Revision revision;  // up to which nothing is missing
  std::vector<Event> events;
};

}  // namespace foxshunt::kv
