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

// Maps an HTTP status to the outcome of the request. Any status that the protocol does not define counts as `unknown`.
Status status_of(int status) {
  switch (status) {
    case 200: return Status::ok;
    case 400: return Status::invalid_request;
    case 404: return Status::not_found;
    case 409: return Status::conflict;
    case 410: return Status::compacted;
    case 429:
    case 503: return Status::unavailable;
    default: return Status::unknown;
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

Client::Client(net::Address address, RateLimiter& rate_limiter, Priority priority)
    : http_(std::move(address), constants::kStoreConnectTimeout), rate_limiter_(&rate_limiter), priority_(priority) {}

Client::RawResponse Client::call(const std::string& method, const std::string& path, const wire::Value* body,
                                 double changes, net::Deadline deadline) {
  // A user's request waits at most `kRateLimiterWaitTimeout` for the rate limiter and is then refused.
  const auto rate_limit_deadline = priority_ == Priority::user
                                       ? std::min(deadline, net::Clock::now() + constants::kRateLimiterWaitTimeout)
                                       : deadline;
  if (!rate_limiter_->acquire(changes, priority_, rate_limit_deadline))
    return {.status = Status::unavailable, .body = {}};
  const auto answer = http_.call(
      {.method = method, .path = path, .body = body == nullptr ? std::string() : wire::encode(*body)}, deadline);
  if (!answer) return {};
  if (answer->status == 429) rate_limiter_->drain();
  RawResponse raw{.status = status_of(answer->status), .body = {}};
  if (raw.status == Status::unavailable) return raw;
  try {
    if (!answer->body.empty()) raw.body = wire::decode(answer->body);
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed method={} path={} error=\"{}\"", method, path, error.what());
    return {};
  }
  if (raw.status == Status::invalid_request || raw.status == Status::unknown) {
    const std::string* error = raw.body[kErrorField].as_text();
    spdlog::warn("store_request_failed method={} path={} status={} error=\"{}\"", method, path, answer->status,
                 error == nullptr ? "" : *error);
  }
  return raw;
}

GetResult Client::get(const std::string& key, net::Deadline deadline) {
  const RawResponse raw = call("GET", "/kv/" + key, nullptr, 0, deadline);
  GetResult result{.status = raw.status, .entry = {.key = key, .data = {}, .revision = {}}};
  if (raw.status != Status::ok) return result;
  try {
    result.entry.revision = Revision(raw.body.count(kRevisionField));
    result.entry.data = raw.body[kDataField];
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=get key={} error=\"{}\"", key, error.what());
    result.status = Status::unknown;
  }
  return result;
}

ListResult Client::list(const std::string& prefix, std::chrono::milliseconds page_timeout,
                        const std::function<void()>& before_next_page) {
  ListResult result;
  std::string from;
  while (true) {
    if (!from.empty() && before_next_page) before_next_page();
    const RawResponse raw = call("GET", list_path(prefix, from), nullptr, 0, net::Clock::now() + page_timeout);
    result.status = raw.status;
    if (raw.status != Status::ok) return result;
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
      result.status = Status::unknown;
      return result;
    }
  }
}

TxnResult Client::txn(const Txn& txn, net::Deadline deadline) {
  const wire::Value body = to_value(txn);
  const RawResponse raw = call("POST", "/txn", &body, static_cast<double>(txn.changes.size()), deadline);
  TxnResult result{.status = raw.status, .revision = {}, .failed_keys = {}};
  try {
    if (raw.status == Status::ok) result.revision = Revision(raw.body.count(kStoreRevisionField));
    if (raw.status == Status::conflict) {
      for (const wire::Value& key : raw.body.list(kFailedField)) {
        if (const std::string* text = key.as_text()) result.failed_keys.push_back(*text);
      }
    }
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=txn error=\"{}\"", error.what());
    result.status = Status::unknown;
  }
  return result;
}

std::optional<LeaseId> Client::grant_lease(std::chrono::milliseconds ttl, net::Deadline deadline) {
  const wire::Value body = wire::Value::Map{{kTtlMsField, static_cast<std::uint64_t>(ttl.count())}};
  const RawResponse raw = call("POST", "/leases", &body, 0, deadline);
  if (raw.status != Status::ok) return std::nullopt;
  try {
    return LeaseId{raw.body.count(kLeaseField)};
  } catch (const wire::Malformed& error) {
    spdlog::warn("store_response_malformed call=grant_lease error=\"{}\"", error.what());
    return std::nullopt;
  }
}

Status Client::renew_lease(LeaseId lease, net::Deadline deadline) {
  return call("POST", "/leases/" + std::to_string(lease.number) + "/touch", nullptr, 0, deadline).status;
}

Status Client::revoke_lease(LeaseId lease, net::Deadline deadline) {
  return call("DELETE", "/leases/" + std::to_string(lease.number), nullptr, 0, deadline).status;
}

WatchResult Client::watch(const std::string& prefix, Revision from, std::chrono::milliseconds hold_time,
                          net::Deadline deadline) {
  const RawResponse raw = call("GET",
                               "/follow?starts=" + prefix + "&from=" + std::to_string(from.number()) +
                                   "&holdMs=" + std::to_string(hold_time.count()),
                               nullptr, 0, deadline);
  WatchResult result{.status = raw.status, .revision = from, .events = {}};
  if (raw.status != Status::ok) return result;
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
    result.status = Status::unknown;
  }
  return result;
}

}  // namespace foxshunt::kv
