// How much work is done, in counts that are the same every time; what it costs is printed by the benchmarks.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "bench/allocations.h"
#include "bench/busy_fleet.h"

namespace foxshunt::bench {
namespace {

constexpr std::size_t kMachines = 260;
constexpr std::size_t kQueue = 40;  // gangs, and as many arrays

class Work : public testing::Test {
 protected:
  Work() { spdlog::set_level(spdlog::level::off); }
  ~Work() override { spdlog::set_level(spdlog::level::info); }
};

TEST_F(Work, APassLooksAtEachMachineOnceAJob) {
  BusyFleet fleet(kMachines, kQueue, kQueue);
  fleet.pass();
  const control::Counters& done = fleet.controller().counters();
  EXPECT_EQ(done.passes, 1U);
  EXPECT_EQ(done.jobs_planned, 2 * kQueue);
  EXPECT_LE(done.machines_examined, done.jobs_planned * kMachines);
  EXPECT_GT(done.placed, 0U);
}

TEST_F(Work, APassOverALongQueueAllocatesLittle) {
  BusyFleet fleet(kMachines, kQueue, kQueue);
  fleet.pass();
  fleet.heartbeat_all();
  fleet.advance(plan::Millis(200));
  const std::uint64_t before = allocations();
  fleet.controller().plan_pass(fleet.now());
  // It was 49 407 when each job's slots were sought machine by machine through a callback, 5 706 since.
  EXPECT_LT(allocations() - before, 8000U);
}

TEST_F(Work, APortionEndsAtItsBound) {
  BusyFleet fleet(kMachines, kQueue, kQueue);
  constexpr std::size_t kMost = 1000;
  std::uint64_t seen = 0;
  std::size_t portions = 0;
  for (bool ended = false; !ended; ++portions) {
    ended = fleet.controller().plan_portion(fleet.now(), kMost);
    EXPECT_TRUE(ended || fleet.controller().needs_planning());
    const std::uint64_t now_seen = fleet.controller().counters().machines_examined;
    EXPECT_LT(now_seen - seen, kMost + kMachines);  // the last job began before the bound
    seen = now_seen;
  }
  EXPECT_GT(portions, 5U);
  EXPECT_EQ(fleet.controller().counters().passes, 1U);
  EXPECT_FALSE(fleet.controller().needs_planning());
}

TEST_F(Work, PortionsDecideAsAWholePassDoes) {
  BusyFleet whole(kMachines, kQueue, kQueue);
  BusyFleet apart(kMachines, kQueue, kQueue);
  for (int round = 0; round < 5; ++round) {
    whole.pass();
    for (bool ended = false; !ended;) ended = apart.controller().plan_portion(apart.now(), 1);
    apart.pass();  // nothing has happened: the same once more, and what it placed becomes durable
    whole.pass();
    ASSERT_EQ(whole.controller().jobs().size(), apart.controller().jobs().size());
    for (const auto& [id, job] : whole.controller().jobs()) {
      const control::Job& other = apart.controller().jobs().at(id);
      EXPECT_EQ(job.planned_start, other.planned_start) << id.text();
      EXPECT_EQ(job.late_tasks, other.late_tasks) << id.text();
      ASSERT_EQ(job.shards.size(), other.shards.size());
      for (std::size_t shard = 0; shard < job.shards.size(); ++shard) {
        EXPECT_TRUE(std::ranges::equal(job.shards[shard].allocations, other.shards[shard].allocations,
                                       [](const auto& a, const auto& b) {
                                         return a.first == b.first && a.second.machine == b.second.machine &&
                                                a.second.attempt == b.second.attempt;
                                       }))
            << id.text();
      }
    }
    for (BusyFleet* fleet : {&whole, &apart}) {
      fleet->heartbeat_all();
      fleet->advance(plan::Millis(700));
      fleet->end_one();
      fleet->add_job(round % 2 == 0);
    }
  }
}

// What a write made durable changes no booking: the outcome that it wrote was planned for when it was reported.
TEST_F(Work, AWriteIsNoReasonToPlan) {
  BusyFleet fleet(kMachines, 4, 4);
  fleet.controller().on_leader_lease_renewed(fleet.now());
  fleet.controller().on_records_confirmed(fleet.now());
  fleet.controller().plan_pass(fleet.now());
  const auto batch = fleet.controller().begin_write(fleet.now());
  ASSERT_TRUE(batch);
  fleet.controller().end_write(*batch, {.status = kv::Status::ok, .revision = Revision(100'000), .failed_keys = {}},
                               fleet.now());
  EXPECT_FALSE(fleet.controller().needs_planning());
}

TEST_F(Work, AReportThatTellsNothingNewLeavesNothingToDo) {
  BusyFleet fleet(kMachines, kQueue, kQueue);
  fleet.pass();
  fleet.heartbeat_all();
  fleet.pass();
  const MachineId busy = std::ranges::max_element(fleet.controller().machines(), {}, [](const auto& entry) {
                           return entry.second.allocations.size();
                         })->first;
  const wire::Heartbeat heartbeat = fleet.heartbeat_of(busy);
  ASSERT_GT(heartbeat.tasks.size(), 1U);
  const std::uint64_t before = allocations();
  const auto commands = fleet.controller().on_heartbeat(heartbeat, fleet.now());
  EXPECT_LE(allocations() - before, 2 * heartbeat.tasks.size());  // a set of the tasks that it names, and their ids
  ASSERT_TRUE(commands);
  EXPECT_TRUE(commands->empty());
  EXPECT_FALSE(fleet.controller().needs_planning());
  EXPECT_FALSE(fleet.controller().has_pending_writes());
}

}  // namespace
}  // namespace foxshunt::bench
