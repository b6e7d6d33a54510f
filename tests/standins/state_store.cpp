#include "standins/state_store.h"

#include <algorithm>

namespace foxshunt::standins {

using kv::Status;

namespace {

std::uint64_t number_of(Status answer) { return static_cast<std::uint64_t>(answer); }

TrafficMessage message_of(const kv::Txn& txn, const kv::TxnResult& result) {
  TrafficMessage message("state-txn");
  for (const kv::Precondition& condition : txn.preconditions) {
    message.add("if", std::string_view(condition.key)).add("mark", condition.revision);
  }
  for (const kv::Change& change : txn.changes) {
    message.add(change.data ? "put" : "remove", std::string_view(change.key));
    if (change.data) message.add("data", *change.data);
    if (change.lease) message.add("lease", change.lease->number);
  }
  message.add("answer", number_of(result.status)).add("revision", result.revision);
  for (const std::string& key : result.failed_keys) message.add("failed", std::string_view(key));
  return message;
}

}  // namespace

kv::GetResult StateStore::get(const std::string& key) const {
  const auto found = items_.find(key);
  if (traffic_ != nullptr) {
    const Revision revision = found == items_.end() ? Revision{} : found->second.revision;
    traffic_->record(TrafficMessage("state-get").add("key", std::string_view(key)).add("mark", revision));
  }
  if (found == items_.end()) return {.status = Status::not_found, .entry = {.key = key}};
  return {.status = Status::ok, .entry = {.key = key, .data = found->second.data, .revision = found->second.revision}};
}

kv::ListResult StateStore::list(const std::string& prefix) const {
  kv::ListResult result{.status = Status::ok, .entries = {}, .revision = revision_};
  for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix); ++at) {
    result.entries.push_back({.key = at->first, .data = at->second.data, .revision = at->second.revision});
  }
  if (traffic_ != nullptr) {
    traffic_->record(TrafficMessage("state-list")
                         .add("prefix", std::string_view(prefix))
                         .add("entries", result.entries.size())
                         .add("revision", revision_));
  }
  return result;
}

void StateStore::put(const std::string& key, Item item) {
  events_.push_back({.key = key, .data = item.data, .revision = item.revision});
  items_[key] = std::move(item);
}

void StateStore::remove(const std::string& key) {
  if (items_.erase(key) > 0) events_.push_back({.key = key, .data = {}, .revision = revision_});
}

kv::TxnResult StateStore::txn(const kv::Txn& txn) {
  kv::TxnResult result = execute(txn);
  if (traffic_ != nullptr) traffic_->record(message_of(txn, result));
  return result;
}

kv::TxnResult StateStore::execute(const kv::Txn& txn) {
  kv::TxnResult result{.status = Status::ok, .revision = revision_, .failed_keys = {}};
  for (const kv::Precondition& condition : txn.preconditions) {
    const auto found = items_.find(condition.key);
    const Revision revision = found == items_.end() ? Revision{} : found->second.revision;
    if (revision != condition.revision) result.failed_keys.push_back(condition.key);
  }
  for (const kv::Change& change : txn.changes) {
    if (change.lease && !leases_.contains(change.lease->number)) {
      result.status = Status::invalid_request;
      return result;
    }
  }
  if (!result.failed_keys.empty()) {
    result.status = Status::conflict;
    return result;
  }
  if (txn.changes.empty()) return result;
  revision_ = revision_.next();
  for (const kv::Change& change : txn.changes) {
    if (change.data) {
      put(change.key, {.data = *change.data, .revision = revision_, .lease = change.lease ? change.lease->number : 0});
    } else {
      remove(change.key);
    }
  }
  result.revision = revision_;
  return result;
}

kv::WatchResult StateStore::watch(const std::string& prefix, Revision from) const {
  kv::WatchResult result{.status = Status::ok, .revision = revision_, .events = {}};
  for (auto event = std::ranges::upper_bound(events_, from, {}, &kv::Event::revision); event != events_.end();
       ++event) {
    if (event->key.starts_with(prefix)) result.events.push_back(*event);
  }
  if (traffic_ != nullptr) {
    traffic_->record(TrafficMessage("state-watch")
                         .add("prefix", std::string_view(prefix))
                         .add("from", from)
                         .add("events", result.events.size())
                         .add("revision", revision_));
  }
  return result;
}

kv::LeaseId StateStore::grant_lease(Millis ttl, Instant now) {
  const kv::LeaseId lease{next_lease_++};
  leases_[lease.number] = {.ttl = ttl, .until = now + ttl};
  if (traffic_ != nullptr) {
    traffic_->record(TrafficMessage("state-lease-grant")
                         .add("lease", lease.number)
                         .add("ttl", static_cast<std::uint64_t>(ttl.count())));
  }
  return lease;
}

kv::Status StateStore::touch(kv::LeaseId lease, Instant now) {
  const auto found = leases_.find(lease.number);
  if (traffic_ != nullptr) {
    traffic_->record(TrafficMessage("state-lease-renew")
                         .add("lease", lease.number)
                         .add("found", static_cast<std::uint64_t>(found != leases_.end())));
  }
  if (found == leases_.end()) return Status::not_found;
  found->second.until = now + found->second.ttl;
  return Status::ok;
}

void StateStore::revoke(kv::LeaseId lease) {
  if (leases_.erase(lease.number) == 0) return;
  if (traffic_ != nullptr) traffic_->record(TrafficMessage("state-lease-end").add("lease", lease.number));
  std::vector<std::string> attached;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease.number) attached.push_back(key);
  }
  if (!attached.empty()) revision_ = revision_.next();
  for (const std::string& key : attached) remove(key);
}

void StateStore::expire(Instant now) {
  std::vector<kv::LeaseId> ended;
  for (const auto& [number, lease] : leases_) {
    if (now > lease.until) ended.push_back({number});
  }
  for (const kv::LeaseId lease : ended) revoke(lease);
}

void StateStore::renew_all(Instant now) {
  for (auto& [unused, lease] : leases_) lease.until = now + lease.ttl;
}

}  // namespace foxshunt::standins
