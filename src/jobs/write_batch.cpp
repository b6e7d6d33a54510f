#include "jobs/write_batch.h"

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::jobs {

using guards::Guard;
using guards::kept;

namespace {

state::PartRecord part_record(const Part& part) {
  state::PartRecord record{.next = part.next, .done = part.done, .runs = {}};
  for (const auto& [index, run] : part.runs) {
    record.runs.push_back({.index = index, .attempt = run.attempt, .machine = run.machine, .session = run.session});
  }
  return record;
}

std::vector<RunReference> not_durable_runs(const Part& part) {
  std::vector<RunReference> found;
  for (const auto& [index, run] : part.runs) {
    if (!run.durable) found.push_back({.index = index, .attempt = run.attempt});
  }
  return found;
}

// The job's own record, without what the records of its parts say.
state::JobRecord job_header(const Job& job) {
  return {.spec = job.spec, .submitted_wall_ms = job.submitted_wall_ms, .whole = {}};
}

// The least that an item of this kind changes. A removal makes do with what room there is.
std::size_t changes_needed(const Job& job, WriteItem::Kind kind) {
  if (kind != WriteItem::Kind::finish) return 1;
  return job.parts.size() > 1 ? 3 : 2;
}

}  // namespace

WriteBatchBuilder::WriteBatchBuilder(Revision term_mark, std::size_t max_changes)
    : max_changes_(max_changes), batch_{.term_mark = term_mark, .items = {}, .txn = {}} {
  if (kept(Guard::write_term)) require(state::kTermKey, term_mark);
}

bool WriteBatchBuilder::has_job(const JobId& job) const {
  return std::ranges::any_of(batch_.items, [&](const WriteItem& item) { return item.job == job; });
}

bool WriteBatchBuilder::has_room_for(const Job& job, WriteItem::Kind kind) const {
  const bool changes_fit = batch_.txn.changes.size() + changes_needed(job, kind) <= max_changes_;
  const bool conditions_fit = batch_.txn.conditions.size() + constants::kMaxWriteItemConditions <=
                              constants::kMaxConditionsPerChange * max_changes_;
  return changes_fit && conditions_fit && bytes_ <= constants::kMaxWriteBatchBytes;
}

void WriteBatchBuilder::add_update(Job& job, std::uint32_t number, Instant now) {
  require_active_record(job);
  Part& part = job.parts[number];
  WriteItem item{.kind = WriteItem::Kind::update,
                 .job = job.spec.id,
                 .part = number,
                 .not_durable = not_durable_runs(part),
                 .removed_parts = {}};
  if (job.parts.size() == 1) {
    state::JobRecord whole = job_header(job);
    whole.whole = part_record(part);
    set(state::live_key(job.spec.id), state::to_value(whole));
  } else {
    const std::string key = state::part_key(job.spec.id, number);
    if (kept(Guard::write_part)) require(key, part.mark);
    part.recorded = true;
    set(key, state::to_value(part_record(part)));
    // The counts that users are shown may be out of date a little.
    if (now - job.shown >= constants::kShowEvery && free_changes() > 0) {
      job.shown = now;
      item.header = true;
      state::JobRecord header = job_header(job);
      header.done_shown = job.done_count;
      header.running_shown = job.runs_count;
      set(state::live_key(job.spec.id), state::to_value(header));
    }
  }
  batch_.items.push_back(std::move(item));
}

void WriteBatchBuilder::add_finish(const Job& job) {
  const JobId& id = job.spec.id;
  require_active_record(job);
  require(state::over_key(id), Revision{});
  remove(state::live_key(id));
  const wire::JobStatus status{.id = id, .state = wire::JobState::done, .done = job.spec.tasks, .running = 0};
  set(state::over_key(id), state::over_value(status));
  // The parts are removed later, some at a time. Until then a new leader has to find the job.
  if (job.parts.size() > 1) set(state::linger_key(id), state::to_value(job_header(job)));
  batch_.items.push_back(
      {.kind = WriteItem::Kind::finish, .job = id, .part = 0, .not_durable = {}, .removed_parts = {}});
}

void WriteBatchBuilder::add_removal(const Job& job) {
  const JobId& id = job.spec.id;
  WriteItem item{.kind = WriteItem::Kind::remove, .job = id, .part = 0, .not_durable = {}, .removed_parts = {}};
  if (job.parts.size() > 1) {
    // The last change is left for the job's own record.
    for (std::uint32_t part = 0; part < job.parts.size() && free_changes() > 1; ++part) {
      if (!job.parts[part].recorded) continue;
      remove(state::part_key(id, part));
      item.removed_parts.push_back(part);
    }
  }
  const auto recorded = std::ranges::count_if(job.parts, [](const Part& part) { return part.recorded; });
  if (static_cast<std::size_t>(recorded) == item.removed_parts.size()) {
    remove(state::linger_key(id));
    item.removes_last = true;
  }
  batch_.items.push_back(std::move(item));
}

void WriteBatchBuilder::require(std::string key, Revision mark) {
  batch_.txn.conditions.push_back({.key = std::move(key), .mark = mark});
}

void WriteBatchBuilder::require_active_record(const Job& job) {
  if (!has_job(job.spec.id) && kept(Guard::write_job)) require(state::live_key(job.spec.id), job.mark);
}

void WriteBatchBuilder::set(std::string key, wire::Value data) {
  bytes_ += wire::json_length(data);
  batch_.txn.changes.push_back({.key = std::move(key), .data = std::move(data), .lease = {}});
}

void WriteBatchBuilder::remove(std::string key) {
  batch_.txn.changes.push_back({.key = std::move(key), .data = {}, .lease = {}});
}

}  // namespace foxshunt::jobs
