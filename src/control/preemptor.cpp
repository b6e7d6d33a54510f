#include "control/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "config/constants.h"
#include "control/job_requirements.h"
#include "control/placement_rules.h"
#include "control/times.h"

namespace foxshunt::control {

// What may be stopped, numbered in the order in which it is found. A gang is one victim, wherever its tasks run.
struct Preemptor::Victims {
  std::vector<preempt::Victim> all;
  std::map<JobId, std::size_t> gangs;
};

// A gang needs room for all its tasks or none; of other jobs as many are asked for as the team's quota allows.
std::uint32_t Preemptor::tasks_to_preempt_for(const Job& job, std::uint32_t tasks_most) const {
  const bool gang = is_gang(job);
  std::uint32_t count = gang ? tasks_most : std::min(tasks_most, constants::kMaxTasksPreemptedFor);
  while (count > 0 && !quota_for(cluster_, job, count)) count = gang ? 0 : count - 1;
  return count;
}

preempt::Victim Preemptor::describe_victim(const TaskKey& key, const Job& other, const Allocation& allocation,
                                           const Job& asks, Instant now) const {
  const bool whole = is_gang(other);
  const Millis ran = now - *allocation.running_since;
  const std::uint32_t tasks = whole ? other.allocation_count : 1;
  const Millis repeated = other.spec.checkpoint_s > 0 ? from_seconds(other.spec.save_s) : ran;
  const plan::Booking* booking = cluster_.planner.find_booking(allocation.booking);
  preempt::Victim victim{
      .job = key.job,
      .tasks = {key},
      .priority = other.spec.priority,
      .borrowed = other.borrowed,
      .same_team = other.spec.team == asks.spec.team,
      .running_time = ran,
      .lost_work = repeated * tasks,
      .remaining = booking == nullptr ? Millis(0) : std::max(Millis(0), booking->stop - now),
      .since_last_displaced = other.displaced ? std::optional(now - *other.displaced) : std::nullopt};
  victim.is_protected = queue_.ranking().on() && queue_.is_protected_by_rank(other, victim, asks);
  if (!whole) return victim;
  victim.tasks.clear();
  for (const JobShard& shard : other.shards) {
    for (const auto& [index, unused] : shard.allocations) victim.tasks.push_back({key.job, index});
  }
  return victim;
}

// The number of the victim that the task belongs to; nothing for what is being stopped already, has not begun, or runs for
// ever.
std::optional<std::size_t> Preemptor::victim_of(const TaskKey& key, const Job& asks, Victims& victims, Instant now) {
  const Job& other = cluster_.jobs.at(key.job);
  const Allocation& allocation = *cluster_.jobs.find_allocation(key);
  if (other.cancelled || allocation.stopping || !allocation.running_since || is_service(other)) return std::nullopt;
  const auto known = victims.gangs.find(key.job);
  if (known != victims.gangs.end()) return known->second;
  const std::size_t number = victims.all.size();
  victims.all.push_back(describe_victim(key, other, allocation, asks, now));
  if (is_gang(other)) victims.gangs[key.job] = number;
  return number;
}

std::vector<preempt::PreemptionCandidate> Preemptor::contested_machines(
    const Job& job, const std::vector<plan::EligibleMachine>& places, Victims& victims, Instant now) {
  std::vector<preempt::PreemptionCandidate> machines;
  for (const plan::EligibleMachine& place : places) {
    const Machine& machine = cluster_.machines.at(place.machine->spec.id);
    if (machine.state != MachineState::up || !place_allowed(cluster_, job, machine, 1)) continue;
    preempt::PreemptionCandidate contested{
        .machine = machine.id, .zone = machine.zone, .free = place.machine->spec.capacity, .victim_amounts = {}};
    std::map<std::size_t, ResourceAmounts> held;
    for (const TaskKey& key : machine.allocations) {
      const ResourceAmounts& each = cluster_.jobs.at(key.job).each;
      contested.free -= each;
      if (const auto number = victim_of(key, job, victims, now)) held[*number] += each;
    }
    contested.victim_amounts.assign(held.begin(), held.end());
    machines.push_back(std::move(contested));
  }
  return machines;
}

std::size_t Preemptor::stop_victim(const preempt::Victim& victim, Instant now) {
  Job& other = cluster_.jobs.at(victim.job);
  other.displaced = now;
  for (const TaskKey& key : victim.tasks) {
    tasks_.preempt(other, key.index);
    // All tasks of a gang have to hear of it within `gang_peer_s`, which may be less than until their next reports.
    if (is_gang(other)) cluster_.jobs.find_allocation(key)->stop_due = now;
  }
  return victim.tasks.size();
}

void Preemptor::preempt_for(Job& job, std::uint32_t tasks_most, const std::vector<plan::EligibleMachine>& places,
                            Instant now) {
  if (!tasks_.can_start_anything(now)) return;
  const std::uint32_t count = tasks_to_preempt_for(job, tasks_most);
  if (count == 0) return;
  const preempt::PreemptionRequest need{
      .per_task = job.each,
      .count = count,
      .is_gang = is_gang(job),
      .one_zone = job.spec.one_zone,
      .priority = job.spec.priority,
      .guaranteed = !job.borrowed,
      .expected_wait = std::min(job.planned_start.value_or(plan::kForever) - now, constants::kPlanHorizon)};
  Victims victims;
  const std::vector<preempt::PreemptionCandidate> machines = contested_machines(job, places, victims, now);
  const std::vector<std::size_t> chosen = preempt::choose_victims(need, victims.all, machines);
  job.displaces_after = now + constants::kPreemptionInterval;
  std::size_t stopped = 0;
  for (const std::size_t number : chosen) stopped += stop_victim(victims.all[number], now);
  if (stopped == 0) return;
  spdlog::info("{} tasks of {} jobs are stopped to make room for {} of job {}, which would wait {:.0f} s", stopped,
               chosen.size(), count, job.spec.id.text(), to_seconds(need.expected_wait));
}

}  // namespace foxshunt::control
