#include "plan/planner.h"

#include <gtest/gtest.h>

#include <random>

#include "unit/plain_planner.h"

namespace foxshunt::plan {
namespace {

Instant at(int s) { return Instant(std::chrono::seconds(s)); }

PlanMachine machine(const std::string& id, double cpus, double gpus, const std::string& zone = "a", int ready_s = 0) {
  return {
      .id = MachineId(id), .type = "t", .zone = zone, .capacity = Amounts::from(cpus, gpus, 64), .ready = at(ready_s)};
}

Request request(double cpus, std::uint32_t count, int duration_s) {
  Request asked;
  asked.team = "red";
  asked.each = Amounts::from(cpus, 0, 1);
  asked.count = count;
  asked.duration = std::chrono::seconds(duration_s);
  asked.from = at(0);
  return asked;
}

// On all machines, which need no image.
std::vector<Placing> plan(const Planner& planner, Request asked) {
  if (asked.places.empty()) {
    for (const auto& [unused, node] : planner.nodes()) asked.places.push_back({.node = &node, .before = Millis(0)});
  }
  return planner.plan(asked);
}

std::uint32_t total(const std::vector<Placing>& placings) {
  std::uint32_t sum = 0;
  for (const Placing& placing : placings) sum += placing.count;
  return sum;
}

TEST(Planner, TasksThatDoNotFitNowAreBookedBehindOthers) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  const auto placings = plan(planner, request(4, 5, 10));
  ASSERT_EQ(total(placings), 5U);
  EXPECT_EQ(placings[0].start, at(0));
  EXPECT_EQ(placings[0].count, 2U);
  EXPECT_EQ(placings[1].start, at(10));
  EXPECT_EQ(placings[2].start, at(20));
}

TEST(Planner, GapBeforeABookingIsUsedOnlyIfTheEstimateFits) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  planner.book({.machine = MachineId("m-1"),
                .team = "blue",
                .amounts = Amounts::from(8, 0, 1),
                .start = at(20),
                .stop = at(50)});
  EXPECT_EQ(plan(planner, request(8, 1, 20)).front().start, at(0));
  EXPECT_EQ(plan(planner, request(8, 1, 21)).front().start, at(50));
}

TEST(Planner, MachinesWithScarceResourcesRankLast) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 4));  // all GPUs of the fleet: weight 1
  planner.set_machine(machine("m-2", 8, 0));
  EXPECT_EQ(plan(planner, request(4, 1, 10)).front().machine, MachineId("m-2"));
}

TEST(Planner, PriorityOfAMachineOutranksItsShare) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 4));
  PlanMachine last = machine("m-2", 8, 0);
  last.priority = 1;
  planner.set_machine(last);
  EXPECT_EQ(plan(planner, request(4, 1, 10)).front().machine, MachineId("m-1"));
}

TEST(Planner, TeamLimitHoldsAtEveryMoment) {
  Planner planner;
  planner.set_machine(machine("m-1", 16, 0));
  planner.set_team("red", {.cpus = 8000, .gpus = std::nullopt});
  planner.book(
      {.machine = MachineId("m-1"), .team = "red", .amounts = Amounts::from(4, 0, 1), .start = at(5), .stop = at(15)});
  const auto placings = plan(planner, request(4, 3, 10));
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
  const auto placings = plan(planner, asked);
  ASSERT_EQ(placings.size(), 2U);
  EXPECT_EQ(placings[1].start, at(10));
}

TEST(Planner, BootingMachineIsBookedFromWhenItIsReady) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0, "a", 30));
  EXPECT_EQ(plan(planner, request(4, 1, 10)).front().start, at(30));
}

TEST(Planner, FetchingCountsWhenMachinesAreCompared) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  planner.set_machine(machine("m-2", 16, 0));
  Request asked = request(4, 1, 10);
  asked.places = {{.node = planner.node(MachineId("m-1")), .before = Millis(9000)},
                  {.node = planner.node(MachineId("m-2")), .before = Millis(0)}};
  EXPECT_EQ(plan(planner, asked).front().machine, MachineId("m-2"));
}

TEST(Planner, GangIsPlannedWhenAllItsTasksFit) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0, "a"));
  planner.set_machine(machine("m-2", 8, 0, "b"));
  planner.book(
      {.machine = MachineId("m-2"), .team = "blue", .amounts = Amounts::from(8, 0, 1), .start = at(0), .stop = at(40)});
  Request asked = request(4, 4, 10);
  asked.together = true;
  const auto placings = plan(planner, asked);
  ASSERT_EQ(total(placings), 4U);
  for (const Placing& placing : placings) EXPECT_EQ(placing.start, at(40));
  asked.one_zone = true;
  EXPECT_TRUE(plan(planner, asked).empty());
  asked.count = 2;
  EXPECT_EQ(plan(planner, asked).front().start, at(0));
  asked.zone_bound = "b";
  EXPECT_EQ(plan(planner, asked).front().start, at(40));
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
    for (const Placing& placing : plan(planner, asked)) by_machine[placing.machine] += placing.count;
    EXPECT_LE(by_machine[MachineId("m-1")], 3U);
    EXPECT_LE(by_machine[MachineId("m-2")], 3U);
    EXPECT_EQ(by_machine[MachineId("m-1")] + by_machine[MachineId("m-2")], 5U);
  }
}

// As after a takeover: what runs is known from records, its machine only when it reports, and then each booking is replaced.
TEST(Planner, WhatWasBookedBeforeItsMachineWasKnownIsInItsUse) {
  Planner planner;
  const auto booking = [&](int stop_s) {
    return planner.book({.machine = MachineId("m-1"),
                         .team = "red",
                         .amounts = Amounts::from(2, 0, 1),
                         .start = at(0),
                         .stop = at(stop_s)});
  };
  std::vector<BookingId> before;
  for (int task = 0; task < 4; ++task) before.push_back(booking(100));
  planner.set_machine(machine("m-1", 8, 0));
  // The fleet has room for four more, but not on that machine.
  planner.set_machine(machine("m-2", 8, 0, "a", 1000));
  const auto start_on_first = [&] {
    Request asked = request(2, 1, 10);
    asked.places = {{.node = planner.node(MachineId("m-1")), .before = Millis(0)}};
    return planner.plan(asked).front().start;
  };
  EXPECT_EQ(start_on_first(), at(100)) << "it is full until then";
  std::vector<BookingId> after;
  for (const BookingId id : before) {
    planner.revoke(id);
    after.push_back(booking(60));
  }
  EXPECT_EQ(start_on_first(), at(60)) << "and so it is when all have been replaced";
  for (const BookingId id : after) planner.revoke(id);
  EXPECT_TRUE(planner.node(MachineId("m-1"))->use.of(0).slots().empty());
  EXPECT_EQ(start_on_first(), at(0));
}

TEST(Planner, RevokeAndExtendAreInverse) {
  Planner planner;
  planner.set_machine(machine("m-1", 8, 0));
  const BookingId id = planner.book(
      {.machine = MachineId("m-1"), .team = "red", .amounts = Amounts::from(8, 0, 1), .start = at(0), .stop = at(10)});
  planner.extend(id, at(30));
  EXPECT_EQ(plan(planner, request(8, 1, 5)).front().start, at(30));
  planner.revoke(id);
  EXPECT_EQ(plan(planner, request(8, 1, 5)).front().start, at(0));
  EXPECT_TRUE(planner.fleet().of(0).slots().empty());
  EXPECT_TRUE(planner.node(MachineId("m-1"))->use.of(0).slots().empty());
}

// However Planner saves work, it decides what the paper's steps decide.
class PlannerRandom : public testing::TestWithParam<unsigned> {};

TEST_P(PlannerRandom, DecidesAsThePlainSteps) {
  std::mt19937 random(GetParam());
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  Planner planner;
  PlainPlanner plain;
  for (const char* team : {"red", "blue"}) {
    TeamLimit limit;
    if (pick(0, 2) > 0) limit.cpus = pick(20, 160) * 1000;
    if (pick(0, 2) > 0) limit.gpus = pick(2, 12) * 1000;
    planner.set_team(team, limit);
    plain.set_team(team, limit);
  }
  std::vector<PlanMachine> machines;
  const int count = pick(1, 14);
  for (int i = 0; i < count; ++i) {
    const bool gpus = pick(0, 2) == 0;
    PlanMachine one =
        machine("m-" + std::to_string(10 + i), gpus ? 24 : 16, gpus ? 4 : 0,
                std::array{"b", "a", "c"}[static_cast<std::size_t>(pick(0, 2))], pick(0, 3) == 0 ? pick(1, 40) : 0);
    if (pick(0, 5) == 0) one.until = at(pick(30, 200));
    if (pick(0, 7) == 0) one.priority = 1;
    machines.push_back(one);
    planner.set_machine(one);
    plain.set_machine(one);
  }
  for (int round = 0; round < 30; ++round) {
    Request asked;
    asked.team = pick(0, 1) == 0 ? "red" : "blue";
    const bool gpus = pick(0, 2) == 0;
    asked.each = Amounts::from(pick(1, gpus ? 6 : 16), gpus ? pick(1, 2) : 0, pick(1, 30));
    asked.together = pick(0, 1) == 0;
    asked.count = static_cast<std::uint32_t>(pick(1, asked.together ? 6 : 12));
    asked.duration = std::chrono::milliseconds(pick(1, 60) * 500);
    asked.from = at(pick(0, 20));
    if (pick(0, 3) == 0) asked.to = at(pick(20, 90));
    asked.one_zone = pick(0, 2) == 0;
    if (asked.one_zone && pick(0, 3) == 0) asked.zone_bound = pick(0, 1) == 0 ? "a" : "c";
    if (!asked.one_zone && pick(0, 2) == 0) {
      asked.zone_most = static_cast<std::uint32_t>(pick(1, 6));
      asked.zone_taken["a"] = static_cast<std::uint32_t>(pick(0, 3));
    }
    if (pick(0, 4) == 0) asked.keep_free = Amounts::from(pick(0, 10), pick(0, 2), 0);
    std::map<MachineId, Millis> before;
    for (const auto& [id, node] : planner.nodes()) {
      if (pick(0, 7) == 0) continue;
      before[id] = Millis(pick(0, 2) * 1500);
      asked.places.push_back({.node = &node, .before = before[id]});
    }
    const std::vector<Placing> found = planner.plan(asked);
    const std::vector<Placing> wanted = plain.plan(asked, before);
    ASSERT_EQ(found.size(), wanted.size()) << "round " << round;
    for (std::size_t i = 0; i < found.size(); ++i) {
      ASSERT_EQ(std::tie(found[i].machine, found[i].start, found[i].stop, found[i].count),
                std::tie(wanted[i].machine, wanted[i].start, wanted[i].stop, wanted[i].count))
          << "round " << round << ", placing " << i;
      const Booking booking{.machine = found[i].machine,
                            .team = asked.team,
                            .amounts = asked.each.times(found[i].count),
                            .start = found[i].start,
                            .stop = found[i].stop};
      planner.book(booking);
      plain.book(booking);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlannerRandom, testing::Range(1U, 201U));

}  // namespace
}  // namespace foxshunt::plan
