#include "control/machine_filter.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"

namespace foxshunt::control {

bool MachineFilter::do_pools_allow(const Job& job, std::optional<std::size_t> warms, const Machine& machine,
                                   Instant now) const {
  if (!cluster_.pools.on()) return true;
  if (warms) {
    return cluster_.pools.lacks(*warms, machine.id, job.spec.image) &&
           std::ranges::none_of(machine.allocations, [&](const TaskKey& key) {
             return cluster_.jobs.at(key.job).spec.image == job.spec.image;
           });
  }
  // A service's replicas don't end: that one runs gives the others no room.
  const bool stuck = job.allocation_count == 0 || is_service(job);
  return cluster_.pools.allows(job.spec, estimate(job), stuck ? now - job.submitted : Millis(0), machine.id);
}

// What a machine's type alone decides of a job.
struct MachineFilter::TypeFit {
  const wire::MachineType* type;
  bool allowed;
  bool guards_gpus;  // plain work leaves the room beside its GPUs
  Amounts offered;
  Millis fetch;
};

std::vector<MachineFilter::TypeFit> MachineFilter::type_fits(const Job& job) const {
  std::vector<TypeFit> fits;
  for (const wire::MachineType& type : cluster_.types) {
    fits.push_back({.type = &type,
                    .allowed = is_type_allowed(job.spec, type.name),
                    .guards_gpus = job.spec.gpus <= 0 && type.gpus > 0,
                    .offered = pricing_.offered(job.spec, type),
                    .fetch = cluster_.fetch_time(job.spec, type.name)});
  }
  return fits;
}

// Apart from its type and from what runs there.
bool MachineFilter::may_plan_on(const Job& job, const Machine& machine, Instant now) const {
  if (machine.plan_node == nullptr || (machine.spot && !job.spec.spot)) return false;
  const bool available =
      machine.state == MachineState::booting ? cluster_.counted_on(machine.zone) : cluster_.usable(machine, now);
  return available && (job.spec.zone.empty() || job.spec.zone == machine.zone);
}

// Whether a job without GPUs leaves a GPU machine the room that GPU work needs beside it. Where it takes the machine as a
// whole, the machine's GPUs are taken from the spare ones.
bool MachineFilter::leaves_gpu_room(const Job& job, const Machine& machine, const Amounts& offered,
                                    plan::Items& spare_gpus) const {
  Amounts plain = job.each;
  Amounts gpu_work;
  for (const TaskKey& key : machine.allocations) {
    const Job& other = cluster_.jobs.at(key.job);
    (other.spec.gpus <= 0 ? plain : gpu_work) += other.each;
  }
  if (plain.fits(offered)) return true;
  const plan::Items gpus = machine.plan_node->info.capacity.of[1];
  if (gpu_work.of[1] > 0 || spare_gpus < gpus) return false;
  spare_gpus -= gpus;
  return true;
}

// What the machine has to do before a task of the job runs there: boot, and fetch the image.
Millis MachineFilter::preparation_time(const Job& job, const Machine& machine, Millis fetch, Instant now) const {
  if (machine.state == MachineState::booting && machine.ready < now)
    return fetch + pricing_.remaining_boot(machine, now);
  if (machine.images.contains(job.spec.image)) return Millis(0);
  // Of two that have to fetch it, the one that is to hold it anyway.
  if (fetch > Millis(0) && cluster_.pools.wants(machine.id, job.spec.image))
    return fetch - std::min(fetch, constants::kWarmFirst);
  return fetch;
}

// Where the job may run at all, and what each machine has to do before it does.
std::vector<plan::Place> MachineFilter::places_for(const Job& job, Instant now) const {
  const std::vector<TypeFit> fits = type_fits(job);
  const std::optional<std::size_t> warms = cluster_.pools.warms(job.spec, now - job.submitted);
  plan::Items spare_gpus = demand_.gpus_spare();
  std::vector<plan::Place> places;
  const TypeFit* fit = nullptr;  // of the machine before, which mostly is of the same type
  for (const auto& [id, machine] : cluster_.machines) {
    if (!may_plan_on(job, machine, now)) continue;
    if (fit == nullptr || fit->type->name != machine.type) {
      const auto found = std::ranges::find(fits, machine.type, [](const TypeFit& one) { return one.type->name; });
      if (found == fits.end()) continue;
      fit = &*found;
    }
    if (!fit->allowed || job.failed_on.contains(id) || !do_pools_allow(job, warms, machine, now)) continue;
    if (fit->guards_gpus && !leaves_gpu_room(job, machine, fit->offered, spare_gpus)) continue;
    places.push_back({.node = machine.plan_node, .before = preparation_time(job, machine, fit->fetch, now)});
  }
  return places;
}

}  // namespace foxshunt::control
