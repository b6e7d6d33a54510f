#include "control/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/machine_housekeeper.h"
#include "control/reconciler.h"
#include "control/soft_state.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

namespace {

// Sets the teams' limits in the planner. A configured maximum of zero means no limit.
void set_team_quotas(ClusterState& cluster) {
  const auto limit = [](double max_amount) {
    return max_amount > 0 ? std::optional<plan::AmountUnits>(ResourceAmounts::from(max_amount, 0, 0).values[0])
                          : std::nullopt;
  };
  for (const config::Team& team : cluster.settings.teams) {
    cluster.planner.set_team_limit(team.name, {.cpus = limit(team.cpus_max), .gpus = limit(team.gpus_max)});
  }
}

}  // namespace

Controller::Controller(config::Settings settings)
    : cluster_(std::move(settings)), leadership_(fencing_timeout(cluster_.settings)) {}

Controller Controller::copy() const {
  Controller result = *this;
  result.cluster_.rebind_planned_nodes();
  return result;
}

// ---- leadership ----

void Controller::become_leader(const FailoverSnapshot& failover, Instant now) {
  // Machine types, learned demand, pool state and the job ranking outlive a leadership term. All other state is rebuilt
  // from the records.
  const std::vector<wire::MachineType> types = std::move(cluster_.machine_types);
  Autoscaler autoscaler = autoscaler_.successor();
  pools::PoolAdmission pools = std::move(cluster_.pools);
  classes::Ranking ranking = std::move(scheduling_cycle_.queue().ranking());
  *this = Controller(std::move(cluster_.settings));
  cluster_.machine_types = types;
  autoscaler_ = std::move(autoscaler);
  cluster_.pools = std::move(pools);
  cluster_.pools.become_leader(now);
  scheduling_cycle_.queue().ranking() = std::move(ranking);
  scheduling_cycle_.queue().ranking().tell_time(failover.wall_ms, now);
  leadership_.begin_term(failover.term, failover.term_revision, now);
  cluster_.older_leaders_until = kept(Guard::others_counted) ? failover.older_leaders_until : now;
  cluster_.delegations = zone::DelegationTable(cluster_.settings.siblings, delegation_spans(cluster_.settings));
  set_team_quotas(cluster_);
  job_intake().restore(failover, now);
}

void Controller::step_down(const std::string& reason) { leadership_.step_down(reason); }

void Controller::on_term_conflict(Revision term_revision) { leadership_.on_term_conflict(term_revision); }

void Controller::observe_term(Term term) { leadership_.observe_term(term, "another controller reported"); }

void Controller::on_leader_lease_renewed(Instant when) { leadership_.on_lease_confirmed(when); }

void Controller::on_records_confirmed(Instant when) { leadership_.on_records_confirmed(when, cluster_.jobs); }

bool Controller::can_renew_agent_leases(Instant now) const { return leadership_.can_renew_agent_leases(now); }

bool Controller::can_start_tasks(Instant now) const { return leadership_.can_modify_cluster(now); }

// ---- agents ----

std::optional<std::vector<wire::Command>> Controller::on_heartbeat(const wire::Heartbeat& heartbeat, Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  leadership_.observe_term(heartbeat.term, "an agent reported");
  if (!leadership_.can_renew_agent_leases(now)) return std::nullopt;
  ++cluster_.counters.heartbeats;
  return Reconciler(cluster_, leadership_).on_heartbeat(heartbeat, now);
}

bool Controller::is_settled(const wire::Heartbeat& heartbeat) const {
  if (!leadership_.is_leader() || !cluster_.machines.contains(heartbeat.machine)) return true;
  const bool any_ended = std::ranges::any_of(
      heartbeat.tasks, [](const wire::TaskStatus& task) { return task.state == wire::TaskState::ended; });
  if (any_ended && needs_planning()) return false;
  return is_heartbeat_durable(cluster_, heartbeat);
}

std::optional<std::vector<wire::Command>> Controller::follow_up_commands(const wire::Heartbeat& heartbeat,
                                                                         Instant now) {
  // A reply renews the agent's lease. The controller may have lost the right to renew leases since the heartbeat
  // arrived.
  if (kept(Guard::answer_rechecked) && !leadership_.can_renew_agent_leases(now)) return std::nullopt;
  return Reconciler(cluster_, leadership_).newly_due_commands(heartbeat, now);
}

std::vector<DirectStop> Controller::due_direct_stops(Instant now) { return task_lifecycle().due_direct_stops(now); }

// ---- other controllers ----

std::optional<zone::LeaseDelegation> Controller::on_delegation_request(const zone::DelegationRequest& request,
                                                                       Instant now) {
  return zone_coordinator().on_delegation_request(request, now);
}

standby::SoftStateSnapshot Controller::soft_state(Instant now) const {
  const DemandEstimator& demand = autoscaler_.demand();
  const TaskPricing pricing = autoscaler_.pricing(cluster_);
  std::set<std::string> urgent_classes;
  for (const auto& [name, of_class] : demand.classes()) {
    if (pricing.is_urgent_class(name, of_class.sample)) urgent_classes.insert(name);
  }
  return make_soft_state_snapshot(
      {.cluster = cluster_, .demand = demand, .capacity = autoscaler_.capacity(), .urgent_classes = urgent_classes},
      leadership_.term(), now);
}

void Controller::apply_soft_state(const standby::SoftStateSnapshot& snapshot, Instant now) {
  SoftStateRestorer(cluster_, leadership_, autoscaler_.demand(), autoscaler_.capacity()).apply(snapshot, now);
}

// ---- planning ----

bool Controller::plan_portion(Instant now, std::size_t max_examined_machines) {
  if (!leadership_.is_leader()) {
    scheduling_cycle_.abort_pass();
    return true;
  }
  TaskLifecycle lifecycle = task_lifecycle();
  return scheduling_cycle_.plan_portion(
      {cluster_, gang_coordinator_, autoscaler_, deadline_planner_, lifecycle, cluster_.counters}, now,
      max_examined_machines);
}

void Controller::plan_pass(Instant now) {
  bool ended = false;
  while (!ended) ended = plan_portion(now, SIZE_MAX);
}

void Controller::on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now) {
  scheduling_cycle_.queue().ranking().on_catalog(set);
  scheduling_cycle_.queue().ranking().tell_time(wall_ms, now);
  cluster_.needs_planning = true;
}

void Controller::on_due_jobs(foresight::DueJobs due_jobs) {
  if (deadline_planner_.on_due_jobs(std::move(due_jobs))) {
    cluster_.needs_planning = true;       // deadlines affect the job order
    scheduling_cycle_.invalidate_plan();  // the previous plan did not consider these deadlines
  }
  scheduling_cycle_.queue().ranking().on_slack(deadline_planner_.slack_steps());
}

std::map<JobId, foresight::DeadlineForecast> Controller::deadline_forecasts(Instant now) const {
  // A forecast requires a complete pass over all machines. A new leader does not know all machines before their agents
  // have had time to report, directly or through another controller.
  if (!leadership_.is_leader() || scheduling_cycle_.is_pass_in_progress() ||
      scheduling_cycle_.last_pass_started_at() <
          leadership_.term_started() + heartbeat_reroute_timeout(cluster_.settings))
    return {};
  return deadline_planner_.deadline_forecasts(
      {cluster_, autoscaler_.demand(), autoscaler_.capacity(), scheduling_cycle_.queue().ranking()},
      scheduling_cycle_.last_pass_started_at(), now);
}

}  // namespace foxshunt::control
