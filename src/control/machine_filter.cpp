#include "control/machine_filter.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"

namespace foxshunt::control {

bool MachineFilter::is_allowed_by_pools(const Job& job, std::optional<std::size_t> warmed_pool, const Machine& machine,
                                        Instant now) const {
  if (!cluster_.pools.on()) return true;
  if (warmed_pool) {
    return cluster_.pools.lacks(*warmed_pool, machine.id, job.spec.image) &&
           std::ranges::none_of(machine.allocations, [&](const TaskKey& key) {
             return cluster_.jobs.at(key.job).spec.image == job.spec.image;
           });
  }
  // Waiting time counts only if no running task of the job will free room for the others. Tasks of a service do not
  // end.
  const bool is_starved = job.allocation_count == 0 || is_service(job);
  return cluster_.pools.allows(job.spec, booking_duration(job), is_starved ? now - job.submitted : Millis(0),
                               machine.id);
}

// How one machine type suits a job, independently of the machine.
struct MachineFilter::TypeFit {
  const wire::MachineType* type;
  bool allowed;
  bool reserves_gpu_room;   // the type has GPUs and the job uses none: CPU and memory are kept for GPU work
  ResourceAmounts offered;  // the part of a machine's capacity that the job may use
  Millis image_fetch;
};

std::vector<MachineFilter::TypeFit> MachineFilter::evaluate_types(const Job& job) const {
  std::vector<TypeFit> fits;
  for (const wire::MachineType& type : cluster_.machine_types) {
    fits.push_back({.type = &type,
                    .allowed = is_type_allowed(job.spec, type.name),
                    .reserves_gpu_room = job.spec.gpus <= 0 && type.gpus > 0,
                    .offered = pricing_.usable_capacity(job.spec, type),
                    .image_fetch = cluster_.image_fetch_duration(job.spec, type.name)});
  }
  return fits;
}

bool MachineFilter::is_machine_eligible(const Job& job, const Machine& machine, Instant now) const {
  if (machine.plan_node == nullptr || (machine.spot && !job.spec.spot)) return false;
  if (machine.would_refuse(job.task_resources, now)) return false;
  return cluster_.is_plannable(machine, now) && (job.spec.zone.empty() || job.spec.zone == machine.zone);
}

bool MachineFilter::leaves_gpu_room(const Job& job, const Machine& machine, const ResourceAmounts& offered,
                                    plan::AmountUnits& spare_gpus) const {
  ResourceAmounts cpu_work = job.task_resources;
  ResourceAmounts gpu_work;
  for (const TaskKey& key : machine.allocations) {
    const Job& other = cluster_.jobs.at(key.job);
    (other.spec.gpus <= 0 ? cpu_work : gpu_work) += other.task_resources;
  }
  if (cpu_work.fits_in(offered)) return true;
  const plan::AmountUnits gpus = machine.plan_node->spec.capacity.values[1];
  if (gpu_work.values[1] > 0 || spare_gpus < gpus) return false;
  spare_gpus -= gpus;
  return true;
}

Millis MachineFilter::preparation_time(const Job& job, const Machine& machine, Millis image_fetch, Instant now) const {
  if (machine.state == MachineState::booting && machine.ready < now)
    return image_fetch + pricing_.remaining_boot_time(machine, now);
  if (machine.images.contains(job.spec.image)) return Millis(0);
  // Among machines that must fetch the image, those of a pool that wants it are preferred by kWarmFirst.
  if (image_fetch > Millis(0) && cluster_.pools.wants(machine.id, job.spec.image))
    return image_fetch - std::min(image_fetch, constants::kWarmFirst);
  return image_fetch;
}

std::vector<plan::EligibleMachine> MachineFilter::find_candidate_places(const Job& job, Instant now) const {
  const std::vector<TypeFit> fits = evaluate_types(job);
  const std::optional<std::size_t> warmed_pool = cluster_.pools.warms(job.spec, now - job.submitted);
  plan::AmountUnits spare_gpus = demand_.unclaimed_gpus();
  std::vector<plan::EligibleMachine> places;
  const TypeFit* fit = nullptr;  // of the previous machine, which usually has the same type
  for (const auto& [id, machine] : cluster_.machines) {
    if (!is_machine_eligible(job, machine, now)) continue;
    if (fit == nullptr || fit->type->name != machine.type) {
      const auto found =
          std::ranges::find(fits, machine.type, [](const TypeFit& candidate) { return candidate.type->name; });
      if (found == fits.end()) continue;
      fit = &*found;
    }
    if (!fit->allowed || job.failed_on.contains(id) || !is_allowed_by_pools(job, warmed_pool, machine, now)) continue;
    if (fit->reserves_gpu_room && !leaves_gpu_room(job, machine, fit->offered, spare_gpus)) continue;
    places.push_back(
        {.machine = machine.plan_node, .setup_time = preparation_time(job, machine, fit->image_fetch, now)});
  }
  return places;
}

}  // namespace foxshunt::control
