#include "plan/planner.h"

#include <gtest/gtest.h>

namespace foxshunt::plan {
namespace {

Instant at(int s) { return Instant(std::chrono::seconds(s)); }

PlanMachine machine(const std::string& id, double cpus, double gpus, const std::string& zone = "a", int ready_s = 0) {
  return {.id = MachineId(id), .type = "t", .zone = zone, .capacity = Amounts::from(cpus, gpus, 64), .ready = at(ready_s)};
}

Request request(double cpus, std::uint32_t count, int duration_s) {
  Request asked;
  asked.team = "red";
  asked.each = Amounts::from(cpus, 0, 1);
  asked.count = count;
  asked.duration = std::chrono::seconds(duration_s);
  asked.from = at(0);
  asked.suits = [](const PlanMachine&) { return Millis(0); };
  return asked;
}

std::uint32_t total(const std::vector<Placing>& placings) {
  std::uint32_t sum = 0;
  for (const Placing& placing : placings) sum += placing.count;
  return sum;
}

TEST(Planner, TasksThatDoNotFitNowAreBookedBehindOthers) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  const auto placings = planner.plan(request(4, 5, 10));
  ASSERT_EQ(total(placings), 5U);
  EXPECT_EQ(placings[0].start, at(0));
  EXPECT_EQ(placings[0].count, 2U);
  EXPECT_EQ(placings[1].start, at(10));
  EXPECT_EQ(placings[2].start, at(20));
}

TEST(Planner, GapBeforeABookingIsUsedOnlyIfTheEstimateFits) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  planner.book({.machine = MachineId("m-1"), .team = "blue", .amounts = Amounts::from(8, 0, 1), .start = at(20), .stop = at(50)});
  EXPECT_EQ(planner.plan(request(8, 1, 20)).front().start, at(0));
  EXPECT_EQ(planner.plan(request(8, 1, 21)).front().start, at(50));
}

TEST(Planner, MachinesWithScarceResourcesRankLast) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 4));   // all GPUs of the fleet: weight 1
  planner.set_machine(machine("m-2", 8, 0));
  EXPECT_EQ(planner.plan(request(4, 1, 10)).front().machine, MachineId("m-2"));
}

TEST(Planner, PriorityOfAMachineOutranksItsShare) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 4));
  PlanMachine last = machine("m-2", 8, 0);
  last.priority = 1;
  planner.set_machine(last);
  EXPECT_EQ(planner.plan(request(4, 1, 10)).front().machine, MachineId("m-1"));
}

TEST(Planner, TeamLimitHoldsAtEveryMoment) {
  Planner planner;
  planner.set_machine(machine("m-1", 16, 0));
  planner.set_team("red", {.cpus = 8000, .gpus = std::nullopt});
  planner.book({.machine = MachineId("m-1"), .team = "red", .amounts = Amounts::from(4, 0, 1), .start = at(5), .stop = at(15)});
  const auto placings = planner.plan(request(4, 3, 10));
  ASSERT_EQ(total(placings), 3U);
  std::map<Instant, int> starts;
  for (const Placing& placing : placings) starts[placing.start] += static_cast<int>(placing.count);
  EXPECT_EQ(starts[at(0)], 1);
  EXPECT_EQ(starts[at(10)], 1);
  EXPECT_EQ(starts[at(15)], 1);
}

TEST(Planner, RoomKeptFreeForOthersIsNotPlanned) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  Request asked = request(4, 2, 10);
  asked.keep_free = Amounts::from(4, 0, 0);
  const auto placings = planner.plan(asked);
  ASSERT_EQ(placings.size(), 2U);
  EXPECT_EQ(placings[1].start, at(10));
}

TEST(Planner, BootingMachineIsBookedFromWhenItIsReady) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0, "a", 30));
  EXPECT_EQ(planner.plan(request(4, 1, 10)).front().start, at(30));
}

TEST(Planner, FetchingCountsWhenMachinesAreCompared) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  planner.set_machine(machine("m-2", 16, 0));
  Request asked = request(4, 1, 10);
  asked.suits = [](const PlanMachine& info) { return Millis(info.id == MachineId("m-1") ? 9000 : 0); };
  EXPECT_EQ(planner.plan(asked).front().machine, MachineId("m-2"));
}

TEST(Planner, GangIsPlannedWhenAllItsTasksFit) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0, "a"));
  planner.set_machine(machine("m-2", 8, 0, "b"));
  planner.book({.machine = MachineId("m-2"), .team = "blue", .amounts = Amounts::from(8, 0, 1), .start = at(0), .stop = at(40)});
  Request asked = request(4, 4, 10);
  asked.together = true;
  const auto placings = planner.plan(asked);
  ASSERT_EQ(total(placings), 4U);
  for (const Placing& placing : placings) EXPECT_EQ(placing.start, at(40));
  asked.one_zone = true;
  EXPECT_TRUE(planner.plan(asked).empty());
  asked.count = 2;
  EXPECT_EQ(planner.plan(asked).front().start, at(0));
  asked.zone_bound = "b";
  EXPECT_EQ(planner.plan(asked).front().start, at(40));
}

TEST(Planner, SpreadLimitsEachZone) {
  Planner planner;
  planner.set_machine(machine("m-1", 32, 0, "a"));
  planner.set_machine(machine("m-2", 32, 0, "b"));
  for (const bool together : {true, false}) {
    Request asked = request(1, 5, 10);
    asked.together = together;
    asked.zone_most = 3;
    std::map<MachineId, std::uint32_t> by_machine;
    for (const Placing& placing : planner.plan(asked)) by_machine[placing.machine] += placing.count;
    EXPECT_LE(by_machine[MachineId("m-1")], 3U);
    EXPECT_LE(by_machine[MachineId("m-2")], 3U);
    EXPECT_EQ(by_machine[MachineId("m-1")] + by_machine[MachineId("m-2")], 5U);
  }
}

TEST(Planner, RevokeAndExtendAreInverse) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  const BookingId id = planner.book(
      {.machine = MachineId("m-1"), .team = "red", .amounts = Amounts::from(8, 0, 1), .start = at(0), .stop = at(10)});
  planner.extend(id, at(30));
  EXPECT_EQ(planner.plan(request(8, 1, 5)).front().start, at(30));
  planner.revoke(id);
  EXPECT_EQ(planner.plan(request(8, 1, 5)).front().start, at(0));
  EXPECT_TRUE(planner.fleet().of(0).slots().empty());
  EXPECT_TRUE(planner.use_of(MachineId("m-1"))->of(0).slots().empty());
}

}  // namespace
}  // namespace foxshunt::plan
