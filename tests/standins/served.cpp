#include "standins/served.h"

#include <algorithm>

#include "control/times.h"

namespace foxshunt::standins {

namespace {

constexpr std::size_t kNamed = 20;  // jobs in a line
constexpr double kLeastServed = 0.5;
constexpr plan::Millis kLargestWithin{240'000};
constexpr double kRounding = 1e-6;  // of sums of amounts

}  // namespace

std::string Served::Share::text() const {
  std::string line = of + ": " + std::to_string(served) + " of " + std::to_string(jobs) + " served, longest wait " +
                     std::to_string(static_cast<int>(longest_wait_s)) + " s";
  if (!unserved.empty()) line += ", not served:";
  for (std::size_t at = 0; at < std::min(unserved.size(), kNamed); ++at) line += " " + unserved[at].text();
  if (unserved.size() > kNamed) line += " and " + std::to_string(unserved.size() - kNamed) + " more";
  return line;
}

void Served::on_submitted(const wire::JobSpec& spec, Instant now) {
  jobs_.try_emplace(spec.id, Job{.spec = spec, .submitted = now, .began = {}, .over = false, .there = {}});
}

void Served::on_started(const TaskKey& task, AttemptNumber attempt, Instant now) {
  Job& job = jobs_.at(task.job);
  changes_[job.spec.team].push_back({.at = now, .job = task.job, .tasks = 1});
  if (job.began) return;
  if (job.spec.kind == wire::JobKind::gang) {
    job.there[attempt].insert(task.index);
    if (job.there[attempt].size() < job.spec.tasks) return;
    job.there.clear();
  }
  job.began = now;
}

void Served::on_gone(const TaskKey& task, AttemptNumber attempt, Instant now) {
  Job& job = jobs_.at(task.job);
  changes_[job.spec.team].push_back({.at = now, .job = task.job, .tasks = -1});
  if (const auto found = job.there.find(attempt); found != job.there.end()) found->second.erase(task.index);
}

void Served::on_over(const JobId& job) { jobs_.at(job).over = true; }

std::map<std::string, std::uint32_t> Served::largest() const {
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [unused, job] : jobs_) {
    largest[job.spec.job_class] = std::max(largest[job.spec.job_class], job.spec.tasks);
  }
  return largest;
}

std::vector<Served::Share> Served::shares(Instant now) const {
  const std::map<std::string, std::uint32_t> largest = this->largest();
  std::map<std::string, Share> found;
  for (const auto& [id, job] : jobs_) {
    std::vector<std::string> names{"class " + job.spec.job_class, "team " + job.spec.team};
    if (job.spec.tasks == largest.at(job.spec.job_class)) names.push_back("largest of " + job.spec.job_class);
    for (const std::string& name : names) {
      Share& share = found[name];
      share.of = name;
      ++share.jobs;
      if (job.began || job.over) {
        ++share.served;
      } else {
        share.unserved.push_back(id);
      }
      if (!job.began && job.over) continue;
      const double wait_s = control::to_seconds(job.began.value_or(now) - job.submitted);
      share.longest_wait_s = std::max(share.longest_wait_s, wait_s);
    }
  }
  std::vector<Share> shares;
  for (auto& [unused, share] : found) shares.push_back(std::move(share));
  return shares;
}

plan::Millis Served::waited(const Job& job, Instant now) const {
  const Instant end = job.began.value_or(now);
  const auto team = std::ranges::find(teams_, job.spec.team, &config::Team::name);
  const auto changes = changes_.find(job.spec.team);
  if (team == teams_.end() || changes == changes_.end()) return end - job.submitted;
  const double tasks = job.spec.kind == wire::JobKind::gang ? job.spec.tasks : 1;
  double cpus = job.spec.cpus * tasks;
  double gpus = job.spec.gpus * tasks;
  plan::Millis waited{0};
  Instant from = job.submitted;
  const auto pass = [&](Instant to) {
    if (to <= from) return;
    const bool allowed = (team->cpus_max <= 0 || cpus <= team->cpus_max + kRounding) &&
                         (team->gpus_max <= 0 || gpus <= team->gpus_max + kRounding);
    if (allowed) waited += to - from;
    from = to;
  };
  for (const Change& change : changes->second) {
    if (change.at > end) break;
    const Job& other = jobs_.at(change.job);
    if (change.job == job.spec.id) continue;
    if (other.submitted >= job.submitted && other.spec.priority <= job.spec.priority) continue;
    pass(change.at);
    cpus += other.spec.cpus * change.tasks;
    gpus += other.spec.gpus * change.tasks;
  }
  pass(end);
  return waited;
}

std::vector<std::string> Served::verdicts(Instant now) const {
  std::vector<std::string> found;
  for (const Share& share : shares(now)) {
    if (share.share() < kLeastServed) found.push_back("less than half is served of " + share.text());
  }
  const std::map<std::string, std::uint32_t> largest = this->largest();
  for (const auto& [id, job] : jobs_) {
    if (job.spec.tasks < largest.at(job.spec.job_class) || (!job.began && job.over)) continue;
    const plan::Millis wait = waited(job, now);
    if (wait <= kLargestWithin) continue;
    found.push_back(id.text() + ", a largest of class " + job.spec.job_class + ", waited " +
                    std::to_string(static_cast<int>(control::to_seconds(wait))) + " s");
  }
  return found;
}

}  // namespace foxshunt::standins
