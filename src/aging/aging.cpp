#include "aging/aging.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::aging {

void JobSizes::learn(const std::string& job_class, std::uint32_t tasks, plan::Instant submitted) {
  const auto known = peaks_.find(job_class);
  if (known == peaks_.end() && peaks_.size() >= constants::kMaxTrackedClasses) return;
  Peak& peak =
      known == peaks_.end() ? peaks_.emplace(job_class, Peak{.since = submitted}).first->second : known->second;
  const plan::Millis passed = submitted - peak.since;
  if (passed >= constants::kJobSizesWindow) {
    peak.earlier = passed < 2 * constants::kJobSizesWindow ? peak.current : 0;
    peak.current = 0;
    peak.since = submitted;
  }
  peak.current = std::max(peak.current, tasks);
}

std::uint32_t JobSizes::most(const std::string& job_class) const {
  const auto known = peaks_.find(job_class);
  return known == peaks_.end() ? 0 : std::max(known->second.current, known->second.earlier);
}

bool JobSizes::largest(const std::string& job_class, std::uint32_t tasks) const {
  if (tasks < 2 || !peaks_.contains(job_class)) return false;
  return tasks >= most(job_class) * constants::kLargestShare;
}

plan::Millis bypass_limit(const WaitingJob& job) {
  return job.largest ? constants::kMaxBypassOfLargest : constants::kMaxBypass;
}

bool overdue(const WaitingJob& job, plan::Instant now) { return now - job.submitted >= bypass_limit(job); }

plan::Instant effective_submission(const WaitingJob& job, plan::Instant now) {
  // In a backlog of four minutes all are overdue, and in the order of submission the largest would begin too late.
  if (overdue(job, now)) return job.largest ? job.submitted - constants::kLargestHeadStart : job.submitted;
  return job.submitted + std::min(job.aging_penalty, constants::kMaxAgingPenalty);
}

}  // namespace foxshunt::aging
