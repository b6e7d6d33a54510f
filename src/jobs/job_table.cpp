#include "jobs/job_table.h"

#include <algorithm>

#include "config/constants.h"
#include "state/job_records.h"

namespace foxshunt::jobs {

Allocation* JobTable::find_allocation(const TaskKey& task) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end() || task.index >= job->second.spec.tasks) return nullptr;
  JobShard& shard = job->second.shards[task.index / constants::kTasksPerShard];
  const auto allocation = shard.allocations.find(task.index);
  return allocation == shard.allocations.end() ? nullptr : &allocation->second;
}

std::vector<std::uint32_t> JobTable::pending_tasks(const Job& job, std::uint32_t max_count) {
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t number = 0; number < job.shards.size() && tasks.size() < max_count; ++number) {
    const JobShard& shard = job.shards[number];
    if (shard.done_count + shard.allocations.size() == shard.done.size()) continue;
    for (std::uint32_t at = 0; at < shard.done.size() && tasks.size() < max_count; ++at) {
      const std::uint32_t index = number * constants::kTasksPerShard + at;
      if (!shard.done[at] && !shard.allocations.contains(index)) tasks.push_back(index);
    }
  }
  return tasks;
}

ResourceAmounts JobTable::team_use(const std::string& team) const {
  const auto known = team_use_.find(team);
  return known == team_use_.end() ? ResourceAmounts{} : known->second;
}

bool JobTable::is_record_current(const TaskKey& task) const {
  const auto entry = jobs_.find(task.job);
  if (entry == jobs_.end() || task.index >= entry->second.spec.tasks || entry->second.cancelled) return true;
  return entry->second.shards[task.index / constants::kTasksPerShard].is_record_current();
}

bool JobTable::all_durable(const Job& job) {
  return std::ranges::all_of(job.shards, [](const JobShard& shard) {
    return std::ranges::all_of(shard.allocations, [](const auto& entry) { return entry.second.durable; });
  });
}

// ---- records ----

Job& JobTable::add(const state::JobRecord& record, Revision revision, std::int64_t wall_ms,
                   inventory::MachineInventory& machines, Instant now) {
  Job& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.task_resources = ResourceAmounts::from(record.spec.cpus, record.spec.gpus, record.spec.ram_gb);
  job.submitted_wall_ms = record.submitted_wall_ms;
  job.submitted = now - Millis(std::max<std::int64_t>(0, wall_ms - record.submitted_wall_ms));
  job.not_before = job.submitted;
  job.revision = revision;
  job.shards.resize(state::shard_count(record.spec.tasks));
  for (std::uint32_t shard = 0; shard < job.shards.size(); ++shard) {
    job.shards[shard].done.resize(state::shard_size(record.spec.tasks, shard));
  }
  if (record.only_shard) adopt_shard(job, 0, *record.only_shard, machines, now);
  return job;
}

void JobTable::adopt_shard(Job& job, std::uint32_t number, const state::JobShardRecord& record,
                           inventory::MachineInventory& machines, Instant now) {
  JobShard& shard = job.shards[number];
  shard.next_attempt = record.next_attempt;
  shard.done = record.done;
  shard.done_count = static_cast<std::uint32_t>(std::ranges::count(shard.done, true));
  job.done_count += shard.done_count;
  for (const state::AllocationRecord& allocation_record : record.allocations) {
    Allocation allocation{.attempt = allocation_record.attempt,
                          .machine = allocation_record.machine,
                          .incarnation = allocation_record.incarnation};
    allocation.durable.set();
    allocation.adopted = true;
    allocation.placed_at = now;
    machines.find_or_add(allocation.machine, now).machine.allocations.insert({job.spec.id, allocation_record.index});
    team_use_[job.spec.team] += job.task_resources;
    shard.allocations.add(allocation_record.index, allocation);
    ++job.allocation_count;
    job.had_allocations = true;
  }
}

bool JobTable::on_record(const JobId& id, Revision revision) {
  if (removed_jobs_.contains(id)) return false;
  const auto known = jobs_.find(id);
  if (known == jobs_.end()) return true;
  Job& job = known->second;
  // Only this leader changes the record of an active job, so memory is at least as recent. All that can be learned from
  // the event is the revision of the record.
  if (!job.in_flight() && revision > job.revision) job.revision = revision;
  return false;
}

Job* JobTable::on_record_deleted(const JobId& id) {
  removed_jobs_.erase(id);
  const auto known = jobs_.find(id);
  if (known == jobs_.end() || known->second.cancelled) return nullptr;
  Job& job = known->second;
  // While a write is in flight, its result decides, because this leader may have removed the record itself.
  if (job.in_flight()) {
    job.reload = true;
    return nullptr;
  }
  return &job;
}

std::optional<Reload> JobTable::next_reload() const {
  for (const auto& [id, job] : jobs_) {
    if (job.in_flight()) continue;
    if (job.reload) return Reload{.job = id, .shard = {}};
    const auto shard = std::ranges::find_if(job.shards, &JobShard::reload);
    if (shard != job.shards.end())
      return Reload{.job = id, .shard = static_cast<std::uint32_t>(shard - job.shards.begin())};
  }
  return std::nullopt;
}

bool JobTable::has_job_reload() const {
  return std::ranges::any_of(jobs_, [](const auto& entry) { return entry.second.reload; });
}

Job* JobTable::on_reloaded(const Reload& reload, std::optional<Revision> revision) {
  const auto known = jobs_.find(reload.job);
  if (known == jobs_.end()) return nullptr;
  Job& job = known->second;
  if (reload.shard) {
    // Only leaders write shard records, and no later leader exists. So the revision found comes from a write of this
    // leader whose answer was lost.
    JobShard& shard = job.shards.at(*reload.shard);
    if (shard.reload) shard.revision = revision.value_or(Revision{});
    shard.reload = false;
    return nullptr;
  }
  if (!job.reload) return nullptr;
  job.reload = false;
  if (revision) {
    job.revision = *revision;
    return nullptr;
  }
  removed_jobs_.insert(reload.job);
  return &job;
}

std::vector<std::uint32_t> JobTable::cancel(Job& job) {
  job.cancelled = true;
  job.reload = false;
  std::vector<std::uint32_t> never_started;
  for (std::uint32_t number = 0; number < job.shards.size(); ++number) {
    JobShard& shard = job.shards[number];
    dirty_.erase({job.spec.id, number});
    shard.dirty = false;
    shard.reload = false;
    for (const auto& [index, allocation] : shard.allocations) {
      // The placement is not known to be durable, so its start command was not sent and never will be.
      if (!allocation.durable) never_started.push_back(index);
    }
  }
  if (job.allocation_count == 0) dirty_.insert({job.spec.id, 0});
  return never_started;
}

void JobTable::mark_dirty(Job& job, std::uint32_t number, Instant now) {
  JobShard& shard = job.shards[number];
  if (shard.is_record_current()) shard.dirty_since = now;
  shard.dirty = true;
  if (!job.cancelled || job.allocation_count == 0) dirty_.insert({job.spec.id, job.cancelled ? 0 : number});
}

Job JobTable::extract_job(const JobId& id) {
  erase_dirty_shards(id);
  return std::move(jobs_.extract(id).mapped());
}

// ---- allocations ----

Allocation& JobTable::place_task(Job& job, std::uint32_t index, AttemptNumber attempt, inventory::Machine& machine,
                                 Instant now) {
  JobShard& shard = job.shards[index / constants::kTasksPerShard];
  Allocation allocation{.attempt = attempt, .machine = machine.id, .incarnation = machine.incarnation};
  allocation.placed_at = now;
  machine.allocations.insert({job.spec.id, index});
  team_use_[job.spec.team] += job.task_resources;
  shard.next_attempt = std::max(shard.next_attempt, attempt.next());
  ++job.allocation_count;
  mark_dirty(job, index / constants::kTasksPerShard, now);
  return shard.allocations.add(index, allocation);
}

void JobTable::mark_done(Job& job, std::uint32_t index) {
  JobShard& shard = job.shards[index / constants::kTasksPerShard];
  if (shard.done[index % constants::kTasksPerShard]) return;
  shard.done[index % constants::kTasksPerShard] = true;
  ++shard.done_count;
  ++job.done_count;
}

std::optional<Allocation> JobTable::confirm_terminated(Job& job, std::uint32_t index,
                                                       inventory::MachineInventory& machines, Instant now) {
  const std::uint32_t number = index / constants::kTasksPerShard;
  JobShard& shard = job.shards[number];
  const auto entry = shard.allocations.find(index);
  if (entry == shard.allocations.end()) return std::nullopt;
  const Allocation allocation = entry->second;
  shard.allocations.remove(entry);
  --job.allocation_count;
  team_use_[job.spec.team] -= job.task_resources;
  if (const auto machine = machines.find(allocation.machine); machine != machines.end()) {
    machine->second.allocations.erase({job.spec.id, index});
  }
  mark_dirty(job, number, now);
  return allocation;
}

}  // namespace foxshunt::jobs
