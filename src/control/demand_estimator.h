// What this leader has learnt of the work that comes: classes and their arrivals, sizes, and what GPU work wants. Pure.
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

struct ClassDemand {
  wire::JobSpec sample;                                          // the newest job of it
  std::deque<std::pair<plan::Instant, std::uint32_t>> arrivals;  // when, and how many tasks
};

class DemandEstimator {
 public:
  // `each`: what one of its tasks takes.
  void record_job(const wire::JobSpec& spec, const plan::Amounts& each, plan::Instant submitted);
  // GPUs that all jobs want at once, and that machines which are up or booting have.
  void record_gpu_counts(plan::Items wanted, plan::Items available, plan::Instant now);

  [[nodiscard]] const std::map<std::string, ClassDemand>& classes() const { return classes_; }
  // Whether a job of so many tasks is among the largest of its class.
  [[nodiscard]] bool is_among_largest(const std::string& job_class, std::uint32_t tasks) const {
    return sizes_.largest(job_class, tasks);
  }
  // GPUs that machines have beyond what was wanted at once of late: plain work may take these machines as a whole.
  [[nodiscard]] plan::Items unclaimed_gpus() const { return unclaimed_gpus_; }
  // What a machine of the kind has for the job: work without GPUs leaves room for those that have use for them.
  [[nodiscard]] plan::Amounts usable_capacity(const wire::JobSpec& spec, const wire::MachineType& type,
                                              const std::vector<wire::MachineType>& types) const;
  // How many tasks of the class most likely come within `cover_s`, by what came of late.
  [[nodiscard]] std::int64_t expected_tasks(const std::string& job_class, double cover_s, plan::Instant now);

  // ---- for and by a standby's hints ----
  using Arrivals = std::deque<std::pair<plan::Instant, std::uint32_t>>;
  using GpuPeaks = std::deque<std::pair<plan::Instant, plan::Items>>;
  [[nodiscard]] std::uint32_t largest_job_size(const std::string& job_class) const { return sizes_.most(job_class); }
  [[nodiscard]] const GpuPeaks& gpu_peaks() const { return gpu_peaks_; }
  [[nodiscard]] const plan::Amounts& usage_per_gpu() const { return usage_per_gpu_; }
  void apply_largest_job_hint(const std::string& job_class, std::uint32_t tasks, plan::Instant now);
  // Of a class that no job known here is of.
  void apply_sample_hint(const wire::JobSpec& sample);
  // In place of the arrivals up to `taken` that records tell, which are of jobs that are not done yet.
  void apply_arrivals_hint(const std::string& job_class, Arrivals before, plan::Instant taken_at);
  void apply_gpu_hint(const GpuPeaks& peaks, plan::Items cpus_beside, plan::Items ram_beside);

 private:
  std::map<std::string, ClassDemand> classes_;
  aging::JobSizes sizes_;
  std::deque<std::pair<plan::Instant, plan::Items>>
      gpu_peaks_;                   // wanted at once, falling: its front is the latest peak
  plan::Items unclaimed_gpus_ = 0;  // that machines have beyond it
  plan::Amounts usage_per_gpu_;     // most that tasks take beside each GPU, as far as seen
};

}  // namespace foxshunt::control
