#include "ledger/jobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::ledger {

const KnownJob* Jobs::find(const JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

void Jobs::recount(KnownJob& job) const {
  const auto parts = parts_.find(job.spec.id);
  if (parts == parts_.end()) return;
  job.done = job.placed = 0;
  for (const auto& [unused, counts] : parts->second) {
    job.done += counts.done;
    job.placed += counts.placed;
  }
}

void Jobs::on_change(const std::string& key, const wire::Value* data, Revision) {
  const bool live = key.starts_with(state::kLivePrefix);
  const bool linger = key.starts_with(state::kLingerPrefix);
  const bool part = key.starts_with(state::kPartPrefix);
  if (!live && !linger && !part) return;
  const auto id = state::job_of_key(key);
  if (!id) return;
  const auto known = jobs_.find(*id);
  if (part) {
    const auto number = state::part_of_key(key);
    if (!number) return;
    auto& counts = parts_[*id];
    if (data == nullptr) {
      counts.erase(*number);
      if (counts.empty()) parts_.erase(*id);
      return;
    }
    try {
      const state::PartRecord record = state::part_from(*data, constants::kTasksPerPart);
      counts[*number] = {.done = static_cast<std::uint64_t>(std::ranges::count(record.done, true)),
                         .placed = record.runs.size()};
    } catch (const wire::Malformed& error) {
      if (unreadable_++ == 0) spdlog::error("ledger: key={} cannot be read: {}", key, error.what());
    }
    if (known != jobs_.end()) recount(known->second);
    return;
  }
  if (data == nullptr) {
    // A withdrawn job moves from live/ to linger/ in one transaction, whose changes come one after the other.
    if (known != jobs_.end() && known->second.withdrawn == linger) jobs_.erase(known);
    return;
  }
  try {
    const state::JobRecord record = state::job_from(*data);
    KnownJob job{.spec = record.spec, .submitted_wall_ms = record.submitted_wall_ms, .withdrawn = linger};
    if (record.whole) {
      job.done = static_cast<std::uint64_t>(std::ranges::count(record.whole->done, true));
      job.placed = record.whole->runs.size();
    }
    recount(job);
    jobs_.insert_or_assign(*id, std::move(job));
  } catch (const wire::Malformed& error) {
    if (unreadable_++ == 0) spdlog::error("ledger: key={} cannot be read: {}", key, error.what());
  }
}

}  // namespace foxshunt::ledger
