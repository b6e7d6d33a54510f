// The records and bounds that a new leader takes over from the leaders of earlier terms.
#pragma once

#include <cstdint>
#include <vector>

#include "plan/usage_vector.h"
#include "kv/client.h"
#include "wire/ids.h"

namespace foxshunt::control {

struct FailoverSnapshot {
  Term term;
  Revision term_revision;
  plan::Instant older_leaders_until;  // leaders of earlier terms may renew agent leases until then
  std::vector<kv::Entry> active_jobs;
  std::vector<kv::Entry> terminating_jobs;
  std::vector<kv::Entry> shards;
  std::int64_t wall_ms = 0;  // current wall-clock time, milliseconds since the epoch
};

}  // namespace foxshunt::control
