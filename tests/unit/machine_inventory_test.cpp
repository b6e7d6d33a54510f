// What is known of machines: which words teach something, and up to when their tasks may run on.
#include "inventory/machine_inventory.h"

#include <gtest/gtest.h>

#include <random>

namespace foxshunt::inventory {
namespace {

constexpr Millis kLease{10'000};
constexpr Millis kSilence{3'000};
constexpr Millis kDetour{6'000};
const MachineId kFirst("m-000001");

class Machines : public testing::Test {
 protected:
  static wire::Heartbeat heartbeat(const MachineId& id, std::uint64_t incarnation, std::uint64_t sequence, Term seen) {
    wire::Heartbeat made;
    made.machine = id;
    made.address = "127.0.0.1:1";
    made.type = "plain";
    made.zone = "a";
    made.incarnation = AgentIncarnation(incarnation);
    made.sequence = sequence;
    made.term = seen;
    return made;
  }
  // As the controller does: nothing is taken from a report that is no news.
  bool hear(const wire::Heartbeat& made) {
    if (!machines_.news(made)) return false;
    machines_.hear(machines_.know(made.machine, now_).machine, made, kTerm, now_);
    return true;
  }
  static wire::ListedMachine listed(const MachineId& id, wire::ListedState state = wire::ListedState::running) {
    return {.id = id, .address = "127.0.0.1:2", .type = "other", .zone = "b", .state = state, .age_s = 4};
  }

  static constexpr Term kTerm{7};
  Instant now_{Millis(1'000'000)};
  MachineInventory machines_{{.lease = kLease, .silence = kSilence, .detour = kDetour}};
};

TEST_F(Machines, AReportThatIsNotNewerTeachesNothing) {
  EXPECT_TRUE(hear(heartbeat(kFirst, 1, 5, kTerm)));
  EXPECT_FALSE(hear(heartbeat(kFirst, 1, 5, Term(8))));
  EXPECT_FALSE(hear(heartbeat(kFirst, 1, 4, Term(8))));
  EXPECT_TRUE(machines_.at(kFirst).saw_term);
  EXPECT_TRUE(machines_.newest(heartbeat(kFirst, 1, 5, kTerm)));
  EXPECT_TRUE(hear(heartbeat(kFirst, 2, 1, Term(6))));  // a later session counts from the beginning
  EXPECT_FALSE(machines_.at(kFirst).saw_term);
  EXPECT_FALSE(machines_.newest(heartbeat(kFirst, 1, 5, kTerm)));
}

TEST_F(Machines, OneThatWasReturnedIsNotKnownAgain) {
  hear(heartbeat(kFirst, 1, 5, kTerm));
  machines_.on_scaled_in(kFirst);
  EXPECT_TRUE(machines_.forget(kFirst));
  EXPECT_FALSE(hear(heartbeat(kFirst, 1, 6, kTerm)));
  EXPECT_FALSE(machines_.list(listed(kFirst), Millis(0), now_));
  EXPECT_FALSE(machines_.contains(kFirst));
  EXPECT_TRUE(machines_.gone(kFirst));
}

TEST_F(Machines, AListTellsOnlyWhatNoReportHas) {
  const auto known = machines_.list(listed(kFirst, wire::ListedState::starting), Millis(10'000), now_);
  ASSERT_TRUE(known);
  EXPECT_TRUE(known->fresh);
  EXPECT_EQ(known->machine.since, now_ - Millis(4'000));
  EXPECT_EQ(known->machine.ready, now_ + Millis(6'000));
  EXPECT_EQ(known->machine.type, "other");
  EXPECT_FALSE(known->machine.listed.running);
  EXPECT_FALSE(machines_.usable(known->machine, now_));
  EXPECT_TRUE(machines_.hear(known->machine, heartbeat(kFirst, 1, 1, kTerm), kTerm, now_));  // it is up now
  EXPECT_TRUE(machines_.usable(known->machine, now_));
  const auto again = machines_.list(listed(kFirst), Millis(10'000), now_ + Millis(1'000));
  EXPECT_FALSE(again->fresh);
  EXPECT_EQ(again->machine.type, "plain");
  EXPECT_EQ(again->machine.zone, "a");
  EXPECT_EQ(again->machine.ready, now_);
  EXPECT_TRUE(again->machine.listed.running);
}

TEST_F(Machines, SuspectsTakeNoWork) {
  hear(heartbeat(kFirst, 1, 1, kTerm));
  Machine& machine = machines_.at(kFirst);
  EXPECT_TRUE(machines_.usable(machine, now_ + kSilence - Millis(1)));
  EXPECT_FALSE(machines_.usable(machine, now_ + kSilence));
  machine.has_unknown_tasks = true;
  EXPECT_FALSE(machines_.usable(machine, now_));
  // One that has not reported yet has the time to find this leader.
  const Machine& second = machines_.know(MachineId("m-000002"), now_).machine;
  EXPECT_FALSE(machines_.silent(second, now_ + kDetour));
  EXPECT_TRUE(machines_.silent(second, now_ + kDetour + Millis(1)));
}

// Where reports are rarer than leases are long, a machine whose lease has ended is no suspect yet.
TEST_F(Machines, OneWhoseLeaseHasEndedTakesNoWork) {
  hear(heartbeat(kFirst, 1, 1, kTerm));
  Machine& machine = machines_.at(kFirst);
  ASSERT_TRUE(machines_.usable(machine, now_));
  machine.expired = true;
  EXPECT_FALSE(machines_.usable(machine, now_));
  hear(heartbeat(kFirst, 2, 2, kTerm));
  EXPECT_TRUE(machines_.usable(machine, now_)) << "its next session has reported";
}

// Invariant 1: nothing is taken for gone while anybody may have renewed the worker's lease.
TEST_F(Machines, ALeaseEndsAfterTheLastThatMayHaveRenewedIt) {
  const Instant others = now_ + Millis(20'000);
  const Instant granted = now_ + Millis(15'000);
  const Machine& machine = machines_.know(kFirst, now_).machine;
  EXPECT_EQ(machines_.lease_end(machine, others, {}), others + kLease);
  hear(heartbeat(kFirst, 1, 1, Term(6)));  // it may yet go to a leader that is older
  EXPECT_EQ(machines_.lease_end(machine, others, {}), others + kLease);
  EXPECT_EQ(machines_.lease_end(machine, {}, {}), now_ + kLease);
  hear(heartbeat(kFirst, 1, 2, kTerm));
  EXPECT_EQ(machines_.lease_end(machine, others, {}), now_ + kLease);
  EXPECT_EQ(machines_.lease_end(machine, others, granted), granted + kLease);
  EXPECT_FALSE(machines_.is_lease_expired(machine, others, granted, granted + kLease));
  EXPECT_TRUE(machines_.is_lease_expired(machine, others, granted, granted + kLease + Millis(1)));
}

TEST_F(Machines, UnheardAreAllOrNone) {
  const MachineId second("m-000002");
  hear(heartbeat(kFirst, 1, 1, kTerm));
  now_ += kDetour;
  hear(heartbeat(second, 1, 1, kTerm));
  EXPECT_EQ(machines_.unheard(now_ + Millis(1)), 0U);  // one of them is heard
  EXPECT_EQ(machines_.unheard(now_ + kDetour + Millis(1)), 2U);
  machines_.at(kFirst).expired = true;
  EXPECT_EQ(machines_.unheard(now_ + kDetour + Millis(1)), 1U);
}

TEST_F(Machines, TheBooksHoldUnderRandomWords) {
  std::mt19937 random(11);
  const auto draw = [&](std::uint64_t most) { return std::uniform_int_distribution<std::uint64_t>(0, most)(random); };
  std::map<MachineId, std::pair<AgentIncarnation, std::uint64_t>> newest;
  std::set<MachineId> returned;
  for (int step = 0; step < 20'000; ++step) {
    now_ += Millis(draw(50));
    const MachineId id("m-" + std::to_string(draw(40)));
    switch (draw(9)) {
      case 0:
        machines_.list(listed(id, draw(1) == 0 ? wire::ListedState::starting : wire::ListedState::running),
                       Millis(5'000), now_);
        break;
      case 1:
        if (!machines_.contains(id) || draw(20) > 0) break;
        machines_.on_scaled_in(id);
        returned.insert(id);
        EXPECT_TRUE(machines_.forget(id));
        break;
      case 2:
        if (machines_.contains(id)) machines_.at(id).listed.failed = draw(3) == 0;
        break;
      default: {
        const auto made = heartbeat(id, draw(3), draw(200), Term(6 + draw(1)));
        const std::pair word(made.incarnation, made.sequence);
        const auto known = newest.find(id);
        const bool news = !returned.contains(id) && (known == newest.end() || word > known->second);
        EXPECT_EQ(hear(made), news);
        if (news) newest[id] = word;
        EXPECT_EQ(machines_.newest(made),
                  news || (known != newest.end() && !returned.contains(id) && word == known->second));
      }
    }
    if (step % 50 != 0) continue;
    std::map<Kind, std::size_t> held;
    for (const auto& [name, machine] : machines_) {
      ASSERT_EQ(name, machine.id);
      ASSERT_FALSE(returned.contains(name));
      ASSERT_EQ(machine.has_reported, newest.contains(name));
      if (machine.has_reported) {
        ASSERT_EQ(std::pair(machine.incarnation, machine.sequence), newest.at(name));
        ASSERT_NE(machine.state, MachineState::booting);
        ASSERT_LE(machine.last_heartbeat, now_);
      }
      if (!machine.listed.failed) ++held[{machine.type, machine.zone, machine.spot}];
    }
    ASSERT_EQ(held, machines_.held());
  }
  EXPECT_FALSE(returned.empty());
}

}  // namespace
}  // namespace foxshunt::inventory
