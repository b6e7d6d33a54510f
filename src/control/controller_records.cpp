// Controller: changes of job records, and the writes that make the job table durable.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/guards.h"
#include "control/controller.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

void Controller::on_job_record(const JobId& id, const wire::Value& record, Revision revision, std::int64_t wall_ms,
                               Instant now) {
  if (!leadership_.is_leader()) return;
  scheduling_cycle_.queue().ranking().tell_time(wall_ms, now);
  job_intake().on_record(id, record, revision, wall_ms, now);
}

void Controller::on_job_removed(const JobId& id, Instant now) {
  if (leadership_.is_leader()) job_intake().on_removed(id, now);
}

bool Controller::on_job_list(Term read_term, const std::vector<kv::Entry>& listed_jobs, std::int64_t wall_ms,
                             Instant now) {
  // A listing read in an earlier term lacks the jobs accepted since. These would be treated as cancelled and would
  // never run.
  if (!leadership_.is_leader() || (kept(Guard::list_term) && read_term != leadership_.term())) return false;
  if (!listed_jobs.empty()) scheduling_cycle_.queue().ranking().tell_time(wall_ms, now);
  job_intake().on_job_list(listed_jobs, wall_ms, now);
  return true;
}

void Controller::on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now) {
  if (leadership_.is_leader()) job_intake().on_reloaded(reload, revision, now);
}

std::optional<WriteBatch> Controller::begin_write(Instant now) {
  if (!leadership_.can_modify_cluster(now)) return std::nullopt;
  return cluster_.jobs.begin_write(leadership_.term_revision(), cluster_.settings.state_txn_ops, now);
}

void Controller::end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now) {
  // The result of a write of an earlier leadership term is ignored. Its failed condition on the term is no reason to
  // step down now, and the job table that the write was built from no longer exists.
  if (!leadership_.is_leader() ||
      (kept(Guard::write_earlier_lead) && batch.term_revision != leadership_.term_revision()))
    return;
  ++cluster_.counters.writes;
  if (result.status != kv::Status::ok) ++cluster_.counters.writes_failed;
  if (result.status == kv::Status::conflict &&
      std::ranges::find(result.failed_keys, state::kTermKey) != result.failed_keys.end()) {
    on_term_conflict(batch.term_revision);
    return;
  }
  for (const Job& job : cluster_.jobs.end_write(batch, result, now)) {
    for (const plan::BookingId booking : job.bookings) cluster_.planner.revoke(booking);
  }
}

}  // namespace foxshunt::control
