#include "control/task_pricing.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

ResourceAmounts TaskPricing::offered(const wire::JobSpec& spec, const wire::MachineType& kind) const {
  return demand_.offered(spec, kind, cluster_.types);
}

// The longest, as it isn't known yet which kind will be rented: a shorter one would have tasks that wait for a slow
// kind rent again in every pass until the cloud has no more.
Millis TaskPricing::longest_boot(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double longest_s = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    if (is_type_allowed(spec, kind.name) && each.count_fitting_in(offered(spec, kind)) > 0)
      longest_s = std::max(longest_s, kind.boot_s);
  }
  return from_seconds(longest_s) + constants::kCloudCallTimeout;
}

// What is left of a boot that is late. Most end soon after their time; one that is very late may never end, and is
// no longer worth waiting for once it has taken as long again.
Millis TaskPricing::remaining_boot(const Machine& machine, Instant now) const {
  const wire::MachineType* kind = cluster_.type(machine.type);
  const Millis boot = from_seconds(kind == nullptr ? 0 : kind->boot_s);
  const Millis taken = now - machine.since;
  return taken < boot * constants::kBootSlackFactor ? boot / 4 : taken;
}

// From the wish for a machine to a task that runs on it.
double TaskPricing::shortest_startup_s(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double cover_s = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    if (each.count_fitting_in(offered(spec, kind)) <= 0) continue;
    const double kind_s = kind.boot_s * constants::kBootSlackFactor + to_seconds(cluster_.fetch_time(spec, kind.name)) +
                          cluster_.settings.heartbeat_interval_s;
    cover_s = cover_s == 0 ? kind_s : std::min(cover_s, kind_s);
  }
  return cover_s;
}

bool TaskPricing::is_urgent_class(const std::string& job_class, const wire::JobSpec& sample) const {
  return std::ranges::any_of(cluster_.settings.objectives, [&](const config::Objective& objective) {
    if (objective.job_class != job_class || (objective.kind != "wait" && objective.kind != "finished")) return false;
    const double run_s = objective.kind == "finished" ? sample.estimate_s : 0;
    return objective.within_s - run_s < shortest_startup_s(sample);
  });
}

bool TaskPricing::serves_urgent_class(const Machine& machine) const {
  const wire::MachineType* kind = cluster_.type(machine.type);
  if (kind == nullptr) return false;
  return std::ranges::any_of(demand_.classes(), [&](const auto& entry) {
    const wire::JobSpec& spec = entry.second.sample;
    if (!is_urgent_class(entry.first, spec) || !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      return false;
    const std::int64_t fit = task_amounts(spec).count_fitting_in(offered(spec, *kind));
    const double hourly = hourly_price(*kind, machine.spot);
    return fit > 0 && hourly / static_cast<double>(fit) <= constants::kMaxReservePriceFactor * lowest_price(spec);
  });
}

// How long a machine is kept idle. What will come is not known. Keeping it for as long as booting it again would
// take costs at most twice the least possible, as with hired skis; half of that cost less on the deployments known,
// where the next work mostly finds cheaper machines. Where an aim leaves no time for a boot, it is kept for longer.
Millis TaskPricing::max_idle(const Machine& machine) const {
  if (cluster_.settings.operators.idle_return_s > 0) return from_seconds(cluster_.settings.operators.idle_return_s);
  if (serves_urgent_class(machine)) return constants::kIdleBeforeScaleInUrgent;
  const wire::MachineType* kind = cluster_.type(machine.type);
  const double boot_s = kind == nullptr ? 0 : kind->boot_s;
  return std::max(constants::kMinIdleBeforeScaleIn, from_seconds(boot_s * constants::kIdleShareOfBoot));
}

double TaskPricing::lowest_price(const wire::JobSpec& spec) const {
  const ResourceAmounts each = task_amounts(spec);
  double least = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    const std::int64_t fit = each.count_fitting_in(offered(spec, kind));
    if (fit <= 0 || !is_type_allowed(spec, kind.name)) continue;
    const double price = (spec.spot ? std::min(kind.spot_price, kind.price) : kind.price) / static_cast<double>(fit);
    if (least == 0 || price < least) least = price;
  }
  return least;
}

}  // namespace foxshunt::control
