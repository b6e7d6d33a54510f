#include "jobs/job.h"

#include <algorithm>

namespace foxshunt::jobs {

bool Job::in_flight() const {
  return std::ranges::any_of(parts, [](const Part& part) { return part.in_flight; });
}

}  // namespace foxshunt::jobs
