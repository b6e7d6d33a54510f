#include "aging/aging.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::aging {

void JobSizeTracker::record_job(const std::string& job_class, std::uint32_t tasks, plan::Instant submitted) {
  const auto entry = peaks_.find(job_class);
  if (entry == peaks_.end() && peaks_.size() >= constants::kMaxTrackedClasses) return;
  SizePeak& peak = entry == peaks_.end() ? peaks_.emplace(job_class, SizePeak{.window_start = submitted}).first->second
                                         : entry->second;
  const plan::Millis elapsed = submitted - peak.window_start;
  if (elapsed >= constants::kJobSizesWindow) {
    peak.previous_max = elapsed < 2 * constants::kJobSizesWindow ? peak.current_max : 0;
    peak.current_max = 0;
    peak.window_start = submitted;
  }
  peak.current_max = std::max(peak.current_max, tasks);
}

std::uint32_t JobSizeTracker::max_tasks(const std::string& job_class) const {
  const auto entry = peaks_.find(job_class);
  return entry == peaks_.end() ? 0 : std::max(entry->second.current_max, entry->second.previous_max);
}

bool JobSizeTracker::is_among_largest(const std::string& job_class, std::uint32_t tasks) const {
  if (tasks < 2 || !peaks_.contains(job_class)) return false;
  return tasks >= max_tasks(job_class) * constants::kLargestShare;
}

plan::Millis bypass_limit(const WaitingJob& job) {
  return job.is_among_largest ? constants::kMaxBypassOfLargest : constants::kMaxBypass;
}

bool is_overdue(const WaitingJob& job, plan::Instant now) { return now - job.submitted >= bypass_limit(job); }

plan::Instant effective_submission(const WaitingJob& job, plan::Instant now) {
  // In a backlog of four minutes all jobs are overdue. The largest ones need the head start, because they would start
  // too late in the order of submission.
  if (is_overdue(job, now)) return job.is_among_largest ? job.submitted - constants::kLargestHeadStart : job.submitted;
  return job.submitted + std::min(job.aging_penalty, constants::kMaxAgingPenalty);
}

}  // namespace foxshunt::aging
