// Records: what is durable, and what of it is on its way.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/controller.h"
#include "control/planned_bookings.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

// ---- taken over from earlier leaders ----

void Controller::restore_jobs(const Takeover& takeover, Instant now) {
  // What lingers is read last, and a job that its user cancels meanwhile is in both: taken in twice its tasks would
  // count twice for the team's quota, and once more than they can be confirmed terminated.
  for (const state::Entry& entry : takeover.linger) {
    if (Job* job = restore_job(entry, takeover.wall_ms, now); job != nullptr) job->withdrawn = true;
  }
  for (const state::Entry& entry : takeover.live) {
    const auto id = state::job_of_key(entry.key);
    if (kept(Guard::adopted_once) && id && cluster_.jobs.find(*id) != cluster_.jobs.end()) continue;
    restore_job(entry, takeover.wall_ms, now);
  }
  for (const state::Entry& entry : takeover.parts) restore_part(entry, now);
}

Job* Controller::restore_job(const state::Entry& entry, std::int64_t wall_ms, Instant now) {
  try {
    return &add_job(state::job_from(entry.data), entry.mark, wall_ms, now);
  } catch (const wire::Malformed& error) {
    spdlog::error("record {} cannot be read: {}", entry.key, error.what());
    return nullptr;
  }
}

void Controller::restore_part(const state::Entry& entry, Instant now) {
  const auto id = state::job_of_key(entry.key);
  const auto number = state::part_of_key(entry.key);
  const auto known = id ? cluster_.jobs.find(*id) : cluster_.jobs.end();
  if (known == cluster_.jobs.end() || !number || *number >= known->second.parts.size()) return;
  Job& job = known->second;
  try {
    job.parts[*number].mark = entry.mark;
    job.parts[*number].recorded = true;
    cluster_.jobs.adopt_part(job, *number, state::part_from(entry.data, state::part_size(job.spec.tasks, *number)),
                             cluster_.machines, now);
    book_adopted(job, *number, now);
  } catch (const wire::Malformed& error) {
    spdlog::error("record {} cannot be read: {}", entry.key, error.what());
  }
}

void Controller::resume_jobs(Instant now) {
  std::vector<JobId> cancelled;
  for (auto& [id, job] : cluster_.jobs) {
    // That a gang lost a task and waits for another, or that the rest is to be stopped, only the earlier leader knew: unless
    // another task joins them, those that wait would keep their places until they give up by themselves.
    const bool incomplete_gang = job.spec.kind == wire::JobKind::gang && job.runs_count > 0 && job.pending() > 0;
    if (incomplete_gang) GangCoordinator::hold_start_barrier(cluster_, job, now);
    if (job.withdrawn) cancelled.push_back(id);
  }
  for (const JobId& id : cancelled) {
    Job& job = cluster_.jobs.at(id);
    job.had_runs = true;
    tasks().cancel(job, now);
  }
}

// ---- changes of records ----

Job& Controller::add_job(const state::JobRecord& record, Revision mark, std::int64_t wall_ms, Instant now) {
  Job& job = cluster_.jobs.add(record, mark, wall_ms, cluster_.machines, now);
  autoscaler_.demand().learn(job.spec, job.each, job.submitted);
  if (record.whole) book_adopted(job, 0, now);
  cluster_.plan_wanted = true;
  return job;
}

void Controller::book_adopted(Job& job, std::uint32_t number, Instant now) {
  for (auto& [unused, run] : job.parts[number].runs) {
    cluster_.know_cache(cluster_.machines.at(run.machine));
    run.booking = cluster_.planner.book({.machine = run.machine,
                                         .team = job.spec.team,
                                         .amounts = job.each,
                                         .start = now,
                                         .stop = now + estimate(job)});
  }
}

void Controller::on_job_record(const JobId& id, const wire::Value& record, Revision mark, std::int64_t wall_ms,
                               Instant now) {
  if (!leadership_.is_leader()) return;
  cycle_.queue().ranking().tell_time(wall_ms, now);
  if (!cluster_.jobs.on_record(id, mark)) return;
  try {
    const Job& job = add_job(state::job_from(record), mark, wall_ms, now);
    spdlog::info("job {} of team {}: {} tasks of class {}", id.text(), job.spec.team, job.spec.tasks,
                 job.spec.job_class);
  } catch (const wire::Malformed& error) {
    spdlog::error("record of job {} cannot be read: {}", id.text(), error.what());
  }
}

void Controller::on_reloaded(const jobs::Reload& reload, std::optional<Revision> mark, Instant now) {
  if (!leadership_.is_leader()) return;
  Job* job = cluster_.jobs.on_reloaded(reload, mark);
  if (job == nullptr) return;
  spdlog::info("job {}: its record is gone, {} tasks to stop", reload.job.text(), job->runs_count);
  tasks().cancel(*job, now);
}

void Controller::on_job_removed(const JobId& id, Instant now) {
  if (!leadership_.is_leader()) return;
  Job* job = cluster_.jobs.on_removed(id);
  if (job == nullptr) return;
  spdlog::info("job {}: withdrawn, {} tasks to stop", id.text(), job->runs_count);
  tasks().cancel(*job, now);
}

bool Controller::on_job_list(Term read_in, const std::vector<state::Entry>& live, std::int64_t wall_ms, Instant now) {
  // Read in an earlier lead, it lacks what was accepted since, which would be taken for withdrawn and never run.
  if (!leadership_.is_leader() || (kept(Guard::list_term) && read_in != leadership_.term())) return false;
  std::set<JobId> there;
  for (const state::Entry& entry : live) {
    const auto id = state::job_of_key(entry.key);
    if (!id) continue;
    there.insert(*id);
    on_job_record(*id, entry.data, entry.mark, wall_ms, now);
  }
  std::vector<JobId> removed;
  for (const auto& [id, job] : cluster_.jobs.all()) {
    if (!job.withdrawn && !there.contains(id)) removed.push_back(id);
  }
  for (const JobId& id : removed) on_job_removed(id, now);
  return true;
}

std::optional<WriteBatch> Controller::begin_write(Instant now) {
  if (!leadership_.can_start(now)) return std::nullopt;
  return cluster_.jobs.begin_write(leadership_.term_revision(), cluster_.settings.state_txn_ops, now);
}

void Controller::end_write(const WriteBatch& batch, const state::TxnResult& result, Instant now) {
  // The answer to an earlier lead's write tells nothing of this one: that its condition on the term failed is no reason to
  // give this lead up, and the job table that it was built from is gone.
  if (!leadership_.is_leader() || (kept(Guard::write_earlier_lead) && batch.term_mark != leadership_.term_revision()))
    return;
  ++cluster_.counters.writes;
  if (result.answer != state::Answer::ok) ++cluster_.counters.writes_failed;
  if (result.answer == state::Answer::conflict &&
      std::ranges::find(result.failed, state::kTermKey) != result.failed.end()) {
    on_term_conflict(batch.term_mark);
    return;
  }
  for (const Job& job : cluster_.jobs.end_write(batch, result, now)) {
    for (const plan::BookingId booking : job.booked) cluster_.planner.revoke(booking);
  }
}

}  // namespace foxshunt::control
