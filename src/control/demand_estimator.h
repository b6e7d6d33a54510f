// Estimates the work to expect from what this leader has observed: arrivals and job sizes of each job class, and the
// demand for GPUs.
//
// No I/O: the caller passes in the time. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "aging/aging.h"
#include "plan/planner.h"
#include "wire/messages.h"

namespace foxshunt::control {

// The demand of one job class.
struct ClassDemand {
  wire::JobSpec sample;                                          // the newest job of the class
  std::deque<std::pair<plan::Instant, std::uint32_t>> arrivals;  // submission time and number of tasks of each job
};

// The most that GPU tasks use for each of their GPUs, in thousandths of a CPU and of a gigabyte. Zero until one was
// seen.
struct UsagePerGpu {
  std::int64_t cpus = 0;
  std::int64_t ram_gb = 0;
};

class DemandEstimator {
 public:
  // Records the arrival of a job. `each`: the resources of one of its tasks.
  void record_job(const wire::JobSpec& spec, const plan::ResourceAmounts& each, plan::Instant submitted);
  // Records how many GPUs all jobs want now, and how many the machines that are up or booting have.
  void record_gpu_counts(plan::AmountUnits wanted, plan::AmountUnits available, plan::Instant now);

  [[nodiscard]] const std::map<std::string, ClassDemand>& classes() const { return classes_; }
  // Whether a job of `tasks` tasks is among the largest of its class.
  [[nodiscard]] bool is_among_largest(const std::string& job_class, std::uint32_t tasks) const {
    return sizes_.is_among_largest(job_class, tasks);
  }
  // Number of GPUs in excess of the peak demand within kGpuDemandWindow. Jobs without GPUs may use the machines of
  // these GPUs fully.
  [[nodiscard]] plan::AmountUnits unclaimed_gpus() const { return unclaimed_gpus_; }
  // The capacity of a machine of `type` that tasks of the job may use. On GPU machines, jobs without GPUs must leave
  // the CPUs and memory free that GPU jobs need, unless they fit on no other one of `types`.
  [[nodiscard]] plan::ResourceAmounts usable_capacity(const wire::JobSpec& spec, const wire::MachineType& type,
                                                      const std::vector<wire::MachineType>& types) const;
  // Upper estimate of the number of tasks of the class that arrive within `cover_s` seconds, from the arrivals within
  // kDemandWindow.
  [[nodiscard]] std::int64_t expected_tasks(const std::string& job_class, double cover_s, plan::Instant now);

  // ---- state that is exchanged with standby controllers as hints ----
  using Arrivals = std::deque<std::pair<plan::Instant, std::uint32_t>>;
  using GpuPeaks = std::deque<std::pair<plan::Instant, plan::AmountUnits>>;
  [[nodiscard]] std::uint32_t largest_job_size(const std::string& job_class) const {
    return sizes_.max_tasks(job_class);
  }
  [[nodiscard]] const GpuPeaks& gpu_peaks() const { return gpu_peaks_; }
  [[nodiscard]] const UsagePerGpu& usage_per_gpu() const { return usage_per_gpu_; }
  void apply_largest_job_hint(const std::string& job_class, std::uint32_t tasks, plan::Instant now);
  // Adds a class of which this leader has seen no job.
  void apply_sample_hint(const wire::JobSpec& sample);
  // Replaces the arrivals up to `taken_at`, the time of the hint. Those were learnt from records, which only contain
  // unfinished jobs; `before` also covers the finished ones.
  void apply_arrivals_hint(const std::string& job_class, Arrivals before, plan::Instant taken_at);
  // Merges the peaks of GPU demand, and the CPUs and memory that GPU tasks use per GPU.
  void apply_gpu_hint(const GpuPeaks& peaks, const UsagePerGpu& usage_per_gpu);

 private:
  std::map<std::string, ClassDemand> classes_;
  aging::JobSizeTracker sizes_;
  // Maxima of the GPUs wanted at once, in order of time and decreasing; the front is the peak of the window.
  std::deque<std::pair<plan::Instant, plan::AmountUnits>> gpu_peaks_;
  plan::AmountUnits unclaimed_gpus_ = 0;  // GPUs of all machines beyond that peak
  UsagePerGpu usage_per_gpu_;
};

}  // namespace foxshunt::control
