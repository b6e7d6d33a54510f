// Loads job records into the job table: all of them when leadership begins, and their changes afterwards.
//
// JobIntake has no state of its own. It changes the cluster state, stops the tasks of cancelled jobs through
// TaskLifecycle and reports each job to the demand estimator. Callers must check first that this controller leads.
// JobIntake writes no records and places no tasks; allocations that a record holds are booked in the planner.
// Constructed per call and not stored. Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "control/cluster_state.h"
#include "control/demand_estimator.h"
#include "control/failover.h"
#include "control/leadership.h"
#include "control/task_lifecycle.h"
#include "kv/client.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::control {

class JobIntake {
 public:
  JobIntake(ClusterState& cluster, const Leadership& leadership, DemandEstimator& demand)
      : cluster_(cluster), task_lifecycle_(cluster, leadership), demand_(demand) {}

  // Loads the records of earlier leaders, and resumes gang starts and cancellations that they left unfinished.
  void restore(const FailoverSnapshot& failover, Instant now);
  // Handle a change, and the removal, of an active job's record.
  void on_record(const JobId& id, const wire::Value& record, Revision revision, std::int64_t wall_ms, Instant now);
  void on_removed(const JobId& id, Instant now);
  // Applies a complete listing of the active jobs' records. Known jobs that are not listed are cancelled.
  void on_job_list(const std::vector<kv::Entry>& listed_jobs, std::int64_t wall_ms, Instant now);
  // Applies the result of rereading a record; no revision means that the record does not exist.
  void on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now);

 private:
  void restore_jobs(const FailoverSnapshot& failover, Instant now);
  Job* restore_job(const kv::Entry& entry, std::int64_t wall_ms, Instant now);
  void restore_shard(const kv::Entry& entry, Instant now);
  void resume_jobs(Instant now);
  Job& add_job(const state::JobRecord& record, Revision revision, std::int64_t wall_ms, Instant now);
  // Books the shard's restored allocations in the planner. Each is assumed to run for the estimated duration from now
  // on.
  void book_restored_allocations(Job& job, std::uint32_t shard, Instant now);

  ClusterState& cluster_;
  TaskLifecycle task_lifecycle_;
  DemandEstimator& demand_;
};

}  // namespace foxshunt::control
