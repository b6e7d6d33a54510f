#include "state/job_records.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "config/constants.h"
#include "config/guards.h"
#include "state/keys.h"

namespace foxshunt::state {

using wire::Malformed;
using wire::Value;

std::uint32_t shard_count(std::uint32_t tasks) {
  return (tasks + constants::kTasksPerShard - 1) / constants::kTasksPerShard;
}

std::uint32_t shard_size(std::uint32_t tasks, std::uint32_t shard) {
  return std::min(constants::kTasksPerShard, tasks - shard * constants::kTasksPerShard);
}

namespace {

// Field names of the stored records. They must not change: existing records have to stay readable.
constexpr const char* kSpecField = "spec";
constexpr const char* kSubmittedMsField = "at";
constexpr const char* kOnlyShardField = "whole";
constexpr const char* kNextAttemptField = "next";
constexpr const char* kDoneField = "done";
constexpr const char* kRunningField = "running";
constexpr const char* kAllocationsField = "runs";
constexpr const char* kFinalStateField = "end";

constexpr std::string_view kHexDigits = "0123456789abcdef";

// Encodes the done flags as hexadecimal digits, four tasks a digit, lowest index first, without trailing zeros.
std::string bits_to_text(const std::vector<bool>& bits) {
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < 4 && at * 4 + bit < bits.size(); ++bit) {
      if (bits[at * 4 + bit]) digit |= 1U << bit;
    }
    text[at] = kHexDigits[digit];
  }
  text.erase(text.find_last_not_of('0') + 1);
  return text;
}

// Decodes the done flags of a shard with `size` tasks. Throws Malformed for a flag beyond the last task.
std::vector<bool> bits_from_text(const std::string& text, std::uint32_t size) {
  std::vector<bool> bits(size);
  for (std::size_t at = 0; at < text.size(); ++at) {
    const std::size_t digit = kHexDigits.find(text[at]);
    if (digit == std::string_view::npos) throw Malformed(std::string(kDoneField) + ": not a hexadecimal digit");
    for (std::size_t bit = 0; bit < 4; ++bit) {
      if ((digit >> bit & 1U) == 0) continue;
      if (at * 4 + bit >= size) throw Malformed(std::string(kDoneField) + ": too many tasks");
      bits[at * 4 + bit] = true;
    }
  }
  return bits;
}

}  // namespace

Value to_value(const JobShardRecord& shard) {
  Value::List encoded_allocations;
  for (const AllocationRecord& allocation : shard.allocations) {
    encoded_allocations.emplace_back(Value::List{std::uint64_t{allocation.index}, allocation.attempt.number(),
                                                 allocation.machine.text(), allocation.incarnation.number()});
  }
  return Value::Map{{kNextAttemptField, shard.next_attempt.number()},
                    {kDoneField, bits_to_text(shard.done)},
                    {kAllocationsField, std::move(encoded_allocations)}};
}

JobShardRecord job_shard_from(const Value& value, std::uint32_t size) {
  JobShardRecord shard;
  shard.next_attempt = AttemptNumber(value.count(kNextAttemptField));
  shard.done = bits_from_text(value.text(kDoneField), size);
  for (const Value& entry : value.list(kAllocationsField)) {
    const Value::List* allocation = entry.as_list();
    if (allocation == nullptr || allocation->size() != 4 || (*allocation)[0].as_count() == nullptr ||
        (*allocation)[1].as_count() == nullptr || (*allocation)[2].as_text() == nullptr ||
        (*allocation)[3].as_count() == nullptr) {
      throw Malformed(std::string(kAllocationsField) + ": entry is not an allocation");
    }
    shard.allocations.push_back({.index = static_cast<std::uint32_t>(*(*allocation)[0].as_count()),
                                 .attempt = AttemptNumber(*(*allocation)[1].as_count()),
                                 .machine = MachineId(*(*allocation)[2].as_text()),
                                 .incarnation = AgentIncarnation(*(*allocation)[3].as_count())});
  }
  return shard;
}

Value to_value(const JobRecord& job) {
  Value::Map map{{kSpecField, wire::to_value(job.spec)},
                 {kSubmittedMsField, static_cast<std::uint64_t>(job.submitted_wall_ms)}};
  if (job.only_shard) {
    map.emplace_back(kOnlyShardField, to_value(*job.only_shard));
  } else {
    map.emplace_back(kDoneField, job.displayed_done);
    map.emplace_back(kRunningField, job.displayed_running);
  }
  return map;
}

JobRecord job_from(const Value& value) {
  JobRecord job;
  job.spec = wire::job_spec_from(value[kSpecField]);
  job.submitted_wall_ms = static_cast<std::int64_t>(value.count(kSubmittedMsField));
  if (!value[kOnlyShardField].is_null()) {
    job.only_shard = job_shard_from(value[kOnlyShardField], shard_size(job.spec.tasks, 0));
  } else {
    job.displayed_done = value.count(kDoneField);
    job.displayed_running = value.count(kRunningField);
  }
  return job;
}

Value finished_job_value(const wire::JobStatus& status) {
  return Value::Map{{kFinalStateField, wire::name_of(status.state)}, {kDoneField, status.done}};
}

wire::JobStatus finished_job_from(const JobId& job, const Value& value) {
  const std::string& end = value.text(kFinalStateField);
  if (end != wire::name_of(wire::JobState::done) && end != wire::name_of(wire::JobState::cancelled)) {
    throw Malformed(std::string(kFinalStateField) + ": unknown value");
  }
  return {.id = job,
          .state = end == wire::name_of(wire::JobState::done) ? wire::JobState::done : wire::JobState::cancelled,
          .done = value.count(kDoneField),
          .running = 0};
}

wire::JobStatus status_of(const JobRecord& job) {
  wire::JobStatus status{.id = job.spec.id};
  if (job.only_shard) {
    status.done = static_cast<std::uint64_t>(std::ranges::count(job.only_shard->done, true));
    status.running = job.only_shard->allocations.size();
  } else {
    status.done = job.displayed_done;
    status.running = job.displayed_running;
  }
  status.state = status.running > 0 ? wire::JobState::running : wire::JobState::pending;
  return status;
}

JobRecord new_job(const wire::JobSpec& spec, std::int64_t wall_ms) {
  JobRecord job{.spec = spec, .submitted_wall_ms = wall_ms, .only_shard = {}};
  if (shard_count(spec.tasks) == 1) {
    job.only_shard =
        JobShardRecord{.next_attempt = AttemptNumber{1}, .done = std::vector<bool>(spec.tasks), .allocations = {}};
  }
  return job;
}

kv::Txn create_job_txn(const JobRecord& job) {
  const std::string active_key = active_job_key(job.spec.id);
  if (!guards::kept(guards::Guard::accept_once)) {
    return {.preconditions = {}, .changes = {{.key = active_key, .data = to_value(job), .lease = {}}}};
  }
  return {
      .preconditions = {{.key = active_key, .revision = {}}, {.key = finished_job_key(job.spec.id), .revision = {}}},
      .changes = {{.key = active_key, .data = to_value(job), .lease = {}}}};
}

kv::Txn cancel_job_txn(const JobRecord& job, Revision revision) {
  const JobId& id = job.spec.id;
  const wire::JobStatus cancelled{
      .id = id, .state = wire::JobState::cancelled, .done = status_of(job).done, .running = 0};
  kv::Txn txn{.preconditions = {{.key = active_job_key(id), .revision = revision},
                                {.key = finished_job_key(id), .revision = {}}},
              .changes = {{.key = active_job_key(id), .data = {}, .lease = {}},
                          {.key = finished_job_key(id), .data = finished_job_value(cancelled), .lease = {}}}};
  if (!guards::kept(guards::Guard::withdraw_mark)) txn.preconditions.clear();
  if (!guards::kept(guards::Guard::withdraw_lingers)) return txn;
  // The terminating record keeps the allocations until a leader has confirmed that they have terminated. A job with
  // several shards always gets one: its allocations are in its shard records, and the counts in its own record are for
  // display only.
  if (!job.only_shard || !job.only_shard->allocations.empty()) {
    txn.changes.push_back({.key = terminating_job_key(id), .data = to_value(job), .lease = {}});
  }
  return txn;
}

}  // namespace foxshunt::state
