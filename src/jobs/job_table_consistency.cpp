// Consistency of the job table with itself and with the machine inventory; run by tests after every step.
#include <algorithm>

#include "config/constants.h"
#include "jobs/job_table.h"

namespace foxshunt::jobs {

// Each step returns the first inconsistency that it finds, in words.
class JobTable::ConsistencyCheck {
 public:
  using Finding = std::optional<std::string>;

  ConsistencyCheck(const JobTable& table, const inventory::MachineInventory& machines)
      : table_(table), machines_(machines) {}

  Finding check_all() {
    for (const auto& [id, job] : table_.jobs_) {
      if (Finding found = check_job(id, job)) return found;
    }
    if (Finding found = check_machines()) return found;
    return check_teams();
  }

 private:
  Finding check_job(const JobId& id, const Job& job) {
    std::uint32_t done = 0;
    std::uint32_t runs = 0;
    for (std::uint32_t number = 0; number < job.parts.size(); ++number) {
      if (Finding found = check_part(id, job, number)) return found;
      done += job.parts[number].done_count;
      runs += static_cast<std::uint32_t>(job.parts[number].runs.size());
    }
    if (done != job.done_count) return id.text() + ": its tasks done are miscounted";
    if (runs != job.runs_count) return id.text() + ": its runs are miscounted";
    if (job.is_removable() && !job.in_flight() && !table_.dirty_.contains({id, 0})) {
      return id.text() + ": nobody removes what is left of it";
    }
    return std::nullopt;
  }

  Finding check_part(const JobId& id, const Job& job, std::uint32_t number) {
    const Part& part = job.parts[number];
    const std::string where = id.text() + " part " + std::to_string(number);
    const auto done = static_cast<std::uint32_t>(std::ranges::count(part.done, true));
    if (part.done_count != done) return where + ": its tasks done are miscounted";
    for (const auto& [index, run] : part.runs) {
      const TaskKey key{id, index};
      if (index / constants::kTasksPerPart != number || index >= job.spec.tasks) return key.text() + ": not its part";
      if (Finding found = check_run(key, part, run)) return found;
      ++on_machine_[run.machine];
      used_[job.spec.team] += job.each;
    }
    if (part.dirty && !job.withdrawn && !table_.dirty_.contains({id, number})) return where + ": nobody writes it";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_run(const TaskKey& key, const Part& part, const Run& run) const {
    if (run.attempt >= part.next && !run.adopted) return key.text() + ": its attempt may be given again";
    if (!run.durable && part.settled()) return key.text() + ": nobody writes its placement";
    const auto machine = machines_.find(run.machine);
    if (machine == machines_.end()) return key.text() + ": its machine is not known";
    if (!machine->second.runs.contains(key)) return key.text() + ": its machine does not have it";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_machines() const {
    for (const auto& [id, machine] : machines_) {
      const auto known = on_machine_.find(id);
      if (machine.runs.size() != (known == on_machine_.end() ? 0 : known->second)) {
        return id.text() + ": it has runs that no job has";
      }
    }
    return std::nullopt;
  }

  Finding check_teams() {
    for (const auto& [team, amounts] : table_.team_use_) {
      if (amounts != used_[team]) return "team " + team + ": its use is not the sum of its runs";
      used_.erase(team);
    }
    if (!used_.empty()) return "team " + used_.begin()->first + ": its use is not counted";
    return std::nullopt;
  }

  const JobTable& table_;
  const inventory::MachineInventory& machines_;
  std::map<std::string, Amounts> used_;          // by team, as the runs say
  std::map<MachineId, std::size_t> on_machine_;  // runs, as the jobs say
};

std::optional<std::string> JobTable::disagreement(const inventory::MachineInventory& machines) const {
  return ConsistencyCheck(*this, machines).check_all();
}

}  // namespace foxshunt::jobs
