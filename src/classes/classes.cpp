#include "classes/classes.h"

#define XXH_INLINE_ALL  // header only: no library to be loaded at the start
#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "config/constants.h"

namespace foxshunt::classes {
namespace {

constexpr double kTiny = 1e-9;  // of a task: what sums of decimal amounts may be off by

std::uint32_t raised(std::uint32_t standing, std::uint64_t by, std::uint32_t floor) {
  const std::uint64_t left = standing > by ? standing - by : 0;
  return static_cast<std::uint32_t>(std::max<std::uint64_t>({left, floor, 1}));
}

const char* name_of(wire::Priority priority) {
  switch (priority) {
    case wire::Priority::best_effort: return "best effort";
    case wire::Priority::standard: return "standard";
    case wire::Priority::high: return "high";
    case wire::Priority::production: return "production";
  }
  return "unknown";
}

// What fits a team's guarantee, its urgent work first; whether a task waits does not matter.
void find_borrowed(const std::vector<Candidate>& jobs, const std::vector<config::Team>& teams,
                   std::vector<Rank>& ranks) {
  std::map<std::string_view, std::vector<std::size_t>> by_team;
  for (std::size_t at = 0; at < ranks.size(); ++at) by_team[ranks[at].team].push_back(at);
  for (auto& [name, members] : by_team) {
    std::ranges::sort(members, {}, [&](std::size_t at) {
      const Rank& rank = ranks[at];
      return std::tuple(-static_cast<int>(rank.priority), rank.submitted_wall_ms, std::string_view(rank.job.text()));
    });
    const auto team = std::ranges::find(teams, name, &config::Team::name);
    double cpus = 0;
    double gpus = 0;
    for (const std::size_t at : members) {
      const wire::JobSpec& spec = *jobs[at].spec;
      const auto tasks = static_cast<double>(spec.tasks - std::min<std::uint64_t>(spec.tasks, jobs[at].done));
      cpus += spec.cpus * tasks;
      gpus += spec.gpus * tasks;
      ranks[at].borrowed = team == teams.end() || cpus > team->cpus || (team->gpus > 0 && gpus > team->gpus);
    }
  }
}

}  // namespace

TimeStep step_of(std::int64_t wall_ms) {
  return TimeStep(static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall_ms) / constants::kRankStep.count()));
}

TimeStep StepClock::at(std::int64_t wall_ms) {
  const TimeStep step = step_of(wall_ms);
  const auto begin_ms = static_cast<std::int64_t>(latest_.number()) * constants::kRankStep.count();
  if (step < latest_ && begin_ms - wall_ms <= constants::kRankStepBack.count()) return latest_;
  return latest_ = step;
}

// ---- table ----

Table::Table(const catalog::Set& set) : classes_(set.classes) {
  std::ranges::stable_sort(classes_, {}, &catalog::ClassDef::order);
  floors_.resize(classes_.size(), 1);
  std::vector<int> state(classes_.size(), 0);
  for (std::size_t number = 0; number < classes_.size(); ++number) (void)find_floor(number, state);
  for (std::size_t number = 0; number < classes_.size(); ++number) {
    bool any = false;
    for (const catalog::JobMatch& match : classes_[number].takes) {
      any = any || match.job_classes.empty();
      for (const std::string& job_class : match.job_classes) by_job_class_[job_class];
    }
    if (any) any_job_class_.push_back(number);
  }
  for (auto& [job_class, numbers] : by_job_class_) {
    for (std::size_t number = 0; number < classes_.size(); ++number) {
      const bool may =
          std::ranges::any_of(classes_[number].takes, [&, &job_class = job_class](const catalog::JobMatch& match) {
            return match.job_classes.empty() ||
                   std::ranges::find(match.job_classes, job_class) != match.job_classes.end();
          });
      if (may) numbers.push_back(number);
    }
  }
}

std::uint32_t Table::base(std::size_t number) const { return std::max(classes_[number].standing, floors_[number]); }

std::uint32_t Table::find_floor(std::size_t number, std::vector<int>& state) {
  enum { unseen, under_way, known };
  if (state[number] == known) return floors_[number];
  state[number] = under_way;
  std::uint32_t floor = 1;
  for (const std::string& name : classes_[number].never_passes) {
    for (std::size_t other = 0; other < classes_.size(); ++other) {
      if (classes_[other].name != name || state[other] == under_way) continue;
      (void)find_floor(other, state);
      floor = std::max(floor, base(other) + 1);
    }
  }
  state[number] = known;
  return floors_[number] = floor;
}

std::optional<std::size_t> Table::class_of(const wire::JobSpec& spec) const {
  const auto named = by_job_class_.find(spec.job_class);
  for (const std::size_t number : named == by_job_class_.end() ? any_job_class_ : named->second) {
    const auto& takes = classes_[number].takes;
    if (std::ranges::any_of(takes, [&](const catalog::JobMatch& match) { return match.matches(spec); })) return number;
  }
  return std::nullopt;
}

std::optional<double> Table::cap(std::size_t number, const std::string& team) const {
  const auto found = classes_[number].cpus_most.find(team);
  return found == classes_[number].cpus_most.end() || found->second <= 0 ? std::nullopt : std::optional(found->second);
}

// ---- caps ----

Caps::Caps(const std::vector<Candidate>& jobs, const std::vector<std::optional<std::size_t>>& classes,
           const Table& table) {
  for (std::size_t at = 0; at < jobs.size(); ++at) {
    const wire::JobSpec& spec = *jobs[at].spec;
    const auto cap = classes[at] ? table.cap(*classes[at], spec.team) : std::nullopt;
    if (!cap) continue;
    Held& held = held_[{*classes[at], spec.team}];
    held.cap = *cap;
    held.cpus += spec.cpus * static_cast<double>(jobs[at].placed);
  }
}

Caps::Held* Caps::held_of(std::optional<std::size_t> of, const wire::JobSpec& spec) {
  if (!of || held_.empty()) return nullptr;
  const auto found = held_.find({*of, spec.team});
  return found == held_.end() ? nullptr : &found->second;
}

std::uint64_t Caps::room(std::optional<std::size_t> of, const wire::JobSpec& spec, std::uint64_t wanted, bool whole) {
  Held* held = held_of(of, spec);
  if (held == nullptr || spec.cpus <= 0 || wanted == 0) return wanted;
  if (held->kept) return 0;
  const double left = held->cap - held->cpus;
  const double fit = std::floor(left / spec.cpus + kTiny);
  std::uint64_t tasks = fit <= 0 ? 0 : std::min(wanted, static_cast<std::uint64_t>(fit));
  const bool alone = held->cpus <= kTiny;
  if (whole && tasks < wanted) tasks = alone ? wanted : 0;
  if (tasks == 0 && alone) tasks = 1;
  if (tasks == 0 && fit < 1) held->kept = true;  // whoever is behind may not slip into what it waits for
  if (tasks == 0 && whole) held->kept = true;
  return tasks;
}

void Caps::take(std::optional<std::size_t> of, const wire::JobSpec& spec, std::uint64_t tasks) {
  if (Held* held = held_of(of, spec)) held->cpus += spec.cpus * static_cast<double>(tasks);
}

// ---- ranks ----

std::vector<Candidate> candidates_of(const record_cache::Jobs& jobs, const std::map<JobId, int>& slack) {
  std::vector<Candidate> found;
  found.reserve(jobs.all().size());
  for (const auto& [id, job] : jobs.all()) {
    const auto known = slack.find(id);
    found.push_back({.spec = &job.spec,
                     .submitted_wall_ms = job.submitted_wall_ms,
                     .done = job.done,
                     .placed = job.placed,
                     .waiting = job.waiting(),
                     .cancelled = job.cancelled,
                     .slack = known == slack.end() ? std::nullopt : std::optional(known->second)});
  }
  return found;
}

std::vector<std::optional<std::size_t>> classes_of(const std::vector<Candidate>& jobs, const Table& table) {
  std::vector<std::optional<std::size_t>> classes;
  classes.reserve(jobs.size());
  for (const Candidate& job : jobs) classes.push_back(table.class_of(*job.spec));
  return classes;
}

namespace {

Rank rank_of(const Candidate& job, std::optional<std::size_t> of, const Table& table, TimeStep step) {
  const wire::JobSpec& spec = *job.spec;
  const auto step_ms = static_cast<std::int64_t>(step.number()) * constants::kRankStep.count();
  Rank rank{.job = spec.id,
            .team = spec.team,
            .of = of,
            .priority = spec.priority,
            .submitted_wall_ms = job.submitted_wall_ms,
            .waited_s = std::max<std::int64_t>(0, step_ms - job.submitted_wall_ms) / 1000,
            .waiting = job.waiting};
  std::uint32_t floor = 1;
  std::uint32_t may_rise = 0;
  rank.base = catalog::kStandingOfNone;
  if (rank.of) {
    const catalog::ClassDef& own = table.at(*rank.of);
    floor = table.floor(*rank.of);
    rank.base = table.base(*rank.of);
    // A class that says how long its jobs may wait, and nothing of ageing, is held back by its floor alone.
    may_rise = own.age_most > 0 || !own.wait_most_s ? own.age_most : rank.base;
    const auto waited_s = static_cast<double>(rank.waited_s);
    rank.overdue = waited_s > own.wait_most_s.value_or(constants::kWaitPromiseS);
    const double aged = own.age_every_s > 0 ? std::floor(waited_s / own.age_every_s) : 0;
    rank.aged = rank.overdue ? may_rise : static_cast<std::uint32_t>(std::min<double>(aged, own.age_most));
  }
  if (job.slack) {
    const int most = static_cast<int>(constants::kMaxSlackRise);
    rank.hurried = static_cast<std::uint32_t>(std::clamp(most - std::max(0, *job.slack), 0, most));
  }
  rank.standing = raised(rank.base, std::uint64_t{rank.aged} + rank.hurried, floor);
  rank.settled = raised(rank.base, rank.aged, floor);
  rank.best = raised(rank.base, std::uint64_t{may_rise} + (job.slack ? constants::kMaxSlackRise : 0), floor);
  return rank;
}

}  // namespace

std::vector<Rank> rank(const std::vector<Candidate>& jobs, const Table& table, const std::vector<config::Team>& teams,
                       TimeStep step) {
  return rank(jobs, classes_of(jobs, table), table, teams, step);
}

std::vector<Rank> rank(const std::vector<Candidate>& jobs, const std::vector<std::optional<std::size_t>>& classes,
                       const Table& table, const std::vector<config::Team>& teams, TimeStep step) {
  std::vector<Candidate> ranked;
  ranked.reserve(jobs.size());
  std::vector<Rank> ranks;
  ranks.reserve(jobs.size());
  for (std::size_t at = 0; at < jobs.size(); ++at) {
    if (jobs[at].cancelled) continue;
    ranked.push_back(jobs[at]);
    ranks.push_back(rank_of(jobs[at], classes[at], table, step));
  }
  find_borrowed(ranked, teams, ranks);
  std::vector<std::size_t> order(ranks.size());
  for (std::size_t at = 0; at < order.size(); ++at) order[at] = at;
  std::ranges::sort(order, {}, [&](std::size_t at) { return ranks[at].key(); });
  Caps caps(jobs, classes, table);
  std::vector<Rank> sorted;
  sorted.reserve(ranks.size());
  std::size_t place = 0;
  for (const std::size_t at : order) {
    Rank& rank = sorted.emplace_back(std::move(ranks[at]));
    if (rank.waiting == 0) continue;
    rank.place = ++place;
    const wire::JobSpec& spec = *ranked[at].spec;
    const std::uint64_t room = caps.room(rank.of, spec, rank.waiting, spec.kind == wire::JobKind::gang);
    caps.take(rank.of, spec, room);
    rank.capped = rank.waiting - room;
  }
  return sorted;
}

std::uint64_t digest_of(const std::vector<Rank>& ranks, const Table& table) {
  std::uint64_t digest = 0;
  fmt::memory_buffer line;
  for (const Rank& rank : ranks) {
    if (rank.place == 0) continue;
    line.clear();
    fmt::format_to(std::back_inserter(line), "{} {} {} {} {} {} {} {} {} {} {} {} {}", rank.place, rank.job.text(),
                   rank.team, rank.of ? table.at(*rank.of).name : std::string(), rank.borrowed, rank.standing,
                   rank.best, rank.aged, rank.hurried, static_cast<int>(rank.priority), rank.waited_s, rank.waiting,
                   rank.capped);
    digest = XXH3_64bits_withSeed(line.data(), line.size(), digest);
  }
  return digest;
}

std::string reason(const Rank& rank, const Table& table) {
  std::string text = rank.borrowed ? "beyond its team's guarantee" : "within its team's guarantee";
  text += rank.of ? fmt::format("; class \"{}\" stands at {}", table.at(*rank.of).name, rank.base)
                  : fmt::format("; of no class, stands at {}", rank.base);
  if (rank.aged + rank.hurried > 0) {
    text += fmt::format(", now at {}", rank.standing);
    if (rank.overdue && rank.aged > 0) {
      text += fmt::format(", has waited longer than {:.0f} s",
                          table.at(*rank.of).wait_most_s.value_or(constants::kWaitPromiseS));
    } else if (rank.aged > 0) {
      text += fmt::format(", has aged by {} of {}", rank.aged, table.at(*rank.of).age_most);
    }
    if (rank.hurried > 0) text += fmt::format(", hurries by {} for its deadline", rank.hurried);
    if (rank.of && rank.standing == table.floor(*rank.of)) text += ", as far as it may rise";
  }
  text += fmt::format("; priority {}", name_of(rank.priority));
  if (rank.capped > 0) text += fmt::format("; {} tasks are kept back by its class's cap for its team", rank.capped);
  return text;
}

}  // namespace foxshunt::classes
