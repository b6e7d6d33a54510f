#include "control/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

// The possible victims, indexed in the order in which they are found. A gang is one victim, wherever its tasks run.
struct Preemptor::Victims {
  std::vector<preempt::Victim> all;
  std::map<JobId, std::size_t> gangs;
};

// A gang needs room for all its tasks. For other jobs the number of tasks is reduced until the team's quota allows
// it.
std::uint32_t Preemptor::count_tasks_to_preempt_for(const Job& job, std::uint32_t max_tasks) const {
  const bool gang = is_gang(job);
  std::uint32_t count = gang ? max_tasks : std::min(max_tasks, constants::kMaxTasksPreemptedFor);
  while (count > 0 && !team_has_quota(cluster_, job, count)) count = gang ? 0 : count - 1;
  return count;
}

preempt::Victim Preemptor::describe_victim(const TaskKey& key, const Job& victim_job, const Allocation& allocation,
                                           const Job& preempting_job, Instant now) const {
  const bool is_gang_victim = is_gang(victim_job);
  const Millis ran = now - *allocation.running_since;
  const std::uint32_t tasks = is_gang_victim ? victim_job.allocation_count : 1;
  const Millis lost_per_task = victim_job.spec.checkpoint_s > 0 ? from_seconds(victim_job.spec.save_s) : ran;
  const plan::Booking* booking = cluster_.planner.find_booking(allocation.booking);
  preempt::Victim victim{
      .job = key.job,
      .tasks = {key},
      .priority = victim_job.spec.priority,
      .borrowed = victim_job.is_over_guarantee,
      .same_team = victim_job.spec.team == preempting_job.spec.team,
      .running_time = ran,
      .lost_work = lost_per_task * tasks,
      .remaining = booking == nullptr ? Millis(0) : std::max(Millis(0), booking->stop - now),
      .since_last_displaced = victim_job.preempted_at ? std::optional(now - *victim_job.preempted_at) : std::nullopt};
  victim.is_protected = queue_.ranking().on() && queue_.is_protected_by_rank(victim_job, victim, preempting_job);
  if (!is_gang_victim) return victim;
  victim.tasks.clear();
  for (const JobShard& shard : victim_job.shards) {
    for (const auto& [index, unused] : shard.allocations) victim.tasks.push_back({key.job, index});
  }
  return victim;
}

std::optional<std::size_t> Preemptor::find_or_add_victim(const TaskKey& key, const Job& preempting_job,
                                                         Victims& victims, Instant now) {
  const Job& victim_job = cluster_.jobs.at(key.job);
  const Allocation& allocation = *cluster_.jobs.find_allocation(key);
  if (victim_job.cancelled || allocation.stopping || !allocation.running_since || is_service(victim_job))
    return std::nullopt;
  const auto known = victims.gangs.find(key.job);
  if (known != victims.gangs.end()) return known->second;
  const std::size_t victim_index = victims.all.size();
  victims.all.push_back(describe_victim(key, victim_job, allocation, preempting_job, now));
  if (is_gang(victim_job)) victims.gangs[key.job] = victim_index;
  return victim_index;
}

std::vector<preempt::PreemptionCandidate> Preemptor::find_contested_machines(
    const Job& job, const std::vector<plan::EligibleMachine>& places, Victims& victims, Instant now) {
  std::vector<preempt::PreemptionCandidate> machines;
  for (const plan::EligibleMachine& place : places) {
    const Machine& machine = cluster_.machines.at(place.machine->spec.id);
    if (machine.state != MachineState::up || !is_placement_allowed(cluster_, job, machine, 1)) continue;
    preempt::PreemptionCandidate contested{
        .machine = machine.id, .zone = machine.zone, .free = place.machine->spec.capacity, .victim_amounts = {}};
    std::map<std::size_t, ResourceAmounts> held;
    for (const TaskKey& key : machine.allocations) {
      const ResourceAmounts& each = cluster_.jobs.at(key.job).task_resources;
      contested.free -= each;
      if (const auto victim_index = find_or_add_victim(key, job, victims, now)) held[*victim_index] += each;
    }
    contested.victim_amounts.assign(held.begin(), held.end());
    machines.push_back(std::move(contested));
  }
  return machines;
}

std::size_t Preemptor::stop_victim(const preempt::Victim& victim, Instant now) {
  Job& victim_job = cluster_.jobs.at(victim.job);
  victim_job.preempted_at = now;
  for (const TaskKey& key : victim.tasks) {
    tasks_.preempt_task(victim_job, key.index);
    // All members of a gang must get the stop within `gang_peer_s`, which may end before their next heartbeats. So it
    // is sent directly.
    if (is_gang(victim_job)) cluster_.jobs.find_allocation(key)->stop_due = now;
  }
  return victim.tasks.size();
}

void Preemptor::preempt_for(Job& job, std::uint32_t max_tasks, const std::vector<plan::EligibleMachine>& places,
                            Instant now) {
  if (!tasks_.can_start_or_preempt(now)) return;
  const std::uint32_t count = count_tasks_to_preempt_for(job, max_tasks);
  if (count == 0) return;
  const preempt::PreemptionRequest need{
      .per_task = job.task_resources,
      .count = count,
      .is_gang = is_gang(job),
      .one_zone = job.spec.one_zone,
      .priority = job.spec.priority,
      .guaranteed = !job.is_over_guarantee,
      .expected_wait = std::min(job.planned_start.value_or(plan::kForever) - now, constants::kPlanHorizon)};
  Victims victims;
  const std::vector<preempt::PreemptionCandidate> machines = find_contested_machines(job, places, victims, now);
  const std::vector<std::size_t> chosen = preempt::choose_victims(need, victims.all, machines);
  job.may_preempt_after = now + constants::kPreemptionInterval;
  std::size_t stopped = 0;
  for (const std::size_t victim_index : chosen) stopped += stop_victim(victims.all[victim_index], now);
  if (stopped == 0) return;
  spdlog::info("tasks preempted stopped_tasks={} victims={} wanted_tasks={} job={} wait_s={:.0f}", stopped,
               chosen.size(), count, job.spec.id.text(), to_seconds(need.expected_wait));
}

}  // namespace foxshunt::control
