#include "control/demand_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "config/constants.h"
#include "control/job_requirements.h"

namespace foxshunt::control {

using plan::ResourceAmounts;

void DemandEstimator::learn(const wire::JobSpec& spec, const ResourceAmounts& each, plan::Instant submitted) {
  ClassDemand& demand = classes_[spec.job_class];
  demand.sample = spec;
  demand.arrivals.emplace_back(submitted, spec.tasks);
  // Nobody asks what most classes expect: what is too old to count must not pile up.
  while (demand.arrivals.front().first < submitted - constants::kDemandWindow) demand.arrivals.pop_front();
  sizes_.record_job(spec.job_class, spec.tasks, submitted);
  if (each.values[1] <= 0) return;
  for (const std::size_t r : {0U, 2U}) {
    beside_gpu_.values[r] = std::max(beside_gpu_.values[r], each.values[r] * 1000 / each.values[1]);
  }
}

void DemandEstimator::learn_gpus(plan::MilliUnits wanted, plan::MilliUnits there, plan::Instant now) {
  while (!gpu_demand_.empty() && gpu_demand_.back().second <= wanted) gpu_demand_.pop_back();
  gpu_demand_.emplace_back(now, wanted);
  while (gpu_demand_.front().first < now - constants::kGpuDemandWindow) gpu_demand_.pop_front();
  gpus_spare_ = std::max<plan::MilliUnits>(0, there - gpu_demand_.front().second);
}

// PAPER 5.4, "expensive resources": X cores are kept free for jobs requesting GPUs.
ResourceAmounts DemandEstimator::offered(const wire::JobSpec& spec, const wire::MachineType& kind,
                                         const std::vector<wire::MachineType>& types) const {
  ResourceAmounts all = capacity_of(kind);
  if (spec.gpus > 0 || kind.gpus <= 0) return all;
  const bool elsewhere = std::ranges::any_of(types, [&](const wire::MachineType& other) {
    return other.gpus <= 0 && is_type_allowed(spec, other.name) &&
           ResourceAmounts::from(spec.cpus, 0, spec.ram_gb).fits_in(ResourceAmounts::from(other.cpus, 0, other.ram_gb));
  });
  if (!elsewhere) return all;  // it can't run without
  for (const std::size_t r : {0U, 2U}) {
    // As long as no task with a GPU was seen, each GPU's share of the machine.
    const plan::MilliUnits beside =
        beside_gpu_.values[r] > 0 ? beside_gpu_.values[r] * all.values[1] / 1000 : all.values[r];
    all.values[r] = std::max<plan::MilliUnits>(0, all.values[r] - beside);
  }
  return all;
}

std::int64_t DemandEstimator::expected(const std::string& job_class, double cover_s, plan::Instant now) {
  const auto known = classes_.find(job_class);
  if (known == classes_.end()) return 0;
  auto& arrivals = known->second.arrivals;
  const plan::Instant since = now - constants::kDemandWindow;
  while (!arrivals.empty() && arrivals.front().first < since) arrivals.pop_front();
  if (arrivals.empty()) return 0;
  double tasks = 0;
  for (const auto& [unused, count] : arrivals) tasks += count;
  const double window_s = std::chrono::duration<double>(constants::kDemandWindow).count();
  const double jobs = static_cast<double>(arrivals.size()) / window_s * cover_s;
  const double mean = tasks / static_cast<double>(arrivals.size());
  // Arrivals scatter like a Poisson process; the reserve covers what comes while a machine boots.
  return static_cast<std::int64_t>(std::ceil((jobs + constants::kReserveDeviations * std::sqrt(jobs)) * mean));
}

// ---- hints ----

void DemandEstimator::hint_largest(const std::string& job_class, std::uint32_t tasks, plan::Instant now) {
  sizes_.record_job(job_class, tasks, now);
}

void DemandEstimator::hint_sample(const wire::JobSpec& sample) {
  if (classes_.size() < constants::kMaxTrackedClasses && !classes_.contains(sample.job_class)) {
    classes_[sample.job_class].sample = sample;
  }
}

void DemandEstimator::hint_arrivals(const std::string& job_class, Arrivals before, plan::Instant taken) {
  const auto known = classes_.find(job_class);
  if (known == classes_.end()) return;
  for (const auto& arrival : known->second.arrivals) {
    if (arrival.first > taken) before.push_back(arrival);
  }
  known->second.arrivals = std::move(before);
}

void DemandEstimator::hint_gpus(const GpuPeaks& peaks, plan::MilliUnits cpus_beside, plan::MilliUnits ram_beside) {
  GpuPeaks all;
  for (const GpuPeaks* some : {&peaks, static_cast<const GpuPeaks*>(&gpu_demand_)}) {
    for (const auto& [when, items] : *some) {
      while (!all.empty() && all.back().second <= items) all.pop_back();
      all.emplace_back(when, items);
    }
  }
  gpu_demand_ = std::move(all);
  beside_gpu_.values[0] = std::max(beside_gpu_.values[0], cpus_beside);
  beside_gpu_.values[2] = std::max(beside_gpu_.values[2], ram_beside);
}

}  // namespace foxshunt::control
