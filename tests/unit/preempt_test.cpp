// Preemption: which work PROTOCOL allows to displace, when displacing it is worth its cost, and that no more work is
// stopped than makes room.
#include "preempt/preempt.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::preempt {
namespace {

using plan::Millis;
using plan::ResourceAmounts;

Victim make_victim(const std::string& job, wire::Priority priority, Millis lost_work = Millis(1000)) {
  return {.job = JobId(job),
          .tasks = {{JobId(job), 0}},
          .priority = priority,
          .running_time = constants::kMinRunBeforePreemption * 2,
          .lost_work = lost_work,
          .remaining = constants::kMinRemainingToPreempt * 4,
          .since_last_displaced = {}};
}

PreemptionRequest make_request(std::uint32_t count, bool is_gang = false) {
  return {.per_task = ResourceAmounts::from(4, 0, 1),
          .count = count,
          .is_gang = is_gang,
          .priority = wire::Priority::high,
          .guaranteed = true,
          .expected_wait = Millis(100'000)};
}

PreemptionCandidate make_candidate(const std::string& id, double free,
                                   std::vector<std::pair<std::size_t, ResourceAmounts>> victim_amounts,
                                   const std::string& zone = "a") {
  return {.machine = MachineId(id),
          .zone = zone,
          .free = ResourceAmounts::from(free, 0, 64),
          .victim_amounts = std::move(victim_amounts)};
}

TEST(Preempt, OnlyLowerPriorityIsDisplaced) {
  EXPECT_TRUE(should_preempt(make_request(1), make_victim("j-000001", wire::Priority::standard)));
  EXPECT_FALSE(should_preempt(make_request(1), make_victim("j-000001", wire::Priority::high)));
  EXPECT_FALSE(should_preempt(make_request(1), make_victim("j-000001", wire::Priority::production)));
}

TEST(Preempt, BorrowedWorkIsDisplacedOnlyByGuaranteedWorkOfAnotherTeam) {
  Victim borrowed = make_victim("j-000001", wire::Priority::production);
  borrowed.borrowed = true;
  EXPECT_TRUE(should_preempt(make_request(1), borrowed));
  borrowed.same_team = true;
  EXPECT_FALSE(should_preempt(make_request(1), borrowed));
  borrowed.same_team = false;
  PreemptionRequest borrowing = make_request(1);
  borrowing.guaranteed = false;
  EXPECT_FALSE(should_preempt(borrowing, borrowed));
  // This victim has a lower priority, but is within its guarantee: it would be planned before the request again.
  EXPECT_FALSE(should_preempt(borrowing, make_victim("j-000002", wire::Priority::best_effort)));
}

TEST(Preempt, NewEndingCostlyOrRecentlyDisplacedWorkIsNotDisplaced) {
  Victim victim = make_victim("j-000001", wire::Priority::standard);
  victim.running_time = constants::kMinRunBeforePreemption - Millis(1);
  EXPECT_FALSE(should_preempt(make_request(1), victim));
  victim = make_victim("j-000001", wire::Priority::standard);
  victim.remaining = constants::kMinRemainingToPreempt - Millis(1);
  EXPECT_FALSE(should_preempt(make_request(1), victim));
  victim = make_victim("j-000001", wire::Priority::standard);
  victim.since_last_displaced = constants::kPreemptionCooldown - Millis(1);
  EXPECT_FALSE(should_preempt(make_request(1), victim));
  EXPECT_FALSE(should_preempt(make_request(1), make_victim("j-000001", wire::Priority::standard, Millis(100'001))));
}

TEST(Preempt, FewestAndCheapestVictimsAreChosen) {
  const ResourceAmounts four_cpus = ResourceAmounts::from(4, 0, 1);
  const std::vector<Victim> victims{make_victim("j-000001", wire::Priority::standard, Millis(9000)),
                                    make_victim("j-000002", wire::Priority::standard, Millis(10)),
                                    make_victim("j-000003", wire::Priority::standard, Millis(500))};
  const std::vector<PreemptionCandidate> candidates{make_candidate("m-1", 0, {{0, four_cpus}, {1, four_cpus}}),
                                                    make_candidate("m-2", 0, {{2, four_cpus}})};
  EXPECT_EQ(choose_victims(make_request(1), victims, candidates), std::vector<std::size_t>{1});
  EXPECT_EQ(choose_victims(make_request(2), victims, candidates), (std::vector<std::size_t>{1, 2}));
  EXPECT_TRUE(choose_victims(make_request(1), victims, {make_candidate("m-3", 4, {{0, four_cpus}})}).empty())
      << "the task fits without preemption";
}

TEST(Preempt, GangGetsRoomForAllItsTasksInOneZoneOrStopsNothing) {
  const ResourceAmounts four_cpus = ResourceAmounts::from(4, 0, 1);
  const std::vector<Victim> victims{make_victim("j-000001", wire::Priority::standard),
                                    make_victim("j-000002", wire::Priority::standard),
                                    make_victim("j-000003", wire::Priority::standard)};
  const std::vector<PreemptionCandidate> candidates{make_candidate("m-1", 0, {{0, four_cpus}}, "a"),
                                                    make_candidate("m-2", 0, {{1, four_cpus}}, "b"),
                                                    make_candidate("m-3", 0, {{2, four_cpus}}, "b")};
  PreemptionRequest gang = make_request(2, true);
  gang.one_zone = true;
  EXPECT_EQ(choose_victims(gang, victims, candidates), (std::vector<std::size_t>{1, 2}));
  gang.count = 3;
  EXPECT_TRUE(choose_victims(gang, victims, candidates).empty());
  gang.one_zone = false;
  EXPECT_EQ(choose_victims(gang, victims, candidates), (std::vector<std::size_t>{0, 1, 2}));
}

}  // namespace
}  // namespace foxshunt::preempt
