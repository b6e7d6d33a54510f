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

void set_team_quotas(ClusterState& cluster) {
  const auto limit = [](double most) {
    return most > 0 ? std::optional<plan::MilliUnits>(ResourceAmounts::from(most, 0, 0).values[0]) : std::nullopt;
  };
  for (const config::Team& team : cluster.settings.teams) {
    cluster.planner.set_team_limit(team.name, {.cpus = limit(team.cpus_max), .gpus = limit(team.gpus_max)});
  }
}

}  // namespace

Controller::Controller(config::Settings settings)
    : cluster_(std::move(settings)), leadership_(fence_span(cluster_.settings)) {}

Controller Controller::copy() const {
  Controller made = *this;
  made.cluster_.rebind_planned_nodes();
  return made;
}

// ---- leadership ----

void Controller::become_leader(const FailoverSnapshot& failover, Instant now) {
  const std::vector<wire::MachineType> types = std::move(cluster_.types);
  Autoscaler autoscaler = autoscaler_.successor();
  pools::PoolAdmission pools = std::move(cluster_.pools);
  classes::Ranking ranking = std::move(cycle_.queue().ranking());
  *this = Controller(std::move(cluster_.settings));
  cluster_.types = types;
  autoscaler_ = std::move(autoscaler);
  cluster_.pools = std::move(pools);
  cluster_.pools.become_leader(now);
  cycle_.queue().ranking() = std::move(ranking);
  cycle_.queue().ranking().tell_time(failover.wall_ms, now);
  leadership_.begin(failover.term, failover.term_revision, now);
  cluster_.older_leaders_until = kept(Guard::others_counted) ? failover.older_leaders_until : now;
  cluster_.delegations = zone::DelegationTable(cluster_.settings.siblings, delegation_spans(cluster_.settings));
  set_team_quotas(cluster_);
  job_intake().restore(failover, now);
}

void Controller::step_down(const std::string& why) { leadership_.step_down(why); }

void Controller::on_term_conflict(Revision term_revision) { leadership_.on_term_conflict(term_revision); }

void Controller::observe_term(Term term) { leadership_.observe_term(term, "a sibling knows of"); }

void Controller::on_leader_lease_renewed(Instant when) { leadership_.on_lease_confirmed(when); }

void Controller::on_records_confirmed(Instant when) { leadership_.on_records_confirmed(when, cluster_.jobs); }

bool Controller::can_renew_agent_leases(Instant now) const { return leadership_.can_renew_agent_leases(now); }

bool Controller::can_start_tasks(Instant now) const { return leadership_.can_start(now); }

// ---- agents ----

std::optional<std::vector<wire::Command>> Controller::on_heartbeat(const wire::Heartbeat& heartbeat, Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  leadership_.observe_term(heartbeat.term, "a worker has seen");
  if (!leadership_.can_renew_agent_leases(now)) return std::nullopt;
  ++cluster_.counters.heartbeats;
  return Reconciler(cluster_, leadership_).on_heartbeat(heartbeat, now);
}

bool Controller::settled(const wire::Heartbeat& heartbeat) const {
  if (!leadership_.is_leader() || !cluster_.machines.contains(heartbeat.machine)) return true;
  const bool any_ended = std::ranges::any_of(
      heartbeat.tasks, [](const wire::TaskStatus& task) { return task.state == wire::TaskState::ended; });
  if (any_ended && plan_wanted()) return false;
  return is_durable(cluster_, heartbeat);
}

std::optional<std::vector<wire::Command>> Controller::later_commands(const wire::Heartbeat& heartbeat, Instant now) {
  // An answer renews the agent's lease, so the right to answer is looked at again.
  if (kept(Guard::answer_rechecked) && !leadership_.can_renew_agent_leases(now)) return std::nullopt;
  return Reconciler(cluster_, leadership_).later_commands(heartbeat, now);
}

std::vector<DirectStop> Controller::due_direct_stops(Instant now) { return tasks().due_direct_stops(now); }

// ---- other controllers ----

std::optional<zone::LeaseDelegation> Controller::on_delegation_request(const zone::DelegationRequest& ask,
                                                                       Instant now) {
  return zone_coordinator().on_delegation_request(ask, now);
}

standby::SoftStateSnapshot Controller::soft_state(Instant now) const {
  const DemandEstimator& demand = autoscaler_.demand();
  const TaskPricing pricing = autoscaler_.pricing(cluster_);
  std::set<std::string> urgent_classes;
  for (const auto& [name, of_class] : demand.classes()) {
    if (pricing.is_urgent_class(name, of_class.sample)) urgent_classes.insert(name);
  }
  return soft_state_snapshot(
      {.cluster = cluster_, .demand = demand, .supply = autoscaler_.capacity(), .urgent_classes = urgent_classes},
      leadership_.term(), now);
}

void Controller::apply_soft_state(const standby::SoftStateSnapshot& snapshot, Instant now) {
  SoftState(cluster_, leadership_, autoscaler_.demand(), autoscaler_.capacity()).apply(snapshot, now);
}

// ---- planning ----

bool Controller::plan_portion(Instant now, std::size_t places_most) {
  if (!leadership_.is_leader()) {
    cycle_.abandon();
    return true;
  }
  TaskLifecycle lifecycle = tasks();
  return cycle_.plan_portion({cluster_, gangs_, autoscaler_, deadlines_, lifecycle, cluster_.counters}, now,
                             places_most);
}

void Controller::plan_pass(Instant now) {
  bool ended = false;
  while (!ended) ended = plan_portion(now, SIZE_MAX);
}

void Controller::on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now) {
  cycle_.queue().ranking().on_catalog(set);
  cycle_.queue().ranking().tell_time(wall_ms, now);
  cluster_.plan_wanted = true;
}

void Controller::on_due_jobs(foresight::DueJobs dues) {
  if (deadlines_.on_due_jobs(std::move(dues))) {
    cluster_.plan_wanted = true;  // it ranks them
    cycle_.outdate();             // what was planned before tells nothing of them
  }
  cycle_.queue().ranking().on_slack(deadlines_.slack());
}

std::map<JobId, foresight::DeadlineForecast> Controller::deadline_forecasts(Instant now) const {
  // Nothing is known without a whole pass over the machines that there are, whose workers a new leader has to hear first.
  if (!leadership_.is_leader() || cycle_.under_way() ||
      cycle_.planned_at() < leadership_.since() + detour_span(cluster_.settings))
    return {};
  return deadlines_.deadline_forecasts(
      {cluster_, autoscaler_.demand(), autoscaler_.capacity(), cycle_.queue().ranking()}, cycle_.planned_at(), now);
}

}  // namespace foxshunt::control
