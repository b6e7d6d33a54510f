#include "standins/rules.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "control/times.h"

namespace foxshunt::standins {

namespace {

constexpr plan::Millis kForgottenAfter{75'000};    // without an answer after the last trouble
constexpr plan::Millis kLeftWaitingAfter{90'000};  // though it could run
constexpr double kRounding = 1e-6;                 // of sums of amounts
constexpr std::uint64_t kTasksMost = 100'000;      // PROTOCOL, POST /api/jobs

bool allows(const wire::JobSpec& spec, const Rules::Place& place) {
  return (!place.spot || spec.spot) && (spec.zone.empty() || spec.zone == place.zone) &&
         (spec.types.empty() || std::ranges::find(spec.types, place.type) != spec.types.end());
}

std::uint32_t most_in_zone(const wire::JobSpec& spec) { return (spec.tasks + 1) / 2; }  // of a spread job

bool is_text(const wire::Value& value) { return value.as_text() != nullptr && !value.as_text()->empty(); }

std::optional<double> amount_of(const wire::Value& value) {
  if (value.as_count() != nullptr) return static_cast<double>(*value.as_count());
  if (value.as_real() == nullptr || !std::isfinite(*value.as_real()) || *value.as_real() < 0) return std::nullopt;
  return *value.as_real();
}

bool is_one_of(const wire::Value& value, std::initializer_list<std::string_view> names) {
  return value.as_text() != nullptr && std::ranges::find(names, *value.as_text()) != names.end();
}

// PROTOCOL's 400: which field is missing or invalid. Not the program's own reading, which is what is checked.
std::optional<std::string> bad_field(const wire::Value& submission) {
  if (submission.as_map() == nullptr) return "it is not a map";
  const std::string* id = submission["id"].as_text();
  if (id == nullptr || !id->starts_with("j-") || id->size() < 3 ||
      id->find_first_not_of("0123456789", 2) != std::string::npos) {
    return "id";
  }
  for (const char* name : {"breed", "pack", "pelt"}) {
    if (!is_text(submission[name])) return name;
  }
  if (!is_one_of(submission["gait"], {"array", "ensemble", "service"})) return "gait";
  if (!is_one_of(submission["rank"], {"production", "high", "standard", "best_effort"})) return "rank";
  const std::uint64_t* tasks = submission["cubs"].as_count();
  if (tasks == nullptr || *tasks == 0 || *tasks > kTasksMost) return "cubs";
  for (const char* name : {"cpus", "cards", "ramGb", "pullGb", "runS", "cacheS", "buryS"}) {
    if (!amount_of(submission[name])) return name;
  }
  for (const char* name : {"samePlace", "spread", "strays"}) {
    if (submission[name].as_bool() == nullptr) return name;
  }
  if (const wire::Value& types = submission["burrows"]; !types.is_null()) {
    if (types.as_list() == nullptr || !std::ranges::all_of(*types.as_list(), is_text)) return "burrows";
  }
  if (!submission["covert"].is_null() && !is_text(submission["covert"])) return "covert";
  if (!submission["duskS"].is_null() && !amount_of(submission["duskS"])) return "duskS";
  return std::nullopt;
}

}  // namespace

void Rules::breach(const std::string& what) {
  if (breaches_.insert(what).second) broken_.push_back(what);
}

bool Rules::is_too_late(const JobId& job, Instant now) const {
  const auto since = withdrawn_.find(job);
  return since != withdrawn_.end() && now - since->second > control::from_seconds(settings_.cancel_s);
}

bool Rules::under_limit(const wire::JobSpec& spec, double tasks, const Use& used) const {
  const config::Team* team = settings_.team(spec.team);
  if (team == nullptr) return true;
  const auto within = [](double use, double most) { return most <= 0 || use <= most + kRounding; };  // 0: no limit
  return within(used.cpus + spec.cpus * tasks, team->cpus_max) && within(used.gpus + spec.gpus * tasks, team->gpus_max);
}

void Rules::on_started(const TaskKey& task, const Place& place, Instant now) {
  ++starts_;
  waits_since_.erase(task.job);
  const wire::JobSpec& spec = specs_.at(task.job);
  std::map<MachineId, Held>& holders = on_[task];
  for (const auto& [machine, unused] : holders) {
    if (machine != place.machine)
      breach("ran_twice: " + task.text() + " on " + machine.text() + " and " + place.machine.text());
  }
  if (!allows(spec, place)) breach("wrong_place: " + task.text() + " on " + place.machine.text());
  Use& used = used_[spec.team];
  Held& held = holders[place.machine];
  held.place = place;
  ++held.attempts;
  used.cpus += spec.cpus;
  used.gpus += spec.gpus;
  Zones zones;
  for (auto other = on_.lower_bound({task.job, 0}); other != on_.end() && other->first.job == task.job; ++other) {
    for (const auto& [unused, at] : other->second) ++zones[at.place.zone];
  }
  if (spec.one_zone && zones.size() > 1) breach("wrong_place: " + task.text() + " in a second zone");
  if (spec.spread && zones[place.zone] > most_in_zone(spec)) breach("wrong_place: " + task.text() + " in a full zone");
  if (!under_limit(spec, 0, used)) breach("quota: team " + spec.team + " when " + task.text() + " started");
  if (is_too_late(task.job, now)) {
    breach("ran_cancelled: " + task.text() + " starts on " + place.machine.text());
  } else if (const auto since = withdrawn_.find(task.job); since != withdrawn_.end() && now > since->second) {
    ++starts_after_cancel_;
  }
  check(now);
}

void Rules::on_gone(const TaskKey& task, const MachineId& machine, bool done, Instant now) {
  if (done) done_[task.job].insert(task.index);
  const auto found = on_.find(task);
  if (found == on_.end()) return;
  const auto held = found->second.find(machine);
  if (held == found->second.end()) return;
  // It was there until now, whether anybody has looked meanwhile or not.
  if (is_too_late(task.job, now)) breach("ran_cancelled: " + task.text() + " on " + machine.text());
  const wire::JobSpec& spec = specs_.at(task.job);
  used_[spec.team].cpus -= spec.cpus;
  used_[spec.team].gpus -= spec.gpus;
  if (--held->second.attempts == 0) found->second.erase(held);
  if (found->second.empty()) on_.erase(found);
}

void Rules::check(Instant now) {
  for (const auto& [job, unused] : withdrawn_) {
    if (!is_too_late(job, now)) continue;
    for (auto at = on_.lower_bound({job, 0}); at != on_.end() && at->first.job == job; ++at) {
      for (const auto& [machine, held] : at->second) {
        breach("ran_cancelled: " + at->first.text() + " on " + machine.text());
      }
    }
  }
}

void Rules::check_answers(Instant now) {
  for (const auto& [job, answered] : accepted_) {
    if (now - std::max(answered, calm_since_) <= kForgottenAfter || withdrawn_.contains(job)) continue;
    if (forgotten_.insert(job).second) breach("forgotten: " + job.text() + " is asked about in vain");
  }
}

void Rules::check_waiting(const std::vector<Machine>& machines, Instant now) {
  // What is free, alike machines together.
  using Kind = std::tuple<std::string, std::string, bool, double, double, double>;
  std::map<Kind, std::uint32_t> free;
  std::map<std::string, Use> used;
  std::set<JobId> there;
  std::set<std::pair<TaskKey, MachineId>> counted;
  const auto take = [&](const TaskKey& task, const MachineId& machine) -> const wire::JobSpec& {
    const wire::JobSpec& spec = specs_.at(task.job);
    there.insert(task.job);
    if (counted.insert({task, machine}).second) {
      used[spec.team].cpus += spec.cpus;
      used[spec.team].gpus += spec.gpus;
    }
    return spec;
  };
  for (const Machine& machine : machines) {
    Machine left = machine;
    for (const TaskKey& task : machine.tasks) {
      const wire::JobSpec& spec = take(task, machine.place.machine);
      left.cpus -= spec.cpus;
      left.gpus -= spec.gpus;
      left.ram_gb -= spec.ram_gb;
    }
    if (!machine.usable) continue;
    ++free[{left.place.type, left.place.zone, left.place.spot, left.cpus, left.gpus, left.ram_gb}];
  }
  for (const auto& [task, holders] : on_) {
    for (const auto& [machine, unused] : holders) (void)take(task, machine);
  }

  const auto could_run = [&](const wire::JobSpec& spec, std::uint32_t tasks) {
    if (!under_limit(spec, tasks, used[spec.team])) return false;
    Zones room;
    for (const auto& [kind, count] : free) {
      const auto& [type, zone, spot, cpus, gpus, ram_gb] = kind;
      if (!allows(spec, {.machine = {}, .type = type, .zone = zone, .spot = spot})) continue;
      double each = tasks;
      const auto bound = [&each](double has, double need) {
        if (need > 0) each = std::min(each, std::floor((has + kRounding) / need));
      };
      bound(cpus, spec.cpus);
      bound(gpus, spec.gpus);
      bound(ram_gb, spec.ram_gb);
      if (each > 0) room[zone] += static_cast<std::uint32_t>(each) * count;
    }
    std::uint32_t all = 0;
    std::uint32_t best = 0;
    for (const auto& [unused, in_zone] : room) {
      all += spec.spread ? std::min(in_zone, most_in_zone(spec)) : in_zone;
      best = std::max(best, spec.spread ? std::min(in_zone, most_in_zone(spec)) : in_zone);
    }
    return (spec.one_zone ? best : all) >= tasks;
  };
  for (const auto& [job, unused] : accepted_) {
    const auto spec = specs_.find(job);
    const auto done = done_.find(job);
    const auto done_tasks = static_cast<std::uint32_t>(done == done_.end() ? 0 : done->second.size());
    if (spec == specs_.end() || is_over(job) || there.contains(job) || done_tasks >= spec->second.tasks ||
        !could_run(spec->second, spec->second.kind == wire::JobKind::gang ? spec->second.tasks - done_tasks : 1)) {
      waits_since_.erase(job);
      continue;
    }
    const Instant since = std::max(waits_since_.try_emplace(job, now).first->second, calm_since_);
    if (now - since > kLeftWaitingAfter) breach("left_waiting: " + job.text() + " has room and is left waiting");
  }
}

std::optional<Instant> Rules::cancelled_at(const JobId& job) const {
  const auto since = withdrawn_.find(job);
  return since == withdrawn_.end() ? std::nullopt : std::optional(since->second);
}

bool Rules::is_over(const JobId& job) const { return over_told_.contains(job); }

void Rules::on_created(const JobId& job) {
  if (!created_.insert(job).second) breach("went_back: " + job.text() + " begins a second time");
}

void Rules::on_accepted(const JobId& job, Instant now) {
  accepted_[job] = now;
  known_since_.try_emplace(job, now);
}

void Rules::on_accepted(const wire::Value& submission, Instant now) {
  const std::string* id = submission["id"].as_text();
  const std::string name = id == nullptr ? "a job without a name" : *id;
  if (const auto why = refusal(submission)) breach("wrongly_accepted: " + name + ": " + *why);
  on_accepted(JobId(name), now);
}

std::optional<std::string> Rules::refusal(const wire::Value& submission) const {
  if (const auto field = bad_field(submission)) return "missing or invalid: " + *field;
  const config::Team* team = settings_.team(*submission["pack"].as_text());
  if (team == nullptr) return "unknown team";
  const double cpus = *amount_of(submission["cpus"]);
  const double gpus = *amount_of(submission["cards"]);
  const double ram_gb = *amount_of(submission["ramGb"]);
  const wire::Value& types = submission["burrows"];
  const wire::Value& zone = submission["covert"];
  const bool fits = std::ranges::any_of(types_, [&](const wire::MachineType& type) {
    const bool named = types.is_null() || std::ranges::any_of(*types.as_list(), [&](const wire::Value& one) {
                         return *one.as_text() == type.name;
                       });
    const bool there = zone.is_null() || std::ranges::find(type.zones, *zone.as_text()) != type.zones.end();
    return named && there && cpus <= type.cpus && gpus <= type.gpus && ram_gb <= type.ram_gb;
  });
  if (!fits) return "a task fits no allowed machine type";
  const bool array = *submission["gait"].as_text() == "array";
  const double tasks = array ? 1 : static_cast<double>(*submission["cubs"].as_count());
  if ((team->cpus_max > 0 && cpus * tasks > team->cpus_max + kRounding) ||
      (team->gpus_max > 0 && gpus * tasks > team->gpus_max + kRounding)) {
    return "it needs more than its team's limit";
  }
  return std::nullopt;
}

void Rules::on_told(const JobId& job, wire::JobState state, Instant now, std::optional<Instant> asked) {
  if (!specs_.contains(job)) return breach("invented: " + job.text());
  on_accepted(job, now);
  const bool over = state == wire::JobState::done || state == wire::JobState::cancelled;
  if (const auto since = over_told_.find(job); since != over_told_.end()) {
    // An answer to a question from before may well be older.
    if (told_.at(job) != state && (over || asked.value_or(now) >= since->second)) breach("went_back: " + job.text());
    if (!over) return;
  }
  told_[job] = state;
  if (over) over_told_.try_emplace(job, now);
  if (state == wire::JobState::done && done_[job].size() < specs_.at(job).tasks) breach("not_done: " + job.text());
  if (state == wire::JobState::cancelled) withdrawn_.try_emplace(job, now);
}

void Rules::on_told_unknown(const JobId& job, std::optional<Instant> asked) {
  const auto since = known_since_.find(job);
  if (since != known_since_.end() && (!asked || *asked >= since->second)) breach("forgotten: " + job.text());
}

}  // namespace foxshunt::standins
