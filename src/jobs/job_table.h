// The job table: the jobs that this leader knows, their parts, and the runs (allocations of tasks to machines): what is
// durable, what memory is ahead of the records, which writes are under way, and what teams use. It builds the writes; what is
// placed, halted or taken for terminated the controller decides. Pure: the time is passed in; not thread-safe.
//
// Nothing that may run leaves it but by prove_gone(), and nothing is started that is not `durable`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plan/planner.h"
#include "inventory/machine_inventory.h"
#include "state/records.h"
#include "state/txn.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::jobs {

using plan::Amounts;
using plan::Instant;
using plan::Millis;

// A task's placement on a machine, from the moment it is decided until it is proved gone.
struct Run {
  AttemptNo attempt;
  MachineId machine;
  SessionNo session;
  bool durable = false;  // written; only then may the start command be sent
  bool adopted = false;  // of an earlier leader's record
  bool halting = false;
  double grace_s = 0;
  Instant halt_due;                     // when the halt is sent directly, if it is still needed
  std::optional<wire::TaskState> seen;  // as last reported
  Instant placed;
  std::optional<Instant> running_since;
  std::optional<Instant> told_began;  // as a sibling's word has it; counts once a report says that it runs
  plan::BookingId booking = 0;
};

struct Part {
  Revision mark;          // of its own key, in a job of several parts
  bool recorded = false;  // that key may be there: also by a write that had no answer
  bool reload = false;    // a write met a record at another revision than `mark`
  AttemptNo next{1};
  std::vector<bool> done;
  std::uint32_t done_count = 0;
  std::map<std::uint32_t, Run> runs;  // by the task's index in the job
  bool dirty = false;                 // memory is ahead of the record
  Instant dirty_since;                // that or the write under way
  bool in_flight = false;             // a transaction on it is under way

  [[nodiscard]] bool settled() const { return !dirty && !in_flight; }
};

// What the leader plans for a job. The job table carries it along and reads nothing of it.
struct Outlook {
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

struct Job : Outlook {
  wire::JobSpec spec;
  Amounts each;
  Instant submitted;
  std::int64_t submitted_wall_ms = 0;
  Revision mark;  // of live/<job>
  std::vector<Part> parts;
  std::uint32_t done_count = 0;
  std::uint32_t runs_count = 0;
  bool withdrawn = false;
  bool had_runs = false;  // there may be a linger/ record
  bool begun = false;     // seen running by this leader
  Instant shown;          // when the counts of a job in parts were last written
  bool reload = false;    // a write met a record that is not the one in memory
  Instant not_before;     // after errors
  int errors = 0;         // in a row, on different machines
  std::set<MachineId> failed_on;
  std::map<std::uint32_t, Millis> saved;  // progress known to be saved, by task
  std::optional<Instant> gather_until;    // a gang that lacks a task before its start gets another one until then
  bool in_stages = false;                 // a gang whose tasks that fetch longest are placed first

  [[nodiscard]] std::uint32_t pending() const { return spec.tasks - done_count - runs_count; }
  // Whether a write on any of it is under way.
  [[nodiscard]] bool in_flight() const;
};

// A record that has to be read again: the job's own, or that of a part.
struct Reload {
  JobId job;
  std::optional<std::uint32_t> part;

  [[nodiscard]] std::string key() const { return part ? state::part_key(job, *part) : state::live_key(job); }
};

struct WriteItem {
  enum class Kind : std::uint8_t { update, finish, forget };
  Kind kind = Kind::update;
  JobId job;
  std::uint32_t part = 0;
  bool header = false;                                    // the job's own record is written too
  std::vector<std::pair<std::uint32_t, AttemptNo>> runs;  // that the write makes durable
};

struct WriteBatch {
  Revision term_mark;  // of the lead from whose job table it is built
  std::vector<WriteItem> items;
  state::Txn txn;
};

class JobTable {
 public:
  // ---- who is known ----
  [[nodiscard]] auto begin() { return jobs_.begin(); }
  [[nodiscard]] auto end() { return jobs_.end(); }
  [[nodiscard]] auto begin() const { return jobs_.begin(); }
  [[nodiscard]] auto end() const { return jobs_.end(); }
  [[nodiscard]] auto find(const JobId& id) { return jobs_.find(id); }
  [[nodiscard]] auto find(const JobId& id) const { return jobs_.find(id); }
  [[nodiscard]] Job& at(const JobId& id) { return jobs_.at(id); }
  [[nodiscard]] const Job& at(const JobId& id) const { return jobs_.at(id); }
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }
  [[nodiscard]] const std::map<JobId, Job>& all() const { return jobs_; }
  [[nodiscard]] Run* find_run(const TaskKey& task);
  // Tasks that are neither done nor placed, lowest first.
  [[nodiscard]] static std::vector<std::uint32_t> pending_tasks(const Job& job, std::uint32_t most);
  // Everything that is placed and not proved gone.
  [[nodiscard]] Amounts team_use(const std::string& team) const;
  // Whether the record says how the task ended, or nobody asks any more.
  [[nodiscard]] bool settled(const TaskKey& task) const;
  [[nodiscard]] static bool all_durable(const Job& job);

  // ---- records, in the order of their revisions ----
  // `wall_ms`: now, by the time of day. What the record places is adopted, on machines that may be known by it alone.
  Job& add(const state::JobRecord& record, Revision mark, std::int64_t wall_ms, inventory::MachineInventory& machines,
           Instant now);
  void adopt_part(Job& job, std::uint32_t number, const state::PartRecord& record,
                  inventory::MachineInventory& machines, Instant now);
  // The watch tells of live/<job>. True when that job is to be added.
  [[nodiscard]] bool on_record(const JobId& id, Revision mark);
  // The watch tells that live/<job> is gone. The job that is to be withdrawn, if that was not this leader's own doing.
  [[nodiscard]] Job* on_removed(const JobId& id);
  // What has to be read again, and the revision that was found. The job that is to be withdrawn, if its record is gone.
  [[nodiscard]] std::optional<Reload> next_reload() const;
  // Whether any job's own record has to be, now or when the write under way has ended.
  [[nodiscard]] bool has_unread() const;
  [[nodiscard]] Job* on_reloaded(const Reload& reload, std::optional<Revision> mark);
  // No task of it is wanted any more. Those whose placement was never told to a machine, nor will be, are given back:
  // they are proved by that.
  [[nodiscard]] std::vector<std::uint32_t> withdraw(Job& job);

  // ---- runs ----
  Run& place(Job& job, std::uint32_t index, AttemptNo attempt, inventory::Machine& machine, Instant now);
  void mark_done(Job& job, std::uint32_t index);
  // The only way in which a run leaves memory. Gives back what it was.
  std::optional<Run> prove_gone(Job& job, std::uint32_t index, inventory::MachineInventory& machines, Instant now);

  // ---- writes ----
  [[nodiscard]] bool writes_wanted() const { return !dirty_.empty(); }
  // Of all that may be written now, what fits one transaction: at most `ops_most` changes, conditioned on the term's
  // record.
  [[nodiscard]] std::optional<WriteBatch> begin_write(Revision term_mark, std::size_t ops_most, Instant now);
  // Jobs that nothing is left of, in memory and in the records, are given back.
  std::vector<Job> end_write(const WriteBatch& batch, const state::TxnResult& result, Instant now);

  // The first inconsistency of the table, in words; for tests.
  [[nodiscard]] std::optional<std::string> disagreement(const inventory::MachineInventory& machines) const;

 private:
  void add_update(Job& job, std::uint32_t number, std::size_t ops_most, WriteBatch& batch, Instant now);
  void touch(Job& job, std::uint32_t number, Instant now);
  Job take_out(const JobId& id);

  std::map<JobId, Job> jobs_;
  std::set<std::pair<JobId, std::uint32_t>> dirty_;
  std::set<JobId> ended_;                    // removed by us; the watch may still tell of them
  std::map<std::string, Amounts> team_use_;  // everything placed and not proved gone
};

}  // namespace foxshunt::jobs
