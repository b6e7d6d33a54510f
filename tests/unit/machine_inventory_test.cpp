// MachineInventory: which heartbeats and list entries are applied, and when the lease of a machine ends.
#include "inventory/machine_inventory.h"

#include <gtest/gtest.h>

#include <random>

namespace foxshunt::inventory {
namespace {

constexpr Millis kLease{10'000};
constexpr Millis kSilence{3'000};
constexpr Millis kReroute{6'000};
const MachineId kFirst("m-000001");

class MachineInventoryTest : public testing::Test {
 protected:
  static wire::Heartbeat make_heartbeat(const MachineId& id, std::uint64_t incarnation, std::uint64_t sequence,
                                        Term seen) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = "127.0.0.1:1";
    heartbeat.type = "plain";
    heartbeat.zone = "a";
    heartbeat.incarnation = AgentIncarnation(incarnation);
    heartbeat.sequence = sequence;
    heartbeat.term = seen;
    return heartbeat;
  }
  // Applies the heartbeat as the controller does: only if the inventory accepts it.
  bool report(const wire::Heartbeat& heartbeat) {
    if (!machines_.should_accept(heartbeat)) return false;
    MachineInventory::apply_heartbeat(machines_.find_or_add(heartbeat.machine, now_).machine, heartbeat, kTerm, now_);
    return true;
  }
  static wire::ListedMachine make_listed_machine(const MachineId& id,
                                                 wire::ListedState state = wire::ListedState::running) {
    return {.id = id, .address = "127.0.0.1:2", .type = "other", .zone = "b", .state = state, .age_s = 4};
  }

  static constexpr Term kTerm{7};
  Instant now_{Millis(1'000'000)};
  MachineInventory machines_{{.lease = kLease, .silence = kSilence, .reroute = kReroute}};
};

TEST_F(MachineInventoryTest, RejectsHeartbeatsThatAreNotNewer) {
  EXPECT_TRUE(report(make_heartbeat(kFirst, 1, 5, kTerm)));
  EXPECT_FALSE(report(make_heartbeat(kFirst, 1, 5, Term(8))));
  EXPECT_FALSE(report(make_heartbeat(kFirst, 1, 4, Term(8))));
  EXPECT_TRUE(machines_.at(kFirst).has_seen_term);
  EXPECT_TRUE(machines_.is_latest(make_heartbeat(kFirst, 1, 5, kTerm)));
  EXPECT_TRUE(report(make_heartbeat(kFirst, 2, 1, Term(6))));  // the sequence restarts with each incarnation
  EXPECT_FALSE(machines_.at(kFirst).has_seen_term);
  EXPECT_FALSE(machines_.is_latest(make_heartbeat(kFirst, 1, 5, kTerm)));
}

TEST_F(MachineInventoryTest, ReturnedMachineIsNotAddedAgain) {
  report(make_heartbeat(kFirst, 1, 5, kTerm));
  machines_.on_scaled_in(kFirst);
  EXPECT_TRUE(machines_.remove(kFirst));
  EXPECT_FALSE(report(make_heartbeat(kFirst, 1, 6, kTerm)));
  EXPECT_FALSE(machines_.apply_listing(make_listed_machine(kFirst), Millis(0), now_));
  EXPECT_FALSE(machines_.contains(kFirst));
  EXPECT_TRUE(machines_.is_returned(kFirst));
}

TEST_F(MachineInventoryTest, ListingDoesNotOverwriteReportedFields) {
  const auto known =
      machines_.apply_listing(make_listed_machine(kFirst, wire::ListedState::starting), Millis(10'000), now_);
  ASSERT_TRUE(known);
  EXPECT_TRUE(known->is_new);
  EXPECT_EQ(known->machine.since, now_ - Millis(4'000));
  EXPECT_EQ(known->machine.ready, now_ + Millis(6'000));
  EXPECT_EQ(known->machine.type, "other");
  EXPECT_FALSE(known->machine.listed.running);
  EXPECT_FALSE(machines_.can_accept_tasks(known->machine, now_));
  EXPECT_TRUE(MachineInventory::apply_heartbeat(known->machine, make_heartbeat(kFirst, 1, 1, kTerm), kTerm,
                                                now_));  // the machine was booting
  EXPECT_TRUE(machines_.can_accept_tasks(known->machine, now_));
  const auto relisted = machines_.apply_listing(make_listed_machine(kFirst), Millis(10'000), now_ + Millis(1'000));
  EXPECT_FALSE(relisted->is_new);
  EXPECT_EQ(relisted->machine.type, "plain");
  EXPECT_EQ(relisted->machine.zone, "a");
  EXPECT_EQ(relisted->machine.ready, now_);
  EXPECT_TRUE(relisted->machine.listed.running);
}

// Guards against machines that count for ever after the cloud has deleted them, known from an outdated list alone.
TEST_F(MachineInventoryTest, AListNewerThanAMachineProvesItsDeletion) {
  const Instant created_by = now_ - Millis(4'000);  // by the age that the list gives
  const Machine& machine = machines_.apply_listing(make_listed_machine(kFirst), Millis(0), now_)->machine;
  machines_.mark_deleted({make_listed_machine(kFirst)}, now_ + Millis(1));
  EXPECT_FALSE(machine.listed.deleted) << "it is listed";
  machines_.mark_deleted({}, created_by);
  EXPECT_FALSE(machine.listed.deleted) << "the list may be older than the machine";
  machines_.mark_deleted({}, created_by + Millis(1));
  EXPECT_TRUE(machine.listed.deleted);
  machines_.apply_listing(make_listed_machine(kFirst), Millis(0), now_);
  EXPECT_FALSE(machine.listed.deleted) << "it is listed again";
}

TEST_F(MachineInventoryTest, AMachineKnownFromItsRentalWasCreatedByThen) {
  const Machine& machine = machines_.find_or_add(kFirst, now_).machine;
  machines_.mark_deleted({}, now_);
  EXPECT_FALSE(machine.listed.deleted);
  machines_.mark_deleted({}, now_ + Millis(1));
  EXPECT_TRUE(machine.listed.deleted);
  report(make_heartbeat(kFirst, 1, 1, kTerm));
  EXPECT_FALSE(machine.listed.deleted) << "it reports";
}

TEST_F(MachineInventoryTest, SilentMachinesAcceptNoTasks) {
  report(make_heartbeat(kFirst, 1, 1, kTerm));
  Machine& machine = machines_.at(kFirst);
  EXPECT_TRUE(machines_.can_accept_tasks(machine, now_ + kSilence - Millis(1)));
  EXPECT_FALSE(machines_.can_accept_tasks(machine, now_ + kSilence));
  machine.has_unknown_tasks = true;
  EXPECT_FALSE(machines_.can_accept_tasks(machine, now_));
  // A machine that has not reported yet has the time `reroute` to find this leader.
  const Machine& second = machines_.find_or_add(MachineId("m-000002"), now_).machine;
  EXPECT_FALSE(machines_.is_silent(second, now_ + kReroute));
  EXPECT_TRUE(machines_.is_silent(second, now_ + kReroute + Millis(1)));
}

// When the heartbeat interval is longer than the lease, a machine whose lease has ended does not count as silent yet.
TEST_F(MachineInventoryTest, MachineWithExpiredLeaseAcceptsNoTasks) {
  report(make_heartbeat(kFirst, 1, 1, kTerm));
  Machine& machine = machines_.at(kFirst);
  ASSERT_TRUE(machines_.can_accept_tasks(machine, now_));
  machine.expired = true;
  EXPECT_FALSE(machines_.can_accept_tasks(machine, now_));
  report(make_heartbeat(kFirst, 2, 2, kTerm));
  EXPECT_TRUE(machines_.can_accept_tasks(machine, now_)) << "a later incarnation has reported";
}

// Invariant 1: no task counts as terminated while a leader or a grant holder may have renewed the worker's lease.
TEST_F(MachineInventoryTest, LeaseEndsAfterTheLastPossibleRenewal) {
  const Instant older_leaders_until = now_ + Millis(20'000);
  const Instant delegated_until = now_ + Millis(15'000);
  const Machine& machine = machines_.find_or_add(kFirst, now_).machine;
  EXPECT_EQ(machines_.lease_end(machine, older_leaders_until, {}), older_leaders_until + kLease);
  report(make_heartbeat(kFirst, 1, 1, Term(6)));  // the worker may still report to an older leader
  EXPECT_EQ(machines_.lease_end(machine, older_leaders_until, {}), older_leaders_until + kLease);
  EXPECT_EQ(machines_.lease_end(machine, {}, {}), now_ + kLease);
  report(make_heartbeat(kFirst, 1, 2, kTerm));
  EXPECT_EQ(machines_.lease_end(machine, older_leaders_until, {}), now_ + kLease);
  EXPECT_EQ(machines_.lease_end(machine, older_leaders_until, delegated_until), delegated_until + kLease);
  EXPECT_FALSE(machines_.is_lease_expired(machine, older_leaders_until, delegated_until, delegated_until + kLease));
  EXPECT_TRUE(
      machines_.is_lease_expired(machine, older_leaders_until, delegated_until, delegated_until + kLease + Millis(1)));
}

TEST_F(MachineInventoryTest, UnheardMachinesCountOnlyIfNoneIsHeard) {
  const MachineId second("m-000002");
  report(make_heartbeat(kFirst, 1, 1, kTerm));
  now_ += kReroute;
  report(make_heartbeat(second, 1, 1, kTerm));
  EXPECT_EQ(machines_.count_if_all_unheard(now_ + Millis(1)), 0U);  // the second machine has just reported
  EXPECT_EQ(machines_.count_if_all_unheard(now_ + kReroute + Millis(1)), 2U);
  machines_.at(kFirst).expired = true;
  EXPECT_EQ(machines_.count_if_all_unheard(now_ + kReroute + Millis(1)), 1U);
}

TEST_F(MachineInventoryTest, StaysConsistentUnderRandomUpdates) {
  std::mt19937 random(11);
  const auto random_up_to = [&](std::uint64_t most) {
    return std::uniform_int_distribution<std::uint64_t>(0, most)(random);
  };
  std::map<MachineId, std::pair<AgentIncarnation, std::uint64_t>> latest_versions;
  std::set<MachineId> returned;
  for (int step = 0; step < 20'000; ++step) {
    now_ += Millis(random_up_to(50));
    const MachineId id("m-" + std::to_string(random_up_to(40)));
    switch (random_up_to(9)) {
      case 0:
        machines_.apply_listing(
            make_listed_machine(id, random_up_to(1) == 0 ? wire::ListedState::starting : wire::ListedState::running),
            Millis(5'000), now_);
        break;
      case 1:
        if (!machines_.contains(id) || random_up_to(20) > 0) break;
        machines_.on_scaled_in(id);
        returned.insert(id);
        EXPECT_TRUE(machines_.remove(id));
        break;
      case 2:
        if (machines_.contains(id)) machines_.at(id).listed.failed = random_up_to(3) == 0;
        break;
      default: {
        const auto heartbeat = make_heartbeat(id, random_up_to(3), random_up_to(200), Term(6 + random_up_to(1)));
        const std::pair version(heartbeat.incarnation, heartbeat.sequence);
        const auto known = latest_versions.find(id);
        const bool accepted = !returned.contains(id) && (known == latest_versions.end() || version > known->second);
        EXPECT_EQ(report(heartbeat), accepted);
        if (accepted) latest_versions[id] = version;
        EXPECT_EQ(machines_.is_latest(heartbeat),
                  accepted || (known != latest_versions.end() && !returned.contains(id) && version == known->second));
      }
    }
    if (step % 50 != 0) continue;
    std::map<MachineKind, std::size_t> held;
    for (const auto& [name, machine] : machines_) {
      ASSERT_EQ(name, machine.id);
      ASSERT_FALSE(returned.contains(name));
      ASSERT_EQ(machine.has_reported, latest_versions.contains(name));
      if (machine.has_reported) {
        ASSERT_EQ(std::pair(machine.incarnation, machine.sequence), latest_versions.at(name));
        ASSERT_NE(machine.state, MachineState::booting);
        ASSERT_LE(machine.last_heartbeat, now_);
      }
      if (!machine.listed.failed) ++held[{machine.type, machine.zone, machine.spot}];
    }
    ASSERT_EQ(held, machines_.count_by_kind());
  }
  EXPECT_FALSE(returned.empty());
}

}  // namespace
}  // namespace foxshunt::inventory
