// The search for places and times: of tasks one by one, and of gangs.
#include <algorithm>
#include <numeric>
#include <tuple>

#include "plan/planner.h"
#include "plan/spans.h"

namespace foxshunt::plan {
namespace {

// How many tasks of a gang the machines of each zone could hold at a moment, if each that has room for one task were empty:
// a bound that changes where a machine's span begins and after the last start that fits it. The moment only moves on.
class ZoneBounds {
 public:
  explicit ZoneBounds(std::size_t zones) : tasks_(zones, 0) {}

  // A machine of the zone holds so many tasks in the span; each takes `duration` there.
  void add(std::size_t zone, std::int64_t tasks, const Span& span, Millis duration) {
    edges_.push_back({.at = span.start, .ends = false, .tasks = tasks, .zone = zone});
    if (span.stop == kForever) return;
    edges_.push_back({.at = span.stop - duration, .ends = true, .tasks = tasks, .zone = zone});
  }

  // After all are added, before the first move.
  void sort() {
    // At a start that is the last of a span the span still counts.
    std::ranges::sort(edges_, {}, [](const Edge& edge) { return std::pair(edge.at, edge.ends); });
  }

  void move_to(Instant start) {
    for (; passed_ < edges_.size(); ++passed_) {
      const Edge& edge = edges_[passed_];
      if (edge.at > start || (edge.at == start && edge.ends)) return;
      tasks_[edge.zone] += edge.ends ? -edge.tasks : edge.tasks;
    }
  }

  [[nodiscard]] std::int64_t of(std::size_t zone) const { return tasks_[zone]; }
  [[nodiscard]] std::int64_t total() const { return std::accumulate(tasks_.begin(), tasks_.end(), std::int64_t{0}); }

 private:
  struct Edge {
    Instant at;
    bool ends = false;
    std::int64_t tasks = 0;
    std::size_t zone = 0;
  };
  std::vector<Edge> edges_;
  std::size_t passed_ = 0;
  std::vector<std::int64_t> tasks_;
};

}  // namespace

// W = max over resources of (its share of the fleet), times the fleet's cores, plus priority times cores.
double Planner::weight(const PlanNode& node) const {
  const Amounts total = fleet_.capacity();
  double share = 0;
  for (std::size_t r = 0; r < kResources; ++r) {
    if (total.of[r] > 0) {
      share = std::max(share, static_cast<double>(node.info.capacity.of[r]) / static_cast<double>(total.of[r]));
    }
  }
  const double cores = static_cast<double>(total.of[0]);
  return share * cores + node.info.priority * cores;
}

// The paper's uRS: the fleet's use plus what is kept free, within the team's limit.
Planner::View Planner::view_of(const Request& request) const {
  static const ResourceSet kUnused;
  const auto team_entry = teams_.find(request.team);
  const ResourceSet& team = team_entry == teams_.end() ? kUnused : team_entry->second;
  const auto limit_entry = limits_.find(request.team);
  const TeamLimit limit = limit_entry == limits_.end() ? TeamLimit{} : limit_entry->second;
  const std::array<std::optional<Items>, kResources> limits{limit.cpus, limit.gpus, std::nullopt};
  View view;
  for (std::size_t r = 0; r < kResources; ++r) {
    if (request.each.of[r] <= 0) continue;
    if (request.keep_free.of[r] > 0) {
      UsageVector kept = fleet_.of(r);
      kept.add({request.from, kForever, request.keep_free.of[r]});
      view[r] = limits[r] ? UsageVector::min_free(kept, *limits[r], team.of(r)) : std::move(kept);
    } else {
      view[r] = limits[r] ? UsageVector::min_free(fleet_.of(r), *limits[r], team.of(r)) : fleet_.of(r);
    }
  }
  return view;
}

std::vector<std::uint32_t> Planner::taken_by_zone(const Request& request) const {
  std::vector<std::uint32_t> taken(zones_.size(), 0);
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (const auto entry = request.zone_taken.find(zones_[zone]); entry != request.zone_taken.end())
      taken[zone] = entry->second;
  }
  return taken;
}

struct Planner::Candidate {
  const PlanNode* node = nullptr;
  Millis before{};  // fetching
  bool preferred = false;
  double weight = 0;
  Spans spans;  // where one task fits for `before` + duration
};

std::vector<Placing> Planner::plan(const Request& request) const {
  if (request.count == 0) return {};
  std::vector<Candidate> candidates;
  candidates.reserve(request.places.size());
  for (const Place& place : request.places) {
    const PlanNode& node = *place.node;
    if (!request.each.fits(node.info.capacity)) continue;
    const Instant from = std::max(request.from, node.info.ready);
    Spans spans = node.use.free_spans(request.each, place.before + request.duration, from, node.info.until);
    if (spans.empty()) continue;
    candidates.push_back({.node = &node,
                          .before = place.before,
                          .preferred = place.preferred,
                          .weight = weight(node),
                          .spans = std::move(spans)});
  }
  if (candidates.empty()) return {};
  return request.together ? plan_together(request, candidates) : plan_apart(request, std::move(candidates));
}

// What plan_apart has placed so far counts against the fleet, the team and the zones at once.
struct Planner::Progress {
  View view;
  std::vector<std::uint32_t> in_zone;
  std::optional<std::string> zone_bound;
  std::map<const PlanNode*, ResourceSet> uses;  // of machines
};

std::optional<Planner::Choice> Planner::earliest_start(const Request& request, std::vector<Candidate>& candidates,
                                                       const Spans& free, const Progress& progress) {
  std::optional<Choice> best;
  std::pair<Millis::rep, double> best_rank{};
  for (Candidate& entry : candidates) {
    if (entry.spans.empty()) continue;
    const PlanNode& node = *entry.node;
    if (progress.zone_bound && node.info.zone != *progress.zone_bound) continue;
    if (request.zone_most && progress.in_zone[node.zone] >= *request.zone_most) continue;
    const auto common = first_common(entry.spans, free, entry.before + request.duration);
    if (!common || *common > request.to) continue;
    // Whole seconds: a start that is a little earlier is not worth a dear machine.
    const auto runs = std::chrono::floor<std::chrono::seconds>((*common + entry.before).time_since_epoch());
    const std::pair<Millis::rep, double> rank{runs.count(), entry.weight};
    if (best && !(rank < best_rank)) continue;
    best = Choice{.candidate = &entry, .start = *common};
    best_rank = rank;
  }
  return best;
}

std::int64_t Planner::tasks_at(const Request& request, const Choice& choice, std::uint32_t left,
                               const Progress& progress, const ResourceSet& use) {
  const Candidate& candidate = *choice.candidate;
  const Instant stop = plus(choice.start, candidate.before + request.duration);
  std::int64_t count = std::min<std::int64_t>(left, request.each.count_in(use.free(choice.start, stop)));
  if (request.zone_most) {
    count = std::min<std::int64_t>(count, *request.zone_most - progress.in_zone[candidate.node->zone]);
  }
  if (count < 1) return 0;
  // As many as fleet and team allow at once; one is allowed, it was looked for.
  std::int64_t allowed = count;
  for (std::size_t r = 0; r < kResources; ++r) {
    const std::optional<UsageVector>& seen = progress.view[r];
    if (!seen) continue;
    const Items room = seen->available() - seen->peak(choice.start, plus(choice.start, request.duration));
    allowed = std::min(allowed, room / request.each.of[r]);
  }
  return std::max<std::int64_t>(1, allowed);
}

std::vector<Placing> Planner::plan_apart(const Request& request, std::vector<Candidate> candidates) const {
  Progress progress{.view = view_of(request), .in_zone = taken_by_zone(request), .zone_bound = {}, .uses = {}};
  if (!request.zone_bound.empty()) progress.zone_bound = request.zone_bound;
  std::vector<Placing> placed;
  std::uint32_t left = request.count;
  while (left > 0) {
    const Spans free = spans_of(addresses_of(progress.view), request.each, request.duration, request.from, kForever);
    if (free.empty()) break;
    const std::optional<Choice> choice = earliest_start(request, candidates, free, progress);
    if (!choice) break;
    Candidate& best = *choice->candidate;
    const PlanMachine& info = best.node->info;
    ResourceSet& use = progress.uses.try_emplace(best.node, best.node->use).first->second;
    const auto count = static_cast<std::uint32_t>(tasks_at(request, *choice, left, progress, use));
    if (count == 0) break;
    const Millis whole = best.before + request.duration;
    const Instant stop = plus(choice->start, whole);
    const Amounts taken = request.each.times(count);
    use.book(taken, choice->start, stop);
    best.spans = use.free_spans(request.each, whole, std::max(request.from, info.ready), info.until);
    // Fleet and team grow by the same, and so does what is the larger of them.
    for (std::size_t r = 0; r < kResources; ++r) {
      if (progress.view[r]) progress.view[r]->add({choice->start, stop, taken.of[r]});
    }
    progress.in_zone[best.node->zone] += count;
    if (request.one_zone) progress.zone_bound = info.zone;
    placed.push_back({.machine = info.id, .start = choice->start, .stop = stop, .count = count});
    left -= count;
  }
  return placed;
}

// All tasks of a gang at that start on the machines in this order; nothing if they don't fit.
std::vector<Placing> Planner::map_at(const Request& request, Instant start, const std::vector<const Candidate*>& ranked,
                                     std::vector<std::uint32_t> in_zone) {
  std::vector<Placing> placed;
  std::uint32_t left = request.count;
  for (const Candidate* candidate : ranked) {
    const PlanNode& node = *candidate->node;
    const Instant stop = plus(start, candidate->before + request.duration);
    const bool fits = std::ranges::any_of(candidate->spans,
                                          [&](const Span& span) { return span.start <= start && stop <= span.stop; });
    if (!fits) continue;
    std::int64_t count = std::min<std::int64_t>(left, request.each.count_in(node.use.free(start, stop)));
    if (request.zone_most) {
      count = std::min<std::int64_t>(count, *request.zone_most - std::min(in_zone[node.zone], *request.zone_most));
    }
    if (count <= 0) continue;
    in_zone[node.zone] += static_cast<std::uint32_t>(count);
    left -= static_cast<std::uint32_t>(count);
    placed.push_back(
        {.machine = node.info.id, .start = start, .stop = stop, .count = static_cast<std::uint32_t>(count)});
    if (left == 0) return placed;
  }
  return {};
}

std::vector<const Planner::Candidate*> Planner::rank(const std::vector<Candidate>& candidates) {
  std::vector<const Candidate*> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) ranked.push_back(&candidate);
  // Equals stay in the order of their names.
  std::ranges::stable_sort(ranked, {},
                           [](const Candidate* one) { return std::tuple(!one->preferred, one->weight, one->before); });
  return ranked;
}

// Where a task's room becomes free on some machine, or the fleet has room again, the gang may begin.
std::vector<Instant> Planner::possible_starts(const Spans& free, const std::vector<Candidate>& candidates) {
  std::vector<Instant> starts;
  for (const Span& span : free) starts.push_back(span.start);
  for (const Candidate& candidate : candidates) {
    for (const Span& span : candidate.spans) starts.push_back(span.start);
  }
  std::ranges::sort(starts);
  starts.erase(std::ranges::unique(starts).begin(), starts.end());
  return starts;
}

std::vector<std::size_t> Planner::zones_by_name() const {
  std::vector<std::size_t> order(zones_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, {}, [this](std::size_t zone) { return zones_[zone]; });
  return order;
}

std::vector<Placing> Planner::plan_together(const Request& request, const std::vector<Candidate>& candidates) const {
  const Spans free = spans_of(addresses_of(view_of(request)), request.each.times(request.count), request.duration,
                              request.from, kForever);
  if (free.empty()) return {};
  const std::vector<const Candidate*> ranked = rank(candidates);
  std::vector<std::vector<const Candidate*>> by_zone(zones_.size());
  // A zone is looked at only while its machines could hold the whole gang.
  ZoneBounds bounds(zones_.size());
  for (const Candidate* candidate : ranked) {
    const PlanNode& node = *candidate->node;
    if (request.one_zone && !request.zone_bound.empty() && node.info.zone != request.zone_bound) continue;
    by_zone[node.zone].push_back(candidate);
    const std::int64_t tasks = request.each.count_in(node.info.capacity);
    for (const Span& span : candidate->spans) {
      bounds.add(node.zone, tasks, span, candidate->before + request.duration);
    }
  }
  bounds.sort();
  const std::vector<std::size_t> zone_order = zones_by_name();
  const std::vector<std::uint32_t> taken = taken_by_zone(request);
  const auto map_in_one_zone = [&](Instant start) -> std::vector<Placing> {
    for (const std::size_t zone : zone_order) {
      if (bounds.of(zone) < request.count) continue;
      if (auto placed = map_at(request, start, by_zone[zone], taken); !placed.empty()) return placed;
    }
    return {};
  };
  auto span = free.begin();
  for (const Instant start : possible_starts(free, candidates)) {
    if (start > request.to) break;
    bounds.move_to(start);
    while (span != free.end() && span->stop <= start) ++span;
    if (span == free.end()) break;
    if (span->start > start || !lasts({start, span->stop}, request.duration)) continue;
    std::vector<Placing> placed;
    if (request.one_zone) {
      placed = map_in_one_zone(start);
    } else if (bounds.total() >= request.count) {
      placed = map_at(request, start, ranked, taken);
    }
    if (!placed.empty()) return placed;
  }
  return {};
}

}  // namespace foxshunt::plan
