// The leader's watch over the records of jobs.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

// Reads the changes of records while leading.
class RecordWatcher {
 public:
  explicit RecordWatcher(Context& context);
  void run(const std::stop_token& stop);

 private:
  void reload(const std::stop_token& stop, Term term);
  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
