#include "jobs/job.h"

#include <algorithm>

namespace foxshunt::jobs {

bool Job::in_flight() const {
  return std::ranges::any_of(shards, [](const JobShard& shard) { return shard.in_flight; });
}

}  // namespace foxshunt::jobs
