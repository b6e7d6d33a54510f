#include "control/task_pricing.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

ResourceAmounts TaskPricing::usable_capacity(const wire::JobSpec& spec, const wire::MachineType& type) const {
  return demand_.usable_capacity(spec, type, cluster_.machine_types);
}

// Uses the longest boot time because the kind that will be rented is not known yet. With a shorter one, tasks that wait
// for a slow kind would rent more machines in every pass until the cloud has none left.
Millis TaskPricing::max_boot_time(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double longest_s = 0;
  for (const wire::MachineType& type : cluster_.machine_types) {
    if (is_type_allowed(spec, type.name) && each.count_fitting_in(usable_capacity(spec, type)) > 0)
      longest_s = std::max(longest_s, type.boot_s);
  }
  return from_seconds(longest_s) + constants::kCloudCallTimeout;
}

// Most late boots finish soon after the expected time, so a quarter of the boot time is assumed to remain. A boot that
// has taken more than kBootSlackFactor times the boot time may never finish: it is assumed to take as long again, so
// that waiting for it is no longer worthwhile.
Millis TaskPricing::remaining_boot_time(const Machine& machine, Instant now) const {
  const wire::MachineType* type = cluster_.find_machine_type(machine.type);
  const Millis boot = from_seconds(type == nullptr ? 0 : type->boot_s);
  const Millis elapsed = now - machine.since;
  return elapsed < boot * constants::kBootSlackFactor ? boot / 4 : elapsed;
}

double TaskPricing::shortest_startup_s(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double shortest_s = 0;
  for (const wire::MachineType& type : cluster_.machine_types) {
    if (each.count_fitting_in(usable_capacity(spec, type)) <= 0) continue;
    const double startup_s = type.boot_s * constants::kBootSlackFactor +
                             to_seconds(cluster_.image_fetch_duration(spec, type.name)) +
                             cluster_.settings.heartbeat_interval_s;
    shortest_s = shortest_s == 0 ? startup_s : std::min(shortest_s, startup_s);
  }
  return shortest_s;
}

bool TaskPricing::is_urgent_class(const std::string& job_class, const wire::JobSpec& sample) const {
  return std::ranges::any_of(cluster_.settings.objectives, [&](const config::Objective& objective) {
    if (objective.job_class != job_class || (objective.kind != "wait" && objective.kind != "finished")) return false;
    const double run_s = objective.kind == "finished" ? sample.estimate_s : 0;
    return objective.within_s - run_s < shortest_startup_s(sample);
  });
}

bool TaskPricing::serves_urgent_class(const Machine& machine) const {
  const wire::MachineType* type = cluster_.find_machine_type(machine.type);
  if (type == nullptr) return false;
  return std::ranges::any_of(demand_.classes(), [&](const auto& entry) {
    const wire::JobSpec& spec = entry.second.sample;
    if (!is_urgent_class(entry.first, spec) || !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      return false;
    const std::int64_t tasks_per_machine = task_amounts(spec).count_fitting_in(usable_capacity(spec, *type));
    const double hourly = hourly_price(*type, machine.spot);
    return tasks_per_machine > 0 && hourly / static_cast<double>(tasks_per_machine) <=
                                        constants::kMaxReservePriceFactor * lowest_task_price(spec);
  });
}

// The next arrival is unknown, as in the ski rental problem. Keeping a machine idle for as long as its next boot would
// take costs at most twice the optimum. Half of that time (kIdleShareOfBoot) cost less on the known deployments, where
// the next work mostly finds cheaper machines. Machines for classes whose objective leaves no time for a boot are kept
// longer.
Millis TaskPricing::max_idle_time(const Machine& machine) const {
  if (cluster_.settings.operators.idle_return_s > 0) return from_seconds(cluster_.settings.operators.idle_return_s);
  if (serves_urgent_class(machine)) return constants::kIdleBeforeScaleInUrgent;
  const wire::MachineType* type = cluster_.find_machine_type(machine.type);
  const double boot_s = type == nullptr ? 0 : type->boot_s;
  return std::max(constants::kMinIdleBeforeScaleIn, from_seconds(boot_s * constants::kIdleShareOfBoot));
}

double TaskPricing::lowest_task_price(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double lowest = 0;
  for (const wire::MachineType& type : cluster_.machine_types) {
    const std::int64_t tasks_per_machine = each.count_fitting_in(usable_capacity(spec, type));
    if (tasks_per_machine <= 0 || !is_type_allowed(spec, type.name)) continue;
    const double price =
        (spec.spot ? std::min(type.spot_price, type.price) : type.price) / static_cast<double>(tasks_per_machine);
    if (lowest == 0 || price < lowest) lowest = price;
  }
  return lowest;
}

}  // namespace foxshunt::control
