#include "preempt/preempt.h"

#include <algorithm>
#include <map>
#include <set>

#include "config/constants.h"

namespace foxshunt::preempt {

bool is_preemption_allowed(const PreemptionRequest& request, const Victim& victim) {
  // Priority alone is not enough: the request also has to be planned before the victim. Otherwise the victim would
  // be planned first and take the freed room again.
  const bool by_priority = victim.priority < request.priority && (request.guaranteed || victim.borrowed);
  const bool by_guarantee = request.guaranteed && victim.borrowed && !victim.same_team;
  return by_priority || by_guarantee;
}

bool should_preempt(const PreemptionRequest& request, const Victim& victim) {
  if (!is_preemption_allowed(request, victim) || victim.is_protected) return false;
  if (victim.running_time < constants::kMinRunBeforePreemption || victim.remaining < constants::kMinRemainingToPreempt)
    return false;
  if (victim.since_last_displaced && *victim.since_last_displaced < constants::kPreemptionCooldown) return false;
  return victim.lost_work <= request.expected_wait;
}

namespace {

// A set of victims on one machine, and how many tasks of the request fit on the machine when these are stopped.
struct PreemptionOption {
  const PreemptionCandidate* candidate = nullptr;
  std::int64_t task_count = 0;
  std::vector<std::size_t> victims;
  plan::Millis lost_work{};
};

// Returns the options of a machine. The first one stops nothing, if tasks already fit. Then adds victims in ascending
// order of priority and lost work, and records an option whenever at least one more task fits, so that the last victim
// of each option is needed.
std::vector<PreemptionOption> list_options(const PreemptionRequest& request, const std::vector<Victim>& victims,
                                           const PreemptionCandidate& candidate) {
  std::vector<std::pair<std::size_t, plan::ResourceAmounts>> preemptible;
  for (const auto& entry : candidate.victim_amounts) {
    if (should_preempt(request, victims[entry.first])) preemptible.push_back(entry);
  }
  std::ranges::sort(preemptible, {}, [&](const auto& entry) {
    const Victim& victim = victims[entry.first];
    return std::tuple(victim.priority, victim.lost_work, victim.running_time, victim.job, entry.first);
  });
  std::vector<PreemptionOption> options;
  PreemptionOption option{
      .candidate = &candidate, .task_count = request.per_task.count_fitting_in(candidate.free), .victims = {}};
  if (option.task_count > 0) options.push_back(option);
  plan::ResourceAmounts free = candidate.free;
  for (const auto& [index, amounts] : preemptible) {
    free += amounts;
    option.victims.push_back(index);
    option.lost_work += victims[index].lost_work;
    const std::int64_t task_count = request.per_task.count_fitting_in(free);
    if (task_count <= option.task_count) continue;
    option.task_count = task_count;
    options.push_back(option);
  }
  return options;
}

}  // namespace

std::vector<std::size_t> choose_victims(const PreemptionRequest& request, const std::vector<Victim>& victims,
                                        const std::vector<PreemptionCandidate>& candidates) {
  std::map<std::string, std::vector<PreemptionOption>> options_by_zone;
  for (const PreemptionCandidate& candidate : candidates) {
    for (PreemptionOption& option : list_options(request, victims, candidate)) {
      options_by_zone[request.one_zone ? candidate.zone : std::string()].push_back(std::move(option));
    }
  }
  std::vector<std::size_t> best;
  std::optional<std::pair<std::int64_t, plan::Millis>> best_rank;  // number of tasks without room, lost work
  for (auto& [unused, options] : options_by_zone) {
    // Prefers the least lost work per task, then the fewest victims.
    std::ranges::stable_sort(options, {}, [](const PreemptionOption& option) {
      return std::tuple(option.lost_work / std::max<std::int64_t>(1, option.task_count), option.victims.size());
    });
    std::set<MachineId> used_machines;
    std::set<std::size_t> chosen;
    std::int64_t task_count = 0;
    plan::Millis lost_work{};
    for (const PreemptionOption& option : options) {
      if (task_count >= request.count) break;
      if (!used_machines.insert(option.candidate->machine).second) continue;
      task_count += option.task_count;
      for (const std::size_t victim : option.victims) {
        if (chosen.insert(victim).second) lost_work += victims[victim].lost_work;
      }
    }
    if (chosen.empty() || (request.is_gang && task_count < request.count)) continue;
    const std::pair rank{std::max<std::int64_t>(0, request.count - task_count), lost_work};
    if (best_rank && *best_rank <= rank) continue;
    best_rank = rank;
    best.assign(chosen.begin(), chosen.end());
  }
  return best;
}

}  // namespace foxshunt::preempt
