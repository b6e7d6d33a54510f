// A client of the key-value store (PROTOCOL's state service) over HTTP.
//
// Every call takes its turn in the rate limit that the node's clients share, is tried once and says how it went by an
// Answer; none throws. What may be tried again, and when, the caller knows. A client belongs to one thread, but for
// abort(); the rate limit is shared.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "kv/budget.h"
#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

class Client {
 public:
  // `budget` must outlive the client.
  Client(net::Address to, RateLimiter& rate_limiter, Urgency urgency);

  // The entry of a key; `not_found` when there is none.
  [[nodiscard]] GetResult get(const std::string& key, net::Deadline until);
  // All keys with the prefix, page by page, each within `page_limit`; `between` is called before each page but the first.
  // The answer is that of the last page: unless it is `ok`, some entries are missing.
  [[nodiscard]] ListResult list(const std::string& prefix, std::chrono::milliseconds page_limit,
                                const std::function<void()>& between = {});
  // Makes all changes, if all conditions hold, or none. After the answer `none` it may have been applied, or may be yet.
  [[nodiscard]] TxnResult txn(const Txn& txn, net::Deadline until);
  // A new lease; keys that are set with it are removed when it expires. Nothing if it is not known to be granted.
  [[nodiscard]] std::optional<LeaseId> grant_lease(std::chrono::milliseconds ttl, net::Deadline until);
  // Extends the lease by its time to live.
  [[nodiscard]] Answer touch(LeaseId lease, net::Deadline until);
  // Ends the lease, and removes its keys.
  [[nodiscard]] Answer revoke(LeaseId lease, net::Deadline until);
  // Changes of keys with the prefix after the revision `from`; the store waits for one for up to `hold`.
  [[nodiscard]] WatchResult watch(const std::string& prefix, Revision from, std::chrono::milliseconds hold,
                                  net::Deadline until);
  // Ends a call that is under way in another thread.
  void abort() { http_.abort(); }

 private:
  struct Raw {
    Answer answer = Answer::none;
    wire::Value body;
  };
  Raw call(const std::string& method, const std::string& path, const wire::Value* body, double changes,
           net::Deadline until);

  net::HttpClient http_;
  RateLimiter* budget_;
  Urgency urgency_;
};

}  // namespace foxshunt::kv
