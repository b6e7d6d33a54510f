// A client of the state service.
#pragma once

#include <functional>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "kv/budget.h"
#include "kv/txn.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::kv {

// Not to be shared between threads; the budget is.
class Client {
 public:
  Client(net::Address to, RateBudget& budget, Urgency urgency);

  [[nodiscard]] GetResult get(const std::string& key, net::Deadline until);
  // All keys with the prefix, page by page; `between` is called before each page but the first.
  [[nodiscard]] ListResult list(const std::string& prefix, std::chrono::milliseconds page_limit,
                                const std::function<void()>& between = {});
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

}  // namespace foxshunt::kv
