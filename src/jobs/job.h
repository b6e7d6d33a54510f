// The in-memory state of a job: its specification, its shards (the units in which its tasks are recorded), its
// allocations (placements of tasks on machines) and what the planner has scheduled for it. These are plain data types.
// JobTable and the modules that make decisions about jobs modify them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plan/planner.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::jobs {

using plan::Instant;
using plan::Millis;
using plan::ResourceAmounts;

class JobTable;

// Whether the key-value store is known to hold the placement of an allocation. Once set, the flag stays set. Only
// JobTable can set it, so that no other module can cause a task to start before its placement is durable.
class DurableFlag {
 public:
  operator bool() const { return is_set_; }

 private:
  friend class JobTable;
  void set() { is_set_ = true; }

  bool is_set_ = false;
};

// The placement of a task on a machine, from the moment it is decided until the task is confirmed to have terminated.
struct Allocation {
  AttemptNumber attempt;
  MachineId machine;
  AgentIncarnation incarnation;
  DurableFlag durable;   // the start command may be sent only if this is set
  bool adopted = false;  // read from a record that an earlier leader wrote
  bool stopping = false;
  double grace_s = 0;
  Instant stop_due;  // when the stop command is sent directly to the machine, if it is still needed
  std::optional<wire::TaskState> reported_state;  // state in the last report
  Instant placed_at;
  std::optional<Instant> running_since;
  // The start time in the soft state of an earlier leader. It counts once a report says that the task runs.
  std::optional<Instant> hinted_start;
  plan::BookingId booking = 0;
};

// The allocations of a shard, keyed by the index of the task in its job. Callers may modify the fields of an
// allocation, but only JobTable can add and remove allocations, so that none that may still be running is lost.
class ShardAllocations {
 public:
  using Map = std::map<std::uint32_t, Allocation>;

  [[nodiscard]] Map::iterator begin() { return allocations_.begin(); }
  [[nodiscard]] Map::iterator end() { return allocations_.end(); }
  [[nodiscard]] Map::const_iterator begin() const { return allocations_.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return allocations_.end(); }
  [[nodiscard]] Map::iterator find(std::uint32_t index) { return allocations_.find(index); }
  [[nodiscard]] Map::const_iterator find(std::uint32_t index) const { return allocations_.find(index); }
  [[nodiscard]] Allocation& at(std::uint32_t index) { return allocations_.at(index); }
  [[nodiscard]] const Allocation& at(std::uint32_t index) const { return allocations_.at(index); }
  [[nodiscard]] bool contains(std::uint32_t index) const { return allocations_.contains(index); }
  [[nodiscard]] bool empty() const { return allocations_.empty(); }
  [[nodiscard]] std::size_t size() const { return allocations_.size(); }

 private:
  friend class JobTable;
  Allocation& add(std::uint32_t index, const Allocation& allocation) {
    return allocations_.emplace(index, allocation).first->second;
  }
  void remove(Map::iterator allocation) { allocations_.erase(allocation); }

  Map allocations_;
};

// The tasks of a job that are recorded together, with their progress and allocations.
struct JobShard {
  Revision revision;              // of the shard's own key, if the job has several shards
  bool may_have_record = false;   // that key may exist; also set for a write that got no answer
  bool reload = false;            // a write failed because the record was not at `revision`; it has to be read again
  AttemptNumber next_attempt{1};  // number for the next attempt of any task in this shard
  std::vector<bool> done;
  std::uint32_t done_count = 0;
  ShardAllocations allocations;
  bool dirty = false;      // the record is out of date
  Instant dirty_since;     // since when; changes made during a write count from its end
  bool in_flight = false;  // a transaction that writes this shard has not been answered yet

  // Whether the record is known to be up to date.
  [[nodiscard]] bool is_record_current() const { return !dirty && !in_flight; }
};

// What the scheduler has planned for a job and keeps between scheduling passes. It is not stored in any record, and
// JobTable does not read it.
struct SchedulingState {
  std::vector<plan::BookingId> bookings;  // bookings of tasks that are not placed yet
  std::optional<Instant> planned_start;   // planned start of the first task that waits
  bool is_over_guarantee = false;         // the job exceeds the guarantee of its team
  std::optional<Instant> preempted_at;    // when it was last stopped for other work
  Instant may_preempt_after;              // the job may not displace others before this time
  std::uint32_t overdue_tasks = 0;     // tasks late for their calendar that a machine rented now would get done in time
  std::uint32_t late_tasks = 0;        // tasks booked later than they should have to wait, or not booked at all
  std::uint32_t evacuating_tasks = 0;  // tasks in zones that are being evacuated
  Instant evacuating_until;            // when all of these count as terminated if no report arrives
};

// A job with its tasks, shards and allocations.
struct Job : SchedulingState {
  wire::JobSpec spec;
  ResourceAmounts task_resources;  // resources of one task
  Instant submitted;
  std::int64_t submitted_wall_ms = 0;
  Revision revision;  // of live/<job>
  std::vector<JobShard> shards;
  std::uint32_t done_count = 0;
  std::uint32_t allocation_count = 0;
  bool cancelled = false;
  bool had_allocations = false;  // a linger/ record may exist
  bool has_run = false;          // this leader has seen a task of it running
  Instant counts_written_at;     // when the displayed counts were last written, if the job has several shards
  // A write found the job record at another revision, or the record was reported deleted while a write was in flight.
  // The record has to be read again.
  bool reload = false;
  Instant not_before;          // no task is placed before this time; set after errors
  int consecutive_errors = 0;  // consecutive errors, on different machines
  std::set<MachineId> failed_on;
  std::map<std::uint32_t, Millis> saved_progress;  // progress known to be saved, by task
  std::optional<Instant> barrier_deadline;  // until then, a gang that loses a task before its start gets a replacement
  bool is_placed_in_stages = false;         // the job is a gang, and its tasks that fetch data longest are placed first

  // The number of tasks that are neither done nor placed.
  [[nodiscard]] std::uint32_t pending() const { return spec.tasks - done_count - allocation_count; }
  // Whether all tasks are done and no allocation is left.
  [[nodiscard]] bool is_complete() const { return !cancelled && done_count == spec.tasks && allocation_count == 0; }
  // Whether the job is cancelled and no allocation is left.
  [[nodiscard]] bool is_removable() const { return cancelled && allocation_count == 0; }
  // Whether a write of any shard is in flight.
  [[nodiscard]] bool in_flight() const;
};

}  // namespace foxshunt::jobs
