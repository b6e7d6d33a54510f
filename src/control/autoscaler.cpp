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
  next.capacity_ = capacity_.successor();
  return next;
}

void Autoscaler::record_gpu_demand(const ClusterState& cluster, Instant now) {
  plan::AmountUnits wanted = 0;
  for (const auto& [unused, job] : cluster.jobs) {
    if (!job.cancelled) wanted += job.task_resources.values[1] * (job.spec.tasks - job.done_count);
  }
  plan::AmountUnits available = 0;
  for (const auto& [unused, machine] : cluster.machines) {
    if (machine.plan_node == nullptr || !cluster.is_plannable(machine, now)) continue;
    available += machine.plan_node->spec.capacity.values[1];
  }
  demand_.record_gpu_counts(wanted, available, now);
}

std::int64_t Autoscaler::spare_capacity(const ClusterState& cluster, const wire::JobSpec& spec, std::int64_t reserve,
                                        Instant now) {
  struct Spare {
    double price;
    MachineId machine;
    std::int64_t fitting_tasks;
  };
  const ResourceAmounts each = task_amounts(spec);
  std::vector<Spare> candidates;
  for (const auto& [id, machine] : cluster.machines) {
    if (!cluster.is_plannable(machine, now)) continue;
    const wire::MachineType* type = cluster.find_machine_type(machine.type);
    if (type == nullptr || machine.plan_node == nullptr ||
        !is_machine_allowed(spec, machine.type, machine.zone, machine.spot))
      continue;
    if (each.count_fitting_in(pricing(cluster).usable_capacity(spec, *type)) <= 0) continue;
    if (!cluster.pools.allows(spec, from_seconds(spec.estimate_s), Millis(0), id)) continue;
    const Instant from = std::max(now, machine.ready);
    const std::int64_t fitting_tasks =
        each.count_fitting_in(machine.plan_node->usage.free(from, from + constants::kStartTimeout));
    if (fitting_tasks <= 0) continue;
    const double hourly = hourly_price(*type, machine.spot);
    candidates.push_back(
        {.price = hourly / static_cast<double>(fitting_tasks), .machine = id, .fitting_tasks = fitting_tasks});
  }
  std::ranges::sort(candidates, {}, [](const Spare& spare) { return std::tie(spare.price, spare.machine); });
  std::int64_t total = 0;
  for (const Spare& spare : candidates) {
    if (total < reserve) spare_machines_.insert(spare.machine);
    total += spare.fitting_tasks;
  }
  return total;
}

std::int64_t Autoscaler::wanted_spare_capacity(const ClusterState& cluster, const std::string& job_class,
                                               const wire::JobSpec& sample, Instant now) {
  const ResourceAmounts each = task_amounts(sample);
  double boot_s = 0;
  for (const wire::MachineType& type : cluster.machine_types) {
    if (each.count_fitting_in(pricing(cluster).usable_capacity(sample, type)) > 0)
      boot_s = boot_s == 0 ? type.boot_s : std::min(boot_s, type.boot_s);
  }
  return demand_.expected_tasks(job_class, boot_s * constants::kBootSlackFactor + cluster.settings.heartbeat_interval_s,
                                now);
}

std::optional<CloudOffers::Offer> Autoscaler::offer_for_late_tasks(const CloudOffers& offers,
                                                                   const ClusterState& cluster, const Job& job,
                                                                   const DeadlinePlanner& deadlines, std::uint32_t late,
                                                                   Instant now) const {
  if (job.overdue_tasks > 0) {
    // A machine that boots only after the work has to start is useless, however cheap.
    auto in_time = offers.find_cheapest(job.spec, late, constants::kMaxLatePriceFactor,
                                        deadlines.max_startup_for_deadline(job, now));
    if (in_time || job.late_tasks == 0) return in_time;
  }
  // While the deadline leaves time for another boot, expensive machines are not rented: a cheap one may become
  // available.
  const bool can_wait =
      deadlines.scale_out_delay(job, now) > pricing(cluster).max_boot_time(job.spec) * constants::kBootSlackFactor;
  return offers.find_cheapest(job.spec, late,
                              can_wait ? constants::kMaxPatientPriceFactor : constants::kMaxLatePriceFactor);
}

void Autoscaler::add_late_tasks(const CloudOffers& offers, const ClusterState& cluster, const std::vector<Job*>& queue,
                                const DeadlinePlanner& deadlines, MachineShares& shares, Instant now) {
  for (const Job* job : queue) {
    std::uint32_t late = std::max(job->late_tasks, job->overdue_tasks);
    // Does not rent for more tasks than the team's quota lets run at once.
    while (late > 0 && !team_has_quota(cluster, *job, late)) --late;
    if (late == 0) continue;
    const auto offer = offer_for_late_tasks(offers, cluster, *job, deadlines, late, now);
    if (offer) shares[offer->kind] += static_cast<double>(late) / static_cast<double>(offer->tasks_per_machine);
  }
}

void Autoscaler::add_spare_capacity(const CloudOffers& offers, const ClusterState& cluster, MachineShares& shares,
                                    Instant now) {
  for (const auto& [name, demand] : demand_.classes()) {
    if (!pricing(cluster).is_urgent_class(name, demand.sample)) continue;
    const std::int64_t reserve = wanted_spare_capacity(cluster, name, demand.sample, now);
    if (reserve == 0) continue;
    const std::int64_t missing = reserve - spare_capacity(cluster, demand.sample, reserve, now);
    if (missing <= 0) continue;
    const auto offer = offers.find_cheapest(demand.sample, missing, constants::kMaxReservePriceFactor);
    if (offer) shares[offer->kind] += static_cast<double>(missing) / static_cast<double>(offer->tasks_per_machine);
  }
}

void Autoscaler::clear_wanted_machines() {
  spare_machines_.clear();
  capacity_.set_wanted({});
}

void Autoscaler::size_fleet(const ClusterState& cluster, const std::vector<Job*>& queue,
                            const DeadlinePlanner& deadlines, Instant now) {
  spare_machines_.clear();
  const CloudCapacityTracker::HeldMachines held = cluster.machines.count_by_kind();
  const TaskPricing prices = pricing(cluster);
  const CloudOffers offers(cluster, prices, capacity_, held, now);
  MachineShares shares;
  add_late_tasks(offers, cluster, queue, deadlines, shares, now);
  add_spare_capacity(offers, cluster, shares, now);
  CloudCapacityTracker::WantedMachines wanted;
  for (const auto& [kind, share] : shares) wanted[kind] = static_cast<std::uint64_t>(std::ceil(share));
  capacity_.set_wanted(std::move(wanted));
}

std::optional<wire::ScaleOutRequest> Autoscaler::next_scale_out(const ClusterState& cluster, Term term, Instant now) {
  if (!cluster.settings.operators.can_scale_out) return std::nullopt;
  if (const auto& request = capacity_.next_request(term, cluster.machines.count_by_kind(), now)) return request;
  // Warm pools are served after waiting tasks.
  capacity_.set_request(cluster.pools.next_request());
  return capacity_.next_request(term, {}, now);
}

void Autoscaler::on_scaled_out(ClusterState& cluster, const wire::ScaleOutRequest& request,
                               const std::vector<MachineId>& rented, Instant now) {
  if (!capacity_.complete_request(request)) return;
  cluster.pools.answered(request, rented);
  const wire::MachineType* type = cluster.find_machine_type(request.type);
  for (const MachineId& id : rented) {
    Machine& machine = cluster.find_or_add_machine(id, now);
    if (machine.has_reported) continue;
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    machine.since = now;
    machine.ready = now + from_seconds(type == nullptr ? 0 : type->boot_s);
    cluster.update_planner_machine(machine);
  }
  if (rented.size() < request.count) {
    record_refusal(cluster, request, now);
  } else {
    capacity_.on_granted({request.type, request.zone, request.spot});
  }
  spdlog::info("machines_rented rented={} requested={} type={} zone={}{}", rented.size(), request.count, request.type,
               request.zone, request.spot ? " spot=true" : "");
  cluster.needs_planning = true;
}

void Autoscaler::on_scale_out_refused(ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now) {
  if (!capacity_.complete_request(request)) return;
  cluster.pools.answered(request, {});
  record_refusal(cluster, request, now);
  cluster.needs_planning = true;
}

void Autoscaler::record_refusal(const ClusterState& cluster, const wire::ScaleOutRequest& request, Instant now) {
  const CloudCapacityTracker::Kind kind{request.type, request.zone, request.spot};
  const std::size_t held_now = cluster.machines.count_by_kind()[kind];
  const Millis pause = capacity_.on_refused(kind, held_now, now);
  spdlog::info("scale_out_refused type={} zone={}{} held={} retry_after_s={:.0f}", request.type, request.zone,
               request.spot ? " spot=true" : "", held_now, to_seconds(pause));
}

bool Autoscaler::has_pending_cloud_work(const ClusterState& cluster) const {
  return capacity_.has_wanted_machines() || cluster.pools.next_request() ||
         std::ranges::any_of(cluster.machines,
                             [](const auto& entry) { return entry.second.state == MachineState::returning; });
}

std::vector<MachineId> Autoscaler::next_scale_in(const ClusterState& cluster) {
  std::vector<MachineId> ids;
  for (const auto& [id, machine] : cluster.machines) {
    if (machine.state == MachineState::returning && ids.size() < constants::kMaxScaleInNames) ids.push_back(id);
  }
  return ids;
}

}  // namespace foxshunt::control
