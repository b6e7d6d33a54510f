// foxshunt's own stand-in for the state service: the same answers, in memory, with the time passed in.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "plan/usage_vector.h"
#include "standins/traffic_recorder.h"
#include "kv/txn.h"

namespace foxshunt::standins {

using plan::Instant;
using plan::Millis;

class StateStore {
 public:
  [[nodiscard]] kv::GetResult get(const std::string& key) const;
  [[nodiscard]] kv::ListResult list(const std::string& prefix) const;
  [[nodiscard]] kv::TxnResult txn(const kv::Txn& txn);
  [[nodiscard]] kv::WatchResult watch(const std::string& prefix, Revision from) const;
  [[nodiscard]] kv::LeaseId grant_lease(Millis ttl, Instant now);
  [[nodiscard]] kv::Status touch(kv::LeaseId lease, Instant now);
  void revoke(kv::LeaseId lease);
  void expire(Instant now);
  // After an outage all leases have their full time again.
  void renew_all(Instant now);
  [[nodiscard]] Revision revision() const { return revision_; }
  // What is asked and answered from now on; nullptr: nowhere.
  void record_to(TrafficRecorder* traffic) { traffic_ = traffic; }

 private:
  struct Item {
    wire::Value data;
    Revision revision;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Millis ttl{};
    Instant until;
  };
  [[nodiscard]] kv::TxnResult execute(const kv::Txn& txn);
  void put(const std::string& key, Item item);
  void remove(const std::string& key);

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<kv::Event> events_;
  Revision revision_;
  std::uint64_t next_lease_ = 1;
  TrafficRecorder* traffic_ = nullptr;
};

}  // namespace foxshunt::standins
