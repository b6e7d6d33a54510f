#include "jobs/job_table.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::jobs {

using guards::Guard;
using guards::kept;

bool Job::in_flight() const {
  return std::ranges::any_of(parts, [](const Part& part) { return part.in_flight; });
}

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
    run.durable = true;
    run.adopted = true;
    run.placed = now;
    machines.know(run.machine, now).machine.runs.insert({job.spec.id, record_run.index});
    team_use_[job.spec.team] += job.each;
    part.runs.emplace(record_run.index, run);
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
  dirty_.erase(dirty_.lower_bound({id, 0}), dirty_.upper_bound({id, UINT32_MAX}));
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
  return part.runs.emplace(index, run).first->second;
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
  part.runs.erase(entry);
  --job.runs_count;
  team_use_[job.spec.team] -= job.each;
  if (const auto machine = machines.find(run.machine); machine != machines.end()) {
    machine->second.runs.erase({job.spec.id, index});
  }
  touch(job, number, now);
  return run;
}

// ---- writes ----

void JobTable::add_update(Job& job, std::uint32_t number, std::size_t ops_most, WriteBatch& batch, Instant now) {
  Part& part = job.parts[number];
  state::PartRecord record{.next = part.next, .done = part.done, .runs = {}};
  WriteItem item{.kind = WriteItem::Kind::update, .job = job.spec.id, .part = number, .runs = {}};
  for (const auto& [index, run] : part.runs) {
    record.runs.push_back({.index = index, .attempt = run.attempt, .machine = run.machine, .session = run.session});
    if (!run.durable) item.runs.emplace_back(index, run.attempt);
  }
  const std::string live = state::live_key(job.spec.id);
  if (job.parts.size() == 1) {
    const state::JobRecord whole{
        .spec = job.spec, .submitted_wall_ms = job.submitted_wall_ms, .whole = std::move(record)};
    batch.txn.changes.push_back({.key = live, .data = state::to_value(whole), .lease = {}});
  } else {
    const std::string key = state::part_key(job.spec.id, number);
    if (kept(Guard::write_part)) batch.txn.conditions.push_back({.key = key, .mark = part.mark});
    part.recorded = true;
    batch.txn.changes.push_back({.key = key, .data = state::to_value(record), .lease = {}});
    // What users are shown may lag a little.
    if (now - job.shown >= constants::kShowEvery && batch.txn.changes.size() < ops_most) {
      job.shown = now;
      item.header = true;
      const state::JobRecord header{.spec = job.spec,
                                    .submitted_wall_ms = job.submitted_wall_ms,
                                    .whole = {},
                                    .done_shown = job.done_count,
                                    .running_shown = job.runs_count};
      batch.txn.changes.push_back({.key = live, .data = state::to_value(header), .lease = {}});
    }
  }
  batch.items.push_back(std::move(item));
}

std::optional<WriteBatch> JobTable::begin_write(Revision term_mark, std::size_t ops_most, Instant now) {
  if (dirty_.empty()) return std::nullopt;
  WriteBatch batch{.term_mark = term_mark, .items = {}, .txn = {}};
  if (kept(Guard::write_term)) batch.txn.conditions.push_back({.key = state::kTermKey, .mark = term_mark});
  std::size_t bytes = 0;
  for (auto at = dirty_.begin(); at != dirty_.end();) {
    const auto [id, number] = *at;
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end()) {
      at = dirty_.erase(at);
      continue;
    }
    Job& job = entry->second;
    const bool busy = job.in_flight();
    const bool same_batch = std::ranges::any_of(batch.items, [&](const WriteItem& item) { return item.job == id; });
    const bool over = !job.withdrawn && job.done_count == job.spec.tasks && job.runs_count == 0;
    const bool forget = job.withdrawn && job.runs_count == 0;
    // Finishing and forgetting a job of several parts removes the parts as well, some at a time.
    const std::size_t ops = over ? (job.parts.size() > 1 ? 3 : 2) : 1;
    if ((busy && !same_batch) || job.reload || job.parts[number].reload ||
        (same_batch && (over || forget || job.parts.size() == 1))) {
      ++at;
      continue;
    }
    if (batch.txn.changes.size() + ops > ops_most || bytes > constants::kBodyLimitBytes / 2 ||
        batch.txn.conditions.size() + 2 > 4 * ops_most) {
      break;
    }
    const std::string live = state::live_key(id);
    const std::size_t before = batch.txn.changes.size();
    if (forget) {
      std::size_t room = ops_most - batch.txn.changes.size();
      WriteItem item{.kind = WriteItem::Kind::forget, .job = id, .part = 0, .runs = {}};
      if (job.parts.size() > 1) {
        for (std::uint32_t part = 0; part < job.parts.size() && room > 1; ++part) {
          if (!job.parts[part].recorded) continue;
          batch.txn.changes.push_back({.key = state::part_key(id, part), .data = {}, .lease = {}});
          item.runs.emplace_back(part, AttemptNo{});
          --room;
        }
      }
      const auto parts_left = std::ranges::count_if(job.parts, [](const Part& part) { return part.recorded; });
      if (static_cast<std::size_t>(parts_left) == item.runs.size()) {
        batch.txn.changes.push_back({.key = state::linger_key(id), .data = {}, .lease = {}});
        item.part = 1;  // the last of it
      }
      batch.items.push_back(std::move(item));
    } else {
      if (!same_batch && kept(Guard::write_job)) batch.txn.conditions.push_back({.key = live, .mark = job.mark});
      if (over) {
        wire::JobStatus status{.id = id, .state = wire::JobState::done, .done = job.spec.tasks, .running = 0};
        batch.txn.conditions.push_back({.key = state::over_key(id), .mark = Revision{}});
        batch.txn.changes.push_back({.key = live, .data = {}, .lease = {}});
        batch.txn.changes.push_back({.key = state::over_key(id), .data = state::over_value(status), .lease = {}});
        if (job.parts.size() > 1) {
          state::JobRecord rest{.spec = job.spec, .submitted_wall_ms = job.submitted_wall_ms, .whole = {}};
          batch.txn.changes.push_back({.key = state::linger_key(id), .data = state::to_value(rest), .lease = {}});
        }
        batch.items.push_back({.kind = WriteItem::Kind::finish, .job = id, .part = 0, .runs = {}});
      } else {
        add_update(job, number, ops_most, batch, now);
      }
    }
    for (std::size_t change = before; change < batch.txn.changes.size(); ++change) {
      if (batch.txn.changes[change].data) bytes += wire::json_length(*batch.txn.changes[change].data);
    }
    if (over || forget) {
      for (Part& part : job.parts) part.dirty = false;
      job.parts.front().in_flight = true;
      dirty_.erase(dirty_.lower_bound({id, 0}), dirty_.upper_bound({id, UINT32_MAX}));
      at = dirty_.upper_bound({id, UINT32_MAX});
    } else {
      job.parts[number].dirty = false;
      job.parts[number].in_flight = true;
      at = dirty_.erase(at);
    }
  }
  if (batch.items.empty()) return std::nullopt;
  return batch;
}

std::vector<Job> JobTable::end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now) {
  std::vector<Job> erased;
  const auto failed = [&](const std::string& key) {
    return std::ranges::find(result.failed, key) != result.failed.end();
  };
  for (const WriteItem& item : batch.items) {
    const auto entry = jobs_.find(item.job);
    if (entry == jobs_.end()) continue;
    Job& job = entry->second;
    const std::uint32_t number = item.kind == WriteItem::Kind::update ? item.part : 0;
    Part& part = job.parts[number];
    part.in_flight = false;
    if (result.answer != kv::Answer::ok) {
      part.dirty = true;
      dirty_.insert({item.job, number});
      // Without an answer the write may be applied yet. The next write is conditioned on the same mark, so
      // that one of the two fails, and a start command waits for a write that is known to have succeeded.
      if (item.kind == WriteItem::Kind::forget) continue;
      if (result.answer != kv::Answer::conflict || !kept(Guard::write_reload)) continue;
      if (failed(state::live_key(item.job)) || failed(state::over_key(item.job))) job.reload = true;
      if (failed(state::part_key(item.job, number))) part.reload = true;
      continue;
    }
    if (part.dirty) part.dirty_since = now;  // what has come meanwhile waits for the next write
    switch (item.kind) {
      case WriteItem::Kind::update:
        if (job.parts.size() == 1) {
          job.mark = result.revision;
        } else {
          part.mark = result.revision;
          if (item.header) job.mark = result.revision;
        }
        for (const auto& [index, attempt] : item.runs) {
          const auto run = part.runs.find(index);
          if (run != part.runs.end() && run->second.attempt == attempt) {
            run->second.durable = true;
            run->second.placed = now;
          }
        }
        if (!item.runs.empty()) job.had_runs = true;
        break;
      case WriteItem::Kind::finish:
        spdlog::info("job {}: done, {} tasks, {:.1f} s after its submission", item.job.text(), job.spec.tasks,
                     std::chrono::duration<double>(now - job.submitted).count());
        ended_.insert(item.job);
        if (job.parts.size() == 1) {
          erased.push_back(take_out(item.job));
        } else {
          job.withdrawn = true;  // what is left of it, the parts, is removed like that of a withdrawn job
          dirty_.insert({item.job, 0});
        }
        break;
      case WriteItem::Kind::forget:
        for (const auto& [gone, unused] : item.runs) {
          job.parts[gone].mark = Revision{};
          job.parts[gone].recorded = false;
        }
        if (item.part == 1) {
          erased.push_back(take_out(item.job));
        } else {
          dirty_.insert({item.job, 0});
        }
        break;
    }
  }
  return erased;
}

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
