// What a controller that begins to lead takes over from earlier leaders.
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
  plan::Instant older_leaders_until;  // until then older leaders may still renew agents' leases
  std::vector<kv::Entry> active_jobs;
  std::vector<kv::Entry> terminating_jobs;
  std::vector<kv::Entry> shards;
  std::int64_t wall_ms = 0;  // now, by the time of day
};

}  // namespace foxshunt::control
