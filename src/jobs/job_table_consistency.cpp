// Checks that the job table is consistent in itself and with the machine inventory. Tests run it after every step.
#include <algorithm>

#include "config/constants.h"
#include "jobs/job_table.h"

namespace foxshunt::jobs {

// Each check returns a description of the first inconsistency that it finds.
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
    return check_team_usage();
  }

 private:
  Finding check_job(const JobId& id, const Job& job) {
    std::uint32_t done = 0;
    std::uint32_t runs = 0;
    for (std::uint32_t number = 0; number < job.shards.size(); ++number) {
      if (Finding found = check_shard(id, job, number)) return found;
      done += job.shards[number].done_count;
      runs += static_cast<std::uint32_t>(job.shards[number].allocations.size());
    }
    if (done != job.done_count) return id.text() + ": done_count differs from the sum over its shards";
    if (runs != job.allocation_count) return id.text() + ": allocation_count differs from the sum over its shards";
    if (job.is_removable() && !job.in_flight() && !table_.dirty_.contains({id, 0})) {
      return id.text() + ": the removal of its records is not scheduled";
    }
    return std::nullopt;
  }

  Finding check_shard(const JobId& id, const Job& job, std::uint32_t number) {
    const JobShard& shard = job.shards[number];
    const std::string where = id.text() + " part " + std::to_string(number);
    const auto done = static_cast<std::uint32_t>(std::ranges::count(shard.done, true));
    if (shard.done_count != done) return where + ": done_count differs from its done tasks";
    for (const auto& [index, allocation] : shard.allocations) {
      const TaskKey key{id, index};
      if (index / constants::kTasksPerShard != number || index >= job.spec.tasks)
        return key.text() + ": is allocated in the wrong shard";
      if (Finding found = check_allocation(key, shard, allocation)) return found;
      ++allocations_by_machine_[allocation.machine];
      used_by_team_[job.spec.team] += job.task_resources;
    }
    if (shard.dirty && !job.cancelled && !table_.dirty_.contains({id, number}))
      return where + ": is dirty but has no write scheduled";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_allocation(const TaskKey& key, const JobShard& shard,
                                         const Allocation& allocation) const {
    if (allocation.attempt >= shard.next_attempt && !allocation.adopted)
      return key.text() + ": its attempt number may be reused";
    if (!allocation.durable && shard.is_record_current())
      return key.text() + ": its placement is not durable and has no write scheduled";
    const auto machine = machines_.find(allocation.machine);
    if (machine == machines_.end()) return key.text() + ": its machine is not in the inventory";
    if (!machine->second.allocations.contains(key)) return key.text() + ": its machine does not list the allocation";
    return std::nullopt;
  }

  [[nodiscard]] Finding check_machines() const {
    for (const auto& [id, machine] : machines_) {
      const auto known = allocations_by_machine_.find(id);
      if (machine.allocations.size() != (known == allocations_by_machine_.end() ? 0 : known->second)) {
        return id.text() + ": the number of its allocations differs from the job table";
      }
    }
    return std::nullopt;
  }

  Finding check_team_usage() {
    for (const auto& [team, amounts] : table_.team_use_) {
      if (amounts != used_by_team_[team]) return "team " + team + ": its usage differs from the sum of its allocations";
      used_by_team_.erase(team);
    }
    if (!used_by_team_.empty())
      return "team " + used_by_team_.begin()->first + ": the usage of its allocations is not counted";
    return std::nullopt;
  }

  const JobTable& table_;
  const inventory::MachineInventory& machines_;
  std::map<std::string, ResourceAmounts> used_by_team_;      // summed over the allocations
  std::map<MachineId, std::size_t> allocations_by_machine_;  // counted over the jobs
};

std::optional<std::string> JobTable::find_inconsistency(const inventory::MachineInventory& machines) const {
  return ConsistencyCheck(*this, machines).check_all();
}

}  // namespace foxshunt::jobs
