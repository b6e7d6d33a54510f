// Warm pools: between the records, which every node follows, and the leader's controller; and what operators are told.
#pragma once

#include <functional>
#include <memory>

#include "catalog/model.h"
#include "net/http.h"
#include "node/context.h"
#include "pools/keeper.h"

namespace foxshunt::node {

/// Hands pool directives to the controller, and its observations of machines to the warm-pool controller.
class WarmPoolLoop {
 public:
  // The set in force; null before one is known. Called with the mutex of `SharedRecords` held.
  using InForce = std::function<std::shared_ptr<const catalog::Set>()>;

  /// Registers with `SharedRecords` as a cache observer and record controller, and has to outlive it.
  WarmPoolLoop(Context& context, InForce in_force, pools::OpenNow open_now);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

  // GET /pools and GET /accounts: on any node, from its records.
  [[nodiscard]] net::HttpResponse pools_response();
  [[nodiscard]] net::HttpResponse accounts_response();

 private:
  void look();
  void declare();  // the set in force, if the keeper does not have it yet; with the mutex of `SharedRecords` held
  [[nodiscard]] wire::Value::Map frame() const;

  Context& context_;
  InForce in_force_;
  pools::WarmPoolController keeper_;              // with the mutex of `SharedRecords`
  std::shared_ptr<const catalog::Set> declared_;  // the same
  std::uint64_t steered_ = 0;                     // the keeper's changes() that the controller knows
};

}  // namespace foxshunt::node
