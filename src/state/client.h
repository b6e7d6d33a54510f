// A client of the state service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "state/budget.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::state {

enum class Answer {
  ok,
  not_found,   // 404
  conflict,    // 409: a condition failed, nothing was changed
  refused,     // 429 or 503: not executed
  too_old,     // 410: the watch must start again
  rejected,    // 400: the request can't be taken
  none,        // no answer: it may have been executed, or may be yet
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
  Revision revision;   // of the first page: a watch from there misses nothing
};

struct LeaseId {
  std::uint64_t number = 0;
};

struct Condition {
  std::string key;
  Revision mark;   // 0: must not exist
};

struct Change {
  std::string key;
  std::optional<wire::Value> data;   // nothing: remove
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
  std::optional<wire::Value> data;   // nothing: removed
  Revision mark;
};

struct FollowResult {
  Answer answer = Answer::none;
  Revision revision;
  std::vector<Event> events;
};

// Not to be shared between threads; the budget is.
class Client {
 public:
  Client(net::Address to, RateBudget& budget, Urgency urgency);

  [[nodiscard]] GetResult get(const std::string& key, net::Deadline until);
  // All keys with the prefix, page by page.
  [[nodiscard]] ListResult list(const std::string& prefix, std::chrono::milliseconds page_limit);
  [[nodiscard]] TxnResult txn(const Txn& txn, net::Deadline until);
  [[nodiscard]] std::optional<LeaseId> grant(std::chrono::milliseconds ttl, net::Deadline until);
  [[nodiscard]] Answer touch(LeaseId lease, net::Deadline until);
  [[nodiscard]] Answer revoke(LeaseId lease, net::Deadline until);
  [[nodiscard]] FollowResult follow(const std::string& prefix, Revision from, std::chrono::milliseconds hold,
                                    net::Deadline until);
  void abort() { http_.abort(); }

 private:
  struct Raw {
    Answer answer = Answer::none;
    wire::Value body;
  };
  Raw call(const std::string& method, const std::string& path, const wire::Value* body, double changes,
           net::Deadline until);

  net::HttpClient http_;
  RateBudget* budget_;
  Urgency urgency_;
};

}  // namespace foxshunt::state
