// The leader's writes.
#pragma once

#include "node/context.h"
#include "state/client.h"

namespace foxshunt::node {

// Writes what the engine wants durable.
class RecordWriter {
 public:
  explicit RecordWriter(Context& context);
  void run(const std::stop_token& stop);

 private:
  void reload_jobs();
  Context& context_;
  state::Client client_;
};

}  // namespace foxshunt::node
