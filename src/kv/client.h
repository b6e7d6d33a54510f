// An HTTP client of the key-value store, which PROTOCOL calls the state service.
//
// Each call waits for the rate limiter that all clients of the node share, sends its request once, and returns the
// outcome as a Status. No call throws. The client never retries: the caller decides what to retry and when. A client
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
  // `address` is the store's address. `rate_limiter` must outlive the client. `priority` applies to every call.
  Client(net::Address address, RateLimiter& rate_limiter, Priority priority);

  // Returns the entry of a key, or `not_found` if the key does not exist.
  [[nodiscard]] GetResult get(const std::string& key, net::Deadline deadline);
  // Lists all keys with the prefix, page by page. `page_timeout` is the time limit of each page, and `before_next_page`
  // is called before each page except the first. The status is that of the last page that was requested: unless it is
  // `ok`, some entries are missing.
  [[nodiscard]] ListResult list(const std::string& prefix, std::chrono::milliseconds page_timeout,
                                const std::function<void()>& before_next_page = {});
  // Makes all changes if all preconditions hold, and none otherwise. After the status `unknown` the transaction may
  // have been applied, or may still be applied later.
  [[nodiscard]] TxnResult txn(const Txn& txn, net::Deadline deadline);
  // Requests a new lease. Keys that are set with it are removed when it expires. Returns nothing unless the store
  // confirmed the lease.
  [[nodiscard]] std::optional<LeaseId> grant_lease(std::chrono::milliseconds ttl, net::Deadline deadline);
  // Renews the lease for its time to live.
  [[nodiscard]] Status renew_lease(LeaseId lease, net::Deadline deadline);
  // Ends the lease and removes its keys.
  [[nodiscard]] Status revoke_lease(LeaseId lease, net::Deadline deadline);
  // Polls a watch: returns the changes of keys with the prefix after the revision `from`. If there are none yet, the
  // store waits up to `hold_time` for one.
  [[nodiscard]] WatchResult watch(const std::string& prefix, Revision from, std::chrono::milliseconds hold_time,
                                  net::Deadline deadline);
  // Aborts a call that is in progress in another thread.
  void abort() { http_.abort(); }

 private:
  // The outcome of a request and its decoded body, which is null if the response has none.
  struct RawResponse {
    Status status = Status::unknown;
    wire::Value body;
  };
  // Sends one request. `changes` is the number of changes it costs in the rate limiter. The status is `unknown` if
  // there is no response or its body cannot be decoded.
  RawResponse call(const std::string& method, const std::string& path, const wire::Value* body, double changes,
                   net::Deadline deadline);

  net::HttpClient http_;
  RateLimiter* rate_limiter_;
  Priority priority_;
};

}  // namespace foxshunt::kv
