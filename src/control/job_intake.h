// Takes the records of jobs into the job table: all of them when a lead begins, and their changes from then on.
//
// Owns no state of its own. Is given the cluster state, which it changes, the life cycle by which it ends cancelled jobs, and the
// demand, which learns of each job. Whether this controller leads is the controller's to ask first. Never writes a record and never
// places a task; what a record places is booked in the plan. Made for the length of a call and not stored; pure; not
// thread-safe.
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
      : cluster_(cluster), tasks_(cluster, leadership), demand_(demand) {}

  // Takes in what earlier leaders have recorded, and goes on with gangs and cancellations that they have left half done.
  void restore(const FailoverSnapshot& failover, Instant now);
  void on_record(const JobId& id, const wire::Value& record, Revision revision, std::int64_t wall_ms, Instant now);
  void on_removed(const JobId& id, Instant now);
  // All records of active jobs: jobs without one are cancelled.
  void on_list(const std::vector<kv::Entry>& live, std::int64_t wall_ms, Instant now);
  // What a fresh read of the record found.
  void on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now);

 private:
  void restore_jobs(const FailoverSnapshot& failover, Instant now);
  Job* restore_job(const kv::Entry& entry, std::int64_t wall_ms, Instant now);
  void restore_part(const kv::Entry& entry, Instant now);
  void resume_jobs(Instant now);
  Job& add_job(const state::JobRecord& record, Revision revision, std::int64_t wall_ms, Instant now);
  // What a record places there is believed to run for its estimate from now on.
  void book_adopted(Job& job, std::uint32_t shard, Instant now);

  ClusterState& cluster_;
  TaskLifecycle tasks_;
  DemandEstimator& demand_;
};

}  // namespace foxshunt::control
