// Tests of the job table: it stays consistent in itself and with the records under any sequence of events, and no
// allocation is removed from it before the task is confirmed to have terminated.
#include "jobs/job_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "config/constants.h"
#include "standins/state_store.h"

namespace foxshunt::jobs {
namespace {

constexpr std::size_t kMaxOps = 12;
const JobId kJob("j-000001");
const MachineId kMachine("m-000001");

JobId job_id(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return JobId("j-" + std::string(6 - digits.size(), '0') + digits);
}

class JobTableTest : public testing::Test {
 protected:
  JobTableTest() {
    (void)store_.txn({.preconditions = {},
                      .changes = {{.key = state::kTermKey, .data = wire::Value(std::uint64_t{7}), .lease = {}}}});
    term_revision_ = store_.get(state::kTermKey).entry.revision;
  }

  // A user submits a job, and the watch reports its record.
  void submit(const JobId& id, std::uint32_t tasks, const std::string& team = "red") {
    wire::JobSpec spec;
    spec.id = id;
    spec.job_class = "work";
    spec.image = "img";
    spec.team = team;
    spec.tasks = tasks;
    spec.cpus = 2;
    ASSERT_EQ(store_.txn(state::create_job_txn(state::new_job(spec, 0))).status, kv::Status::ok);
    const kv::Entry live = store_.get(state::active_job_key(id)).entry;
    ASSERT_TRUE(table_.on_record(id, live.revision));
    table_.add(state::job_from(live.data), live.revision, 0, machines_, now_);
  }
  // A user cancels a job. Returns whether it was still active. The watch does not report the removal yet.
  bool cancel(const JobId& id) {
    const kv::GetResult live = store_.get(state::active_job_key(id));
    return live.status == kv::Status::ok &&
           store_.txn(state::cancel_job_txn(state::job_from(live.entry.data), live.entry.revision)).status ==
               kv::Status::ok;
  }
  // The watch reports that the record of an active job was deleted.
  void on_cancel_reported(const JobId& id) {
    if (Job* job = table_.on_record_deleted(id)) cancel_in_table(*job);
  }
  // Cancels the job in the table and confirms the tasks that were never started.
  void cancel_in_table(Job& job) {
    for (const std::uint32_t index : table_.cancel(job)) confirm_termination(job, index);
  }
  void confirm_termination(Job& job, std::uint32_t index) {
    EXPECT_TRUE(table_.confirm_terminated(job, index, machines_, now_));
  }
  void place(Job& job, std::uint32_t index, const MachineId& machine = kMachine) {
    const AttemptNumber attempt = job.shards[index / constants::kTasksPerShard].next_attempt;
    table_.place_task(job, index, attempt, machines_.find_or_add(machine, now_).machine, now_);
  }
  std::optional<WriteBatch> begin() { return table_.begin_write(term_revision_, kMaxOps, now_); }
  // Begins a write and applies its result. Returns false if there was nothing to write.
  bool write() {
    const auto batch = begin();
    if (batch) table_.end_write(*batch, store_.txn(batch->txn), now_);
    return batch.has_value();
  }
  // Reads again all records that the table asks for.
  void reload() {
    while (const auto reload = table_.next_reload()) {
      const kv::GetResult found = store_.get(reload->key());
      Job* deleted = table_.on_reloaded(
          *reload, found.status == kv::Status::ok ? std::optional(found.entry.revision) : std::nullopt);
      if (deleted != nullptr) cancel_in_table(*deleted);
    }
  }
  // Every placement in the records, including those of jobs that have ended.
  [[nodiscard]] std::set<std::pair<TaskKey, AttemptNumber>> recorded_allocations() const {
    std::set<std::pair<TaskKey, AttemptNumber>> recorded;
    const auto collect = [&](const JobId& id, const state::JobShardRecord& shard) {
      for (const state::AllocationRecord& allocation : shard.allocations)
        recorded.insert({{id, allocation.index}, allocation.attempt});
    };
    for (const char* prefix : {state::kActiveJobPrefix, state::kTerminatingJobPrefix}) {
      for (const kv::Entry& entry : store_.list(prefix).entries) {
        const state::JobRecord job = state::job_from(entry.data);
        if (job.only_shard) collect(job.spec.id, *job.only_shard);
      }
    }
    for (const kv::Entry& entry : store_.list(state::kJobShardPrefix).entries) {
      collect(*state::job_of_key(entry.key), state::job_shard_from(entry.data, constants::kTasksPerShard));
    }
    return recorded;
  }
  void expect_consistent() {
    const auto fault = table_.find_inconsistency(machines_);
    ASSERT_FALSE(fault) << *fault;
  }

  standins::StateStore store_;
  Revision term_revision_;
  Instant now_{Millis(1'000'000)};
  inventory::MachineInventory machines_{{.lease = Millis(10'000), .silence = Millis(3'000), .reroute = Millis(6'000)}};
  JobTable table_;
};

TEST_F(JobTableTest, MakesAPlacementDurableOnceItsWriteIsKnownToHaveSucceeded) {
  submit(kJob, 2);
  Job& job = table_.at(kJob);
  place(job, 0);
  EXPECT_FALSE(table_.is_record_current({kJob, 0}));
  const auto first = begin();
  ASSERT_TRUE(first);
  EXPECT_FALSE(begin());  // a job has one transaction in flight at a time
  place(job, 1);          // a change made during a write waits for the next one
  EXPECT_FALSE(begin());
  table_.end_write(*first, store_.txn(first->txn), now_);
  EXPECT_TRUE(table_.find_allocation({kJob, 0})->durable);
  EXPECT_FALSE(table_.find_allocation({kJob, 1})->durable);
  EXPECT_FALSE(JobTable::all_durable(job));
  EXPECT_TRUE(write());
  EXPECT_TRUE(JobTable::all_durable(job));
  EXPECT_TRUE(table_.is_record_current({kJob, 0}));
  EXPECT_FALSE(table_.has_pending_writes());
}

// A write without an answer may have been applied, or may still be. The retry requires the same revision, so that one
// of the two fails.
TEST_F(JobTableTest, RetriesAnUnansweredWriteAtTheSameRevision) {
  submit(kJob, 1);
  place(table_.at(kJob), 0);
  const auto unanswered = begin();
  (void)store_.txn(unanswered->txn);
  table_.end_write(*unanswered, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  EXPECT_FALSE(table_.find_allocation({kJob, 0})->durable);
  const auto retry = begin();
  ASSERT_TRUE(retry);
  const kv::TxnResult result = store_.txn(retry->txn);
  ASSERT_EQ(result.status, kv::Status::conflict);
  table_.end_write(*retry, result, now_);
  ASSERT_TRUE(table_.next_reload());
  EXPECT_EQ(table_.next_reload()->key(), state::active_job_key(kJob));
  EXPECT_FALSE(begin());  // the record has to be read first
  reload();
  EXPECT_TRUE(write());
  EXPECT_TRUE(table_.find_allocation({kJob, 0})->durable);
}

// The same for a job with several shards. The shard record has to be read again. Otherwise every retry would require
// the old revision and fail.
TEST_F(JobTableTest, RetriesAnUnansweredShardWriteAtTheRevisionReadAgain) {
  submit(kJob, 200);
  place(table_.at(kJob), 150);
  const auto unanswered = begin();
  (void)store_.txn(unanswered->txn);
  table_.end_write(*unanswered, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  EXPECT_TRUE(write());  // the conflict shows that the revision is out of date
  for (int round = 0; round < 3; ++round) {
    reload();
    write();
  }
  EXPECT_TRUE(table_.find_allocation({kJob, 150})->durable);
}

// A shard record whose write got no answer is removed as well when the job is cancelled.
TEST_F(JobTableTest, RemovesAShardRecordWhoseWriteWasUnanswered) {
  submit(kJob, 200);
  place(table_.at(kJob), 150);
  const auto unanswered = begin();
  (void)store_.txn(unanswered->txn);
  table_.end_write(*unanswered, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  ASSERT_TRUE(cancel(kJob));
  on_cancel_reported(kJob);
  while (write()) {
  }
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_TRUE(store_.list(state::kJobShardPrefix).entries.empty());
}

// If a task is placed again while the write of its previous attempt is in flight, that write must not make the new
// attempt durable.
TEST_F(JobTableTest, MakesOnlyTheWrittenAttemptDurable) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  place(job, 0);
  const auto first = begin();
  confirm_termination(job, 0);
  place(job, 0);
  table_.end_write(*first, store_.txn(first->txn), now_);
  EXPECT_EQ(table_.find_allocation({kJob, 0})->attempt, AttemptNumber(2));
  EXPECT_FALSE(table_.find_allocation({kJob, 0})->durable);
}

TEST_F(JobTableTest, KeepsACancelledJobUntilAllAllocationsAreConfirmedTerminated) {
  submit(kJob, 3);
  Job& job = table_.at(kJob);
  place(job, 0);
  place(job, 1);
  write();
  place(job, 2);
  ASSERT_TRUE(cancel(kJob));
  on_cancel_reported(kJob);
  EXPECT_EQ(job.allocation_count, 2U);  // no start command was sent for the third
  EXPECT_FALSE(write());
  confirm_termination(job, 1);
  EXPECT_FALSE(write());
  EXPECT_FALSE(machines_.remove(kMachine));  // a machine with an unconfirmed allocation is kept
  EXPECT_EQ(store_.get(state::terminating_job_key(kJob)).status, kv::Status::ok);
  EXPECT_EQ(table_.team_use("red"), job.task_resources);
  confirm_termination(job, 0);
  EXPECT_TRUE(write());
  EXPECT_EQ(store_.get(state::terminating_job_key(kJob)).status, kv::Status::not_found);
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_TRUE(machines_.remove(kMachine));
}

TEST_F(JobTableTest, HandlesARemovalDuringAWriteAfterItsResult) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  place(job, 0);
  const auto batch = begin();
  ASSERT_TRUE(cancel(kJob));
  EXPECT_EQ(table_.on_record_deleted(kJob), nullptr);
  EXPECT_FALSE(table_.next_reload());
  table_.end_write(*batch, store_.txn(batch->txn), now_);
  ASSERT_TRUE(table_.next_reload());
  reload();
  EXPECT_TRUE(job.cancelled);
  EXPECT_EQ(job.allocation_count, 0U);
  expect_consistent();
}

TEST_F(JobTableTest, AppliesRecordsInTheOrderOfTheirRevisions) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  const Revision revision = job.revision;
  EXPECT_FALSE(table_.on_record(kJob, Revision(revision.number() + 4)));
  EXPECT_FALSE(table_.on_record(kJob, revision));  // an event that is out of date
  EXPECT_EQ(job.revision, Revision(revision.number() + 4));
  // This leader finished the job, so events about it that arrive later do not add it again.
  job.revision = revision;
  place(job, 0);
  write();
  table_.mark_done(job, 0);
  confirm_termination(job, 0);
  EXPECT_TRUE(write());
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_FALSE(table_.on_record(kJob, revision));
  EXPECT_EQ(table_.on_record_deleted(kJob), nullptr);
}

TEST_F(JobTableTest, AdoptsAllocationsFromRecords) {
  submit(kJob, 200);
  place(table_.at(kJob), 5);
  place(table_.at(kJob), 150);
  while (write()) {
  }
  JobTable next;
  inventory::MachineInventory machines;
  const kv::Entry live = store_.get(state::active_job_key(kJob)).entry;
  Job& job = next.add(state::job_from(live.data), live.revision, 0, machines, now_);
  for (const kv::Entry& entry : store_.list(state::kJobShardPrefix).entries) {
    const std::uint32_t number = *state::shard_of_key(entry.key);
    job.shards[number].revision = entry.revision;
    next.adopt_shard(job, number, state::job_shard_from(entry.data, state::shard_size(200, number)), machines, now_);
  }
  EXPECT_EQ(job.allocation_count, 2U);
  EXPECT_TRUE(next.find_allocation({kJob, 150})->durable);
  EXPECT_TRUE(machines.at(kMachine).allocations.contains({kJob, 5}));
  EXPECT_EQ(next.team_use("red"), job.task_resources.times(2));
  EXPECT_FALSE(next.has_pending_writes());
  EXPECT_FALSE(next.find_inconsistency(machines));
}

class RandomJobTableTest : public JobTableTest, public testing::WithParamInterface<unsigned> {};

// Random sequences of user requests, placements and task ends, with a store whose answers are lost, delayed or refused.
TEST_P(RandomJobTableTest, StaysConsistentWithTheRecords) {
  std::mt19937 random(GetParam());
  const auto draw = [&](std::uint32_t most) { return std::uniform_int_distribution<std::uint32_t>(0, most)(random); };
  std::uint32_t jobs = 0;
  std::optional<WriteBatch> in_flight;
  std::vector<kv::Txn> delayed;  // got no answer and may still be executed
  std::vector<JobId> cancelled;  // cancelled in the store; the watch has not reported it yet
  std::set<std::pair<TaskKey, AttemptNumber>> unconfirmed;
  const auto confirm = [&](Job& job, std::uint32_t index) {
    unconfirmed.erase({{job.spec.id, index}, table_.find_allocation({job.spec.id, index})->attempt});
    confirm_termination(job, index);
  };
  const auto random_allocation = [&]() -> std::optional<TaskKey> {
    std::vector<TaskKey> keys;
    for (const auto& [id, job] : table_) {
      for (const JobShard& shard : job.shards) {
        for (const auto& [index, unused] : shard.allocations) keys.push_back({id, index});
      }
    }
    if (keys.empty()) return std::nullopt;
    return keys[draw(static_cast<std::uint32_t>(keys.size() - 1))];
  };
  const auto end = [&](kv::TxnResult result) {
    table_.end_write(*in_flight, result, now_);
    in_flight.reset();
  };
  for (int step = 0; step < 3'000; ++step) {
    now_ += Millis(draw(400));
    switch (draw(11)) {
      case 0:
        if (table_.size() < 8) {
          submit(job_id(++jobs), draw(4) == 0 ? 129 + draw(200) : 1 + draw(12), draw(1) == 0 ? "red" : "blue");
        }
        break;
      case 1:
      case 2:
      case 3:
        for (auto& [unused, job] : table_) {
          if (job.cancelled || draw(2) > 0) continue;
          for (const std::uint32_t index : JobTable::pending_tasks(job, draw(40))) {
            place(job, index, MachineId("m-" + std::to_string(draw(9))));
          }
        }
        break;
      case 4:
      case 5:
      case 6:
        for (std::uint32_t count = draw(30); count > 0; --count) {
          const auto key = random_allocation();
          if (!key) break;
          Job& job = table_.at(key->job);
          if (draw(3) > 0 && !job.cancelled && table_.find_allocation(*key)->durable) table_.mark_done(job, key->index);
          confirm(job, key->index);
        }
        break;
      case 7:
        if (jobs > 0 && draw(3) == 0) {
          const JobId id = job_id(1 + draw(jobs - 1));
          if (cancel(id)) cancelled.push_back(id);
        }
        break;
      case 8:
        for (const JobId& id : std::exchange(cancelled, {})) on_cancel_reported(id);
        break;
      case 9:
        if (!delayed.empty()) {
          (void)store_.txn(delayed.back());
          delayed.pop_back();
        }
        break;
      default:
        reload();
        if (!in_flight) {
          in_flight = begin();
          break;
        }
        const std::uint32_t outcome = draw(5);
        if (outcome == 0) {  // no answer: the transaction is executed now, later or never
          const std::uint32_t execution = draw(2);
          if (execution == 0) (void)store_.txn(in_flight->txn);
          if (execution == 1) delayed.push_back(in_flight->txn);
          end({.status = kv::Status::unknown, .revision = {}, .failed_keys = {}});
        } else if (outcome == 1) {
          end({.status = kv::Status::unavailable, .revision = {}, .failed_keys = {}});
        } else {
          end(store_.txn(in_flight->txn));
        }
    }
    // An allocation that has become durable stays in the table until it is confirmed terminated, even if its job ends.
    for (const auto& [id, job] : table_) {
      for (const JobShard& shard : job.shards) {
        for (const auto& [index, allocation] : shard.allocations) {
          if (allocation.durable) unconfirmed.insert({{id, index}, allocation.attempt});
        }
      }
    }
    for (const auto& [key, attempt] : unconfirmed) {
      const jobs::Allocation* allocation = table_.find_allocation(key);
      ASSERT_NE(allocation, nullptr) << key.text();
      ASSERT_EQ(allocation->attempt, attempt) << key.text();
    }
    expect_consistent();
    if (step % 20 != 0) continue;
    const auto written = recorded_allocations();
    for (const auto& entry : unconfirmed) ASSERT_TRUE(written.contains(entry)) << entry.first.text();
  }
  // Once every task is confirmed terminated and everything is written, neither the table nor the store has anything
  // left.
  for (const JobId& id : cancelled) on_cancel_reported(id);
  if (in_flight) end({.status = kv::Status::unavailable, .revision = {}, .failed_keys = {}});
  while (const auto key = random_allocation()) {
    Job& job = table_.at(key->job);
    if (!job.cancelled) table_.mark_done(job, key->index);
    confirm(job, key->index);
  }
  for (auto& [unused, job] : table_) {
    while (!job.cancelled && job.pending() > 0) {
      for (const std::uint32_t index : JobTable::pending_tasks(job, 500)) {
        place(job, index);
        table_.mark_done(job, index);
        confirm_termination(job, index);
      }
    }
  }
  for (int round = 0; round < 500 && (table_.size() > 0 || table_.next_reload()); ++round) {
    reload();
    write();
    expect_consistent();
  }
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_GT(jobs, 20U);
  EXPECT_TRUE(recorded_allocations().empty());
  for (const char* prefix : {state::kActiveJobPrefix, state::kTerminatingJobPrefix, state::kJobShardPrefix}) {
    EXPECT_TRUE(store_.list(prefix).entries.empty()) << prefix;
  }
  for (const auto& [unused, machine] : machines_) EXPECT_TRUE(machine.allocations.empty());
  EXPECT_EQ(table_.team_use("red"), ResourceAmounts{});
  EXPECT_EQ(table_.team_use("blue"), ResourceAmounts{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomJobTableTest, testing::Range(1U, 13U));

}  // namespace
}  // namespace foxshunt::jobs
