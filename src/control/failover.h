// What a controller that begins to lead takes over from earlier leaders.
#pragma once

#include <cstdint>
#include <vector>

#include "plan/usage_vector.h"
#include "kv/client.h"
#include "wire/ids.h"

namespace foxshunt::control {

struct Takeover {
  Term term;
  Revision term_mark;
  plan::Instant others_until;  // until then older leaders may still renew agents' leases
  std::vector<kv::Entry> live;
  std::vector<kv::Entry> linger;
  std::vector<kv::Entry> parts;
  std::int64_t wall_ms = 0;  // now, by the time of day
};

}  // namespace foxshunt::control
