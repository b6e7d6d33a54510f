// UsageVector: adding and subtracting slots, free slots, the limit of a team, and open intervals.
#include "plan/usage_vector.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace foxshunt::plan {
namespace {

Instant at(int ms) { return Instant(Millis(ms)); }

constexpr int kLengthMs = 60;

// The usage of a resource as an array with one entry per millisecond: a model that is obviously correct.
struct ArrayModel {
  std::array<AmountUnits, kLengthMs> used{};
  void change(int start, int stop, AmountUnits amount) {
    for (int t = start; t < stop; ++t)
      used[static_cast<std::size_t>(t)] = std::max<AmountUnits>(0, used[static_cast<std::size_t>(t)] + amount);
  }
};

void expect_same(const UsageVector& vector, const ArrayModel& model) {
  for (int t = 0; t < kLengthMs; ++t)
    ASSERT_EQ(vector.used_at(at(t)), model.used[static_cast<std::size_t>(t)]) << "at " << t;
  for (std::size_t i = 0; i < vector.slots().size(); ++i) {
    const Slot& slot = vector.slots()[i];
    ASSERT_LT(slot.start, slot.stop);
    ASSERT_GT(slot.amount, 0);
    if (i == 0) continue;
    const Slot& previous = vector.slots()[i - 1];
    ASSERT_LE(previous.stop, slot.start);
    ASSERT_FALSE(previous.stop == slot.start && previous.amount == slot.amount)
        << "adjacent slots with equal amounts must be merged";
  }
}

class UsageVectorRandom : public testing::TestWithParam<unsigned> {};

TEST_P(UsageVectorRandom, AgreesWithTheArrayModel) {
  std::mt19937 random(GetParam());
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  UsageVector vector(20);
  UsageVector team(20);
  ArrayModel model;
  ArrayModel team_model;
  for (int step = 0; step < 120; ++step) {
    UsageVector& changed = pick(0, 1) == 0 ? vector : team;
    ArrayModel& changed_model = &changed == &vector ? model : team_model;
    const int start = pick(0, kLengthMs - 1);
    const int stop = pick(start + 1, kLengthMs);
    const AmountUnits amount = pick(1, 6);
    if (pick(0, 2) > 0) {
      changed.add({at(start), at(stop), amount});
      changed_model.change(start, stop, amount);
    } else {
      changed.subtract({at(start), at(stop), amount});
      changed_model.change(start, stop, -amount);
    }
    expect_same(vector, model);
    expect_same(team, team_model);

    // Free slots: each millisecond of a slot has the amount free, and each free period that is long enough lies in a
    // slot.
    const AmountUnits needed = pick(1, 20);
    const int duration = pick(1, 12);
    const FreeSlots free = vector.free_slots(needed, Millis(duration), at(0), at(kLengthMs));
    std::array<bool, kLengthMs> in_free_slot{};
    for (const Slot& slot : free) {
      ASSERT_GE(slot.stop - slot.start, Millis(duration));
      AmountUnits lowest_free = 20;
      for (int t = static_cast<int>(slot.start.time_since_epoch().count()); at(t) < slot.stop; ++t) {
        in_free_slot[static_cast<std::size_t>(t)] = true;
        lowest_free = std::min(lowest_free, 20 - model.used[static_cast<std::size_t>(t)]);
      }
      ASSERT_EQ(slot.amount, lowest_free);
      ASSERT_GE(lowest_free, needed);
    }
    int free_ms = 0;
    for (int t = 0; t <= kLengthMs; ++t) {
      if (t < kLengthMs && 20 - model.used[static_cast<std::size_t>(t)] >= needed) {
        ++free_ms;
        continue;
      }
      for (int t_free = t - free_ms; t_free < t; ++t_free)
        ASSERT_EQ(in_free_slot[static_cast<std::size_t>(t_free)], free_ms >= duration);
      free_ms = 0;
    }

    // min_free(): the free amount is the smaller of what the system has free and what the team leaves of the limit.
    const AmountUnits limit = pick(0, 25);
    const UsageVector limited = UsageVector::min_free(vector, limit, team);
    for (int t = 0; t < kLengthMs; ++t) {
      const auto index = static_cast<std::size_t>(t);
      const AmountUnits expected = std::min(20 - model.used[index], limit - team_model.used[index]);
      ASSERT_EQ(20 - limited.used_at(at(t)), expected) << "at " << t << " limit " << static_cast<std::int64_t>(limit);
    }

    // intersect(): a millisecond lies in a result exactly if both vectors have the amount free then.
    const FreeSlots team_free = team.free_slots(needed, Millis(1), at(0), at(kLengthMs));
    const FreeSlots common =
        intersect(vector.free_slots(needed, Millis(1), at(0), at(kLengthMs)), team_free, Millis(1));
    std::array<bool, kLengthMs> in_common_slot{};
    for (const Slot& slot : common) {
      for (int t = static_cast<int>(slot.start.time_since_epoch().count()); at(t) < slot.stop; ++t)
        in_common_slot[static_cast<std::size_t>(t)] = true;
    }
    for (std::size_t t = 0; t < kLengthMs; ++t) {
      ASSERT_EQ(in_common_slot[t], 20 - model.used[t] >= needed && 20 - team_model.used[t] >= needed);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, UsageVectorRandom, testing::Range(1U, 21U));

TEST(UsageVector, HandlesSlotsWithoutEnd) {
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

TEST(UsageVector, UnavailablePartReducesTheAvailableAmount) {
  UsageVector vector(10);
  vector.set_unavailable(4);
  EXPECT_TRUE(vector.free_slots(7, Millis(1), at(0), kForever).empty());
  EXPECT_EQ(vector.free_slots(6, Millis(1), at(0), kForever).size(), 1U);
}

TEST(UsageVector, ForgetBeforeDropsOnlySlotsThatHaveEnded) {
  UsageVector vector(10);
  vector.add({at(0), at(10), 1});
  vector.add({at(10), at(20), 2});
  vector.forget_before(at(10));
  EXPECT_EQ(vector.slots().size(), 1U);
  EXPECT_EQ(vector.used_at(at(15)), 2);
}

}  // namespace
}  // namespace foxshunt::plan
