// One transaction of the leader on records of jobs, and what the job table needs to know of it when its answer comes.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "kv/txn.h"
#include "wire/ids.h"

namespace foxshunt::jobs {

struct WriteItem {
  enum class Kind : std::uint8_t { update, finish, forget };
  Kind kind = Kind::update;
  JobId job;
  std::uint32_t part = 0;
  bool header = false;                                    // the job's own record is written too
  std::vector<std::pair<std::uint32_t, AttemptNo>> runs;  // that the write makes durable
};

struct WriteBatch {
  Revision term_mark;  // of the lead from whose job table it is built
  std::vector<WriteItem> items;
  kv::Txn txn;
};

}  // namespace foxshunt::jobs
