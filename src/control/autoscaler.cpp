#include "control/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

Autoscaler Autoscaler::successor() const {
  Autoscaler next;
  next.capacity_ = capacity_.refusals();
  return next;
}

void Autoscaler::learn_gpu_demand(const ClusterState& cluster, Instant now) {
  plan::Items wanted = 0;
  for (const auto& [unused, job] : cluster.jobs) {
    if (!job.cancelled) wanted += job.each.of[1] * (job.spec.tasks - job.done_count);
  }
  plan::Items there = 0;
  for (const auto& [unused, machine] : cluster.machines) {
    if (machine.plan_node == nullptr || (machine.state != MachineState::booting && !cluster.usable(machine, now)))
      continue;
    there += machine.plan_node->info.capacity.of[1];
  }
  demand_.learn_gpus(wanted, there, now);
}

// How many more tasks of the class could start on machines that are up or booting. The cheapest of these that
// make up the reserve are kept.
std::int64_t Autoscaler::spare_capacity(const ClusterState& cluster, const wire::JobSpec& spec, std::int64_t reserve,
                                        Instant now) {
  struct Spare {
    double price;
    MachineId machine;
    std::int64_t fit;
  };
  const Amounts each = task_amounts(spec);
  std::vector<Spare> found;
  for (const auto& [id, machine] : cluster.machines) {
    if (machine.state != MachineState::booting && !cluster.usable(machine, now)) continue;
    const wire::MachineType* kind = cluster.type(machine.type);
    if (kind == nullptr || machine.plan_node == nullptr ||
        !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      continue;
    if (each.count_in(pricing(cluster).offered(spec, *kind)) <= 0) continue;
    if (!cluster.pools.allows(spec, from_seconds(spec.estimate_s), Millis(0), id)) continue;
    const Instant from = std::max(now, machine.ready);
    const std::int64_t fit = each.count_in(machine.plan_node->use.free(from, from + constants::kStartTimeout));
    if (fit <= 0) continue;
    const double hourly = hourly_price(*kind, machine.spot);
    found.push_back({.price = hourly / static_cast<double>(fit), .machine = id, .fit = fit});
  }
  std::ranges::sort(found, {}, [](const Spare& spare) { return std::tie(spare.price, spare.machine); });
  std::int64_t total = 0;
  for (const Spare& spare : found) {
    if (total < reserve) spare_machines_.insert(spare.machine);
    total += spare.fit;
  }
  return total;
}

std::int64_t Autoscaler::wanted_spare_capacity(const ClusterState& cluster, const std::string& job_class,
                                               const wire::JobSpec& sample, Instant now) {
  const Amounts each = task_amounts(sample);
  double boot_s = 0;
  for (const wire::MachineType& kind : cluster.types) {
    if (each.count_in(pricing(cluster).offered(sample, kind)) > 0)
      boot_s = boot_s == 0 ? kind.boot_s : std::min(boot_s, kind.boot_s);
  }
  return demand_.expected(job_class, boot_s * constants::kBootSlackFactor + cluster.settings.heartbeat_interval_s, now);
}

std::optional<CloudOffers::Offer> Autoscaler::offer_for_late(const CloudOffers& offers, const ClusterState& cluster,
                                                             const Job& job, const DeadlinePlanner& deadlines,
                                                             std::uint32_t late, Instant now) const {
  if (job.overdue_tasks > 0) {
    // A kind that boots later than the work has to begin is no use, however cheap.
    auto in_time =
        offers.cheapest(job.spec, late, constants::kMaxLatePriceFactor, deadlines.max_startup_for_deadline(job, now));
    if (in_time || job.late_tasks == 0) return in_time;
  }
  // As long as a deadline leaves time for another boot, what is dear can wait for what is cheap to become free.
  const bool patient =
      deadlines.scale_out_delay(job, now) > pricing(cluster).longest_boot(job.spec) * constants::kBootSlackFactor;
  return offers.cheapest(job.spec, late, patient ? constants::kMaxPatientPriceFactor : constants::kMaxLatePriceFactor);
}

void Autoscaler::add_late_work(const CloudOffers& offers, const ClusterState& cluster, const std::vector<Job*>& queue,
                               const DeadlinePlanner& deadlines, MachineShares& shares, Instant now) {
  for (const Job* job : queue) {
    std::uint32_t late = std::max(job->late_tasks, job->overdue_tasks);
    // No more than the team's limit lets run at once.
    while (late > 0 && !quota_for(cluster, *job, late)) --late;
    if (late == 0) continue;
    const auto offer = offer_for_late(offers, cluster, *job, deadlines, late, now);
    if (offer) shares[offer->key] += static_cast<double>(late) / static_cast<double>(offer->fit);
  }
}

void Autoscaler::add_reserves(const CloudOffers& offers, const ClusterState& cluster, MachineShares& shares,
                              Instant now) {
  for (const auto& [name, demand] : demand_.classes()) {
    if (!pricing(cluster).is_urgent_class(name, demand.sample)) continue;
    const std::int64_t reserve = wanted_spare_capacity(cluster, name, demand.sample, now);
    if (reserve == 0) continue;
    const std::int64_t missing = reserve - spare_capacity(cluster, demand.sample, reserve, now);
    if (missing <= 0) continue;
    const auto offer = offers.cheapest(demand.sample, missing, constants::kMaxReservePriceFactor);
    if (offer) shares[offer->key] += static_cast<double>(missing) / static_cast<double>(offer->fit);
  }
}

void Autoscaler::want_nothing() {
  spare_machines_.clear();
  capacity_.want({});
}

void Autoscaler::size_fleet(const ClusterState& cluster, const std::vector<Job*>& queue,
                            const DeadlinePlanner& deadlines, Instant now) {
  spare_machines_.clear();
  const CloudCapacityTracker::Held have = cluster.machines.count_by_kind();
  const TaskPricing prices = pricing(cluster);
  const CloudOffers offers(cluster, prices, capacity_, have, now);
  MachineShares shares;
  add_late_work(offers, cluster, queue, deadlines, shares, now);
  add_reserves(offers, cluster, shares, now);
  CloudCapacityTracker::Wanted wanted;
  for (const auto& [key, share] : shares) wanted[key] = static_cast<std::uint64_t>(std::ceil(share));
  capacity_.want(std::move(wanted));
}

std::optional<wire::ScaleOutRequest> Autoscaler::next_scale_out(const ClusterState& cluster, Term term, Instant now) {
  if (!cluster.settings.operators.can_scale_out) return std::nullopt;
  if (const auto& request = capacity_.next(term, cluster.machines.count_by_kind(), now)) return request;
  // Pools come after live work.
  capacity_.ask(cluster.pools.next_request());
  return capacity_.next(term, {}, now);
}

void Autoscaler::on_scaled_out(ClusterState& cluster, const wire::ScaleOutRequest& request,
                               const std::vector<MachineId>& rented, Instant now) {
  if (!capacity_.answered(request)) return;
  cluster.pools.answered(request, rented);
  const wire::MachineType* kind = cluster.type(request.type);
  for (const MachineId& id : rented) {
    Machine& machine = cluster.know_machine(id, now);
    if (machine.has_reported) continue;
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    machine.since = now;
    machine.ready = now + from_seconds(kind == nullptr ? 0 : kind->boot_s);
    cluster.refresh_plan_machine(machine);
  }
  if (rented.size() < request.count) {
    note_refusal(cluster, request, now);
  } else {
    capacity_.given({request.type, request.zone, request.spot});
  }
  spdlog::info("rented {} of {} {} in {}{}", rented.size(), request.count, request.type, request.zone,
               request.spot ? ", spot" : "");
  cluster.plan_wanted = true;
}

void Autoscaler::on_scale_out_refused(ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now) {
  if (!capacity_.answered(request)) return;
  cluster.pools.answered(request, {});
  note_refusal(cluster, request, now);
  cluster.plan_wanted = true;
}

void Autoscaler::note_refusal(const ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now) {
  const CloudCapacityTracker::Kind kind{request.type, request.zone, request.spot};
  const std::size_t held_now = cluster.machines.count_by_kind()[kind];
  const Millis pause = capacity_.refused(kind, held_now, now);
  spdlog::info("no more {} in {}{} to rent, {} are held; asked again after {:.0f} s", request.type, request.zone,
               request.spot ? ", spot" : "", held_now, to_seconds(pause));
}

bool Autoscaler::cloud_wanted(const ClusterState& cluster) const {
  return capacity_.wanted() || cluster.pools.next_request() ||
         std::ranges::any_of(cluster.machines,
                             [](const auto& entry) { return entry.second.state == MachineState::returning; });
}

std::vector<MachineId> Autoscaler::next_scale_in(const ClusterState& cluster) {
  std::vector<MachineId> names;
  for (const auto& [id, machine] : cluster.machines) {
    if (machine.state == MachineState::returning && names.size() < constants::kMaxScaleInNames) names.push_back(id);
  }
  return names;
}

}  // namespace foxshunt::control
