#include "kv/client.h"

#include <spdlog/spdlog.h>

#include "config/constants.h"

namespace foxshunt::kv {
namespace {

// Field names of the store's HTTP protocol. The constants carry the terms that the rest of the code uses.
constexpr const char* kErrorField = "error";
constexpr const char* kRevisionField = "mark";
constexpr const char* kStoreRevisionField = "tally";
constexpr const char* kDataField = "data";
constexpr const char* kItemsField = "items";
constexpr const char* kKeyField = "k";
constexpr const char* kMoreField = "more";
constexpr const char* kSetField = "set";
constexpr const char* kRemoveField = "remove";
constexpr const char* kLeaseField = "tether";
constexpr const char* kPreconditionsField = "if";
constexpr const char* kChangesField = "then";
constexpr const char* kFailedField = "failed";
constexpr const char* kTtlMsField = "ttlMs";
constexpr const char* kEventsField = "news";

// Maps an HTTP status to the outcome of the request. Any status that the protocol does not define counts as `none`.
Answer answer_of(int status) {
  switch (status) {
    case 200: return Answer::ok;
    case 400: return Answer::rejected;
    case 404: return Answer::not_found;
    case 409: return Answer::conflict;
    case 410: return Answer::too_old;
    case 429:
    case 503: return Answer::refused;
    default: return Answer::none;
  }
}

wire::Value to_value(const Change& change) {
  if (!change.data) return wire::Value::Map{{kRemoveField, change.key}};
  wire::Value::Map entry{{kSetField, change.key}, {kDataField, *change.data}};
  if (change.lease) entry.emplace_back(kLeaseField, change.lease->number);
  return entry;
}

wire::Value to_value(const Txn& txn) {
  wire::Value::List preconditions;
  for (const Precondition& condition : txn.preconditions) {
    preconditions.emplace_back(
        wire::Value::Map{{kKeyField, condition.key}, {kRevisionField, condition.revision.number()}});
  }
  wire::Value::List changes;
  for (const Change& change : txn.changes) changes.push_back(to_value(change));
  return wire::Value::Map{{kPreconditionsField, std::move(preconditions)}, {kChangesField, std::move(changes)}};
}

// The path that requests one page of the keys with the prefix. `from` is the last key of the previous page, or empty.
std::string list_path(const std::string& prefix, const std::string& from) {
  std::string path = "/kv?starts=" + prefix;
  if (!from.empty()) path += "&from=" + from;
  return path + "&most=" + std::to_string(constants::kMaxStoreListPage);
}

}  // namespace

Client::Client(net::Address to, RateLimiter& rate_limiter, Urgency urgency)
    : http_(std::move(to), constants::kStoreConnectTimeout), budget_(&rate_limiter), urgency_(urgency) {}

Client::Raw Client::call(const std::string& method, const std::string& path, const wire::Value* body, double changes,
                         net::Deadline until) {
  // A user's request waits at most `kRateLimiterWaitTimeout` for the rate limiter and is then refused.
  const auto rate_limit_deadline =
      urgency_ == Urgency::user ? std::min(until, net::Clock::now() + constants::kRateLimiterWaitTimeout) : until;
  if (!budget_->take(changes, urgency_, rate_limit_deadline)) return {.answer = Answer::refused, .body = {}};
  const auto answer = http_.call(
      {.method = method, .path = path, .body = body == nullptr ? std::string() : wire::encode(*body)}, until);
  if (!answer) return {};
  if (answer->status == 429) budget_->overdrawn();
  Raw raw{.answer = answer_of(answer->status), .body = {}};
  if (raw.answer == Answer::refused) return raw;
  try {
    if (!answer->body.empty()) raw.body = wire::decode(answer->body);
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed method={} path={} error=\"{}\"", method, path, error.what());
    return {};
  }
  if (raw.answer == Answer::rejected || raw.answer == Answer::none) {
    const std::string* error = raw.body[kErrorField].as_text();
    spdlog::warn("store_request_failed method={} path={} status={} error=\"{}\"", method, path, answer->status,
                 error == nullptr ? "" : *error);
  }
  return raw;
}

GetResult Client::get(const std::string& key, net::Deadline until) {
  const Raw raw = call("GET", "/kv/" + key, nullptr, 0, until);
  GetResult result{.answer = raw.answer, .entry = {.key = key, .data = {}, .revision = {}}};
  if (raw.answer != Answer::ok) return result;
  try {
    result.entry.revision = Revision(raw.body.count(kRevisionField));
    result.entry.data = raw.body[kDataField];
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=get key={} error=\"{}\"", key, error.what());
    result.answer = Answer::none;
  }
  return result;
}

ListResult Client::list(const std::string& prefix, std::chrono::milliseconds page_limit,
                        const std::function<void()>& between) {
  ListResult result;
  std::string from;
  while (true) {
    if (!from.empty() && between) between();
    const Raw raw = call("GET", list_path(prefix, from), nullptr, 0, net::Clock::now() + page_limit);
    result.answer = raw.answer;
    if (raw.answer != Answer::ok) return result;
    try {
      if (from.empty()) result.revision = Revision(raw.body.count(kStoreRevisionField));
      for (const wire::Value& item : raw.body.list(kItemsField)) {
        result.entries.push_back(
            {.key = item.text(kKeyField), .data = item[kDataField], .revision = Revision(item.count(kRevisionField))});
      }
      const bool* more = raw.body[kMoreField].as_bool();
      if (more == nullptr || !*more || result.entries.empty() || result.entries.back().key == from) return result;
      from = result.entries.back().key;
    } catch (const wire::Malformed& error) {
      spdlog::warn("store_response_malformed call=list prefix={} error=\"{}\"", prefix, error.what());
      result.answer = Answer::none;
      return result;
    }
  }
}

TxnResult Client::txn(const Txn& txn, net::Deadline until) {
  const wire::Value body = to_value(txn);
  const Raw raw = call("POST", "/txn", &body, static_cast<double>(txn.changes.size()), until);
  TxnResult result{.answer = raw.answer, .revision = {}, .failed = {}};
  try {
    if (raw.answer == Answer::ok) result.revision = Revision(raw.body.count(kStoreRevisionField));
    if (raw.answer == Answer::conflict) {
      for (const wire::Value& key : raw.body.list(kFailedField)) {
        if (const std::string* text = key.as_text()) result.failed.push_back(*text);
      }
    }
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=txn error=\"{}\"", error.what());
    result.answer = Answer::none;
  }
  return result;
}

std::optional<LeaseId> Client::grant_lease(std::chrono::milliseconds ttl, net::Deadline until) {
  const wire::Value body = wire::Value::Map{{kTtlMsField, static_cast<std::uint64_t>(ttl.count())}};
  const Raw raw = call("POST", "/leases", &body, 0, until);
  if (raw.answer != Answer::ok) return std::nullopt;
  try {
    return LeaseId{raw.body.count(kLeaseField)};
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=grant_lease error=\"{}\"", error.what());
    return std::nullopt;
  }
}

Answer Client::touch(LeaseId lease, net::Deadline until) {
  return call("POST", "/leases/" + std::to_string(lease.number) + "/touch", nullptr, 0, until).answer;
}

Answer Client::revoke(LeaseId lease, net::Deadline until) {
  return call("DELETE", "/leases/" + std::to_string(lease.number), nullptr, 0, until).answer;
}

WatchResult Client::watch(const std::string& prefix, Revision from, std::chrono::milliseconds hold,
                          net::Deadline until) {
  const Raw raw = call(
      "GET",
      "/follow?starts=" + prefix + "&from=" + std::to_string(from.number()) + "&holdMs=" + std::to_string(hold.count()),
      nullptr, 0, until);
  WatchResult result{.answer = raw.answer, .revision = from, .events = {}};
  if (raw.answer != Answer::ok) return result;
  try {
    result.revision = Revision(raw.body.count(kStoreRevisionField));
    for (const wire::Value& item : raw.body.list(kEventsField)) {
      Event event{.key = {}, .data = {}, .revision = Revision(item.count(kRevisionField))};
      if (!item[kSetField].is_null()) {
        event.key = item.text(kSetField);
        event.data = item[kDataField];
      } else {
        event.key = item.text(kRemoveField);
      }
      result.events.push_back(std::move(event));
    }
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=watch prefix={} error=\"{}\"", prefix, error.what());
    result.answer = Answer::none;
  }
  return result;
}

}  // namespace foxshunt::kv
