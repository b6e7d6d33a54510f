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
    for (std::uint32_t number = 0; number < job.shards.size(); ++number) {
      if (Finding found = check_part(id, job, number)) return found;
      done += job.shards[number].done_count;
      runs += static_cast<std::uint32_t>(job.shards[number].allocations.size());
    }
    if (done != job.done_count) return id.text() + ": its tasks done are miscounted";
    if (runs != job.allocation_count) return id.text() + ": its runs are miscounted";
    if (job.is_removable() && !job.in_flight() && !table_.dirty_.contains({id, 0})) {
      return id.text() + ": nobody removes what is left of it";
    }
    return std::nullopt;
  }

  Finding check_part(const JobId& id, const Job& job, std::uint32_t number) {
    const JobShard& shard = job.shards[number];
    const std::string where = id.text() + " part " + std::to_string(number);
    const auto done = static_cast<std::uint32_t>(std::ranges::count(shard.done, true));
    if (shard.done_count != done) return where + ": its tasks done are miscounted";
    for (const auto& [index, allocation] : shard.allocations) {
      const TaskKey key{id, index};
      if (index / constants::kTasksPerShard != number || index >= job.spec.tasks) return key.text() + ": not its part";
      if (Finding found = check_allocation(key, shard, allocation)) return found;
      ++on_machine_[allocation.machine];
      used_[job.spec.team] += job.each;
    }
    if (shard.dirty && !job.cancelled && !table_.dirty_.contains({id, number})) return where + ": nobody writes it";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_allocation(const TaskKey& key, const JobShard& shard,
                                         const Allocation& allocation) const {
    if (allocation.attempt >= shard.next && !allocation.adopted) return key.text() + ": its attempt may be given again";
    if (!allocation.durable && shard.settled()) return key.text() + ": nobody writes its placement";
    const auto machine = machines_.find(allocation.machine);
    if (machine == machines_.end()) return key.text() + ": its machine is not known";
    if (!machine->second.allocations.contains(key)) return key.text() + ": its machine does not have it";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_machines() const {
    for (const auto& [id, machine] : machines_) {
      const auto known = on_machine_.find(id);
      if (machine.allocations.size() != (known == on_machine_.end() ? 0 : known->second)) {
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
  std::map<std::string, ResourceAmounts> used_;  // by team, as the runs say
  std::map<MachineId, std::size_t> on_machine_;  // runs, as the jobs say
};

std::optional<std::string> JobTable::find_inconsistency(const inventory::MachineInventory& machines) const {
  return ConsistencyCheck(*this, machines).check_all();
}

}  // namespace foxshunt::jobs
