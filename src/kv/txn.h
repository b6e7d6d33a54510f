// Requests to the state service and its answers, as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

enum class Answer {
  ok,
  not_found,  // 404
  conflict,   // 409: a condition failed, nothing was changed
  refused,    // 429 or 503: not executed
  too_old,    // 410: the watch must start again
  rejected,   // 400: the request can't be taken
  none,       // no answer: it may have been executed, or may be yet
};

struct Entry {
  std::string key;
  wire::Value data;
  Revision mark;
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

struct Condition {
  std::string key;
  Revision mark;  // 0: must not exist
};

struct Change {
  std::string key;
  std::optional<wire::Value> data;  // nothing: remove
  std::optional<LeaseId> lease;
};

struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

struct TxnResult {
  Answer answer = Answer::none;
  Revision revision;
  std::vector<std::string> failed;
};

struct Event {
  std::string key;
  std::optional<wire::Value> data;  // nothing: removed
  Revision mark;
};

struct FollowResult {
  Answer answer = Answer::none;
  Revision revision;
  std::vector<Event> events;
};

}  // namespace foxshunt::kv
