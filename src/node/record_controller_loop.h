// The writes of the ledger's keepers.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

// Lets the keepers write while this node leads.
class RecordControllerLoop {
 public:
  explicit RecordControllerLoop(Context& context);
  void run(const std::stop_token& stop);

 private:
  bool write_one();
  // How jobs ended that an open occurrence lists: the ledger does not keep what is over.
  void read_ends();
  // What a founding set that names machine types waits for.
  void tell_types();
  // When the plan says that jobs end, and what the calendar's records leave them.
  void tell_plan();

  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
