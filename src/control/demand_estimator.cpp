#include "control/demand_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "config/constants.h"
#include "control/job_requirements.h"

namespace foxshunt::control {

using plan::AmountUnits;
using plan::ResourceAmounts;

namespace {

constexpr std::int64_t kThousandths = 1'000;  // of a CPU, a gigabyte or a GPU, in one
// Tasks that use less of a GPU do not tell what a GPU needs beside it.
constexpr AmountUnits kMinGpuShare = plan::kUnitsPerWhole / kThousandths;

// Rounded up, so that what is reserved for GPU jobs is never too small for them.
std::int64_t thousandths_per_gpu(AmountUnits amount, AmountUnits gpus) {
  return static_cast<std::int64_t>((amount * kThousandths + gpus - 1) / gpus);
}

// The part of `amount` that is not reserved for the machine's GPUs. Everything is reserved until a GPU job was seen.
AmountUnits without_reserve(AmountUnits amount, std::int64_t thousandths_per_gpu, AmountUnits gpus) {
  if (thousandths_per_gpu <= 0) return 0;
  return std::max<AmountUnits>(0, amount - thousandths_per_gpu * gpus / kThousandths);
}

}  // namespace

void DemandEstimator::record_job(const wire::JobSpec& spec, const ResourceAmounts& each, plan::Instant submitted) {
  ClassDemand& demand = classes_[spec.job_class];
  demand.sample = spec;
  demand.arrivals.emplace_back(submitted, spec.tasks);
  // expected_tasks() is never called for most classes, so old arrivals have to be dropped here.
  while (demand.arrivals.front().first < submitted - constants::kDemandWindow) demand.arrivals.pop_front();
  sizes_.record_job(spec.job_class, spec.tasks, submitted);
  if (each.values[1] < kMinGpuShare) return;
  usage_per_gpu_.cpus = std::max(usage_per_gpu_.cpus, thousandths_per_gpu(each.values[0], each.values[1]));
  usage_per_gpu_.ram_gb = std::max(usage_per_gpu_.ram_gb, thousandths_per_gpu(each.values[2], each.values[1]));
}

void DemandEstimator::record_gpu_counts(AmountUnits wanted, AmountUnits available, plan::Instant now) {
  while (!gpu_peaks_.empty() && gpu_peaks_.back().second <= wanted) gpu_peaks_.pop_back();
  gpu_peaks_.emplace_back(now, wanted);
  while (gpu_peaks_.front().first < now - constants::kGpuDemandWindow) gpu_peaks_.pop_front();
  unclaimed_gpus_ = std::max<AmountUnits>(0, available - gpu_peaks_.front().second);
}

// Keeps cores free for jobs that request GPUs (PAPER 5.4, "expensive resources").
ResourceAmounts DemandEstimator::usable_capacity(const wire::JobSpec& spec, const wire::MachineType& type,
                                                 const std::vector<wire::MachineType>& types) const {
  ResourceAmounts amounts = capacity_of(type);
  if (spec.gpus > 0 || type.gpus <= 0) return amounts;
  const bool fits_without_gpus = std::ranges::any_of(types, [&](const wire::MachineType& other) {
    return other.gpus <= 0 && is_type_allowed(spec, other.name) &&
           ResourceAmounts::from(spec.cpus, 0, spec.ram_gb).fits_in(ResourceAmounts::from(other.cpus, 0, other.ram_gb));
  });
  if (!fits_without_gpus) return amounts;  // the job can only run on machines with GPUs
  const AmountUnits gpus = amounts.values[1];
  amounts.values[0] = without_reserve(amounts.values[0], usage_per_gpu_.cpus, gpus);
  amounts.values[2] = without_reserve(amounts.values[2], usage_per_gpu_.ram_gb, gpus);
  return amounts;
}

std::int64_t DemandEstimator::expected_tasks(const std::string& job_class, double cover_s, plan::Instant now) {
  const auto entry = classes_.find(job_class);
  if (entry == classes_.end()) return 0;
  auto& arrivals = entry->second.arrivals;
  const plan::Instant window_start = now - constants::kDemandWindow;
  while (!arrivals.empty() && arrivals.front().first < window_start) arrivals.pop_front();
  if (arrivals.empty()) return 0;
  double tasks = 0;
  for (const auto& [unused, count] : arrivals) tasks += count;
  const double window_s = std::chrono::duration<double>(constants::kDemandWindow).count();
  const double jobs = static_cast<double>(arrivals.size()) / window_s * cover_s;
  const double mean = tasks / static_cast<double>(arrivals.size());
  // Arrivals are modelled as a Poisson process: the estimate is the mean plus kReserveDeviations standard deviations.
  return static_cast<std::int64_t>(std::ceil((jobs + constants::kReserveDeviations * std::sqrt(jobs)) * mean));
}

// ---- hints of a standby controller ----

void DemandEstimator::apply_largest_job_hint(const std::string& job_class, std::uint32_t tasks, plan::Instant now) {
  sizes_.record_job(job_class, tasks, now);
}

void DemandEstimator::apply_sample_hint(const wire::JobSpec& sample) {
  if (classes_.size() < constants::kMaxTrackedClasses && !classes_.contains(sample.job_class)) {
    classes_[sample.job_class].sample = sample;
  }
}

void DemandEstimator::apply_arrivals_hint(const std::string& job_class, Arrivals before, plan::Instant taken_at) {
  const auto entry = classes_.find(job_class);
  if (entry == classes_.end()) return;
  for (const auto& arrival : entry->second.arrivals) {
    if (arrival.first > taken_at) before.push_back(arrival);
  }
  entry->second.arrivals = std::move(before);
}

void DemandEstimator::apply_gpu_hint(const GpuPeaks& peaks, const UsagePerGpu& usage_per_gpu) {
  GpuPeaks merged;
  for (const GpuPeaks* source : {&peaks, static_cast<const GpuPeaks*>(&gpu_peaks_)}) {
    for (const auto& [when, items] : *source) {
      while (!merged.empty() && merged.back().second <= items) merged.pop_back();
      merged.emplace_back(when, items);
    }
  }
  gpu_peaks_ = std::move(merged);
  usage_per_gpu_.cpus = std::max(usage_per_gpu_.cpus, usage_per_gpu.cpus);
  usage_per_gpu_.ram_gb = std::max(usage_per_gpu_.ram_gb, usage_per_gpu.ram_gb);
}

}  // namespace foxshunt::control
