// Aging with bounded bypass: limits how long younger jobs may be planned before a waiting job, so that a stream of
// small jobs cannot starve a large one. Computes the submission time that a job counts with in the planning order.
// Has no clock and no I/O, and is not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "plan/usage_vector.h"

namespace foxshunt::aging {

// Tracks the sizes of the jobs of each class over the last one to two `kJobSizesWindow`. Tracks at most
// `kMaxTrackedClasses` classes; no job of a further class counts as one of the largest.
class JobSizeTracker {
 public:
  // `tasks`: the number of tasks of the job.
  void record_job(const std::string& job_class, std::uint32_t tasks, plan::Instant submitted);
  // The number of tasks of the largest job of the class; 0 if the class is not tracked.
  [[nodiscard]] std::uint32_t max_tasks(const std::string& job_class) const;
  // Whether a job with this number of tasks is one of the largest of its class: it has at least `kLargestShare` of
  // max_tasks(). Never true for a job of a single task, because no machines have to be kept free for it.
  [[nodiscard]] bool is_among_largest(const std::string& job_class, std::uint32_t tasks) const;

 private:
  // The maximum number of tasks of a job of one class.
  struct SizePeak {
    plan::Instant window_start;
    std::uint32_t current_max = 0;   // in the window that begins at `window_start`
    std::uint32_t previous_max = 0;  // in the window before
  };
  std::map<std::string, SizePeak> peaks_;  // by class
};

struct WaitingJob {
  plan::Instant submitted;
  plan::Millis aging_penalty{};   // the job counts as submitted later by this, up to `kMaxAgingPenalty`
  bool is_among_largest = false;  // of its class
};

// How long younger jobs may be planned before this one.
[[nodiscard]] plan::Millis bypass_limit(const WaitingJob& job);
// Whether the job has waited for at least its bypass limit.
[[nodiscard]] bool is_overdue(const WaitingJob& job, plan::Instant now);
// The submission time that the job counts with in the planning order. The penalty of an overdue job no longer counts,
// so that no younger job is planned before it, with one exception: the largest jobs of a class are planned before
// overdue jobs that were submitted up to `kLargestHeadStart` earlier.
[[nodiscard]] plan::Instant effective_submission(const WaitingJob& job, plan::Instant now);

}  // namespace foxshunt::aging
