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

// Returns the number of the time bucket, of length kStandbyArrivals, that contains the arrival.
std::uint32_t arrival_bucket(Instant when) {
  return static_cast<std::uint32_t>(when.time_since_epoch() / constants::kStandbyArrivals);
}

// Returns the first kMaxStandbyList elements.
template <typename Ids>
std::vector<typename Ids::value_type> first_elements(const Ids& ids) {
  std::vector<typename Ids::value_type> list;
  for (const auto& id : ids) {
    if (list.size() == constants::kMaxStandbyList) break;
    list.push_back(id);
  }
  return list;
}

void add_entry(std::vector<SoftStateEntry>& entries, Kind kind, const std::string& name, std::uint32_t number,
               standby::EntryValue value) {
  entries.push_back({.key = {.kind = kind, .name = name, .number = number}, .what = std::move(value)});
}

// Reconstructs single job arrivals of a class from their sums. The tasks of a bucket are divided evenly among its jobs,
// and all its jobs get the middle of the bucket as their arrival time.
DemandEstimator::Arrivals expand_arrivals(const std::vector<standby::Arrivals>& sums, Instant now) {
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

// Snapshots carry amounts in thousandths of a CPU, of a GPU and of a gigabyte.
constexpr plan::AmountUnits kUnitsPerThousandth = plan::kUnitsPerWhole / 1'000;
// Larger amounts in a snapshot are reduced to this.
constexpr std::uint64_t kMaxSnapshotAmount = std::uint64_t{1} << 40;

plan::AmountUnits from_snapshot_amount(std::uint64_t thousandths) {
  return std::min(thousandths, kMaxSnapshotAmount) * kUnitsPerThousandth;
}

std::uint64_t to_snapshot_amount(plan::AmountUnits amount) {
  const plan::AmountUnits rounded_up = std::max<plan::AmountUnits>(0, amount + kUnitsPerThousandth - 1);
  return static_cast<std::uint64_t>(rounded_up / kUnitsPerThousandth);
}

// Adds the machines that are booting or up. A booting machine also counts as up if the soft state of an earlier leader
// says so or if the cloud lists it as running.
void add_machines(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  for (const auto& [id, machine] : cluster.machines) {
    const bool is_active = machine.state == MachineState::booting || machine.state == MachineState::up;
    if (!is_active || machine.type.empty() || machine.listed.failed || machine.expired) continue;
    const bool up =
        machine.state == MachineState::up || machine.peer_hint == inventory::PeerHint::up || machine.listed.running;
    add_entry(entries, Kind::machine, id.text(), 0,
              standby::Shared(standby::Machine{.address = machine.address,
                                               .type = machine.type,
                                               .zone = machine.zone,
                                               .spot = machine.spot,
                                               .up = up,
                                               .incarnation = machine.incarnation,
                                               .since = machine.since,
                                               .ready = machine.ready,
                                               .errors = static_cast<std::uint64_t>(machine.errors),
                                               .images = first_elements(machine.images)}));
  }
}

// Returns the job's tasks that have started or have saved progress, by task index.
std::map<std::uint32_t, standby::Task> task_hints(const Job& job) {
  std::map<std::uint32_t, standby::Task> tasks;
  for (const auto& [index, saved] : job.saved_progress) tasks[index].saved = saved;
  for (const JobShard& shard : job.shards) {
    for (const auto& [index, allocation] : shard.allocations) {
      const auto began = allocation.running_since ? allocation.running_since : allocation.hinted_start;
      if (!began) continue;
      standby::Task& task = tasks[index];
      task.attempt = allocation.attempt;
      task.began = began;
    }
  }
  return tasks;
}

void add_tasks(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  std::size_t tasks = 0;
  for (const auto& [id, job] : cluster.jobs) {
    if (job.cancelled) continue;
    for (const auto& [index, task] : task_hints(job)) {
      if (++tasks > constants::kMaxStandbyTasks) break;
      add_entry(entries, Kind::task, id.text(), index, task);
    }
  }
}

void add_failures(std::vector<SoftStateEntry>& entries, const ClusterState& cluster) {
  for (const auto& [id, job] : cluster.jobs) {
    if (job.cancelled || (job.consecutive_errors == 0 && job.failed_on.empty())) continue;
    add_entry(entries, Kind::trouble, id.text(), 0,
              standby::Shared(standby::JobFailures{.errors = static_cast<std::uint64_t>(job.consecutive_errors),
                                                   .not_before = job.not_before,
                                                   .failed_on = first_elements(job.failed_on)}));
  }
}

// Adds the cloud's capacity refusals. The entry's number encodes zone and spot: 2 * zone index + (spot ? 1 : 0).
void add_refusals(std::vector<SoftStateEntry>& entries, const ClusterState& cluster,
                  const CloudCapacityTracker& capacity) {
  for (const auto& [key, refusal] : capacity.refusals()) {
    const auto& [type_name, zone, spot] = key;
    const auto zone_index = std::ranges::find(cluster.settings.zones, zone) - cluster.settings.zones.begin();
    add_entry(entries, Kind::refusal, type_name, static_cast<std::uint32_t>(zone_index) * 2 + (spot ? 1U : 0U),
              standby::Shared(standby::Refusal{.zone = zone,
                                               .spot = spot,
                                               .not_before = refusal.not_before,
                                               .pause = refusal.pause,
                                               .most = refusal.held_at_refusal}));
  }
}

// Sums the arrivals within kDemandWindow, by bucket number.
std::map<std::uint32_t, standby::Arrivals> sum_arrivals(const DemandEstimator::Arrivals& arrivals, Instant now) {
  std::map<std::uint32_t, standby::Arrivals> sums;
  for (const auto& [when, count] : arrivals) {
    if (when < now - constants::kDemandWindow) continue;
    standby::Arrivals& sum = sums[arrival_bucket(when)];
    sum.from = Instant(constants::kStandbyArrivals * arrival_bucket(when));
    ++sum.jobs;
    sum.tasks += count;
  }
  return sums;
}

void add_arrivals(std::vector<SoftStateEntry>& entries, const SoftStateSources& sources, Instant now) {
  for (const auto& [name, demand] : sources.demand.classes()) {
    if (!sources.urgent_classes.contains(name)) continue;
    for (const auto& [number, sum] : sum_arrivals(demand.arrivals, now)) {
      add_entry(entries, Kind::arrivals, name, number, sum);
    }
  }
}

// Adds the largest recent job of each class. For urgent classes, adds also the resources that their jobs need.
void add_samples(std::vector<SoftStateEntry>& entries, const SoftStateSources& sources) {
  for (const auto& [name, demand] : sources.demand.classes()) {
    standby::Sample sample{.largest = sources.demand.largest_job_size(name)};
    if (const wire::JobSpec& spec = demand.sample; sources.urgent_classes.contains(name)) {
      sample = {.cpus = spec.cpus,
                .gpus = spec.gpus,
                .ram_gb = spec.ram_gb,
                .image_gb = spec.image_gb,
                .estimate_s = spec.estimate_s,
                .spot = spec.spot,
                .largest = sample.largest};
    }
    add_entry(entries, Kind::sample, name, 0, standby::Shared(sample));
  }
}

// Adds the recent peaks of GPU demand, and the CPUs and memory that tasks use per GPU.
void add_gpu_demand(std::vector<SoftStateEntry>& entries, const DemandEstimator& demand) {
  standby::GpuDemand gpus{.peaks = {},
                          .cpus_beside = static_cast<std::uint64_t>(demand.usage_per_gpu().cpus),
                          .ram_beside = static_cast<std::uint64_t>(demand.usage_per_gpu().ram_gb)};
  for (const auto& [when, amount] : demand.gpu_peaks()) {
    if (gpus.peaks.size() < constants::kMaxStandbyList / 2) gpus.peaks.emplace_back(when, to_snapshot_amount(amount));
  }
  if (!gpus.peaks.empty()) {
    add_entry(entries, Kind::gpus, std::string(), 0, standby::Shared(std::move(gpus)));
  }
}

}  // namespace

standby::SoftStateSnapshot make_soft_state_snapshot(const SoftStateSources& sources, Term term, Instant now) {
  standby::SoftStateSnapshot snapshot{.term = term, .taken = now, .starts_s = 0, .entries = {}};
  add_machines(snapshot.entries, sources.cluster);
  add_tasks(snapshot.entries, sources.cluster);
  add_failures(snapshot.entries, sources.cluster);
  add_refusals(snapshot.entries, sources.cluster, sources.capacity);
  add_arrivals(snapshot.entries, sources, now);
  add_samples(snapshot.entries, sources);
  add_gpu_demand(snapshot.entries, sources.demand);
  return snapshot;
}

void SoftStateRestorer::apply_machine(const std::string& name, const standby::Machine& hint, Instant now) {
  const MachineId id(name);
  if (id.empty() || hint.type.empty() || cluster_.machines.is_returned(id)) return;
  Machine& machine = cluster_.find_or_add_machine(id, now);
  // Heartbeats do not list cached images. A wrong entry costs only an image fetch.
  machine.images.insert(hint.images.begin(), hint.images.end());
  machine.errors = std::max(machine.errors,
                            static_cast<int>(std::min<std::uint64_t>(hint.errors, constants::kMaxMachineErrors - 1)));
  if (machine.has_reported || machine.state != MachineState::booting || machine.peer_hint != inventory::PeerHint::none)
    return;
  set_expected_ready(machine, hint, now);
}

void SoftStateRestorer::set_expected_ready(Machine& machine, const standby::Machine& hint, Instant now) {
  if (machine.type.empty()) {  // the cloud has not listed it to this leader yet
    machine.peer_hint = hint.up ? inventory::PeerHint::up : inventory::PeerHint::booting;
    machine.address = hint.address;
    machine.type = hint.type;
    machine.zone = hint.zone;
    machine.spot = hint.spot;
  }
  if (hint.up) {
    // The agent most likely reports within one heartbeat interval. `since` is set back so that the expected boot time
    // is exceeded, and work is no longer held back for the machine, after kStandbyUnansweredTimeout.
    const Millis boot = cluster_.boot_duration(machine.type);
    const auto boot_limit = std::chrono::ceil<Millis>(boot * constants::kBootSlackFactor);
    machine.since = now - std::max(Millis(0), boot_limit - constants::kStandbyUnansweredTimeout);
    machine.ready = now + from_seconds(cluster_.settings.heartbeat_interval_s);
  } else {
    machine.since = std::min(hint.since, now);
    machine.ready = std::min(hint.ready, now + constants::kPlanHorizon);
  }
  cluster_.update_planner_machine(machine);
}

void SoftStateRestorer::apply_task(const Key& key, const standby::Task& hint, Instant now) {
  const auto entry = cluster_.jobs.find(JobId(key.name));
  if (entry == cluster_.jobs.end() || key.number >= entry->second.spec.tasks) return;
  Job& job = entry->second;
  const Millis estimated = booking_duration(job);
  if (hint.saved > Millis(0)) {
    Millis& saved = job.saved_progress[key.number];
    saved = std::max(saved, std::min(hint.saved, estimated));
  }
  Allocation* allocation = cluster_.jobs.find_allocation({job.spec.id, key.number});
  if (allocation == nullptr || !hint.began || allocation->attempt != hint.attempt || !allocation->adopted ||
      allocation->running_since)
    return;
  allocation->hinted_start = std::min(*hint.began, now);
  Millis remaining = estimated - (now - *allocation->hinted_start);
  if (const auto saved = job.saved_progress.find(key.number); saved != job.saved_progress.end())
    remaining -= saved->second;
  cluster_.planner.revoke(allocation->booking);
  allocation->booking = cluster_.planner.book({.machine = allocation->machine,
                                               .team = job.spec.team,
                                               .amounts = job.task_resources,
                                               .start = now,
                                               .stop = now + std::max(remaining, constants::kStartTimeout)});
}

void SoftStateRestorer::apply_failures(const JobId& id, const standby::JobFailures& hint, Instant now) {
  const auto job = cluster_.jobs.find(id);
  if (job == cluster_.jobs.end()) return;
  job->second.consecutive_errors =
      std::max(job->second.consecutive_errors, static_cast<int>(std::min<std::uint64_t>(hint.errors, 99)));
  job->second.not_before =
      std::max(job->second.not_before, std::min(hint.not_before, now + constants::kMaxTaskErrorBackoff));
  job->second.failed_on.insert(hint.failed_on.begin(), hint.failed_on.end());
}

void SoftStateRestorer::apply_refusal(const std::string& type, const standby::Refusal& hint, Instant now) {
  capacity_.apply_refusal_hint(
      {type, hint.zone, hint.spot},
      {.not_before = std::min(hint.not_before, now + constants::kMaxCapacityRefusalBackoff),
       .pause = std::clamp(hint.pause, constants::kCapacityRefusalBackoff, constants::kMaxCapacityRefusalBackoff),
       .held_at_refusal = hint.most.value_or(0)});
}

void SoftStateRestorer::apply_sample(const std::string& job_class, const standby::Sample& hint, Instant now) {
  demand_.apply_largest_job_hint(job_class, static_cast<std::uint32_t>(hint.largest), now);
  if (hint.estimate_s <= 0) return;
  wire::JobSpec sample;
  sample.job_class = job_class;
  sample.cpus = hint.cpus;
  sample.gpus = hint.gpus;
  sample.ram_gb = hint.ram_gb;
  sample.image_gb = hint.image_gb;
  sample.estimate_s = hint.estimate_s;
  sample.spot = hint.spot;
  demand_.apply_sample_hint(sample);
}

void SoftStateRestorer::apply_gpu_demand(const standby::GpuDemand& hint, Instant now) {
  DemandEstimator::GpuPeaks peaks;
  for (const auto& [when, amount] : hint.peaks) {
    if (when <= now && when >= now - constants::kGpuDemandWindow)
      peaks.emplace_back(when, from_snapshot_amount(amount));
  }
  demand_.apply_gpu_hint(peaks, {.cpus = static_cast<std::int64_t>(std::min(hint.cpus_beside, kMaxSnapshotAmount)),
                                 .ram_gb = static_cast<std::int64_t>(std::min(hint.ram_beside, kMaxSnapshotAmount))});
}

void SoftStateRestorer::apply(const standby::SoftStateSnapshot& snapshot, Instant now) {
  // A snapshot of this leader's own term is older than the leader's state.
  if (!leadership_.is_leader() || snapshot.term >= leadership_.term()) return;
  if (now - snapshot.taken > constants::kMaxSoftStateAge) return;
  std::map<std::string, std::vector<standby::Arrivals>> arrivals;
  for (const auto& [key, value] : snapshot.entries) {
    switch (key.kind) {
      case Kind::machine: apply_machine(key.name, *std::get<standby::Shared<standby::Machine>>(value), now); break;
      case Kind::task: apply_task(key, std::get<standby::Task>(value), now); break;
      case Kind::trouble:
        apply_failures(JobId(key.name), *std::get<standby::Shared<standby::JobFailures>>(value), now);
        break;
      case Kind::refusal: apply_refusal(key.name, *std::get<standby::Shared<standby::Refusal>>(value), now); break;
      case Kind::arrivals: arrivals[key.name].push_back(std::get<standby::Arrivals>(value)); break;
      case Kind::sample: apply_sample(key.name, *std::get<standby::Shared<standby::Sample>>(value), now); break;
      case Kind::gpus: apply_gpu_demand(*std::get<standby::Shared<standby::GpuDemand>>(value), now); break;
    }
  }
  for (const auto& [name, sums] : arrivals)
    demand_.apply_arrivals_hint(name, expand_arrivals(sums, now), snapshot.taken);
  cluster_.needs_planning = true;
  spdlog::info("soft_state_applied term={} entries={} machines={} tasks={} age_s={:.1f}", snapshot.term.number(),
               snapshot.entries.size(), snapshot.count(Kind::machine), snapshot.count(Kind::task),
               to_seconds(now - snapshot.taken));
}

}  // namespace foxshunt::control
