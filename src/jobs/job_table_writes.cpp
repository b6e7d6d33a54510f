// The job table's writes: which changes go into one transaction, and what its answer means for the jobs in it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "config/constants.h"
#include "config/guards.h"
#include "jobs/job_table.h"

namespace foxshunt::jobs {

using guards::Guard;
using guards::kept;

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

}  // namespace foxshunt::jobs
