// The changes and preconditions of the transactions by which the leader writes job records.
#include "jobs/write_batch.h"

#include <gtest/gtest.h>

#include "config/constants.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::jobs {
namespace {

constexpr std::size_t kMaxChanges = 6;
constexpr Revision kTermRevision{7};
constexpr Revision kJobRevision{11};
constexpr Instant kNow{Millis(1'000'000)};
const JobId kJob("j-000001");

Job make_job(std::uint32_t tasks) {
  Job job;
  job.spec.id = kJob;
  job.spec.job_class = job.spec.team = job.spec.image = "x";
  job.spec.tasks = tasks;
  job.revision = kJobRevision;
  job.counts_written_at = kNow;
  job.shards.resize(state::shard_count(tasks));
  for (std::uint32_t shard = 0; shard < job.shards.size(); ++shard) {
    job.shards[shard].done.resize(state::shard_size(tasks, shard));
  }
  return job;
}

std::vector<std::string> changed_keys(const WriteBatch& batch) {
  std::vector<std::string> keys;
  for (const kv::Change& change : batch.txn.changes) keys.push_back((change.data ? "set " : "remove ") + change.key);
  return keys;
}

std::vector<std::string> required_keys(const WriteBatch& batch) {
  std::vector<std::string> keys;
  for (const kv::Precondition& condition : batch.txn.preconditions) {
    keys.push_back(condition.key + "@" + std::to_string(condition.revision.number()));
  }
  return keys;
}

using Keys = std::vector<std::string>;

TEST(WriteBatchBuilder, UpdateOfASingleShardJobWritesTheJobRecord) {
  WriteBatchBuilder builder(kTermRevision, kMaxChanges);
  EXPECT_TRUE(builder.is_empty());
  Job job = make_job(5);
  builder.add_update(job, 0, kNow);
  EXPECT_TRUE(builder.has_job(kJob));
  const WriteBatch batch = builder.take();
  EXPECT_EQ(changed_keys(batch), (Keys{"set live/j-000001"}));
  EXPECT_EQ(required_keys(batch), (Keys{"lead/term@7", "live/j-000001@11"}));
}

TEST(WriteBatchBuilder, TwoShardsOfAJobShareOnePreconditionOnTheJobRecord) {
  WriteBatchBuilder builder(kTermRevision, kMaxChanges);
  Job job = make_job(2 * constants::kTasksPerShard);
  job.shards[1].revision = Revision(9);
  builder.add_update(job, 0, kNow);
  builder.add_update(job, 1, kNow);
  EXPECT_TRUE(job.shards[0].may_have_record && job.shards[1].may_have_record);
  const WriteBatch batch = builder.take();
  EXPECT_EQ(changed_keys(batch), (Keys{"set part/j-000001/0", "set part/j-000001/1"}));
  EXPECT_EQ(required_keys(batch), (Keys{"lead/term@7", "live/j-000001@11", "part/j-000001/0@0", "part/j-000001/1@9"}));
}

TEST(WriteBatchBuilder, DisplayedCountsOfAShardedJobAreWrittenAfterTheInterval) {
  WriteBatchBuilder builder(kTermRevision, kMaxChanges);
  Job job = make_job(2 * constants::kTasksPerShard);
  builder.add_update(job, 0, kNow + constants::kDisplayedCountsInterval);
  builder.add_update(job, 1, kNow + constants::kDisplayedCountsInterval);
  const WriteBatch batch = builder.take();
  EXPECT_EQ(changed_keys(batch), (Keys{"set part/j-000001/0", "set live/j-000001", "set part/j-000001/1"}));
  EXPECT_TRUE(batch.items[0].writes_job_record);
  EXPECT_FALSE(batch.items[1].writes_job_record);
}

TEST(WriteBatchBuilder, FinishOfAShardedJobWritesATerminatingRecord) {
  WriteBatchBuilder builder(kTermRevision, kMaxChanges);
  builder.add_finish(make_job(2 * constants::kTasksPerShard));
  const WriteBatch batch = builder.take();
  EXPECT_EQ(changed_keys(batch), (Keys{"remove live/j-000001", "set over/j-000001", "set linger/j-000001"}));
  EXPECT_EQ(required_keys(batch), (Keys{"lead/term@7", "live/j-000001@11", "over/j-000001@0"}));
}

TEST(WriteBatchBuilder, RemovalIsSplitByTheChangeLimitAndEndsWithTheTerminatingRecord) {
  Job job = make_job(8 * constants::kTasksPerShard);
  for (JobShard& shard : job.shards) shard.may_have_record = true;
  WriteBatchBuilder first(kTermRevision, kMaxChanges);
  first.add_removal(job);
  const WriteBatch some = first.take();
  EXPECT_EQ(some.items[0].removed_shards, (std::vector<std::uint32_t>{0, 1, 2, 3, 4}));
  EXPECT_FALSE(some.items[0].removes_last_record);
  for (const std::uint32_t shard : some.items[0].removed_shards) job.shards[shard].may_have_record = false;
  WriteBatchBuilder second(kTermRevision, kMaxChanges);
  second.add_removal(job);
  const WriteBatch rest = second.take();
  EXPECT_EQ(changed_keys(rest), (Keys{"remove part/j-000001/5", "remove part/j-000001/6", "remove part/j-000001/7",
                                      "remove linger/j-000001"}));
  EXPECT_TRUE(rest.items[0].removes_last_record);
}

TEST(WriteBatchBuilder, HasRoomUpToTheChangeLimit) {
  WriteBatchBuilder builder(kTermRevision, 3);
  Job one = make_job(5);
  const Job sharded_job = make_job(2 * constants::kTasksPerShard);
  EXPECT_TRUE(builder.has_room_for(sharded_job, WriteItem::Kind::finish));
  builder.add_update(one, 0, kNow);
  EXPECT_FALSE(builder.has_room_for(sharded_job, WriteItem::Kind::finish))
      << "finishing a sharded job needs three changes";
  EXPECT_TRUE(builder.has_room_for(one, WriteItem::Kind::finish));
  builder.add_finish(one);
  EXPECT_FALSE(builder.has_room_for(one, WriteItem::Kind::update));
}

}  // namespace
}  // namespace foxshunt::jobs
