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
  void learn(const wire::JobSpec& spec, const plan::ResourceAmounts& each, plan::Instant submitted);
  // GPUs that all jobs want at once, and that machines which are up or booting have.
  void learn_gpus(plan::MilliUnits wanted, plan::MilliUnits there, plan::Instant now);

  [[nodiscard]] const std::map<std::string, ClassDemand>& classes() const { return classes_; }
  // Whether a job of so many tasks is among the largest of its class.
  [[nodiscard]] bool largest(const std::string& job_class, std::uint32_t tasks) const {
    return sizes_.is_among_largest(job_class, tasks);
  }
  // GPUs that machines have beyond what was wanted at once of late: plain work may take these machines as a whole.
  [[nodiscard]] plan::MilliUnits gpus_spare() const { return gpus_spare_; }
  // What a machine of the kind has for the job: work without GPUs leaves room for those that have use for them.
  [[nodiscard]] plan::ResourceAmounts offered(const wire::JobSpec& spec, const wire::MachineType& kind,
                                              const std::vector<wire::MachineType>& types) const;
  // How many tasks of the class most likely come within `cover_s`, by what came of late.
  [[nodiscard]] std::int64_t expected(const std::string& job_class, double cover_s, plan::Instant now);

  // ---- for and by a standby's hints ----
  using Arrivals = std::deque<std::pair<plan::Instant, std::uint32_t>>;
  using GpuPeaks = std::deque<std::pair<plan::Instant, plan::MilliUnits>>;
  [[nodiscard]] std::uint32_t most(const std::string& job_class) const { return sizes_.max_tasks(job_class); }
  [[nodiscard]] const GpuPeaks& gpu_peaks() const { return gpu_demand_; }
  [[nodiscard]] const plan::ResourceAmounts& beside_gpu() const { return beside_gpu_; }
  void hint_largest(const std::string& job_class, std::uint32_t tasks, plan::Instant now);
  // Of a class that no job known here is of.
  void hint_sample(const wire::JobSpec& sample);
  // In place of the arrivals up to `taken` that records tell, which are of jobs that are not done yet.
  void hint_arrivals(const std::string& job_class, Arrivals before, plan::Instant taken);
  void hint_gpus(const GpuPeaks& peaks, plan::MilliUnits cpus_beside, plan::MilliUnits ram_beside);

 private:
  std::map<std::string, ClassDemand> classes_;
  aging::JobSizeTracker sizes_;
  std::deque<std::pair<plan::Instant, plan::MilliUnits>>
      gpu_demand_;                    // wanted at once, falling: its front is the latest peak
  plan::MilliUnits gpus_spare_ = 0;   // that machines have beyond it
  plan::ResourceAmounts beside_gpu_;  // most that tasks take beside each GPU, as far as seen
};

}  // namespace foxshunt::control
