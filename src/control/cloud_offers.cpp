#include "control/cloud_offers.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

std::optional<CloudOffers::Offer> CloudOffers::make_offer(const wire::MachineType& type, const std::string& zone,
                                                          bool spot, const wire::JobSpec& spec,
                                                          std::int64_t tasks) const {
  if (!is_machine_allowed(spec, type.name, zone, spot) || !cluster_.can_rent_in_zone(zone)) return std::nullopt;
  CloudCapacityTracker::Kind kind{type.name, zone, spot};
  if (!capacity_.is_available(kind, held_, now_)) return std::nullopt;
  // Uses the full capacity, with nothing reserved for GPU jobs: a GPU machine that is rented for other work exceeds the
  // demand of GPU jobs.
  const std::int64_t tasks_per_machine = task_amounts(spec).count_fitting_in(capacity_of(type));
  const double hourly = hourly_price(type, spot);
  return Offer{.kind = std::move(kind),
               .price_per_task = hourly / static_cast<double>(std::min(tasks_per_machine, tasks)),
               .price_per_task_when_full = hourly / static_cast<double>(tasks_per_machine),
               .tasks_per_machine = tasks_per_machine};
}

std::optional<CloudOffers::Offer> CloudOffers::find_cheapest(const wire::JobSpec& spec, std::int64_t tasks,
                                                             double max_price_ratio, Millis max_startup) const {
  const ResourceAmounts each = task_amounts(spec);
  std::optional<Offer> best;
  for (const wire::MachineType& type : cluster_.machine_types) {
    if (each.count_fitting_in(capacity_of(type)) <= 0) continue;
    if (from_seconds(type.boot_s) + constants::kCloudCallTimeout + cluster_.image_fetch_duration(spec, type.name) >
        max_startup)
      continue;
    for (const std::string& zone : type.zones) {
      for (const bool spot : {true, false}) {
        auto offer = make_offer(type, zone, spot, spec, tasks);
        if (offer && (!best || offer->price_per_task < best->price_per_task)) best = std::move(offer);
      }
    }
  }
  if (best && best->price_per_task_when_full > pricing_.lowest_task_price(spec) * max_price_ratio) return std::nullopt;
  return best;
}

}  // namespace foxshunt::control
