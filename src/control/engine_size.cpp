// How many machines, of which kinds: for tasks that would wait too long, and as a reserve for classes whose
// objectives leave no time for a boot.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "config/constants.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

namespace {

double hourly_price(const wire::MachineType& kind, bool spot) { return spot ? kind.spot_price : kind.price; }

}  // namespace

void Engine::learn_gpu_demand(Instant now) {
  plan::Items wanted = 0;
  for (const auto& [unused, job] : cluster_.jobs) {
    if (!job.withdrawn) wanted += job.each.of[1] * (job.spec.tasks - job.done_count);
  }
  plan::Items there = 0;
  for (const auto& [unused, machine] : cluster_.machines) {
    if (machine.planned == nullptr || (machine.state != MachineState::booting && !cluster_.usable(machine, now)))
      continue;
    there += machine.planned->info.capacity.of[1];
  }
  demand_.learn_gpus(wanted, there, now);
}

Amounts Engine::offered(const wire::JobSpec& spec, const wire::MachineType& kind) const {
  return demand_.offered(spec, kind, cluster_.types);
}

// The longest, as it isn't known yet which kind will be rented: a shorter one would have tasks that wait for a slow
// kind rent again in every pass until the cloud has no more.
Millis Engine::boot_awaited(const wire::JobSpec& spec) const {
  const Amounts each = task_amounts(spec);
  double longest_s = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    if (is_type_allowed(spec, kind.name) && each.count_in(offered(spec, kind)) > 0)
      longest_s = std::max(longest_s, kind.boot_s);
  }
  return from_seconds(longest_s) + constants::kCloudCallLimit;
}

// What is left of a boot that is late. Most end soon after their time; one that is very late may never end, and is
// no longer worth waiting for once it has taken as long again.
Millis Engine::boot_left(const Machine& machine, Instant now) const {
  const wire::MachineType* kind = cluster_.type(machine.type);
  const Millis boot = from_seconds(kind == nullptr ? 0 : kind->boot_s);
  const Millis taken = now - machine.since;
  return taken < boot * constants::kBootSlack ? boot / 4 : taken;
}

// From the wish for a machine to a task that runs on it.
double Engine::boot_cover_s(const wire::JobSpec& spec) const {
  const Amounts each = task_amounts(spec);
  double cover_s = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    if (each.count_in(offered(spec, kind)) <= 0) continue;
    const double kind_s = kind.boot_s * constants::kBootSlack + to_seconds(cluster_.fetch_time(spec, kind.name)) +
                          cluster_.settings.report_s;
    cover_s = cover_s == 0 ? kind_s : std::min(cover_s, kind_s);
  }
  return cover_s;
}

bool Engine::urgent_class(const std::string& job_class, const wire::JobSpec& sample) const {
  return std::ranges::any_of(cluster_.settings.objectives, [&](const config::Objective& objective) {
    if (objective.job_class != job_class || (objective.kind != "wait" && objective.kind != "finished")) return false;
    const double run_s = objective.kind == "finished" ? sample.estimate_s : 0;
    return objective.within_s - run_s < boot_cover_s(sample);
  });
}

bool Engine::serves_urgent(const Machine& machine) const {
  const wire::MachineType* kind = cluster_.type(machine.type);
  if (kind == nullptr) return false;
  return std::ranges::any_of(demand_.classes(), [&](const auto& entry) {
    const wire::JobSpec& spec = entry.second.sample;
    if (!urgent_class(entry.first, spec) || !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      return false;
    const std::int64_t fit = task_amounts(spec).count_in(offered(spec, *kind));
    const double hourly = hourly_price(*kind, machine.spot);
    return fit > 0 && hourly / static_cast<double>(fit) <= constants::kReservePriceMost * least_price(spec);
  });
}

// How long a machine is kept idle. What will come is not known. Keeping it for as long as booting it again would
// take costs at most twice the least possible, as with hired skis; half of that cost less on the deployments known,
// where the next work mostly finds cheaper machines. Where an aim leaves no time for a boot, it is kept for longer.
Millis Engine::idle_most(const Machine& machine) const {
  if (cluster_.settings.operators.idle_return_s > 0) return from_seconds(cluster_.settings.operators.idle_return_s);
  if (serves_urgent(machine)) return constants::kReturnIdleUrgent;
  const wire::MachineType* kind = cluster_.type(machine.type);
  const double boot_s = kind == nullptr ? 0 : kind->boot_s;
  return std::max(constants::kReturnIdleLeast, from_seconds(boot_s * constants::kIdlePerBoot));
}

double Engine::least_price(const wire::JobSpec& spec) const {
  const Amounts each = task_amounts(spec);
  double least = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    const std::int64_t fit = each.count_in(offered(spec, kind));
    if (fit <= 0 || !is_type_allowed(spec, kind.name)) continue;
    const double price = (spec.spot ? std::min(kind.spot_price, kind.price) : kind.price) / static_cast<double>(fit);
    if (least == 0 || price < least) least = price;
  }
  return least;
}

Millis Engine::rental_delay(const Job& job, Instant now) const {
  // How long its tasks may wait from now on before machines are rented for them.
  if (job.spec.deadline_s) {
    Instant by = job.submitted + from_seconds(*job.spec.deadline_s);
    if (const auto due = dues_.find(job.spec.id); due != dues_.end()) by = std::min(by, due->second.by);
    const Instant latest = by - estimate(job) * 3 / 2;
    return std::max(Millis(0), latest - now);
  }
  return Millis(0);
}

std::optional<Engine::Offer> Engine::offer_of(const wire::MachineType& kind, const std::string& zone, bool spot,
                                              const wire::JobSpec& spec, std::int64_t tasks, const Supply::Held& have,
                                              Instant now) const {
  if (!is_machine_allowed(spec, kind.name, zone, spot) || !cluster_.counted_on(zone)) return std::nullopt;
  Supply::Kind key{kind.name, zone, spot};
  if (!supply_.on_offer(key, have, now)) return std::nullopt;
  // As a whole: a GPU machine that is rented for plain work is beyond what GPU work wants.
  const std::int64_t fit = task_amounts(spec).count_in(capacity_of(kind));
  const double hourly = hourly_price(kind, spot);
  return Offer{.key = std::move(key),
               .price = hourly / static_cast<double>(std::min(fit, tasks)),
               .full_price = hourly / static_cast<double>(fit),
               .fit = fit};
}

std::optional<Engine::Offer> Engine::cheapest(const wire::JobSpec& spec, std::int64_t tasks, double ratio_most,
                                              const Supply::Held& have, Instant now, Millis ready_most) const {
  const Amounts each = task_amounts(spec);
  std::optional<Offer> best;
  for (const wire::MachineType& kind : cluster_.types) {
    if (each.count_in(capacity_of(kind)) <= 0) continue;
    if (from_seconds(kind.boot_s) + constants::kCloudCallLimit + cluster_.fetch_time(spec, kind.name) > ready_most)
      continue;
    for (const std::string& zone : kind.zones) {
      for (const bool spot : {true, false}) {
        auto offer = offer_of(kind, zone, spot, spec, tasks, have, now);
        if (offer && (!best || offer->price < best->price)) best = std::move(offer);
      }
    }
  }
  if (best && best->full_price > least_price(spec) * ratio_most) return std::nullopt;
  return best;
}

// How many more tasks of the class could start on machines that are up or booting. The cheapest of these that
// make up the reserve are kept.
std::int64_t Engine::spare_for(const wire::JobSpec& spec, std::int64_t reserve, Instant now) {
  struct Spare {
    double price;
    MachineId machine;
    std::int64_t fit;
  };
  const Amounts each = task_amounts(spec);
  std::vector<Spare> found;
  for (const auto& [id, machine] : cluster_.machines) {
    if (machine.state != MachineState::booting && !cluster_.usable(machine, now)) continue;
    const wire::MachineType* kind = cluster_.type(machine.type);
    if (kind == nullptr || machine.planned == nullptr ||
        !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      continue;
    if (each.count_in(offered(spec, *kind)) <= 0) continue;
    if (!cluster_.pools.allows(spec, from_seconds(spec.estimate_s), Millis(0), id)) continue;
    const Instant from = std::max(now, machine.ready);
    const std::int64_t fit = each.count_in(machine.planned->use.free(from, from + constants::kAllocationLimit));
    if (fit <= 0) continue;
    const double hourly = hourly_price(*kind, machine.spot);
    found.push_back({.price = hourly / static_cast<double>(fit), .machine = id, .fit = fit});
  }
  std::ranges::sort(found, {}, [](const Spare& spare) { return std::tie(spare.price, spare.machine); });
  std::int64_t total = 0;
  for (const Spare& spare : found) {
    if (total < reserve) reserve_.insert(spare.machine);
    total += spare.fit;
  }
  return total;
}

std::int64_t Engine::reserve_for(const std::string& job_class, const wire::JobSpec& sample, Instant now) {
  const Amounts each = task_amounts(sample);
  double boot_s = 0;
  for (const wire::MachineType& kind : cluster_.types) {
    if (each.count_in(offered(sample, kind)) > 0) boot_s = boot_s == 0 ? kind.boot_s : std::min(boot_s, kind.boot_s);
  }
  return demand_.expected(job_class, boot_s * constants::kBootSlack + cluster_.settings.report_s, now);
}

std::optional<Engine::Offer> Engine::offer_for_late(const Job& job, std::uint32_t late, const Supply::Held& have,
                                                    Instant now) const {
  if (job.overdue_tasks > 0) {
    // A kind that boots later than the work has to begin is no use, however cheap.
    auto in_time = cheapest(job.spec, late, constants::kLatePriceMost, have, now, time_to_rent(job, now));
    if (in_time || job.late_tasks == 0) return in_time;
  }
  // As long as a deadline leaves time for another boot, what is dear can wait for what is cheap to become free.
  const bool patient = rental_delay(job, now) > boot_awaited(job.spec) * constants::kBootSlack;
  return cheapest(job.spec, late, patient ? constants::kPatientPriceMost : constants::kLatePriceMost, have, now);
}

void Engine::add_late_work(MachineShares& shares, const Supply::Held& have, Instant now) {
  for (const Job* job : planning_order(now)) {
    std::uint32_t late = std::max(job->late_tasks, job->overdue_tasks);
    // No more than the team's limit lets run at once.
    while (late > 0 && !quota_for(cluster_, *job, late)) --late;
    if (late == 0) continue;
    const std::optional<Offer> offer = offer_for_late(*job, late, have, now);
    if (offer) shares[offer->key] += static_cast<double>(late) / static_cast<double>(offer->fit);
  }
}

void Engine::add_reserves(MachineShares& shares, const Supply::Held& have, Instant now) {
  for (const auto& [name, demand] : demand_.classes()) {
    if (!urgent_class(name, demand.sample)) continue;
    const std::int64_t reserve = reserve_for(name, demand.sample, now);
    if (reserve == 0) continue;
    const std::int64_t missing = reserve - spare_for(demand.sample, reserve, now);
    if (missing <= 0) continue;
    const auto offer = cheapest(demand.sample, missing, constants::kReservePriceMost, have, now);
    if (offer) shares[offer->key] += static_cast<double>(missing) / static_cast<double>(offer->fit);
  }
}

void Engine::size_fleet(Instant now) {
  reserve_.clear();
  if (cluster_.types.empty()) return supply_.want({});
  const Supply::Held have = cluster_.machines.held();
  MachineShares shares;
  add_late_work(shares, have, now);
  add_reserves(shares, have, now);
  Supply::Wanted wanted;
  for (const auto& [key, share] : shares) wanted[key] = static_cast<std::uint64_t>(std::ceil(share));
  supply_.want(std::move(wanted));
}

}  // namespace foxshunt::control
