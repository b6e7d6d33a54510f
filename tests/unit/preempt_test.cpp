// Which running work gives way: what PROTOCOL allows, what is worth it, and no more than makes room.
#include "preempt/preempt.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::preempt {
namespace {

using plan::Amounts;
using plan::Millis;

Victim victim(const std::string& job, wire::Priority priority, Millis lost = Millis(1000)) {
  return {.job = JobId(job),
          .tasks = {{JobId(job), 0}},
          .priority = priority,
          .ran = constants::kMinRunBeforePreemption * 2,
          .lost = lost,
          .left = constants::kMinRemainingToPreempt * 4,
          .spared = {}};
}

Need need(std::uint32_t count, bool together = false) {
  return {.each = Amounts::from(4, 0, 1),
          .count = count,
          .together = together,
          .priority = wire::Priority::high,
          .guaranteed = true,
          .wait = Millis(100'000)};
}

Contested machine(const std::string& id, double free, std::vector<std::pair<std::size_t, Amounts>> held,
                  const std::string& zone = "a") {
  return {.machine = MachineId(id), .zone = zone, .free = Amounts::from(free, 0, 64), .held = std::move(held)};
}

TEST(Preempt, LowerPriorityGivesWayAndEqualsDoNot) {
  EXPECT_TRUE(may_displace(need(1), victim("j-000001", wire::Priority::standard)));
  EXPECT_FALSE(may_displace(need(1), victim("j-000001", wire::Priority::high)));
  EXPECT_FALSE(may_displace(need(1), victim("j-000001", wire::Priority::production)));
}

TEST(Preempt, WhatIsBorrowedGivesWayToAnotherTeamsGuaranteeOnly) {
  Victim borrowed = victim("j-000001", wire::Priority::production);
  borrowed.borrowed = true;
  EXPECT_TRUE(may_displace(need(1), borrowed));
  borrowed.same_team = true;
  EXPECT_FALSE(may_displace(need(1), borrowed));
  borrowed.same_team = false;
  Need beyond = need(1);
  beyond.guaranteed = false;
  EXPECT_FALSE(may_displace(beyond, borrowed));
  // Lower in priority but within its guarantee, it would be planned first again.
  EXPECT_FALSE(may_displace(beyond, victim("j-000002", wire::Priority::best_effort)));
}

TEST(Preempt, WhatHasBegunEndsSoonOrGaveWayOfLateIsLeftAlone) {
  Victim one = victim("j-000001", wire::Priority::standard);
  one.ran = constants::kMinRunBeforePreemption - Millis(1);
  EXPECT_FALSE(may_displace(need(1), one));
  one = victim("j-000001", wire::Priority::standard);
  one.left = constants::kMinRemainingToPreempt - Millis(1);
  EXPECT_FALSE(may_displace(need(1), one));
  one = victim("j-000001", wire::Priority::standard);
  one.spared = constants::kPreemptionCooldown - Millis(1);
  EXPECT_FALSE(may_displace(need(1), one));
  EXPECT_FALSE(may_displace(need(1), victim("j-000001", wire::Priority::standard, Millis(100'001))));
}

TEST(Preempt, AsFewAndAsCheapAsMakeRoom) {
  const Amounts four = Amounts::from(4, 0, 1);
  const std::vector<Victim> victims{victim("j-000001", wire::Priority::standard, Millis(9000)),
                                    victim("j-000002", wire::Priority::standard, Millis(10)),
                                    victim("j-000003", wire::Priority::standard, Millis(500))};
  const std::vector<Contested> machines{machine("m-1", 0, {{0, four}, {1, four}}), machine("m-2", 0, {{2, four}})};
  EXPECT_EQ(choose_victims(need(1), victims, machines), std::vector<std::size_t>{1});
  EXPECT_EQ(choose_victims(need(2), victims, machines), (std::vector<std::size_t>{1, 2}));
  EXPECT_TRUE(choose_victims(need(1), victims, {machine("m-3", 4, {{0, four}})}).empty()) << "there is room";
}

TEST(Preempt, AGangGetsAllItsPlacesInItsZoneOrStopsNothing) {
  const Amounts four = Amounts::from(4, 0, 1);
  const std::vector<Victim> victims{victim("j-000001", wire::Priority::standard),
                                    victim("j-000002", wire::Priority::standard),
                                    victim("j-000003", wire::Priority::standard)};
  const std::vector<Contested> machines{machine("m-1", 0, {{0, four}}, "a"), machine("m-2", 0, {{1, four}}, "b"),
                                        machine("m-3", 0, {{2, four}}, "b")};
  Need gang = need(2, true);
  gang.one_zone = true;
  EXPECT_EQ(choose_victims(gang, victims, machines), (std::vector<std::size_t>{1, 2}));
  gang.count = 3;
  EXPECT_TRUE(choose_victims(gang, victims, machines).empty());
  gang.one_zone = false;
  EXPECT_EQ(choose_victims(gang, victims, machines), (std::vector<std::size_t>{0, 1, 2}));
}

}  // namespace
}  // namespace foxshunt::preempt
