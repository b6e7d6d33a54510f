// The parts of Planner that search machines and start times: for independent tasks and for gangs.
#include <algorithm>
#include <numeric>
#include <tuple>

#include "plan/planner.h"
#include "plan/free_intervals.h"

namespace foxshunt::plan {
namespace {

// Upper bounds of the number of gang tasks that each zone can hold at a start time. A machine counts with its whole
// capacity while one of its free intervals has room for a task, so the bound changes only where such an interval
// begins and after the last start that fits into the interval. The start time can only be moved forward.
class ZoneCapacityBounds {
 public:
  explicit ZoneCapacityBounds(std::size_t zones) : tasks_by_zone_(zones, 0) {}

  // Adds a machine that can hold up to `tasks` tasks of the given duration within the interval.
  void add(std::size_t zone, std::int64_t tasks, const TimeInterval& interval, Millis duration) {
    edges_.push_back({.at = interval.start, .ends = false, .tasks = tasks, .zone = zone});
    if (interval.stop == kForever) return;
    edges_.push_back({.at = interval.stop - duration, .ends = true, .tasks = tasks, .zone = zone});
  }

  // Has to be called once, after the last add() and before the first advance_to().
  void sort() {
    // Begins sort before ends at the same time: an interval still counts at the last start that fits into it.
    std::ranges::sort(edges_, {}, [](const Edge& edge) { return std::pair(edge.at, edge.ends); });
  }

  void advance_to(Instant start) {
    for (; next_edge_ < edges_.size(); ++next_edge_) {
      const Edge& edge = edges_[next_edge_];
      if (edge.at > start || (edge.at == start && edge.ends)) return;
      tasks_by_zone_[edge.zone] += edge.ends ? -edge.tasks : edge.tasks;
    }
  }

  [[nodiscard]] std::int64_t tasks_in(std::size_t zone) const { return tasks_by_zone_[zone]; }
  [[nodiscard]] std::int64_t total() const {
    return std::accumulate(tasks_by_zone_.begin(), tasks_by_zone_.end(), std::int64_t{0});
  }

 private:
  struct Edge {
    Instant at;
    bool ends = false;
    std::int64_t tasks = 0;
    std::size_t zone = 0;
  };
  std::vector<Edge> edges_;
  std::size_t next_edge_ = 0;
  std::vector<std::int64_t> tasks_by_zone_;
};

}  // namespace

// W = (largest share of the fleet's capacity over all resources + priority) * the fleet's CPUs. A machine that holds
// much of a scarce resource such as GPUs gets a high weight.
double Planner::weight(const PlannedMachine& machine) const {
  double share = 0;
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    if (whole_fleet_capacity_[r] > 0) share = std::max(share, machine.whole_capacity[r] / whole_fleet_capacity_[r]);
  }
  const double cores = whole_fleet_capacity_[0];
  return share * cores + machine.spec.priority * cores;
}

// uRS in the paper: the usage of the fleet plus the capacity that is kept free for others, restricted by the team's
// limit.
Planner::UsageView Planner::make_usage_view(const PlacementRequest& request) const {
  static const ResourceUsage kNoUsage;
  const auto team_entry = usage_by_team_.find(request.team);
  const ResourceUsage& team_usage = team_entry == usage_by_team_.end() ? kNoUsage : team_entry->second;
  const auto limit_entry = team_limits_.find(request.team);
  const TeamLimit limit = limit_entry == team_limits_.end() ? TeamLimit{} : limit_entry->second;
  const std::array<std::optional<AmountUnits>, kResourceCount> limits{limit.cpus, limit.gpus, std::nullopt};
  UsageView view;
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    if (request.per_task.values[r] <= 0) continue;
    if (request.keep_free.values[r] > 0) {
      UsageVector fleet_usage = fleet_.usage_of(r);
      fleet_usage.add({request.earliest_start, kForever, request.keep_free.values[r]});
      view[r] =
          limits[r] ? UsageVector::min_free(fleet_usage, *limits[r], team_usage.usage_of(r)) : std::move(fleet_usage);
    } else {
      view[r] = limits[r] ? UsageVector::min_free(fleet_.usage_of(r), *limits[r], team_usage.usage_of(r))
                          : fleet_.usage_of(r);
    }
  }
  return view;
}

std::vector<std::uint32_t> Planner::count_tasks_by_zone(const PlacementRequest& request) const {
  std::vector<std::uint32_t> placed_tasks(zones_.size(), 0);
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (const auto entry = request.tasks_by_zone.find(zones_[zone]); entry != request.tasks_by_zone.end())
      placed_tasks[zone] = entry->second;
  }
  return placed_tasks;
}

struct Planner::Candidate {
  const PlannedMachine* machine = nullptr;
  Millis setup_time{};
  bool preferred = false;
  double weight = 0;
  TimeIntervals intervals;  // in which one task fits for `setup_time` + duration
};

std::vector<Placement> Planner::plan(const PlacementRequest& request) const {
  if (request.count == 0) return {};
  std::vector<Candidate> candidates;
  candidates.reserve(request.machines.size());
  for (const EligibleMachine& eligible : request.machines) {
    const PlannedMachine& machine = *eligible.machine;
    if (!request.per_task.fits_in(machine.spec.capacity)) continue;
    const Instant from = std::max(request.earliest_start, machine.spec.ready_at);
    TimeIntervals intervals = machine.usage.free_intervals(request.per_task, eligible.setup_time + request.duration,
                                                           from, machine.spec.available_until);
    if (intervals.empty()) continue;
    candidates.push_back({.machine = &machine,
                          .setup_time = eligible.setup_time,
                          .preferred = eligible.preferred,
                          .weight = weight(machine),
                          .intervals = std::move(intervals)});
  }
  if (candidates.empty()) return {};
  return request.is_gang ? plan_gang(request, candidates) : plan_independent_tasks(request, std::move(candidates));
}

// The state of plan_independent_tasks(): usage and limits that include the tasks it has placed so far.
struct Planner::Progress {
  UsageView view;
  std::vector<std::uint32_t> tasks_in_zone;  // by zone index
  std::optional<std::string> required_zone;
  std::map<const PlannedMachine*, ResourceUsage> usage_by_machine;  // only of machines that got tasks
};

std::optional<Planner::Choice> Planner::find_earliest_start(const PlacementRequest& request,
                                                            std::vector<Candidate>& candidates,
                                                            const TimeIntervals& free, const Progress& progress) {
  std::optional<Choice> best;
  std::pair<Millis::rep, double> best_rank{};
  for (Candidate& candidate : candidates) {
    if (candidate.intervals.empty()) continue;
    const PlannedMachine& machine = *candidate.machine;
    if (progress.required_zone && machine.spec.zone != *progress.required_zone) continue;
    if (request.zone_task_limit && progress.tasks_in_zone[machine.zone_index] >= *request.zone_task_limit) continue;
    const auto common = find_first_common_start(candidate.intervals, free, candidate.setup_time + request.duration);
    if (!common || *common > request.latest_start) continue;
    // Compares start times in whole seconds, because a slightly earlier start does not justify a machine of higher
    // weight.
    const auto run_start =
        std::chrono::floor<std::chrono::seconds>((*common + candidate.setup_time).time_since_epoch());
    const std::pair<Millis::rep, double> rank{run_start.count(), candidate.weight};
    if (best && !(rank < best_rank)) continue;
    best = Choice{.candidate = &candidate, .start = *common};
    best_rank = rank;
  }
  return best;
}

std::int64_t Planner::count_startable_tasks(const PlacementRequest& request, const Choice& choice,
                                            std::uint32_t remaining, const Progress& progress,
                                            const ResourceUsage& usage) {
  const Candidate& candidate = *choice.candidate;
  const Instant stop = add_saturating(choice.start, candidate.setup_time + request.duration);
  std::int64_t count =
      std::min<std::int64_t>(remaining, request.per_task.count_fitting_in(usage.free(choice.start, stop)));
  if (request.zone_task_limit) {
    count =
        std::min<std::int64_t>(count, *request.zone_task_limit - progress.tasks_in_zone[candidate.machine->zone_index]);
  }
  if (count < 1) return 0;
  // Limits the count by the room in the fleet and in the team's limit. One task always fits: the choice was made for
  // it.
  std::int64_t allowed = count;
  for (std::size_t r = 0; r < kResourceCount; ++r) {
    const std::optional<UsageVector>& used = progress.view[r];
    if (!used) continue;
    const AmountUnits room =
        used->available() - used->peak_usage(choice.start, add_saturating(choice.start, request.duration));
    allowed = static_cast<std::int64_t>(std::min<AmountUnits>(allowed, room / request.per_task.values[r]));
  }
  return std::max<std::int64_t>(1, allowed);
}

std::vector<Placement> Planner::plan_independent_tasks(const PlacementRequest& request,
                                                       std::vector<Candidate> candidates) const {
  Progress progress{.view = make_usage_view(request),
                    .tasks_in_zone = count_tasks_by_zone(request),
                    .required_zone = {},
                    .usage_by_machine = {}};
  if (!request.required_zone.empty()) progress.required_zone = request.required_zone;
  std::vector<Placement> placements;
  std::uint32_t remaining = request.count;
  while (remaining > 0) {
    const TimeIntervals free = find_free_intervals(pointers_to(progress.view), request.per_task, request.duration,
                                                   request.earliest_start, kForever);
    if (free.empty()) break;
    const std::optional<Choice> choice = find_earliest_start(request, candidates, free, progress);
    if (!choice) break;
    Candidate& best = *choice->candidate;
    const MachineSpec& spec = best.machine->spec;
    ResourceUsage& usage = progress.usage_by_machine.try_emplace(best.machine, best.machine->usage).first->second;
    const auto count = static_cast<std::uint32_t>(count_startable_tasks(request, *choice, remaining, progress, usage));
    if (count == 0) break;
    const Millis booked_time = best.setup_time + request.duration;
    const Instant stop = add_saturating(choice->start, booked_time);
    const ResourceAmounts amounts = request.per_task.times(count);
    usage.book(amounts, choice->start, stop);
    best.intervals = usage.free_intervals(request.per_task, booked_time,
                                          std::max(request.earliest_start, spec.ready_at), spec.available_until);
    // With a team limit the view is the larger of two usages. Both grow by these amounts, so the view does as well.
    for (std::size_t r = 0; r < kResourceCount; ++r) {
      if (progress.view[r]) progress.view[r]->add({choice->start, stop, amounts.values[r]});
    }
    progress.tasks_in_zone[best.machine->zone_index] += count;
    if (request.one_zone) progress.required_zone = spec.zone;
    placements.push_back({.machine = spec.id, .start = choice->start, .stop = stop, .count = count});
    remaining -= count;
  }
  return placements;
}

std::vector<Placement> Planner::place_gang_at(const PlacementRequest& request, Instant start,
                                              const std::vector<const Candidate*>& ranked,
                                              std::vector<std::uint32_t> tasks_in_zone) {
  std::vector<Placement> placements;
  std::uint32_t remaining = request.count;
  for (const Candidate* candidate : ranked) {
    const PlannedMachine& machine = *candidate->machine;
    const Instant stop = add_saturating(start, candidate->setup_time + request.duration);
    const bool fits = std::ranges::any_of(candidate->intervals, [&](const TimeInterval& interval) {
      return interval.start <= start && stop <= interval.stop;
    });
    if (!fits) continue;
    std::int64_t count =
        std::min<std::int64_t>(remaining, request.per_task.count_fitting_in(machine.usage.free(start, stop)));
    if (request.zone_task_limit) {
      count = std::min<std::int64_t>(
          count, *request.zone_task_limit - std::min(tasks_in_zone[machine.zone_index], *request.zone_task_limit));
    }
    if (count <= 0) continue;
    tasks_in_zone[machine.zone_index] += static_cast<std::uint32_t>(count);
    remaining -= static_cast<std::uint32_t>(count);
    placements.push_back(
        {.machine = machine.spec.id, .start = start, .stop = stop, .count = static_cast<std::uint32_t>(count)});
    if (remaining == 0) return placements;
  }
  return {};
}

std::vector<const Planner::Candidate*> Planner::rank_candidates(const std::vector<Candidate>& candidates) {
  std::vector<const Candidate*> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) ranked.push_back(&candidate);
  // The sort is stable, so that equal candidates stay sorted by machine id.
  std::ranges::stable_sort(ranked, {}, [](const Candidate* candidate) {
    return std::tuple(!candidate->preferred, candidate->weight, candidate->setup_time);
  });
  return ranked;
}

std::vector<Instant> Planner::list_possible_starts(const TimeIntervals& free,
                                                   const std::vector<Candidate>& candidates) {
  std::vector<Instant> starts;
  for (const TimeInterval& interval : free) starts.push_back(interval.start);
  for (const Candidate& candidate : candidates) {
    for (const TimeInterval& interval : candidate.intervals) starts.push_back(interval.start);
  }
  std::ranges::sort(starts);
  starts.erase(std::ranges::unique(starts).begin(), starts.end());
  return starts;
}

std::vector<std::size_t> Planner::sort_zones_by_name() const {
  std::vector<std::size_t> order(zones_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, {}, [this](std::size_t zone) { return zones_[zone]; });
  return order;
}

std::vector<Placement> Planner::plan_gang(const PlacementRequest& request,
                                          const std::vector<Candidate>& candidates) const {
  const TimeIntervals free =
      find_free_intervals(pointers_to(make_usage_view(request)), request.per_task.times(request.count),
                          request.duration, request.earliest_start, kForever);
  if (free.empty()) return {};
  const std::vector<const Candidate*> ranked = rank_candidates(candidates);
  std::vector<std::vector<const Candidate*>> by_zone(zones_.size());
  // Zones are searched only at starts for which their bound allows the whole gang.
  ZoneCapacityBounds bounds(zones_.size());
  for (const Candidate* candidate : ranked) {
    const PlannedMachine& machine = *candidate->machine;
    if (request.one_zone && !request.required_zone.empty() && machine.spec.zone != request.required_zone) continue;
    by_zone[machine.zone_index].push_back(candidate);
    const std::int64_t tasks = request.per_task.count_fitting_in(machine.spec.capacity);
    for (const TimeInterval& interval : candidate->intervals) {
      bounds.add(machine.zone_index, tasks, interval, candidate->setup_time + request.duration);
    }
  }
  bounds.sort();
  const std::vector<std::size_t> zone_order = sort_zones_by_name();
  const std::vector<std::uint32_t> placed_tasks = count_tasks_by_zone(request);
  const auto place_in_one_zone = [&](Instant start) -> std::vector<Placement> {
    for (const std::size_t zone : zone_order) {
      if (bounds.tasks_in(zone) < request.count) continue;
      if (auto placements = place_gang_at(request, start, by_zone[zone], placed_tasks); !placements.empty())
        return placements;
    }
    return {};
  };
  auto fleet_interval = free.begin();
  for (const Instant start : list_possible_starts(free, candidates)) {
    if (start > request.latest_start) break;
    bounds.advance_to(start);
    while (fleet_interval != free.end() && fleet_interval->stop <= start) ++fleet_interval;
    if (fleet_interval == free.end()) break;
    if (fleet_interval->start > start || !lasts_at_least({start, fleet_interval->stop}, request.duration)) continue;
    std::vector<Placement> placements;
    if (request.one_zone) {
      placements = place_in_one_zone(start);
    } else if (bounds.total() >= request.count) {
      placements = place_gang_at(request, start, ranked, placed_tasks);
    }
    if (!placements.empty()) return placements;
  }
  return {};
}

}  // namespace foxshunt::plan
