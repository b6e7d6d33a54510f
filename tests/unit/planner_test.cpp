// Planning of independent tasks and of gangs: start times, choice of machines, limits of teams and zones, and bookings.
#include "plan/planner.h"

#include <gtest/gtest.h>

#include <random>

#include "unit/reference_planner.h"

namespace foxshunt::plan {
namespace {

Instant at(int s) { return Instant(std::chrono::seconds(s)); }

MachineSpec make_machine(const std::string& id, double cpus, double gpus, const std::string& zone = "a",
                         int ready_s = 0) {
  return {.id = MachineId(id),
          .type = "t",
          .zone = zone,
          .capacity = ResourceAmounts::from(cpus, gpus, 64),
          .ready_at = at(ready_s)};
}

PlacementRequest make_request(double cpus, std::uint32_t count, int duration_s) {
  PlacementRequest request;
  request.team = "red";
  request.per_task = ResourceAmounts::from(cpus, 0, 1);
  request.count = count;
  request.duration = std::chrono::seconds(duration_s);
  request.earliest_start = at(0);
  return request;
}

// Plans the request. If it names no machines, all machines are eligible and need no setup.
std::vector<Placement> plan(const Planner& planner, PlacementRequest request) {
  if (request.machines.empty()) {
    for (const auto& [unused, machine] : planner.machines())
      request.machines.push_back({.machine = &machine, .setup_time = Millis(0)});
  }
  return planner.plan(request);
}

std::uint32_t count_tasks(const std::vector<Placement>& placements) {
  std::uint32_t sum = 0;
  for (const Placement& placement : placements) sum += placement.count;
  return sum;
}

TEST(Planner, TasksThatDoNotFitNowStartAfterTheOthers) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0));
  const auto placements = plan(planner, make_request(4, 5, 10));
  ASSERT_EQ(count_tasks(placements), 5U);
  EXPECT_EQ(placements[0].start, at(0));
  EXPECT_EQ(placements[0].count, 2U);
  EXPECT_EQ(placements[1].start, at(10));
  EXPECT_EQ(placements[2].start, at(20));
}

TEST(Planner, GapBeforeABookingIsUsedOnlyIfTheDurationFits) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0));
  planner.book({.machine = MachineId("m-1"),
                .team = "blue",
                .amounts = ResourceAmounts::from(8, 0, 1),
                .start = at(20),
                .stop = at(50)});
  EXPECT_EQ(plan(planner, make_request(8, 1, 20)).front().start, at(0));
  EXPECT_EQ(plan(planner, make_request(8, 1, 21)).front().start, at(50));
}

TEST(Planner, MachinesWithScarceResourcesRankLast) {
  Planner planner;
  // m-1 has all GPUs of the fleet, so its share of the fleet is 1.
  planner.set_machine(make_machine("m-1", 8, 4));
  planner.set_machine(make_machine("m-2", 8, 0));
  EXPECT_EQ(plan(planner, make_request(4, 1, 10)).front().machine, MachineId("m-2"));
}

TEST(Planner, MachinePriorityOutranksShareOfTheFleet) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 4));
  MachineSpec low_priority = make_machine("m-2", 8, 0);
  low_priority.priority = 1;
  planner.set_machine(low_priority);
  EXPECT_EQ(plan(planner, make_request(4, 1, 10)).front().machine, MachineId("m-1"));
}

TEST(Planner, TeamLimitHoldsAtEveryMoment) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 16, 0));
  planner.set_team_limit("red", {.cpus = 8 * kUnitsPerWhole, .gpus = std::nullopt});
  planner.book({.machine = MachineId("m-1"),
                .team = "red",
                .amounts = ResourceAmounts::from(4, 0, 1),
                .start = at(5),
                .stop = at(15)});
  const auto placements = plan(planner, make_request(4, 3, 10));
  ASSERT_EQ(count_tasks(placements), 3U);
  std::map<Instant, int> starts;
  for (const Placement& placement : placements) starts[placement.start] += static_cast<int>(placement.count);
  EXPECT_EQ(starts[at(0)], 1);
  EXPECT_EQ(starts[at(10)], 1);
  EXPECT_EQ(starts[at(15)], 1);
}

TEST(Planner, KeepFreeAmountIsNotPlanned) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0));
  PlacementRequest request = make_request(4, 2, 10);
  request.keep_free = ResourceAmounts::from(4, 0, 0);
  const auto placements = plan(planner, request);
  ASSERT_EQ(placements.size(), 2U);
  EXPECT_EQ(placements[1].start, at(10));
}

TEST(Planner, BootingMachineGetsNoTaskBeforeItIsReady) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0, "a", 30));
  EXPECT_EQ(plan(planner, make_request(4, 1, 10)).front().start, at(30));
}

TEST(Planner, SetupTimeCountsWhenMachinesAreCompared) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0));
  planner.set_machine(make_machine("m-2", 16, 0));
  PlacementRequest request = make_request(4, 1, 10);
  request.machines = {{.machine = planner.find_machine(MachineId("m-1")), .setup_time = Millis(9000)},
                      {.machine = planner.find_machine(MachineId("m-2")), .setup_time = Millis(0)}};
  EXPECT_EQ(plan(planner, request).front().machine, MachineId("m-2"));
}

TEST(Planner, GangStartsWhenAllItsTasksFit) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0, "a"));
  planner.set_machine(make_machine("m-2", 8, 0, "b"));
  planner.book({.machine = MachineId("m-2"),
                .team = "blue",
                .amounts = ResourceAmounts::from(8, 0, 1),
                .start = at(0),
                .stop = at(40)});
  PlacementRequest request = make_request(4, 4, 10);
  request.is_gang = true;
  const auto placements = plan(planner, request);
  ASSERT_EQ(count_tasks(placements), 4U);
  for (const Placement& placement : placements) EXPECT_EQ(placement.start, at(40));
  request.one_zone = true;
  EXPECT_TRUE(plan(planner, request).empty());
  request.count = 2;
  EXPECT_EQ(plan(planner, request).front().start, at(0));
  request.required_zone = "b";
  EXPECT_EQ(plan(planner, request).front().start, at(40));
}

TEST(Planner, ZoneTaskLimitHoldsInEachZone) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 32, 0, "a"));
  planner.set_machine(make_machine("m-2", 32, 0, "b"));
  for (const bool is_gang : {true, false}) {
    PlacementRequest request = make_request(1, 5, 10);
    request.is_gang = is_gang;
    request.zone_task_limit = 3;
    std::map<MachineId, std::uint32_t> by_machine;
    for (const Placement& placement : plan(planner, request)) by_machine[placement.machine] += placement.count;
    EXPECT_LE(by_machine[MachineId("m-1")], 3U);
    EXPECT_LE(by_machine[MachineId("m-2")], 3U);
    EXPECT_EQ(by_machine[MachineId("m-1")] + by_machine[MachineId("m-2")], 5U);
  }
}

// Guards against a booking that is missing in its machine's usage because it was made before the machine was added.
// This happens after a takeover: running tasks are known from records at once, but their machine only when it
// reports. Each booking is then revoked and replaced by another one.
TEST(Planner, BookingsMadeBeforeTheirMachineIsAddedCountInItsUsage) {
  Planner planner;
  const auto book_until = [&](int stop_s) {
    return planner.book({.machine = MachineId("m-1"),
                         .team = "red",
                         .amounts = ResourceAmounts::from(2, 0, 1),
                         .start = at(0),
                         .stop = at(stop_s)});
  };
  std::vector<BookingId> original;
  for (int task = 0; task < 4; ++task) original.push_back(book_until(100));
  planner.set_machine(make_machine("m-1", 8, 0));
  // The fleet has room for four more tasks, but not on m-1.
  planner.set_machine(make_machine("m-2", 8, 0, "a", 1000));
  const auto start_on_m1 = [&] {
    PlacementRequest request = make_request(2, 1, 10);
    request.machines = {{.machine = planner.find_machine(MachineId("m-1")), .setup_time = Millis(0)}};
    return planner.plan(request).front().start;
  };
  EXPECT_EQ(start_on_m1(), at(100)) << "m-1 is full until the original bookings end";
  std::vector<BookingId> replacements;
  for (const BookingId id : original) {
    planner.revoke(id);
    replacements.push_back(book_until(60));
  }
  EXPECT_EQ(start_on_m1(), at(60)) << "m-1 is full until the replacement bookings end";
  for (const BookingId id : replacements) planner.revoke(id);
  EXPECT_TRUE(planner.find_machine(MachineId("m-1"))->usage.usage_of(0).slots().empty());
  EXPECT_EQ(start_on_m1(), at(0));
}

TEST(Planner, RevokeRemovesAnExtendedBooking) {
  Planner planner;
  planner.set_machine(make_machine("m-1", 8, 0));
  const BookingId id = planner.book({.machine = MachineId("m-1"),
                                     .team = "red",
                                     .amounts = ResourceAmounts::from(8, 0, 1),
                                     .start = at(0),
                                     .stop = at(10)});
  planner.extend(id, at(30));
  EXPECT_EQ(plan(planner, make_request(8, 1, 5)).front().start, at(30));
  planner.revoke(id);
  EXPECT_EQ(plan(planner, make_request(8, 1, 5)).front().start, at(0));
  EXPECT_TRUE(planner.fleet().usage_of(0).slots().empty());
  EXPECT_TRUE(planner.find_machine(MachineId("m-1"))->usage.usage_of(0).slots().empty());
}

// Guards against optimizations of Planner that change its decisions: on random fleets and requests it has to return
// the same placements as ReferencePlanner.
class PlannerRandom : public testing::TestWithParam<unsigned> {};

TEST_P(PlannerRandom, ReturnsThePlacementsOfTheReferencePlanner) {
  std::mt19937 random(GetParam());
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  Planner planner;
  ReferencePlanner reference;
  for (const char* team : {"red", "blue"}) {
    TeamLimit limit;
    if (pick(0, 2) > 0) limit.cpus = pick(20, 160) * kUnitsPerWhole;
    if (pick(0, 2) > 0) limit.gpus = pick(2, 12) * kUnitsPerWhole;
    planner.set_team_limit(team, limit);
    reference.set_team_limit(team, limit);
  }
  std::vector<MachineSpec> added;
  const int count = pick(1, 14);
  for (int i = 0; i < count; ++i) {
    const bool gpus = pick(0, 2) == 0;
    MachineSpec spec = make_machine("m-" + std::to_string(10 + i), gpus ? 24 : 16, gpus ? 4 : 0,
                                    std::array{"b", "a", "c"}[static_cast<std::size_t>(pick(0, 2))],
                                    pick(0, 3) == 0 ? pick(1, 40) : 0);
    if (pick(0, 5) == 0) spec.available_until = at(pick(30, 200));
    if (pick(0, 7) == 0) spec.priority = 1;
    added.push_back(spec);
    planner.set_machine(spec);
    reference.set_machine(spec);
  }
  for (int round = 0; round < 30; ++round) {
    PlacementRequest request;
    request.team = pick(0, 1) == 0 ? "red" : "blue";
    const bool gpus = pick(0, 2) == 0;
    request.per_task = ResourceAmounts::from(pick(1, gpus ? 6 : 16), gpus ? pick(1, 2) : 0, pick(1, 30));
    request.is_gang = pick(0, 1) == 0;
    request.count = static_cast<std::uint32_t>(pick(1, request.is_gang ? 6 : 12));
    request.duration = std::chrono::milliseconds(pick(1, 60) * 500);
    request.earliest_start = at(pick(0, 20));
    if (pick(0, 3) == 0) request.latest_start = at(pick(20, 90));
    request.one_zone = pick(0, 2) == 0;
    if (request.one_zone && pick(0, 3) == 0) request.required_zone = pick(0, 1) == 0 ? "a" : "c";
    if (!request.one_zone && pick(0, 2) == 0) {
      request.zone_task_limit = static_cast<std::uint32_t>(pick(1, 6));
      request.tasks_by_zone["a"] = static_cast<std::uint32_t>(pick(0, 3));
    }
    if (pick(0, 4) == 0) request.keep_free = ResourceAmounts::from(pick(0, 10), pick(0, 2), 0);
    std::map<MachineId, Millis> setup_times;
    for (const auto& [id, machine] : planner.machines()) {
      if (pick(0, 7) == 0) continue;
      setup_times[id] = Millis(pick(0, 2) * 1500);
      request.machines.push_back({.machine = &machine, .setup_time = setup_times[id]});
    }
    const std::vector<Placement> found = planner.plan(request);
    const std::vector<Placement> expected = reference.plan(request, setup_times);
    ASSERT_EQ(found.size(), expected.size()) << "round " << round;
    for (std::size_t i = 0; i < found.size(); ++i) {
      ASSERT_EQ(std::tie(found[i].machine, found[i].start, found[i].stop, found[i].count),
                std::tie(expected[i].machine, expected[i].start, expected[i].stop, expected[i].count))
          << "round " << round << ", placement " << i;
      const Booking booking{.machine = found[i].machine,
                            .team = request.team,
                            .amounts = request.per_task.times(found[i].count),
                            .start = found[i].start,
                            .stop = found[i].stop};
      planner.book(booking);
      reference.book(booking);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlannerRandom, testing::Range(1U, 201U));

}  // namespace
}  // namespace foxshunt::plan
