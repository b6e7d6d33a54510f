#include "jobs/job_table.h"

#include <algorithm>

#include "config/constants.h"
#include "state/job_records.h"

namespace foxshunt::jobs {

Run* JobTable::find_run(const TaskKey& task) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end() || task.index >= job->second.spec.tasks) return nullptr;
  Part& part = job->second.parts[task.index / constants::kTasksPerPart];
  const auto run = part.runs.find(task.index);
  return run == part.runs.end() ? nullptr : &run->second;
}

std::vector<std::uint32_t> JobTable::pending_tasks(const Job& job, std::uint32_t most) {
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t number = 0; number < job.parts.size() && tasks.size() < most; ++number) {
    const Part& part = job.parts[number];
    if (part.done_count + part.runs.size() == part.done.size()) continue;
    for (std::uint32_t at = 0; at < part.done.size() && tasks.size() < most; ++at) {
      const std::uint32_t index = number * constants::kTasksPerPart + at;
      if (!part.done[at] && !part.runs.contains(index)) tasks.push_back(index);
    }
  }
  return tasks;
}

Amounts JobTable::team_use(const std::string& team) const {
  const auto known = team_use_.find(team);
  return known == team_use_.end() ? Amounts{} : known->second;
}

bool JobTable::settled(const TaskKey& task) const {
  const auto entry = jobs_.find(task.job);
  if (entry == jobs_.end() || task.index >= entry->second.spec.tasks || entry->second.withdrawn) return true;
  return entry->second.parts[task.index / constants::kTasksPerPart].settled();
}

bool JobTable::all_durable(const Job& job) {
  return std::ranges::all_of(job.parts, [](const Part& part) {
    return std::ranges::all_of(part.runs, [](const auto& entry) { return entry.second.durable; });
  });
}

// ---- records ----

Job& JobTable::add(const state::JobRecord& record, Revision mark, std::int64_t wall_ms,
                   inventory::MachineInventory& machines, Instant now) {
  Job& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.each = Amounts::from(record.spec.cpus, record.spec.gpus, record.spec.ram_gb);
  job.submitted_wall_ms = record.submitted_wall_ms;
  job.submitted = now - Millis(std::max<std::int64_t>(0, wall_ms - record.submitted_wall_ms));
  job.not_before = job.submitted;
  job.mark = mark;
  job.parts.resize(state::parts_of(record.spec.tasks));
  for (std::uint32_t part = 0; part < job.parts.size(); ++part) {
    job.parts[part].done.resize(state::part_size(record.spec.tasks, part));
  }
  if (record.whole) adopt_part(job, 0, *record.whole, machines, now);
  return job;
}

void JobTable::adopt_part(Job& job, std::uint32_t number, const state::PartRecord& record,
                          inventory::MachineInventory& machines, Instant now) {
  Part& part = job.parts[number];
  part.next = record.next;
  part.done = record.done;
  part.done_count = static_cast<std::uint32_t>(std::ranges::count(part.done, true));
  job.done_count += part.done_count;
  for (const state::RunRecord& record_run : record.runs) {
    Run run{.attempt = record_run.attempt, .machine = record_run.machine, .session = record_run.session};
    run.durable.set();
    run.adopted = true;
    run.placed = now;
    machines.know(run.machine, now).machine.runs.insert({job.spec.id, record_run.index});
    team_use_[job.spec.team] += job.each;
    part.runs.add(record_run.index, run);
    ++job.runs_count;
    job.had_runs = true;
  }
}

bool JobTable::on_record(const JobId& id, Revision mark) {
  if (ended_.contains(id)) return false;
  const auto known = jobs_.find(id);
  if (known == jobs_.end()) return true;
  Job& job = known->second;
  // Only this leader changes a live record, so memory is ahead; the event tells at most the record's mark.
  if (!job.in_flight() && mark > job.mark) job.mark = mark;
  return false;
}

Job* JobTable::on_removed(const JobId& id) {
  ended_.erase(id);
  const auto known = jobs_.find(id);
  if (known == jobs_.end() || known->second.withdrawn) return nullptr;
  Job& job = known->second;
  // While a write is under way its answer decides: it may have been this leader that removed the record.
  if (job.in_flight()) {
    job.reload = true;
    return nullptr;
  }
  return &job;
}

std::optional<Reload> JobTable::next_reload() const {
  for (const auto& [id, job] : jobs_) {
    if (job.in_flight()) continue;
    if (job.reload) return Reload{.job = id, .part = {}};
    const auto part = std::ranges::find_if(job.parts, &Part::reload);
    if (part != job.parts.end()) return Reload{.job = id, .part = static_cast<std::uint32_t>(part - job.parts.begin())};
  }
  return std::nullopt;
}

bool JobTable::has_unread() const {
  return std::ranges::any_of(jobs_, [](const auto& entry) { return entry.second.reload; });
}

Job* JobTable::on_reloaded(const Reload& reload, std::optional<Revision> mark) {
  const auto known = jobs_.find(reload.job);
  if (known == jobs_.end()) return nullptr;
  Job& job = known->second;
  if (reload.part) {
    // Only leaders write it, and this one is the last: it is this one's own write, whose answer did not come.
    Part& part = job.parts.at(*reload.part);
    if (part.reload) part.mark = mark.value_or(Revision{});
    part.reload = false;
    return nullptr;
  }
  if (!job.reload) return nullptr;
  job.reload = false;
  if (mark) {
    job.mark = *mark;
    return nullptr;
  }
  ended_.insert(reload.job);
  return &job;
}

std::vector<std::uint32_t> JobTable::withdraw(Job& job) {
  job.withdrawn = true;
  job.reload = false;
  std::vector<std::uint32_t> never_told;
  for (std::uint32_t number = 0; number < job.parts.size(); ++number) {
    Part& part = job.parts[number];
    dirty_.erase({job.spec.id, number});
    part.dirty = false;
    part.reload = false;
    for (const auto& [index, run] : part.runs) {
      // Without a confirmed record its start command was never sent, and never will be.
      if (!run.durable) never_told.push_back(index);
    }
  }
  if (job.runs_count == 0) dirty_.insert({job.spec.id, 0});
  return never_told;
}

void JobTable::touch(Job& job, std::uint32_t number, Instant now) {
  Part& part = job.parts[number];
  if (part.settled()) part.dirty_since = now;
  part.dirty = true;
  if (!job.withdrawn || job.runs_count == 0) dirty_.insert({job.spec.id, job.withdrawn ? 0 : number});
}

Job JobTable::take_out(const JobId& id) {
  erase_dirty_parts(id);
  return std::move(jobs_.extract(id).mapped());
}

// ---- runs ----

Run& JobTable::place(Job& job, std::uint32_t index, AttemptNo attempt, inventory::Machine& machine, Instant now) {
  Part& part = job.parts[index / constants::kTasksPerPart];
  Run run{.attempt = attempt, .machine = machine.id, .session = machine.session};
  run.placed = now;
  machine.runs.insert({job.spec.id, index});
  team_use_[job.spec.team] += job.each;
  part.next = std::max(part.next, attempt.next());
  ++job.runs_count;
  touch(job, index / constants::kTasksPerPart, now);
  return part.runs.add(index, run);
}

void JobTable::mark_done(Job& job, std::uint32_t index) {
  Part& part = job.parts[index / constants::kTasksPerPart];
  if (part.done[index % constants::kTasksPerPart]) return;
  part.done[index % constants::kTasksPerPart] = true;
  ++part.done_count;
  ++job.done_count;
}

std::optional<Run> JobTable::prove_gone(Job& job, std::uint32_t index, inventory::MachineInventory& machines,
                                        Instant now) {
  const std::uint32_t number = index / constants::kTasksPerPart;
  Part& part = job.parts[number];
  const auto entry = part.runs.find(index);
  if (entry == part.runs.end()) return std::nullopt;
  const Run run = entry->second;
  part.runs.remove(entry);
  --job.runs_count;
  team_use_[job.spec.team] -= job.each;
  if (const auto machine = machines.find(run.machine); machine != machines.end()) {
    machine->second.runs.erase({job.spec.id, index});
  }
  touch(job, number, now);
  return run;
}

}  // namespace foxshunt::jobs
