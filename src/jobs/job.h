// A job as the leader holds it in memory: its specification, its parts (the units in which its tasks are recorded), its runs
// (allocations of tasks to machines) and what is planned for it. Plain data; changed by JobTable and by the modules that
// decide on jobs.
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

// Whether the store is known to hold a run's placement. Never unset; only the job table sets it, so that nothing can be
// started by a flag that was set elsewhere.
class DurableFlag {
 public:
  operator bool() const { return is_set_; }

 private:
  friend class JobTable;
  void set() { is_set_ = true; }

  bool is_set_ = false;
};

// A task's placement on a machine, from the moment it is decided until it is proved gone.
struct Allocation {
  AttemptNumber attempt;
  MachineId machine;
  AgentIncarnation incarnation;
  DurableFlag durable;   // only then may the start command be sent
  bool adopted = false;  // of an earlier leader's record
  bool stopping = false;
  double grace_s = 0;
  Instant stop_due;                     // when the halt is sent directly, if it is still needed
  std::optional<wire::TaskState> seen;  // as last reported
  Instant placed;
  std::optional<Instant> running_since;
  std::optional<Instant> told_began;  // as a sibling's word has it; counts once a report says that it runs
  plan::BookingId booking = 0;
};

// The runs of a part, by their tasks' indices in the job. Their fields may be changed through it; only the job table adds
// and removes runs, so that none that may be running can be lost.
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

struct JobShard {
  Revision revision;      // of its own key, in a job of several parts
  bool recorded = false;  // that key may be there: also by a write that had no answer
  bool reload = false;    // a write met a record at another revision than `mark`
  AttemptNumber next{1};
  std::vector<bool> done;
  std::uint32_t done_count = 0;
  ShardAllocations allocations;
  bool dirty = false;      // memory is ahead of the record
  Instant dirty_since;     // that or the write under way
  bool in_flight = false;  // a transaction on it is under way

  [[nodiscard]] bool settled() const { return !dirty && !in_flight; }
};

// What the scheduler has planned for a job and remembers about it between passes. It is in no record, and the job table reads
// nothing of it.
struct SchedulingState {
  std::vector<plan::BookingId> booked;   // of tasks that have not been placed
  std::optional<Instant> planned_start;  // of its first task that waits
  bool borrowed = false;                 // does not fit into its team's guarantee
  std::optional<Instant> displaced;      // when it was last stopped for other work
  Instant displaces_after;               // it makes others give way no sooner
  std::uint32_t overdue_tasks = 0;       // late for a calendar that a machine rented now would keep
  std::uint32_t late_tasks = 0;          // booked later than they should wait, or not at all
  std::uint32_t stranded = 0;            // tasks in zones that are being left
  Instant stranded_until;                // when all of these are proved gone, if nothing is heard
};

struct Job : SchedulingState {
  wire::JobSpec spec;
  ResourceAmounts each;
  Instant submitted;
  std::int64_t submitted_wall_ms = 0;
  Revision revision;  // of live/<job>
  std::vector<JobShard> shards;
  std::uint32_t done_count = 0;
  std::uint32_t allocation_count = 0;
  bool cancelled = false;
  bool had_allocations = false;  // there may be a linger/ record
  bool begun = false;            // seen running by this leader
  Instant shown;                 // when the counts of a job in parts were last written
  bool reload = false;           // a write met a record that is not the one in memory
  Instant not_before;            // after errors
  int errors = 0;                // in a row, on different machines
  std::set<MachineId> failed_on;
  std::map<std::uint32_t, Millis> saved;  // progress known to be saved, by task
  std::optional<Instant> gather_until;    // a gang that lacks a task before its start gets another one until then
  bool in_stages = false;                 // a gang whose tasks that fetch longest are placed first

  [[nodiscard]] std::uint32_t pending() const { return spec.tasks - done_count - allocation_count; }
  // Whether all tasks are done and nothing may run any more.
  [[nodiscard]] bool is_complete() const { return !cancelled && done_count == spec.tasks && allocation_count == 0; }
  // Whether no task is wanted and nothing may run any more.
  [[nodiscard]] bool is_removable() const { return cancelled && allocation_count == 0; }
  // Whether a write on any of it is under way.
  [[nodiscard]] bool in_flight() const;
};

}  // namespace foxshunt::jobs
