// The job table is consistent in itself and with the records whatever comes, and no run leaves it without proof.
#include "jobs/job_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "config/constants.h"
#include "standins/state_store.h"

namespace foxshunt::jobs {
namespace {

constexpr std::size_t kOps = 12;
const JobId kJob("j-000001");
const MachineId kMachine("m-000001");

JobId job_id(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return JobId("j-" + std::string(6 - digits.size(), '0') + digits);
}

class Book : public testing::Test {
 protected:
  Book() {
    (void)store_.txn({.preconditions = {},
                      .changes = {{.key = state::kTermKey, .data = wire::Value(std::uint64_t{7}), .lease = {}}}});
    term_revision_ = store_.get(state::kTermKey).entry.revision;
  }

  // A user submits; the watch tells of it.
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
  // A user cancels; true when it was not over yet. The watch has not told of it yet.
  bool cancel(const JobId& id) {
    const kv::GetResult live = store_.get(state::active_job_key(id));
    return live.status == kv::Status::ok &&
           store_.txn(state::cancel_job_txn(state::job_from(live.entry.data), live.entry.revision)).status ==
               kv::Status::ok;
  }
  void hear_of_cancel(const JobId& id) {
    if (Job* job = table_.on_removed(id)) stop(*job);
  }
  void stop(Job& job) {
    for (const std::uint32_t index : table_.cancel(job)) gone(job, index);
  }
  void gone(Job& job, std::uint32_t index) { EXPECT_TRUE(table_.confirm_terminated(job, index, machines_, now_)); }
  void place(Job& job, std::uint32_t index, const MachineId& machine = kMachine) {
    const AttemptNumber attempt = job.shards[index / constants::kTasksPerShard].next;
    table_.place(job, index, attempt, machines_.know(machine, now_).machine, now_);
  }
  std::optional<WriteBatch> begin() { return table_.begin_write(term_revision_, kOps, now_); }
  bool write() {
    const auto batch = begin();
    if (batch) table_.end_write(*batch, store_.txn(batch->txn), now_);
    return batch.has_value();
  }
  void reload() {
    while (const auto reload = table_.next_reload()) {
      const kv::GetResult found = store_.get(reload->key());
      Job* gone = table_.on_reloaded(
          *reload, found.status == kv::Status::ok ? std::optional(found.entry.revision) : std::nullopt);
      if (gone != nullptr) stop(*gone);
    }
  }
  // Every placement that a record tells of, whatever became of its job.
  [[nodiscard]] std::set<std::pair<TaskKey, AttemptNumber>> recorded() const {
    std::set<std::pair<TaskKey, AttemptNumber>> runs;
    const auto take = [&](const JobId& id, const state::JobShardRecord& shard) {
      for (const state::AllocationRecord& run : shard.allocations) runs.insert({{id, run.index}, run.attempt});
    };
    for (const char* prefix : {state::kActiveJobPrefix, state::kTerminatingJobPrefix}) {
      for (const kv::Entry& entry : store_.list(prefix).entries) {
        const state::JobRecord job = state::job_from(entry.data);
        if (job.only_shard) take(job.spec.id, *job.only_shard);
      }
    }
    for (const kv::Entry& entry : store_.list(state::kJobShardPrefix).entries) {
      take(*state::job_of_key(entry.key), state::job_shard_from(entry.data, constants::kTasksPerShard));
    }
    return runs;
  }
  void expect_agreement() {
    const auto fault = table_.find_inconsistency(machines_);
    ASSERT_FALSE(fault) << *fault;
  }

  standins::StateStore store_;
  Revision term_revision_;
  Instant now_{Millis(1'000'000)};
  inventory::MachineInventory machines_{{.lease = Millis(10'000), .silence = Millis(3'000), .detour = Millis(6'000)}};
  JobTable table_;
};

TEST_F(Book, APlacementIsDurableOnceItsWriteIsKnownToHaveSucceeded) {
  submit(kJob, 2);
  Job& job = table_.at(kJob);
  place(job, 0);
  EXPECT_FALSE(table_.settled({kJob, 0}));
  const auto first = begin();
  ASSERT_TRUE(first);
  EXPECT_FALSE(begin());  // one at a time
  place(job, 1);          // what comes meanwhile waits for the next write
  EXPECT_FALSE(begin());
  table_.end_write(*first, store_.txn(first->txn), now_);
  EXPECT_TRUE(table_.find_allocation({kJob, 0})->durable);
  EXPECT_FALSE(table_.find_allocation({kJob, 1})->durable);
  EXPECT_FALSE(JobTable::all_durable(job));
  EXPECT_TRUE(write());
  EXPECT_TRUE(JobTable::all_durable(job));
  EXPECT_TRUE(table_.settled({kJob, 0}));
  EXPECT_FALSE(table_.writes_wanted());
}

// The write may be applied, or may be yet: what is tried again names the same revision, so that one of the two fails.
TEST_F(Book, AWriteWithoutAnAnswerIsTriedAgainOnTheSameRevision) {
  submit(kJob, 1);
  place(table_.at(kJob), 0);
  const auto lost = begin();
  (void)store_.txn(lost->txn);
  table_.end_write(*lost, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  EXPECT_FALSE(table_.find_allocation({kJob, 0})->durable);
  const auto again = begin();
  ASSERT_TRUE(again);
  const kv::TxnResult result = store_.txn(again->txn);
  ASSERT_EQ(result.status, kv::Status::conflict);
  table_.end_write(*again, result, now_);
  ASSERT_TRUE(table_.next_reload());
  EXPECT_EQ(table_.next_reload()->key(), state::active_job_key(kJob));
  EXPECT_FALSE(begin());  // the record is read first
  reload();
  EXPECT_TRUE(write());
  EXPECT_TRUE(table_.find_allocation({kJob, 0})->durable);
}

// The same of a job in parts: the part's record is read again, else it would be tried on the old revision for ever.
TEST_F(Book, APartsWriteWithoutAnAnswerIsTriedAgainOnTheRevisionThatIsThere) {
  submit(kJob, 200);
  place(table_.at(kJob), 150);
  const auto lost = begin();
  (void)store_.txn(lost->txn);
  table_.end_write(*lost, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  EXPECT_TRUE(write());  // the conflict tells
  for (int round = 0; round < 3; ++round) {
    reload();
    write();
  }
  EXPECT_TRUE(table_.find_allocation({kJob, 150})->durable);
}

// What was written without an answer is removed as well when its job is withdrawn.
TEST_F(Book, NoPartIsLeftOfAJobWhoseWriteHadNoAnswer) {
  submit(kJob, 200);
  place(table_.at(kJob), 150);
  const auto lost = begin();
  (void)store_.txn(lost->txn);
  table_.end_write(*lost, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  ASSERT_TRUE(cancel(kJob));
  hear_of_cancel(kJob);
  while (write()) {
  }
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_TRUE(store_.list(state::kJobShardPrefix).entries.empty());
}

// An attempt that is placed again while the write of the one before is under way is not made durable by it.
TEST_F(Book, AWriteMakesDurableOnlyTheAttemptInIt) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  place(job, 0);
  const auto first = begin();
  gone(job, 0);
  place(job, 0);
  table_.end_write(*first, store_.txn(first->txn), now_);
  EXPECT_EQ(table_.find_allocation({kJob, 0})->attempt, AttemptNumber(2));
  EXPECT_FALSE(table_.find_allocation({kJob, 0})->durable);
}

TEST_F(Book, AWithdrawnJobStaysUntilAllItsRunsAreProvedGone) {
  submit(kJob, 3);
  Job& job = table_.at(kJob);
  place(job, 0);
  place(job, 1);
  write();
  place(job, 2);
  ASSERT_TRUE(cancel(kJob));
  hear_of_cancel(kJob);
  EXPECT_EQ(job.allocation_count, 2U);  // the third was never told to a machine
  EXPECT_FALSE(write());
  gone(job, 1);
  EXPECT_FALSE(write());
  EXPECT_FALSE(machines_.forget(kMachine));  // unproved is never gone
  EXPECT_EQ(store_.get(state::terminating_job_key(kJob)).status, kv::Status::ok);
  EXPECT_EQ(table_.team_use("red"), job.each);
  gone(job, 0);
  EXPECT_TRUE(write());
  EXPECT_EQ(store_.get(state::terminating_job_key(kJob)).status, kv::Status::not_found);
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_TRUE(machines_.forget(kMachine));
}

TEST_F(Book, ARemovalDuringAWriteWaitsForTheAnswer) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  place(job, 0);
  const auto batch = begin();
  ASSERT_TRUE(cancel(kJob));
  EXPECT_EQ(table_.on_removed(kJob), nullptr);
  EXPECT_FALSE(table_.next_reload());
  table_.end_write(*batch, store_.txn(batch->txn), now_);
  ASSERT_TRUE(table_.next_reload());
  reload();
  EXPECT_TRUE(job.cancelled);
  EXPECT_EQ(job.allocation_count, 0U);
  expect_agreement();
}

TEST_F(Book, RecordsAreTakenInTheOrderOfTheirRevisions) {
  submit(kJob, 1);
  Job& job = table_.at(kJob);
  const Revision revision = job.revision;
  EXPECT_FALSE(table_.on_record(kJob, Revision(revision.number() + 4)));
  EXPECT_FALSE(table_.on_record(kJob, revision));  // an older word
  EXPECT_EQ(job.revision, Revision(revision.number() + 4));
  // The end of a job is this leader's own doing: words of it that are under way bring it back no more.
  job.revision = revision;
  place(job, 0);
  write();
  table_.mark_done(job, 0);
  gone(job, 0);
  EXPECT_TRUE(write());
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_FALSE(table_.on_record(kJob, revision));
  EXPECT_EQ(table_.on_removed(kJob), nullptr);
}

TEST_F(Book, WhatARecordPlacesIsAdopted) {
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
  EXPECT_EQ(next.team_use("red"), job.each.times(2));
  EXPECT_FALSE(next.writes_wanted());
  EXPECT_FALSE(next.find_inconsistency(machines));
}

class RandomBook : public Book, public testing::WithParamInterface<unsigned> {};

// Users, workers and a state service whose answers are lost, late or refused, in any order.
TEST_P(RandomBook, AgreesWithItselfAndWithTheRecords) {
  std::mt19937 random(GetParam());
  const auto draw = [&](std::uint32_t most) { return std::uniform_int_distribution<std::uint32_t>(0, most)(random); };
  std::uint32_t jobs = 0;
  std::optional<WriteBatch> under_way;
  std::vector<kv::Txn> late;     // had no answer, and may be executed yet
  std::vector<JobId> cancelled;  // the watch has not told yet
  std::set<std::pair<TaskKey, AttemptNumber>> unproved;
  const auto prove = [&](Job& job, std::uint32_t index) {
    unproved.erase({{job.spec.id, index}, table_.find_allocation({job.spec.id, index})->attempt});
    gone(job, index);
  };
  const auto some_run = [&]() -> std::optional<TaskKey> {
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
    table_.end_write(*under_way, result, now_);
    under_way.reset();
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
          const auto key = some_run();
          if (!key) break;
          Job& job = table_.at(key->job);
          if (draw(3) > 0 && !job.cancelled && table_.find_allocation(*key)->durable) table_.mark_done(job, key->index);
          prove(job, key->index);
        }
        break;
      case 7:
        if (jobs > 0 && draw(3) == 0) {
          const JobId id = job_id(1 + draw(jobs - 1));
          if (cancel(id)) cancelled.push_back(id);
        }
        break;
      case 8:
        for (const JobId& id : std::exchange(cancelled, {})) hear_of_cancel(id);
        break;
      case 9:
        if (!late.empty()) {
          (void)store_.txn(late.back());
          late.pop_back();
        }
        break;
      default:
        reload();
        if (!under_way) {
          under_way = begin();
          break;
        }
        const std::uint32_t luck = draw(5);
        if (luck == 0) {  // no answer: executed, not, or later
          const std::uint32_t how = draw(2);
          if (how == 0) (void)store_.txn(under_way->txn);
          if (how == 1) late.push_back(under_way->txn);
          end({.status = kv::Status::unknown, .revision = {}, .failed_keys = {}});
        } else if (luck == 1) {
          end({.status = kv::Status::unavailable, .revision = {}, .failed_keys = {}});
        } else {
          end(store_.txn(under_way->txn));
        }
    }
    // What was durable once stays in memory until it was proved gone, whatever became of its job.
    for (const auto& [id, job] : table_) {
      for (const JobShard& shard : job.shards) {
        for (const auto& [index, run] : shard.allocations) {
          if (run.durable) unproved.insert({{id, index}, run.attempt});
        }
      }
    }
    for (const auto& [key, attempt] : unproved) {
      const jobs::Allocation* run = table_.find_allocation(key);
      ASSERT_NE(run, nullptr) << key.text();
      ASSERT_EQ(run->attempt, attempt) << key.text();
    }
    expect_agreement();
    if (step % 20 != 0) continue;
    const auto written = recorded();
    for (const auto& entry : unproved) ASSERT_TRUE(written.contains(entry)) << entry.first.text();
  }
  // When all has been proved and written, nothing is left, here or there.
  for (const JobId& id : cancelled) hear_of_cancel(id);
  if (under_way) end({.status = kv::Status::unavailable, .revision = {}, .failed_keys = {}});
  while (const auto key = some_run()) {
    Job& job = table_.at(key->job);
    if (!job.cancelled) table_.mark_done(job, key->index);
    prove(job, key->index);
  }
  for (auto& [unused, job] : table_) {
    while (!job.cancelled && job.pending() > 0) {
      for (const std::uint32_t index : JobTable::pending_tasks(job, 500)) {
        place(job, index);
        table_.mark_done(job, index);
        gone(job, index);
      }
    }
  }
  for (int round = 0; round < 500 && (table_.size() > 0 || table_.next_reload()); ++round) {
    reload();
    write();
    expect_agreement();
  }
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_GT(jobs, 20U);
  EXPECT_TRUE(recorded().empty());
  for (const char* prefix : {state::kActiveJobPrefix, state::kTerminatingJobPrefix, state::kJobShardPrefix}) {
    EXPECT_TRUE(store_.list(prefix).entries.empty()) << prefix;
  }
  for (const auto& [unused, machine] : machines_) EXPECT_TRUE(machine.allocations.empty());
  EXPECT_EQ(table_.team_use("red"), ResourceAmounts{});
  EXPECT_EQ(table_.team_use("blue"), ResourceAmounts{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomBook, testing::Range(1U, 13U));

}  // namespace
}  // namespace foxshunt::jobs
