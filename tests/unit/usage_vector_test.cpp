#include "plan/usage_vector.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace foxshunt::plan {
namespace {

Instant at(int ms) { return Instant(Millis(ms)); }

constexpr int kSpan = 60;

// The same thing as an array with one entry a millisecond.
struct Naive {
  std::array<Items, kSpan> used{};
  void change(int start, int stop, Items items) {
    for (int t = start; t < stop; ++t)
      used[static_cast<std::size_t>(t)] = std::max<Items>(0, used[static_cast<std::size_t>(t)] + items);
  }
};

void expect_same(const UsageVector& vector, const Naive& naive) {
  for (int t = 0; t < kSpan; ++t)
    ASSERT_EQ(vector.used_at(at(t)), naive.used[static_cast<std::size_t>(t)]) << "at " << t;
  for (std::size_t i = 0; i < vector.slots().size(); ++i) {
    const Slot& slot = vector.slots()[i];
    ASSERT_LT(slot.start, slot.stop);
    ASSERT_GT(slot.items, 0);
    if (i == 0) continue;
    const Slot& before = vector.slots()[i - 1];
    ASSERT_LE(before.stop, slot.start);
    ASSERT_FALSE(before.stop == slot.start && before.items == slot.items) << "equal neighbours are joined";
  }
}

class UsageVectorRandom : public testing::TestWithParam<unsigned> {};

TEST_P(UsageVectorRandom, AgreesWithAnArray) {
  std::mt19937 random(GetParam());
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  UsageVector vector(20);
  UsageVector team(20);
  Naive naive;
  Naive naive_team;
  for (int step = 0; step < 120; ++step) {
    UsageVector& changed = pick(0, 1) == 0 ? vector : team;
    Naive& model = &changed == &vector ? naive : naive_team;
    const int start = pick(0, kSpan - 1);
    const int stop = pick(start + 1, kSpan);
    const Items items = pick(1, 6);
    if (pick(0, 2) > 0) {
      changed.add({at(start), at(stop), items});
      model.change(start, stop, items);
    } else {
      changed.subtract({at(start), at(stop), items});
      model.change(start, stop, -items);
    }
    expect_same(vector, naive);
    expect_same(team, naive_team);

    // Free slots: every moment inside one has the room, and every run of room long enough is inside one.
    const Items need = pick(1, 20);
    const int duration = pick(1, 12);
    const FreeSlots free = vector.free_slots(need, Millis(duration), at(0), at(kSpan));
    std::array<bool, kSpan> in_slot{};
    for (const Slot& slot : free) {
      ASSERT_GE(slot.stop - slot.start, Millis(duration));
      Items fewest = 20;
      for (int t = static_cast<int>(slot.start.time_since_epoch().count()); at(t) < slot.stop; ++t) {
        in_slot[static_cast<std::size_t>(t)] = true;
        fewest = std::min(fewest, 20 - naive.used[static_cast<std::size_t>(t)]);
      }
      ASSERT_EQ(slot.items, fewest);
      ASSERT_GE(fewest, need);
    }
    int run = 0;
    for (int t = 0; t <= kSpan; ++t) {
      if (t < kSpan && 20 - naive.used[static_cast<std::size_t>(t)] >= need) {
        ++run;
        continue;
      }
      for (int back = t - run; back < t; ++back) ASSERT_EQ(in_slot[static_cast<std::size_t>(back)], run >= duration);
      run = 0;
    }

    // minFree: as much is free as both the system and the rest of the limit have.
    const Items limit = pick(0, 25);
    const UsageVector view = UsageVector::min_free(vector, limit, team);
    for (int t = 0; t < kSpan; ++t) {
      const auto index = static_cast<std::size_t>(t);
      const Items expected = std::min(20 - naive.used[index], limit - naive_team.used[index]);
      ASSERT_EQ(20 - view.used_at(at(t)), expected) << "at " << t << " limit " << limit;
    }

    // Intersection.
    const FreeSlots other = team.free_slots(need, Millis(1), at(0), at(kSpan));
    const FreeSlots both = intersect(vector.free_slots(need, Millis(1), at(0), at(kSpan)), other, Millis(1));
    std::array<bool, kSpan> in_both{};
    for (const Slot& slot : both) {
      for (int t = static_cast<int>(slot.start.time_since_epoch().count()); at(t) < slot.stop; ++t)
        in_both[static_cast<std::size_t>(t)] = true;
    }
    for (std::size_t t = 0; t < kSpan; ++t) {
      ASSERT_EQ(in_both[t], 20 - naive.used[t] >= need && 20 - naive_team.used[t] >= need);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, UsageVectorRandom, testing::Range(1U, 21U));

TEST(UsageVector, SlotsWithoutEnd) {
  UsageVector vector(10);
  vector.add({at(5), kForever, 4});
  EXPECT_EQ(vector.used_at(at(1'000'000)), 4);
  const FreeSlots free = vector.free_slots(7, Millis(3), at(0), kForever);
  ASSERT_EQ(free.size(), 1U);
  EXPECT_EQ(free[0], (Slot{at(0), at(5), 10}));
  EXPECT_EQ(vector.free_slots(6, Millis(100), at(0), kForever).front().stop, kForever);
  vector.subtract({at(5), kForever, 4});
  EXPECT_TRUE(vector.slots().empty());
}

TEST(UsageVector, DefectTakesAwayWhatIsAvailable) {
  UsageVector vector(10);
  vector.set_defect(4);
  EXPECT_TRUE(vector.free_slots(7, Millis(1), at(0), kForever).empty());
  EXPECT_EQ(vector.free_slots(6, Millis(1), at(0), kForever).size(), 1U);
}

TEST(UsageVector, ForgetsThePastOnly) {
  UsageVector vector(10);
  vector.add({at(0), at(10), 1});
  vector.add({at(10), at(20), 2});
  vector.forget_before(at(10));
  EXPECT_EQ(vector.slots().size(), 1U);
  EXPECT_EQ(vector.used_at(at(15)), 2);
}

}  // namespace
}  // namespace foxshunt::plan
