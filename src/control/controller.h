// The cluster controller: accepts events, dispatches them to the modules of this package and returns the actions they
// decide.
//
// The controller owns the cluster state and the stateful modules (leadership, autoscaler, gang coordinator, scheduling
// cycle, deadline planner). Stateless modules are constructed per call. All events and the current time are passed in.
// The controller does no I/O, takes no lock and starts no thread; `node` does these, and calls the controller under a
// mutex. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalog/model.h"
#include "classes/ranking.h"
#include "config/settings.h"
#include "control/autoscaler.h"
#include "control/cluster_state.h"
#include "control/counters.h"
#include "control/deadline_planner.h"
#include "control/failover.h"
#include "control/gang_coordinator.h"
#include "control/job_intake.h"
#include "control/leadership.h"
#include "control/scheduling_cycle.h"
#include "control/task_lifecycle.h"
#include "control/zone_coordinator.h"
#include "foresight/foresight.h"
#include "jobs/job_table.h"
#include "pools/desk.h"
#include "standby/picture.h"
#include "kv/client.h"
#include "wire/messages.h"
#include "zone/delegated_lease.h"
#include "zone/delegation_table.h"
#include "zone/zone_health.h"

namespace foxshunt::control {

// Totals of the current cluster state, for operators.
struct ClusterSummary {
  std::uint64_t jobs = 0;
  std::uint64_t tasks_waiting = 0;
  std::uint64_t tasks_placed = 0;
  std::uint64_t machines_up = 0;
  std::uint64_t machines_booting = 0;
  std::uint64_t machines_leaving = 0;
  std::uint64_t unwritten_records = 0;  // job records whose in-memory state is newer than the stored one
  Millis oldest_unwritten_age{};        // how long the oldest of them has been unwritten
  Millis fence_remaining{};             // time until heartbeats may no longer be answered, without a new confirmation
};

class Controller {
 public:
  explicit Controller(config::Settings settings);
  // Returns an independent copy of the current state. Tests use copies to try several orders of events.
  [[nodiscard]] Controller copy() const;

  // ---- leadership ----
  // Starts a leadership term: resets the cluster state and restores it from the records of earlier leaders.
  void become_leader(const FailoverSnapshot& failover, Instant now);
  // Ends the leadership term, if there is one; `reason` is logged.
  void step_down(const std::string& reason);
  // Handles a write that failed its condition on this revision of the term record. Steps down only if the current
  // leadership term has that revision; a write of an earlier leadership term has no effect.
  void on_term_conflict(Revision term_revision);
  [[nodiscard]] bool is_leader() const { return leadership_.is_leader(); }
  // Returns whether this controller stepped down in favour of other nodes so recently that it must not campaign yet.
  [[nodiscard]] bool should_yield_leadership(Instant now) const { return leadership_.should_yield(now); }
  [[nodiscard]] Term term() const { return leadership_.term(); }
  [[nodiscard]] Revision term_revision() const { return leadership_.term_revision(); }
  // Handles a term that another controller reported. Steps down if the term is higher than its own.
  void observe_term(Term term);
  // The leader lease was valid at `when`.
  void on_leader_lease_renewed(Instant when);
  // All record changes made before `when` have been applied.
  void on_records_confirmed(Instant when);
  // Returns whether heartbeats may be answered with status 200, which renews the agents' leases.
  [[nodiscard]] bool can_renew_agent_leases(Instant now) const;
  // Returns whether tasks may be started or preempted, records written, and machines rented or returned.
  [[nodiscard]] bool can_start_tasks(Instant now) const;

  // ---- job records ----
  // `wall_ms`: the current wall-clock time in milliseconds since the epoch.
  void on_job_record(const JobId& job, const wire::Value& record, Revision revision, std::int64_t wall_ms, Instant now);
  void on_job_removed(const JobId& job, Instant now);
  // Applies a complete listing of live/. `read_term` is the term in which the read began. Returns false, and changes
  // nothing, if this controller does not lead in that term: the listing may lack jobs that were accepted since.
  [[nodiscard]] bool on_job_list(Term read_term, const std::vector<kv::Entry>& listed_jobs, std::int64_t wall_ms,
                                 Instant now);
  // Returns the next record that must be reread, if any.
  [[nodiscard]] std::optional<jobs::Reload> next_reload() const { return cluster_.jobs.next_reload(); }
  // Applies the result of rereading a record; no revision means that the record does not exist.
  void on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now);
  // Returns the next write transaction, or nullopt if nothing is to be written or writing is not allowed. Each batch
  // must be completed with end_write().
  [[nodiscard]] std::optional<WriteBatch> begin_write(Instant now);
  void end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now);

  // ---- catalog ----
  // Applies the catalog set in force. `wall_ms`: the current wall-clock time in milliseconds since the epoch.
  void on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now);
  // Replaces the deadlines that the calendar records set for jobs.
  void on_due_jobs(foresight::DueJobs due_jobs);
  // Forecasts, from the current plan, whether jobs meet their deadlines and which resources are missing. Empty until a
  // whole pass has been planned after all agents had time to report to this leader.
  [[nodiscard]] std::map<JobId, foresight::DeadlineForecast> deadline_forecasts(Instant now) const;
  // The job order of the latest planning pass; empty if no job classes are defined.
  [[nodiscard]] const classes::Ranking& ranking() const { return scheduling_cycle_.queue().ranking(); }
  // Planned end times of jobs; jobs without a booking are omitted.
  [[nodiscard]] std::map<JobId, Instant> planned_ends() const { return deadline_planner_.planned_ends(cluster_); }

  // ---- agents ----
  // Returns the commands for the reply. Returns nullopt if this controller does not lead or may not renew agent leases.
  [[nodiscard]] std::optional<std::vector<wire::Command>> on_heartbeat(const wire::Heartbeat& heartbeat, Instant now);
  // Returns whether everything the heartbeat reported is durable and planned. If so, delaying the reply adds no
  // commands.
  [[nodiscard]] bool is_settled(const wire::Heartbeat& heartbeat) const;
  // Returns commands for the same heartbeat that became available after on_heartbeat(). Returns nullopt if the right to
  // answer has been lost since.
  [[nodiscard]] std::optional<std::vector<wire::Command>> follow_up_commands(const wire::Heartbeat& heartbeat,
                                                                             Instant now);
  // Returns stop commands to send to agents directly, because no heartbeat reply has delivered them in time.
  [[nodiscard]] std::vector<DirectStop> due_direct_stops(Instant now);

  // ---- zones ----
  // Returns the lease delegation for another controller. Returns nullopt if the sender is not in `settings.siblings`,
  // its request is stale, or nothing can be delegated now.
  [[nodiscard]] std::optional<zone::LeaseDelegation> on_delegation_request(const zone::DelegationRequest& request,
                                                                           Instant now);
  [[nodiscard]] const zone::DelegationTable& delegations() const { return cluster_.delegations; }
  [[nodiscard]] const zone::ZoneHealthMonitor& zone_health() const { return cluster_.zone_health; }

  // ---- cloud ----
  void on_machine_types(const std::vector<wire::MachineType>& types);
  [[nodiscard]] const std::vector<wire::MachineType>& machine_types() const { return cluster_.machine_types; }
  // Applies a complete machine list, which was requested at `requested` and is here now.
  void on_machine_list(const std::vector<wire::ListedMachine>& listed, Instant requested, Instant now);
  [[nodiscard]] std::optional<wire::ScaleOutRequest> next_scale_out(Instant now);
  void on_scaled_out(const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented, Instant now);
  void on_scale_out_refused(const wire::ScaleOutRequest& request, Instant now);
  [[nodiscard]] std::vector<MachineId> next_scale_in(Instant now);
  void on_scaled_in(const std::vector<MachineId>& returned, Instant now);

  // ---- pools ----
  // Replaces the directives of the warm pools. May be called at any time, also while not leading.
  void set_pool_directives(pools::PoolDirectives directives);
  // Returns the fleet state that the warm pool controller works on.
  [[nodiscard]] pools::FleetObservation observe_for_pools(Instant now);

  // ---- standby ----
  // Returns the state that is not stored in records, for the standby controllers.
  [[nodiscard]] standby::SoftStateSnapshot soft_state(Instant now) const;
  // Applies the soft state of an earlier term's leader. It only influences planning and renting, and is replaced by
  // reported state. It confirms no task as terminated and makes no machine schedulable. May arrive at any time while
  // leading.
  void apply_soft_state(const standby::SoftStateSnapshot& snapshot, Instant now);

  // ---- time ----
  // Periodic maintenance: expired leases, overdue allocations, idle machines. Steps down if no agent reaches this node.
  void tick(Instant now);
  // Plans a portion of the pending jobs and places tasks that can start now. Events may be handled between portions.
  // Plans at least one job, and stops once `max_examined_machines` machines have been examined. Returns true at the end
  // of the pass.
  bool plan_portion(Instant now, std::size_t max_examined_machines);
  // Runs portions up to the end of a pass.
  void plan_pass(Instant now);
  // Returns whether a pass is needed or in progress.
  [[nodiscard]] bool needs_planning() const {
    return cluster_.needs_planning || scheduling_cycle_.is_pass_in_progress();
  }
  // Returns whether a pass is in progress. Jobs that the pass has not reached yet have no booking.
  [[nodiscard]] bool is_planning() const { return scheduling_cycle_.is_pass_in_progress(); }
  // Returns whether machines are to be rented or returned.
  [[nodiscard]] bool needs_scaling() const;
  [[nodiscard]] bool has_pending_writes() const { return cluster_.jobs.has_pending_writes(); }

  [[nodiscard]] ClusterSummary cluster_summary(Instant now) const;
  // Explains in words why the job's tasks wait and when the next one is planned to start. Returns nullopt if the job is
  // unknown or this controller does not lead.
  [[nodiscard]] std::optional<std::string> explain(const JobId& job, Instant now) const;
  [[nodiscard]] const Counters& counters() const { return cluster_.counters; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return cluster_.jobs.all(); }
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return cluster_.machines.all(); }
  // For tests: describes the first inconsistency between jobs, allocations and machines, if any.
  [[nodiscard]] std::optional<std::string> find_inconsistency() const {
    return cluster_.jobs.find_inconsistency(cluster_.machines);
  }

 private:
  // Stateless modules, constructed for the duration of a call.
  [[nodiscard]] TaskLifecycle task_lifecycle() { return {cluster_, leadership_}; }
  [[nodiscard]] JobIntake job_intake() { return {cluster_, leadership_, autoscaler_.demand()}; }
  [[nodiscard]] ZoneCoordinator zone_coordinator() { return {cluster_, leadership_}; }

  ClusterState cluster_;
  Leadership leadership_;
  Autoscaler autoscaler_;
  GangCoordinator gang_coordinator_;
  SchedulingCycle scheduling_cycle_;
  DeadlinePlanner deadline_planner_;
};

}  // namespace foxshunt::control
