#include "control/job_intake.h"

#include <spdlog/spdlog.h>

#include <set>

#include "config/guards.h"
#include "control/gang_coordinator.h"
#include "control/job_requirements.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

// ---- restoring the records of earlier leaders ----

void JobIntake::restore(const FailoverSnapshot& failover, Instant now) {
  restore_jobs(failover, now);
  std::size_t allocated = 0;
  for (const auto& [unused, job] : cluster_.jobs) allocated += job.allocation_count;
  resume_jobs(now);
  cluster_.needs_planning = true;
  spdlog::info("leadership_started term={} jobs={} allocations={}", failover.term.number(), cluster_.jobs.size(),
               allocated);
}

void JobIntake::restore_jobs(const FailoverSnapshot& failover, Instant now) {
  // Terminating jobs are listed after active ones, so that a job cancelled between the two reads is in both listings.
  // If both entries were restored, the job's tasks would count twice for the team's quota but could be confirmed
  // terminated only once.
  for (const kv::Entry& entry : failover.terminating_jobs) {
    if (Job* job = restore_job(entry, failover.wall_ms, now); job != nullptr) job->cancelled = true;
  }
  for (const kv::Entry& entry : failover.active_jobs) {
    const auto id = state::job_of_key(entry.key);
    if (kept(Guard::adopted_once) && id && cluster_.jobs.find(*id) != cluster_.jobs.end()) continue;
    restore_job(entry, failover.wall_ms, now);
  }
  for (const kv::Entry& entry : failover.shards) restore_shard(entry, now);
}

Job* JobIntake::restore_job(const kv::Entry& entry, std::int64_t wall_ms, Instant now) {
  try {
    return &add_job(state::job_from(entry.data), entry.revision, wall_ms, now);
  } catch (const wire::Malformed& error) {
    spdlog::error("job_record_unreadable key={} error=\"{}\"", entry.key, error.what());
    return nullptr;
  }
}

void JobIntake::restore_shard(const kv::Entry& entry, Instant now) {
  const auto id = state::job_of_key(entry.key);
  const auto number = state::shard_of_key(entry.key);
  const auto known = id ? cluster_.jobs.find(*id) : cluster_.jobs.end();
  if (known == cluster_.jobs.end() || !number || *number >= known->second.shards.size()) return;
  Job& job = known->second;
  try {
    job.shards[*number].revision = entry.revision;
    job.shards[*number].may_have_record = true;
    cluster_.jobs.adopt_shard(job, *number,
                              state::job_shard_from(entry.data, state::shard_size(job.spec.tasks, *number)),
                              cluster_.machines, now);
    book_restored_allocations(job, *number, now);
  } catch (const wire::Malformed& error) {
    spdlog::error("job_shard_record_unreadable key={} error=\"{}\"", entry.key, error.what());
  }
}

void JobIntake::resume_jobs(Instant now) {
  std::vector<JobId> cancelled;
  for (auto& [id, job] : cluster_.jobs) {
    // Only the earlier leader knew whether a partly placed gang waits for a replacement task or is to be stopped.
    // Holding the start barrier lets a replacement join within a time limit. Without it, the waiting tasks would keep
    // their allocations until they give up by themselves.
    const bool incomplete_gang = job.spec.kind == wire::JobKind::gang && job.allocation_count > 0 && job.pending() > 0;
    if (incomplete_gang) GangCoordinator::hold_start_barrier(cluster_, job, now);
    if (job.cancelled) cancelled.push_back(id);
  }
  for (const JobId& id : cancelled) {
    Job& job = cluster_.jobs.at(id);
    job.had_allocations = true;
    task_lifecycle_.cancel_job(job, now);
  }
}

Job& JobIntake::add_job(const state::JobRecord& record, Revision revision, std::int64_t wall_ms, Instant now) {
  Job& job = cluster_.jobs.add(record, revision, wall_ms, cluster_.machines, now);
  demand_.record_job(job.spec, job.task_resources, job.submitted);
  if (record.only_shard) book_restored_allocations(job, 0, now);
  cluster_.needs_planning = true;
  return job;
}

void JobIntake::book_restored_allocations(Job& job, std::uint32_t number, Instant now) {
  for (auto& [unused, allocation] : job.shards[number].allocations) {
    cluster_.register_image_cache(cluster_.machines.at(allocation.machine));
    allocation.booking = cluster_.planner.book({.machine = allocation.machine,
                                                .team = job.spec.team,
                                                .amounts = job.task_resources,
                                                .start = now,
                                                .stop = now + booking_duration(job)});
  }
}

// ---- changes of records ----

void JobIntake::on_record(const JobId& id, const wire::Value& record, Revision revision, std::int64_t wall_ms,
                          Instant now) {
  if (!cluster_.jobs.on_record(id, revision)) return;
  try {
    const Job& job = add_job(state::job_from(record), revision, wall_ms, now);
    spdlog::info("job_accepted job={} team={} tasks={} class={}", id.text(), job.spec.team, job.spec.tasks,
                 job.spec.job_class);
  } catch (const wire::Malformed& error) {
    spdlog::error("job_record_unreadable job={} error=\"{}\"", id.text(), error.what());
  }
}

void JobIntake::on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now) {
  Job* job = cluster_.jobs.on_reloaded(reload, revision);
  if (job == nullptr) return;
  spdlog::info("job_record_missing job={} tasks_to_stop={}", reload.job.text(), job->allocation_count);
  task_lifecycle_.cancel_job(*job, now);
}

void JobIntake::on_removed(const JobId& id, Instant now) {
  Job* job = cluster_.jobs.on_record_deleted(id);
  if (job == nullptr) return;
  spdlog::info("job_cancelled job={} tasks_to_stop={}", id.text(), job->allocation_count);
  task_lifecycle_.cancel_job(*job, now);
}

void JobIntake::on_job_list(const std::vector<kv::Entry>& listed_jobs, std::int64_t wall_ms, Instant now) {
  std::set<JobId> listed;
  for (const kv::Entry& entry : listed_jobs) {
    const auto id = state::job_of_key(entry.key);
    if (!id) continue;
    listed.insert(*id);
    on_record(*id, entry.data, entry.revision, wall_ms, now);
  }
  std::vector<JobId> removed;
  for (const auto& [id, job] : cluster_.jobs.all()) {
    if (!job.cancelled && !listed.contains(id)) removed.push_back(id);
  }
  for (const JobId& id : removed) on_removed(id, now);
}

}  // namespace foxshunt::control
