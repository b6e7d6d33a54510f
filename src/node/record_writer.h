// The leader's writes.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Writes to the store what the controller wants durable, one compare-and-swap transaction at a time.
class RecordWriter {
 public:
  explicit RecordWriter(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  /// Reads again the records whose writes failed on their preconditions or got no answer.
  void reload_jobs();
  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
