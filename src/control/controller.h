// The controller: takes events, calls the modules of this package in order, and hands out the actions that they decide on.
//
// Owns the cluster state and the modules that have state of their own (leadership, autoscaler, gang coordinator, scheduling cycle,
// deadline planner); the others are made for the length of a call. Is told events and the time. Never does I/O, holds no lock and
// starts no thread: `node` does, and calls it under a mutex. Not thread-safe.
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

// What there is now.
struct ClusterSummary {
  std::uint64_t jobs = 0;
  std::uint64_t tasks_waiting = 0;
  std::uint64_t tasks_placed = 0;
  std::uint64_t machines_up = 0;
  std::uint64_t machines_booting = 0;
  std::uint64_t machines_leaving = 0;
  std::uint64_t unwritten = 0;  // records that memory is ahead of
  Millis unwritten_oldest{};    // for so long
  Millis fence_left{};          // until workers' reports may no longer be answered
};

class Controller {
 public:
  explicit Controller(config::Settings settings);
  // Another one that goes on from the same moment, for tests that try several orders.
  [[nodiscard]] Controller copy() const;

  // ---- leadership ----
  void become_leader(const FailoverSnapshot& failover, Instant now);
  void step_down(const std::string& why);
  // A write failed by its condition on this revision of the term's record: ends the lead that the write was of, and no other.
  void on_term_conflict(Revision term_revision);
  [[nodiscard]] bool is_leader() const { return leadership_.is_leader(); }
  // Whether it left the lead to others so recently that they go first.
  [[nodiscard]] bool should_yield_leadership(Instant now) const { return leadership_.should_yield(now); }
  [[nodiscard]] Term term() const { return leadership_.term(); }
  [[nodiscard]] Revision term_revision() const { return leadership_.term_revision(); }
  // Word of a term from a sibling: a higher one ends this lead.
  void observe_term(Term term);
  // The lease was confirmed / all changes of records were known at that moment.
  void on_leader_lease_renewed(Instant when);
  void on_records_confirmed(Instant when);
  // Whether workers' reports may be answered with 200, and whether anything may be started.
  [[nodiscard]] bool can_renew_agent_leases(Instant now) const;
  [[nodiscard]] bool can_start_tasks(Instant now) const;

  // ---- records ----
  void on_job_record(const JobId& job, const wire::Value& record, Revision revision, std::int64_t wall_ms, Instant now);
  void on_job_removed(const JobId& job, Instant now);
  // All of live/, as a read found it that began in that term. False if this lead is another one: it knows better.
  [[nodiscard]] bool on_job_list(Term read_in, const std::vector<kv::Entry>& live, std::int64_t wall_ms, Instant now);
  [[nodiscard]] std::optional<jobs::Reload> next_reload() const { return cluster_.jobs.next_reload(); }
  // What a fresh read of the record found.
  void on_reloaded(const jobs::Reload& reload, std::optional<Revision> revision, Instant now);
  [[nodiscard]] std::optional<WriteBatch> begin_write(Instant now);
  void end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now);

  // ---- catalog ----
  // The set in force, and the time of day.
  void on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now);
  // What the calendar's records ask of jobs.
  void on_due_jobs(foresight::DueJobs dues);
  // What becomes of these by the plan, and what lacks.
  [[nodiscard]] std::map<JobId, foresight::DeadlineForecast> deadline_forecasts(Instant now) const;
  // When the plan says that other jobs end; those without a booking are left out.
  // The order of the latest pass; empty without classes.
  [[nodiscard]] const classes::Ranking& ranking() const { return cycle_.queue().ranking(); }
  [[nodiscard]] std::map<JobId, Instant> planned_ends() const { return deadlines_.planned_ends(cluster_); }

  // ---- workers ----
  // The commands to answer with; nothing when this controller may not act for the controllers.
  [[nodiscard]] std::optional<std::vector<wire::Command>> on_heartbeat(const wire::Heartbeat& heartbeat, Instant now);
  // Whether all that the report told is durable and planned, so that nothing better can be answered by waiting.
  [[nodiscard]] bool settled(const wire::Heartbeat& heartbeat) const;
  // What may be answered to the same report later on, besides what it was answered with.
  [[nodiscard]] std::optional<std::vector<wire::Command>> later_commands(const wire::Heartbeat& heartbeat, Instant now);
  [[nodiscard]] std::vector<DirectStop> due_direct_stops(Instant now);

  // ---- zones ----
  // What a sibling that asks is granted; nothing when it is no sibling, its word is stale, or nothing can be granted now.
  [[nodiscard]] std::optional<zone::LeaseDelegation> on_delegation_request(const zone::DelegationRequest& ask,
                                                                           Instant now);
  [[nodiscard]] const zone::DelegationTable& delegations() const { return cluster_.delegations; }
  [[nodiscard]] const zone::ZoneHealthMonitor& zones() const { return cluster_.zones; }

  // ---- cloud ----
  void on_types(const std::vector<wire::MachineType>& types);
  [[nodiscard]] const std::vector<wire::MachineType>& types() const { return cluster_.types; }
  void on_machine_list(const std::vector<wire::ListedMachine>& machines, Instant now);
  [[nodiscard]] std::optional<wire::ScaleOutRequest> next_scale_out(Instant now);
  void on_scaled_out(const wire::ScaleOutRequest& request, const std::vector<MachineId>& machines, Instant now);
  void on_scale_out_refused(const wire::ScaleOutRequest& request, Instant now);
  [[nodiscard]] std::vector<MachineId> next_scale_in(Instant now);
  void on_scaled_in(const std::vector<MachineId>& machines, Instant now);

  // ---- pools ----
  // What the pools want of it, at any time; and what it sees, for them.
  void set_pool_directives(pools::PoolDirectives directives);
  [[nodiscard]] pools::FleetObservation observe_for_pools(Instant now);

  // ---- standby ----
  // What no record tells, for siblings.
  [[nodiscard]] standby::SoftStateSnapshot soft_state(Instant now) const;
  // What an earlier term's leader knew: steers plans and renting, and is taken back by what is seen. It proves nothing,
  // and makes no machine usable. Comes at any time of a lead.
  void apply_soft_state(const standby::SoftStateSnapshot& snapshot, Instant now);

  // ---- time ----
  // Housekeeping: expiries, overdue allocations, idle machines; ends a lead that no worker reaches.
  void tick(Instant now);
  // Plans what is pending and places what may start now, a portion of it: events are taken between portions. At least
  // one job is planned, and no more once this many places were looked at. True when the pass has ended.
  bool plan_portion(Instant now, std::size_t places_most);
  // A whole pass.
  void plan_pass(Instant now);
  [[nodiscard]] bool plan_wanted() const { return cluster_.plan_wanted || cycle_.is_pass_in_progress(); }
  // Whether a pass is under way: what it has not come to has no booking.
  [[nodiscard]] bool planning() const { return cycle_.is_pass_in_progress(); }
  // Whether there is something to rent or to return.
  [[nodiscard]] bool cloud_wanted() const;
  [[nodiscard]] bool writes_wanted() const { return cluster_.jobs.writes_wanted(); }

  [[nodiscard]] ClusterSummary cluster_summary(Instant now) const;
  // Why the job's tasks wait and when the next is planned to start, in words; nothing if no such job is known.
  [[nodiscard]] std::optional<std::string> explain(const JobId& job, Instant now) const;
  [[nodiscard]] const Counters& counters() const { return cluster_.counters; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return cluster_.jobs.all(); }
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return cluster_.machines.all(); }
  // Whether jobs, runs and machines agree, for tests: what does not, in words.
  [[nodiscard]] std::optional<std::string> find_inconsistency() const {
    return cluster_.jobs.find_inconsistency(cluster_.machines);
  }

 private:
  // Modules that store no state are made for the length of a call.
  [[nodiscard]] TaskLifecycle tasks() { return {cluster_, leadership_}; }
  [[nodiscard]] JobIntake job_intake() { return {cluster_, leadership_, autoscaler_.demand()}; }
  [[nodiscard]] ZoneCoordinator zone_coordinator() { return {cluster_, leadership_}; }

  ClusterState cluster_;
  Leadership leadership_;
  Autoscaler autoscaler_;
  GangCoordinator gangs_;
  SchedulingCycle cycle_;
  DeadlinePlanner deadlines_;
};

}  // namespace foxshunt::control
