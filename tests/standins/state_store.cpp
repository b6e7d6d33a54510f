#include "standins/state_store.h"

#include <algorithm>

namespace foxshunt::standins {

using kv::Answer;

kv::GetResult StateStore::get(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return {.answer = Answer::not_found, .entry = {.key = key}};
  return {.answer = Answer::ok, .entry = {.key = key, .data = found->second.data, .revision = found->second.revision}};
}

kv::ListResult StateStore::list(const std::string& prefix) const {
  kv::ListResult result{.answer = Answer::ok, .entries = {}, .revision = revision_};
  for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix); ++at) {
    result.entries.push_back({.key = at->first, .data = at->second.data, .revision = at->second.revision});
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
  kv::TxnResult result{.answer = Answer::ok, .revision = revision_, .failed = {}};
  for (const kv::Precondition& condition : txn.preconditions) {
    const auto found = items_.find(condition.key);
    const Revision revision = found == items_.end() ? Revision{} : found->second.revision;
    if (revision != condition.revision) result.failed.push_back(condition.key);
  }
  for (const kv::Change& change : txn.changes) {
    if (change.lease && !leases_.contains(change.lease->number)) {
      result.answer = Answer::rejected;
      return result;
    }
  }
  if (!result.failed.empty()) {
    result.answer = Answer::conflict;
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
  kv::WatchResult result{.answer = Answer::ok, .revision = revision_, .events = {}};
  for (auto event = std::ranges::upper_bound(events_, from, {}, &kv::Event::revision); event != events_.end();
       ++event) {
    if (event->key.starts_with(prefix)) result.events.push_back(*event);
  }
  return result;
}

kv::LeaseId StateStore::grant_lease(Millis ttl, Instant now) {
  const kv::LeaseId lease{next_lease_++};
  leases_[lease.number] = {.ttl = ttl, .until = now + ttl};
  return lease;
}

kv::Answer StateStore::touch(kv::LeaseId lease, Instant now) {
  const auto found = leases_.find(lease.number);
  if (found == leases_.end()) return Answer::not_found;
  found->second.until = now + found->second.ttl;
  return Answer::ok;
}

void StateStore::revoke(kv::LeaseId lease) {
  if (leases_.erase(lease.number) == 0) return;
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
