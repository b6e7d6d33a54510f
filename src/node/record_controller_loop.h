// The loop of the record controllers.
#pragma once

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Lets each record controller write while this node leads, every write on condition of the term.
class RecordControllerLoop {
 public:
  explicit RecordControllerLoop(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  bool write_one();
  /// Reads how jobs ended that an open calendar occurrence lists: the cache does not keep finished jobs.
  void read_ends();
  /// Hands over the machine types that a bootstrap catalog may wait for.
  void tell_types();
  /// Hands the planned ends of jobs to the calendar, and the calendar's due jobs to the controller.
  void tell_plan();

  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
