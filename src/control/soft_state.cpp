#include "control/soft_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/times.h"

namespace foxshunt::control {

using standby::Key;
using standby::Kind;
using standby::SoftStateEntry;

namespace {

std::uint32_t bucket_of(Instant when) {
  return static_cast<std::uint32_t>(when.time_since_epoch() / constants::kStandbyArrivals);
}

template <typename Ids>
std::vector<typename Ids::value_type> first_of(const Ids& ids) {
  std::vector<typename Ids::value_type> list;
  for (const auto& id : ids) {
    if (list.size() == constants::kMaxStandbyList) break;
    list.push_back(id);
  }
  return list;
}

void add(std::vector<SoftStateEntry>& entries, Kind kind, const std::string& name, std::uint32_t number,
         standby::EntryValue what) {
  entries.push_back({.key = {.kind = kind, .name = name, .number = number}, .what = std::move(what)});
}

// Jobs of a class as they came, as far as sums tell.
DemandEstimator::Arrivals spread(const std::vector<standby::Arrivals>& sums, Instant now) {
  DemandEstimator::Arrivals jobs;
  for (const standby::Arrivals& sum : sums) {
    if (sum.from > now || sum.from < now - constants::kDemandWindow - constants::kStandbyArrivals) continue;
    if (jobs.size() + sum.jobs > constants::kMaxStandbyArrivals) break;
    for (std::uint64_t job = 0; job < sum.jobs; ++job) {
      const std::uint64_t share = sum.tasks / sum.jobs + (job < sum.tasks % sum.jobs ? 1 : 0);
      const auto tasks = static_cast<std::uint32_t>(std::min(share, constants::kTasksPerJobMost));
      jobs.emplace_back(std::min(sum.from + constants::kStandbyArrivals / 2, now), tasks);
    }
  }
  return jobs;
}

plan::Items items_of(std::uint64_t count) {
  return static_cast<plan::Items>(std::min<std::uint64_t>(count, std::uint64_t{1} << 40));
}

std::uint64_t count_of(plan::Items items) { return static_cast<std::uint64_t>(std::max<plan::Items>(0, items)); }

void add_machines(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  for (const auto& [id, machine] : cluster.machines) {
    const bool there = machine.state == MachineState::booting || machine.state == MachineState::up;
    if (!there || machine.type.empty() || machine.listed.failed || machine.expired) continue;
    const bool up =
        machine.state == MachineState::up || machine.peer_hint == inventory::PeerHint::up || machine.listed.running;
    add(entries, Kind::machine, id.text(), 0,
        standby::Shared(standby::Machine{.address = machine.address,
                                         .type = machine.type,
                                         .zone = machine.zone,
                                         .spot = machine.spot,
                                         .up = up,
                                         .incarnation = machine.incarnation,
                                         .since = machine.since,
                                         .ready = machine.ready,
                                         .errors = static_cast<std::uint64_t>(machine.errors),
                                         .images = first_of(machine.images)}));
  }
}

// The job's tasks that have begun or have saved progress, by their index.
std::map<std::uint32_t, standby::Task> tasks_of(const Job& job) {
  std::map<std::uint32_t, standby::Task> told;
  for (const auto& [index, saved] : job.saved) told[index].saved = saved;
  for (const JobShard& shard : job.shards) {
    for (const auto& [index, allocation] : shard.allocations) {
      const auto began = allocation.running_since ? allocation.running_since : allocation.told_began;
      if (!began) continue;
      standby::Task& task = told[index];
      task.attempt = allocation.attempt;
      task.began = began;
    }
  }
  return told;
}

void add_tasks(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  std::size_t tasks = 0;
  for (const auto& [id, job] : cluster.jobs) {
    if (job.cancelled) continue;
    for (const auto& [index, task] : tasks_of(job)) {
      if (++tasks > constants::kMaxStandbyTasks) break;
      add(entries, Kind::task, id.text(), index, task);
    }
  }
}

void add_failures(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  for (const auto& [id, job] : cluster.jobs) {
    if (job.cancelled || (job.errors == 0 && job.failed_on.empty())) continue;
    add(entries, Kind::trouble, id.text(), 0,
        standby::Shared(standby::JobFailures{.errors = static_cast<std::uint64_t>(job.errors),
                                             .not_before = job.not_before,
                                             .failed_on = first_of(job.failed_on)}));
  }
}

void add_refusals(std::vector<SoftStateEntry>& entries, const ClusterState& cluster,
                  const CloudCapacityTracker& capacity) {
  for (const auto& [key, supply] : capacity.refused()) {
    const auto& [type_name, zone, spot] = key;
    const auto place = std::ranges::find(cluster.settings.zones, zone) - cluster.settings.zones.begin();
    add(entries, Kind::refusal, type_name, static_cast<std::uint32_t>(place) * 2 + (spot ? 1U : 0U),
        standby::Shared(standby::Refusal{
            .zone = zone, .spot = spot, .not_before = supply.not_before, .pause = supply.pause, .most = supply.most}));
  }
}

// Sums of the arrivals of late, by the number of their span of time.
std::map<std::uint32_t, standby::Arrivals> sums_of(const DemandEstimator::Arrivals& arrivals, Instant now) {
  std::map<std::uint32_t, standby::Arrivals> sums;
  for (const auto& [when, count] : arrivals) {
    if (when < now - constants::kDemandWindow) continue;
    standby::Arrivals& sum = sums[bucket_of(when)];
    sum.from = Instant(constants::kStandbyArrivals * bucket_of(when));
    ++sum.jobs;
    sum.tasks += count;
  }
  return sums;
}

void add_arrivals(std::vector<SoftStateEntry>& entries, const SoftStateSources& sources, Instant now) {
  for (const auto& [name, demand] : sources.demand.classes()) {
    if (!sources.urgent_classes.contains(name)) continue;
    for (const auto& [number, sum] : sums_of(demand.arrivals, now)) {
      add(entries, Kind::arrivals, name, number, sum);
    }
  }
}

void add_samples(std::vector<SoftStateEntry>& entries, const SoftStateSources& sources) {
  for (const auto& [name, demand] : sources.demand.classes()) {
    standby::Sample sample{.largest = sources.demand.most(name)};
    if (const wire::JobSpec& spec = demand.sample; sources.urgent_classes.contains(name)) {
      sample = {.cpus = spec.cpus,
                .gpus = spec.gpus,
                .ram_gb = spec.ram_gb,
                .image_gb = spec.image_gb,
                .estimate_s = spec.estimate_s,
                .spot = spec.spot,
                .largest = sample.largest};
    }
    add(entries, Kind::sample, name, 0, standby::Shared(sample));
  }
}

void add_gpu_demand(std::vector<SoftStateEntry>& entries, const DemandEstimator& demand) {
  standby::GpuDemand gpus{.peaks = {},
                          .cpus_beside = count_of(demand.beside_gpu().of[0]),
                          .ram_beside = count_of(demand.beside_gpu().of[2])};
  for (const auto& [when, items] : demand.gpu_peaks()) {
    if (gpus.peaks.size() < constants::kMaxStandbyList / 2) gpus.peaks.emplace_back(when, count_of(items));
  }
  if (!gpus.peaks.empty()) {
    add(entries, Kind::gpus, std::string(), 0, standby::Shared(std::move(gpus)));
  }
}

}  // namespace

standby::SoftStateSnapshot soft_state_snapshot(const SoftStateSources& sources, Term term, Instant now) {
  standby::SoftStateSnapshot snapshot{.term = term, .taken = now, .starts_s = 0, .entries = {}};
  add_machines(snapshot.entries, sources.cluster);
  add_tasks(snapshot.entries, sources.cluster);
  add_failures(snapshot.entries, sources.cluster);
  add_refusals(snapshot.entries, sources.cluster, sources.supply);
  add_arrivals(snapshot.entries, sources, now);
  add_samples(snapshot.entries, sources);
  add_gpu_demand(snapshot.entries, sources.demand);
  return snapshot;
}

void SoftState::apply_machine(const std::string& name, const standby::Machine& told, Instant now) {
  const MachineId id(name);
  if (id.empty() || told.type.empty() || cluster_.machines.is_returned(id)) return;
  Machine& machine = cluster_.know_machine(id, now);
  // What reports don't tell. A wrong guess costs a fetch.
  machine.images.insert(told.images.begin(), told.images.end());
  machine.errors = std::max(machine.errors,
                            static_cast<int>(std::min<std::uint64_t>(told.errors, constants::kMaxMachineErrors - 1)));
  if (machine.has_reported || machine.state != MachineState::booting || machine.peer_hint != inventory::PeerHint::none)
    return;
  expect_machine(machine, told, now);
}

void SoftState::expect_machine(Machine& machine, const standby::Machine& told, Instant now) {
  if (machine.type.empty()) {  // not listed yet
    machine.peer_hint = told.up ? inventory::PeerHint::up : inventory::PeerHint::booting;
    machine.address = told.address;
    machine.type = told.type;
    machine.zone = told.zone;
    machine.spot = told.spot;
  }
  if (told.up) {
    // It reports within an interval, most likely. After a while it is no longer waited for.
    const Millis boot = cluster_.boot_time(machine.type);
    const auto slack = std::chrono::ceil<Millis>(boot * constants::kBootSlackFactor);
    machine.since = now - std::max(Millis(0), slack - constants::kStandbyUnansweredTimeout);
    machine.ready = now + from_seconds(cluster_.settings.heartbeat_interval_s);
  } else {
    machine.since = std::min(told.since, now);
    machine.ready = std::min(told.ready, now + constants::kPlanHorizon);
  }
  cluster_.refresh_plan_machine(machine);
}

void SoftState::apply_task(const Key& key, const standby::Task& told, Instant now) {
  const auto entry = cluster_.jobs.find(JobId(key.name));
  if (entry == cluster_.jobs.end() || key.number >= entry->second.spec.tasks) return;
  Job& job = entry->second;
  const Millis estimated = estimate(job);
  if (told.saved > Millis(0)) {
    Millis& saved = job.saved[key.number];
    saved = std::max(saved, std::min(told.saved, estimated));
  }
  Allocation* allocation = cluster_.jobs.find_allocation({job.spec.id, key.number});
  if (allocation == nullptr || !told.began || allocation->attempt != told.attempt || !allocation->adopted ||
      allocation->running_since)
    return;
  allocation->told_began = std::min(*told.began, now);
  Millis left = estimated - (now - *allocation->told_began);
  if (const auto saved = job.saved.find(key.number); saved != job.saved.end()) left -= saved->second;
  cluster_.planner.revoke(allocation->booking);
  allocation->booking = cluster_.planner.book({.machine = allocation->machine,
                                               .team = job.spec.team,
                                               .amounts = job.each,
                                               .start = now,
                                               .stop = now + std::max(left, constants::kStartTimeout)});
}

void SoftState::apply_failures(const JobId& id, const standby::JobFailures& told, Instant now) {
  const auto job = cluster_.jobs.find(id);
  if (job == cluster_.jobs.end()) return;
  job->second.errors = std::max(job->second.errors, static_cast<int>(std::min<std::uint64_t>(told.errors, 99)));
  job->second.not_before =
      std::max(job->second.not_before, std::min(told.not_before, now + constants::kMaxTaskErrorBackoff));
  job->second.failed_on.insert(told.failed_on.begin(), told.failed_on.end());
}

void SoftState::apply_refusal(const std::string& type, const standby::Refusal& told, Instant now) {
  supply_.hint(
      {type, told.zone, told.spot},
      {.not_before = std::min(told.not_before, now + constants::kMaxCapacityRefusalBackoff),
       .pause = std::clamp(told.pause, constants::kCapacityRefusalBackoff, constants::kMaxCapacityRefusalBackoff),
       .most = told.most.value_or(0)});
}

void SoftState::apply_sample(const std::string& job_class, const standby::Sample& told, Instant now) {
  demand_.hint_largest(job_class, static_cast<std::uint32_t>(told.largest), now);
  if (told.estimate_s <= 0) return;
  wire::JobSpec sample;
  sample.job_class = job_class;
  sample.cpus = told.cpus;
  sample.gpus = told.gpus;
  sample.ram_gb = told.ram_gb;
  sample.image_gb = told.image_gb;
  sample.estimate_s = told.estimate_s;
  sample.spot = told.spot;
  demand_.hint_sample(sample);
}

void SoftState::apply_gpu_demand(const standby::GpuDemand& told, Instant now) {
  DemandEstimator::GpuPeaks peaks;
  for (const auto& [when, items] : told.peaks) {
    if (when <= now && when >= now - constants::kGpuDemandWindow) peaks.emplace_back(when, items_of(items));
  }
  demand_.hint_gpus(peaks, items_of(told.cpus_beside), items_of(told.ram_beside));
}

void SoftState::apply(const standby::SoftStateSnapshot& snapshot, Instant now) {
  // Of its own term it knows more than any standby.
  if (!leadership_.is_leader() || snapshot.term >= leadership_.term()) return;
  if (now - snapshot.taken > constants::kMaxSoftStateAge) return;
  std::map<std::string, std::vector<standby::Arrivals>> arrivals;
  for (const auto& [key, what] : snapshot.entries) {
    switch (key.kind) {
      case Kind::machine: apply_machine(key.name, *std::get<standby::Shared<standby::Machine>>(what), now); break;
      case Kind::task: apply_task(key, std::get<standby::Task>(what), now); break;
      case Kind::trouble:
        apply_failures(JobId(key.name), *std::get<standby::Shared<standby::JobFailures>>(what), now);
        break;
      case Kind::refusal: apply_refusal(key.name, *std::get<standby::Shared<standby::Refusal>>(what), now); break;
      case Kind::arrivals: arrivals[key.name].push_back(std::get<standby::Arrivals>(what)); break;
      case Kind::sample: apply_sample(key.name, *std::get<standby::Shared<standby::Sample>>(what), now); break;
      case Kind::gpus: apply_gpu_demand(*std::get<standby::Shared<standby::GpuDemand>>(what), now); break;
    }
  }
  for (const auto& [name, sums] : arrivals) demand_.hint_arrivals(name, spread(sums, now), snapshot.taken);
  cluster_.plan_wanted = true;
  spdlog::info("standby: hints of term {} taken: facts={} machines={} tasks={} age_s={:.1f}", snapshot.term.number(),
               snapshot.entries.size(), snapshot.count(Kind::machine), snapshot.count(Kind::task),
               to_seconds(now - snapshot.taken));
}

}  // namespace foxshunt::control
