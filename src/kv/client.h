// An HTTP client of the key-value store, which PROTOCOL calls the state service.
//
// Each call waits for the rate limiter that all clients of the node share, sends its request once, and returns the
// outcome as an Answer. No call throws. The client never retries: the caller decides what to retry and when. A client
// may be used by one thread only, except for abort(), which any thread may call.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "kv/rate_limiter.h"
#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

// A client of the store at one address.
class Client {
 public:
  // `to` is the store's address. `rate_limiter` must outlive the client. `urgency` applies to every call.
  Client(net::Address to, RateLimiter& rate_limiter, Urgency urgency);

  // Returns the entry of a key, or `not_found` if the key does not exist.
  [[nodiscard]] GetResult get(const std::string& key, net::Deadline until);
  // Lists all keys with the prefix, page by page. `page_limit` is the time limit of each page, and `between` is called
  // before each page except the first. The answer is that of the last page that was requested: unless it is `ok`, some
  // entries are missing.
  [[nodiscard]] ListResult list(const std::string& prefix, std::chrono::milliseconds page_limit,
                                const std::function<void()>& between = {});
  // Makes all changes if all preconditions hold, and none otherwise. After the answer `none` the transaction may have
  // been applied, or may still be applied later.
  [[nodiscard]] TxnResult txn(const Txn& txn, net::Deadline until);
  // Requests a new lease. Keys that are set with it are removed when it expires. Returns nothing unless the store
  // confirmed the lease.
  [[nodiscard]] std::optional<LeaseId> grant_lease(std::chrono::milliseconds ttl, net::Deadline until);
  // Renews the lease for its time to live.
  [[nodiscard]] Answer touch(LeaseId lease, net::Deadline until);
  // Ends the lease and removes its keys.
  [[nodiscard]] Answer revoke(LeaseId lease, net::Deadline until);
  // Polls a watch: returns the changes of keys with the prefix after the revision `from`. If there are none yet, the
  // store waits up to `hold` for one.
  [[nodiscard]] WatchResult watch(const std::string& prefix, Revision from, std::chrono::milliseconds hold,
                                  net::Deadline until);
  // Aborts a call that is in progress in another thread.
  void abort() { http_.abort(); }

 private:
  // The outcome of a request and its decoded body, which is null if the response has none.
  struct Raw {
    Answer answer = Answer::none;
    wire::Value body;
  };
  // Sends one request. `changes` is the number of changes it costs in the rate limiter. The answer is `none` if there
  // is no response or its body cannot be decoded.
  Raw call(const std::string& method, const std::string& path, const wire::Value* body, double changes,
           net::Deadline until);

  net::HttpClient http_;
  RateLimiter* budget_;
  Urgency urgency_;
};

}  // namespace foxshunt::kv
