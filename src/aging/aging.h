// Aging with bounded bypass: how long younger work may be planned before a waiting job, so that a stream of small jobs starves
// no large one. Tells when a job counts as submitted, for the planning order. Pure: no clock, no I/O; no thread safety.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "plan/usage_vector.h"

namespace foxshunt::aging {

// Which jobs are among the largest of their class, from the sizes seen in the last one to two `kJobSizesWindow`. Bounded:
// beyond `kMaxTrackedClasses` classes none is told apart any more.
class JobSizeTracker {
 public:
  void record_job(const std::string& job_class, std::uint32_t tasks, plan::Instant submitted);
  [[nodiscard]] std::uint32_t max_tasks(const std::string& job_class) const;
  // A job of one task is never one of them: nothing has to be kept for it.
  [[nodiscard]] bool is_among_largest(const std::string& job_class, std::uint32_t tasks) const;

 private:
  struct SizePeak {
    plan::Instant window_start;
    std::uint32_t current_max = 0;   // most tasks of a job
    std::uint32_t previous_max = 0;  // the same of the window before
  };
  std::map<std::string, SizePeak> peaks_;
};

struct WaitingJob {
  plan::Instant submitted;
  plan::Millis aging_penalty{};   // by which it would count as submitted later
  bool is_among_largest = false;  // of its class
};

// How long younger work may be planned before it.
[[nodiscard]] plan::Millis bypass_limit(const WaitingJob& job);
[[nodiscard]] bool is_overdue(const WaitingJob& job, plan::Instant now);
// When the job counts as submitted. The lag of one that is overdue no longer counts: nothing younger passes it any more,
// but for the largest of a class, which go somewhat before other overdue jobs.
[[nodiscard]] plan::Instant effective_submission(const WaitingJob& job, plan::Instant now);

}  // namespace foxshunt::aging
