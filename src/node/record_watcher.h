// The leader's watch over the records of jobs.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Watches the records of active jobs while this node leads, and tells the controller of each change.
class RecordWatcher {
 public:
  explicit RecordWatcher(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  void reload(const std::stop_token& stop, Term term);
  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
