#include "standins/rules.h"

#include <algorithm>

#include "control/times.h"

namespace foxshunt::standins {

void Rules::on_started(const TaskKey& task, const Place& place, Instant now) {
  ++starts_;
  const wire::JobSpec& spec = specs_.at(task.job);
  for (const auto& [machine, unused] : on_[task]) {
    if (machine != place.machine)
      breach("ran_twice: " + task.text() + " on " + machine.text() + " and " + place.machine.text());
  }
  if ((place.spot && !spec.spot) || (!spec.zone.empty() && spec.zone != place.zone) ||
      (!spec.types.empty() && std::ranges::find(spec.types, place.type) == spec.types.end())) {
    breach("wrong_place: " + task.text() + " on " + place.machine.text());
  }
  on_[task][place.machine] = place;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [other, places] : on_) {
    if (other.job != task.job) continue;
    for (const auto& [unused, at] : places) ++zones[at.zone];
  }
  if (spec.one_zone && zones.size() > 1) breach("wrong_place: " + task.text() + " in a second zone");
  if (spec.spread && zones[place.zone] > (spec.tasks + 1) / 2)
    breach("wrong_place: " + task.text() + " in a full zone");
  double cpus = 0;
  double gpus = 0;
  for (const auto& [other, places] : on_) {
    const wire::JobSpec& other_spec = specs_.at(other.job);
    if (other_spec.team != spec.team) continue;
    cpus += other_spec.cpus * static_cast<double>(places.size());
    gpus += other_spec.gpus * static_cast<double>(places.size());
  }
  const config::Team* team = settings_.team(spec.team);
  if (team != nullptr &&
      ((team->cpus_max > 0 && cpus > team->cpus_max + 1e-6) || (team->gpus_max > 0 && gpus > team->gpus_max + 1e-6))) {
    breach("quota: team " + spec.team + " when " + task.text() + " started");
  }
  check(now);
}

void Rules::on_gone(const TaskKey& task, const MachineId& machine, bool done) {
  on_[task].erase(machine);
  if (done) done_[task.job][task.index] = true;
}

void Rules::check(Instant now) {
  for (const auto& [job, since] : withdrawn_) {
    if (now - since <= control::from_seconds(settings_.cancel_s)) continue;
    for (auto at = on_.lower_bound({job, 0}); at != on_.end() && at->first.job == job; ++at) {
      if (!at->second.empty()) breach("ran_cancelled: " + at->first.text());
    }
  }
}

void Rules::on_accepted(const JobId& job) { accepted_[job] = true; }

void Rules::on_told(const JobId& job, wire::JobState state, Instant now) {
  if (!specs_.contains(job)) return breach("invented: " + job.text());
  accepted_[job] = true;
  if (const auto before = told_.find(job); before != told_.end()) {
    const bool final = before->second == wire::JobState::done || before->second == wire::JobState::withdrawn;
    if (final && before->second != state) breach("went_back: " + job.text());
  }
  told_[job] = state;
  if (state == wire::JobState::done && done_[job].size() < specs_.at(job).tasks) breach("not_done: " + job.text());
  if (state == wire::JobState::withdrawn) withdrawn_.try_emplace(job, now);
}

void Rules::on_told_unknown(const JobId& job) {
  if (accepted_.contains(job)) breach("forgotten: " + job.text());
}

}  // namespace foxshunt::standins
