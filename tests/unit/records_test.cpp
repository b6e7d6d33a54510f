// Encoding, size limits and keys of the stored job records.
#include "state/job_records.h"
#include "state/keys.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::state {
namespace {

wire::JobSpec make_spec(std::uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = JobId("j-000001");
  spec.job_class = spec.team = spec.image = "x";
  spec.tasks = tasks;
  return spec;
}

TEST(Records, SingleShardJobRoundTrips) {
  JobRecord job{.spec = make_spec(5), .submitted_wall_ms = 77, .only_shard = JobShardRecord{}};
  job.only_shard->next_attempt = AttemptNumber(9);
  job.only_shard->done = {true, false, false, true, true};
  job.only_shard->allocations = {
      {.index = 2, .attempt = AttemptNumber(8), .machine = MachineId("m-000003"), .incarnation = AgentIncarnation(4)}};
  const JobRecord back = job_from(wire::decode(wire::encode(to_value(job))));
  EXPECT_EQ(back.only_shard->done, job.only_shard->done);
  EXPECT_EQ(back.only_shard->allocations, job.only_shard->allocations);
  EXPECT_EQ(back.only_shard->next_attempt, AttemptNumber(9));
  EXPECT_EQ(back.submitted_wall_ms, 77);
  const wire::JobStatus status = status_of(back);
  EXPECT_EQ(status.state, wire::JobState::running);
  EXPECT_EQ(status.done, 3U);
  EXPECT_EQ(status.running, 1U);
}

TEST(Records, LargestShardRecordFitsTheSmallestValueLimit) {
  JobShardRecord shard{.next_attempt = AttemptNumber(100'000),
                       .done = std::vector<bool>(constants::kTasksPerShard, true),
                       .allocations = {}};
  for (std::uint32_t index = 0; index < constants::kTasksPerShard; ++index) {
    shard.allocations.push_back({.index = 99'999,
                                 .attempt = AttemptNumber(100'000),
                                 .machine = MachineId("m-000231"),
                                 .incarnation = AgentIncarnation(12)});
  }
  JobRecord job{
      .spec = make_spec(constants::kTasksPerShard), .submitted_wall_ms = 1'700'000'000'000, .only_shard = shard};
  EXPECT_LT(wire::json_length(to_value(job)) + constants::kRecordSpareBytes, 8U * 1024);
}

TEST(Records, MalformedRecordsAreRejected) {
  using wire::Value;
  EXPECT_THROW((void)job_shard_from(Value::Map{{"next", 1}, {"done", "z"}, {"runs", Value::List{}}}, 4),
               wire::Malformed);
  EXPECT_THROW((void)job_shard_from(Value::Map{{"next", 1}, {"done", "ff"}, {"runs", Value::List{}}}, 4),
               wire::Malformed);
  EXPECT_THROW((void)job_shard_from(Value::Map{{"next", 1}, {"done", ""}, {"runs", Value::List{Value::List{1}}}}, 4),
               wire::Malformed);
  EXPECT_THROW((void)finished_job_from(JobId("j-000001"), Value::Map{{"end", "lost"}, {"done", 1}}), wire::Malformed);
}

TEST(Records, JobIdIsParsedFromKeys) {
  EXPECT_EQ(job_of_key("live/j-000412"), JobId("j-000412"));
  EXPECT_EQ(job_of_key("part/j-000412/17"), JobId("j-000412"));
  EXPECT_FALSE(job_of_key("lead/term"));
  EXPECT_FALSE(job_of_key("types"));
}

TEST(Records, ShardCountAndSize) {
  EXPECT_EQ(shard_count(1), 1U);
  EXPECT_EQ(shard_count(128), 1U);
  EXPECT_EQ(shard_count(129), 2U);
  EXPECT_EQ(shard_size(129, 1), 1U);
  EXPECT_EQ(shard_count(100'000), 782U);
}

}  // namespace
}  // namespace foxshunt::state
