// The leader's writes.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

// Writes what the controller wants durable.
class RecordWriter {
 public:
  explicit RecordWriter(Context& context);
  void run(const std::stop_token& stop);

 private:
  void reload_jobs();
  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
