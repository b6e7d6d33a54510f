#include "control/cloud_offers.h"

#include <algorithm>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

std::optional<CloudOffers::Offer> CloudOffers::offer_of(const wire::MachineType& kind, const std::string& zone,
                                                        bool spot, const wire::JobSpec& spec,
                                                        std::int64_t tasks) const {
  if (!is_machine_allowed(spec, kind.name, zone, spot) || !cluster_.counted_on(zone)) return std::nullopt;
  CloudCapacityTracker::Kind key{kind.name, zone, spot};
  if (!capacity_.is_available(key, have_, now_)) return std::nullopt;
  // As a whole: a GPU machine that is rented for plain work is beyond what GPU work wants.
  const std::int64_t fit = task_amounts(spec).count_fitting_in(capacity_of(kind));
  const double hourly = hourly_price(kind, spot);
  return Offer{.key = std::move(key),
               .price = hourly / static_cast<double>(std::min(fit, tasks)),
               .full_price = hourly / static_cast<double>(fit),
               .fit = fit};
}

std::optional<CloudOffers::Offer> CloudOffers::cheapest(const wire::JobSpec& spec, std::int64_t tasks,
                                                        double max_price_ratio, Millis max_startup) const {
  const ResourceAmounts each = task_amounts(spec);
  std::optional<Offer> best;
  for (const wire::MachineType& kind : cluster_.types) {
    if (each.count_fitting_in(capacity_of(kind)) <= 0) continue;
    if (from_seconds(kind.boot_s) + constants::kCloudCallTimeout + cluster_.fetch_time(spec, kind.name) > max_startup)
      continue;
    for (const std::string& zone : kind.zones) {
      for (const bool spot : {true, false}) {
        auto offer = offer_of(kind, zone, spot, spec, tasks);
        if (offer && (!best || offer->price < best->price)) best = std::move(offer);
      }
    }
  }
  if (best && best->full_price > pricing_.lowest_price(spec) * max_price_ratio) return std::nullopt;
  return best;
}

}  // namespace foxshunt::control
