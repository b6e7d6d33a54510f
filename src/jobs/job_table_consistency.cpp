// Consistency of the job table with itself and with the machine inventory; run by tests after every step.
#include <algorithm>

#include "config/constants.h"
#include "jobs/job_table.h"

namespace foxshunt::jobs {

std::optional<std::string> JobTable::disagreement(const inventory::MachineInventory& machines) const {
  std::map<std::string, Amounts> used;
  std::map<MachineId, std::size_t> on_machine;
  for (const auto& [id, job] : jobs_) {
    std::uint32_t done = 0;
    std::uint32_t runs = 0;
    for (std::uint32_t number = 0; number < job.parts.size(); ++number) {
      const Part& part = job.parts[number];
      const std::string where = id.text() + " part " + std::to_string(number);
      const auto done_here = static_cast<std::uint32_t>(std::ranges::count(part.done, true));
      if (part.done_count != done_here) return where + ": its tasks done are miscounted";
      done += done_here;
      runs += static_cast<std::uint32_t>(part.runs.size());
      for (const auto& [index, run] : part.runs) {
        const TaskKey key{id, index};
        if (index / constants::kTasksPerPart != number || index >= job.spec.tasks) return key.text() + ": not its part";
        if (run.attempt >= part.next && !run.adopted) return key.text() + ": its attempt may be given again";
        if (!run.durable && part.settled()) return key.text() + ": nobody writes its placement";
        const auto machine = machines.find(run.machine);
        if (machine == machines.end()) return key.text() + ": its machine is not known";
        if (!machine->second.runs.contains(key)) return key.text() + ": its machine does not have it";
        ++on_machine[run.machine];
        used[job.spec.team] += job.each;
      }
      if (part.dirty && !job.withdrawn && !dirty_.contains({id, number})) return where + ": nobody writes it";
    }
    if (done != job.done_count) return id.text() + ": its tasks done are miscounted";
    if (runs != job.runs_count) return id.text() + ": its runs are miscounted";
    if (job.withdrawn && runs == 0 && !job.in_flight() && !dirty_.contains({id, 0})) {
      return id.text() + ": nobody removes what is left of it";
    }
  }
  for (const auto& [id, machine] : machines) {
    const auto known = on_machine.find(id);
    if (machine.runs.size() != (known == on_machine.end() ? 0 : known->second)) {
      return id.text() + ": it has runs that no job has";
    }
  }
  for (const auto& [team, amounts] : team_use_) {
    if (amounts != used[team]) return "team " + team + ": its use is not the sum of its runs";
    used.erase(team);
  }
  for (const auto& [team, unused] : used) return "team " + team + ": its use is not counted";
  return std::nullopt;
}

}  // namespace foxshunt::jobs
