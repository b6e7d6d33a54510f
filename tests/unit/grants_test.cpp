// Lease delegations: the leader never counts a lease as ended that a holder may still have renewed, even with lost or
// delayed messages, restarted or paused processes and clock drift.
#include "zone/delegated_lease.h"

#include <gtest/gtest.h>

#include <random>

#include "config/constants.h"
#include "control/times.h"
#include "zone/delegation_table.h"
#include "zone/messages.h"

namespace foxshunt::zone {
namespace {

constexpr Instant kStart{Millis(1'000'000)};
const MachineId kMachine("m-000001");
const NodeName kSibling("node-1");

config::Settings make_settings() {
  config::Settings settings;
  settings.name = NodeName("node-0");
  settings.siblings = {{.name = kSibling, .zone = "b", .endpoint = "127.0.0.1:1"},
                       {.name = NodeName("node-2"), .zone = "c", .endpoint = "127.0.0.1:2"}};
  settings.lease_s = 10;
  settings.cancel_s = 40;
  return settings;
}

DelegationTimeouts timeouts() { return control::delegation_spans(make_settings()); }
DelegationTable make_table() { return {make_settings().siblings, timeouts()}; }
DelegatedLease make_holder(std::uint64_t life = 1) { return {kSibling, "b", life, timeouts()}; }

// One request and its answer. Unlike the real leader, it does not derive `except` from the uses in the request.
std::optional<LeaseDelegation> on_delegation_request(DelegationTable& table, const DelegationRequest& request,
                                                     Term term, std::optional<Instant> known,
                                                     const std::vector<MachineId>& except, Instant now) {
  if (!table.apply_request(request, term, now)) return std::nullopt;
  return table.issue_delegation(request.node, term, known, except, now);
}

TEST(Grants, EndsOneFencingTimeoutAfterTheLastKnownChange) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder();
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(0), kStart));
  const auto delegation = on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3),
                                                kStart - Millis(700), {}, kStart + Millis(20));
  ASSERT_TRUE(delegation);
  // The holder counts the delegation from the time of its request, however late the answer arrives.
  ASSERT_TRUE(holder.on_delegation(*delegation, kStart));
  EXPECT_EQ(holder.try_answer(kMachine, "b", Term(2), kStart + Millis(100)), Term(3));
  const Instant end = kStart - Millis(720) + timeouts().delegation;
  EXPECT_TRUE(holder.try_answer(kMachine, "b", Term(3), end - Millis(1)));
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(3), end));
  EXPECT_GE(table.renewed_until("b", kMachine), end);
  EXPECT_GE(table.renewed_until("", kMachine), end) << "the zone is unknown";
  EXPECT_EQ(table.renewed_until("c", kMachine), Instant{});
}

TEST(Grants, CoversOnlyItsZoneTermAndMachines) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder();
  const auto delegation = on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3), kStart,
                                                {MachineId("m-000002")}, kStart);
  ASSERT_TRUE(holder.on_delegation(*delegation, kStart));
  EXPECT_FALSE(holder.try_answer(MachineId("m-000002"), "b", Term(3), kStart)) << "an excepted machine";
  EXPECT_FALSE(holder.try_answer(kMachine, "a", Term(3), kStart)) << "another zone";
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(4), kStart)) << "the worker has seen a later term";
  EXPECT_EQ(table.renewed_until("b", MachineId("m-000002")), Instant{});
  holder.observe_term(Term(4));
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(3), kStart)) << "the holder has seen a later term";
}

TEST(Grants, LeaderCountsOldDelegationsUntilTheHolderNamesANewerOne) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder();
  const auto first = on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3), kStart, {}, kStart);
  ASSERT_TRUE(holder.on_delegation(*first, kStart));
  EXPECT_TRUE(holder.try_answer(kMachine, "b", Term(3), kStart + Millis(200)));
  const Instant later = kStart + Millis(1000);
  const auto second =
      on_delegation_request(table, holder.next_request(Term(3), later), Term(3), later, {kMachine}, later);
  EXPECT_GE(table.renewed_until("b", kMachine), kStart + timeouts().delegation) << "the first delegation may be in use";
  ASSERT_TRUE(holder.on_delegation(*second, later));
  EXPECT_FALSE(holder.on_delegation(*first, later)) << "an older delegation does not replace a newer one";
  const Instant last = later + Millis(1000);
  ASSERT_TRUE(on_delegation_request(table, holder.next_request(Term(3), last), Term(3), last, {kMachine}, last));
  EXPECT_EQ(table.renewed_until("b", kMachine), kStart + Millis(200)) << "the use told by the holder";
  EXPECT_TRUE(table.used_within("b", kMachine, Millis(1800), last));
  EXPECT_FALSE(table.used_within("b", kMachine, Millis(1700), last));
}

TEST(Grants, CountsDelegationsOfAnEndedProcessUntilItsSuccessorAsks) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder(5);
  ASSERT_TRUE(holder.on_delegation(
      *on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3), kStart, {}, kStart), kStart));
  const DelegationRequest stale = holder.next_request(Term(3), kStart + Millis(500));
  DelegatedLease next = make_holder(6);
  const Instant back = kStart + Millis(6000);
  ASSERT_TRUE(on_delegation_request(table, next.next_request(Term(3), back), Term(3), back, {kMachine}, back));
  EXPECT_EQ(table.renewed_until("b", kMachine), back);
  // A delayed request of the ended process says nothing about its successor.
  ASSERT_FALSE(on_delegation_request(table, stale, Term(3), back, {}, back + Millis(10)));
  const auto delegation = on_delegation_request(table, next.next_request(Term(3), back + Millis(20)), Term(3), back,
                                                {kMachine}, back + Millis(20));
  ASSERT_TRUE(next.on_delegation(*delegation, back + Millis(20)));
  (void)on_delegation_request(table, next.next_request(Term(3), back + Millis(900)), Term(3), back, {kMachine},
                              back + Millis(900));
  EXPECT_EQ(table.renewed_until("b", kMachine), back) << "kept when the successor replaces its own delegations";
}

TEST(Grants, AnswerWithoutKnownChangesDelegatesNothing) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder();
  const auto delegation =
      on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3), std::nullopt, {}, kStart);
  ASSERT_TRUE(delegation);
  ASSERT_TRUE(holder.on_delegation(*delegation, kStart));
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(3), kStart));
  EXPECT_EQ(table.renewed_until("b", kMachine), Instant{});
  EXPECT_FALSE(on_delegation_request(table, holder.next_request(Term(4), kStart), Term(3), kStart, {}, kStart))
      << "another term";
  DelegatedLease unknown_node(NodeName("node-9"), "b", 1, timeouts());
  EXPECT_FALSE(on_delegation_request(table, unknown_node.next_request(Term(3), kStart), Term(3), kStart, {}, kStart))
      << "not a sibling";
}

TEST(Grants, OlderTermsEndWhenEverySiblingHasAskedTwice) {
  DelegationTable table = make_table();
  DelegatedLease one = make_holder();
  DelegatedLease two(NodeName("node-2"), "c", 1, timeouts());
  const auto exchange = [&](DelegatedLease& sender, Instant when) {
    const auto delegation = on_delegation_request(table, sender.next_request(Term(3), when), Term(3), when, {}, when);
    ASSERT_TRUE(delegation);
    ASSERT_TRUE(sender.on_delegation(*delegation, when));
  };
  exchange(one, kStart);
  exchange(one, kStart + Millis(1));
  exchange(two, kStart + Millis(2));
  // Until its own first request, the second node may have issued a delegation of an older term to the first.
  EXPECT_FALSE(table.have_older_terms_ended());
  exchange(two, kStart + Millis(3));
  EXPECT_FALSE(table.have_older_terms_ended());
  exchange(one, kStart + Millis(4));
  EXPECT_FALSE(table.have_older_terms_ended())
      << "the held delegation was issued before the first request of the second node";
  exchange(one, kStart + Millis(5));
  EXPECT_TRUE(table.have_older_terms_ended());
}

TEST(Grants, UsesFitInOneRequest) {
  DelegationTable table = make_table();
  DelegatedLease holder = make_holder();
  ASSERT_TRUE(holder.on_delegation(
      *on_delegation_request(table, holder.next_request(Term(3), kStart), Term(3), kStart, {}, kStart), kStart));
  for (std::size_t machine = 0; machine < constants::kMaxDelegationMachines; ++machine) {
    ASSERT_TRUE(holder.try_answer(MachineId("m-" + std::to_string(100'000 + machine)), "b", Term(3), kStart));
  }
  EXPECT_FALSE(holder.try_answer(kMachine, "b", Term(3), kStart));
  EXPECT_LT(wire::encode(to_value(holder.next_request(Term(3), kStart))).size(), constants::kMaxBodyBytes);
}

TEST(Grants, MessagesRoundTrip) {
  const DelegationRequest request{.node = kSibling,
                                  .life = 1'800'000'000'123,
                                  .sequence = 9,
                                  .term = Term(4),
                                  .holds = DelegationNumber(17),
                                  .uses = {{.machine = kMachine, .ago = Millis(1200)}}};
  EXPECT_EQ(delegation_request_from(wire::decode(wire::encode(to_value(request)))), request);
  const LeaseDelegation delegation{
      .number = DelegationNumber(18), .term = Term(4), .zone = "b", .age = Millis(800), .except = {kMachine}};
  EXPECT_EQ(delegation_from(wire::decode(wire::encode(to_value(delegation)))), delegation);
}

TEST(Grants, RejectsMalformedMessages) {
  using wire::Value;
  const Value good = to_value(
      LeaseDelegation{.number = DelegationNumber(1), .term = Term(1), .zone = "b", .age = Millis(1), .except = {}});
  const auto with = [&good](const std::string& field, Value value) {
    Value changed = good;
    for (auto& [name, item] : *changed.as_map()) {
      if (name == field) item = value;
    }
    return changed;
  };
  EXPECT_NO_THROW((void)delegation_from(good));
  EXPECT_THROW((void)delegation_from(with("number", 0)), wire::Malformed);
  EXPECT_THROW((void)delegation_from(with("age", -1)), wire::Malformed);
  EXPECT_THROW((void)delegation_from(with("age", std::uint64_t{1} << 60)), wire::Malformed);
  EXPECT_THROW((void)delegation_from(with("zone", 7)), wire::Malformed);
  EXPECT_THROW((void)delegation_from(with("except", Value::List{7})), wire::Malformed);
  EXPECT_THROW((void)delegation_from(with("except", Value::List(constants::kMaxDelegationMachines + 1, Value("m-1")))),
               wire::Malformed);
  EXPECT_THROW((void)delegation_from(Value::List{}), wire::Malformed);
  EXPECT_THROW((void)delegation_request_from(Value::Map{{"node", "x"}}), wire::Malformed);
}

// Simulates a leader and a sibling that restarts, with lost and delayed messages and two clocks at the limits of their
// drift. At every step, the leader's estimate covers the lease of each answered machine, and no answer is given later
// than the last change known to the leader allows.
class LeaseDelegationSimulation : public testing::TestWithParam<unsigned> {};

TEST_P(LeaseDelegationSimulation, LeaderEstimateCoversEveryAnswer) {
  std::mt19937 random(GetParam());
  const auto pick = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  const double drift = pick(0, 1) == 0 ? constants::kClockDrift : -constants::kClockDrift;
  // Converts true time in ms. The two clocks have different offsets and drift in opposite directions.
  const auto leader_clock = [&](double at_ms) { return kStart + Millis(std::llround(at_ms * (1 + drift / 2))); };
  const auto holder_clock = [&](double at_ms) {
    return Instant(Millis(77'000 + std::llround(at_ms * (1 - drift / 2))));
  };
  const DelegationTimeouts delegation_timeouts = timeouts();
  DelegationTable table = make_table();
  std::uint64_t life = 1;
  DelegatedLease holder = make_holder(life);
  struct PendingRequest {
    double arrives;
    DelegationRequest request;
    double asked_at;
    std::uint64_t life;
  };
  std::vector<PendingRequest> pending_requests;
  double known = 0;                      // the last change known to the leader, true time
  std::map<MachineId, double> answered;  // last answer to each machine, true time
  std::size_t uses = 0;
  for (double at = 0; at < 240'000; at += 50) {
    if (pick(0, 9) < 8) known = std::max(known, at - pick(0, 2500));
    const MachineId machine("m-" + std::to_string(pick(0, 5)));
    if (pick(0, 19) == 0) {
      const bool lost = pick(0, 2) == 0;
      const double delay = pick(0, 5) == 0 ? pick(0, 90'000) : pick(1, 30);
      const DelegationRequest request = holder.next_request(Term(1), holder_clock(at));
      if (!lost) pending_requests.push_back({.arrives = at + delay, .request = request, .asked_at = at, .life = life});
    }
    for (std::size_t index = 0; index < pending_requests.size();) {
      if (pending_requests[index].arrives > at) {
        ++index;
        continue;
      }
      std::vector<MachineId> except;
      if (pick(0, 2) == 0) except.push_back(machine);
      const auto delegation = on_delegation_request(table, pending_requests[index].request, Term(1),
                                                    leader_clock(known), except, leader_clock(at));
      // The sibling may have stopped waiting for the answer, or have been restarted.
      if (delegation && pending_requests[index].life == life && pick(0, 3) > 0) {
        (void)holder.on_delegation(*delegation, holder_clock(pending_requests[index].asked_at));
      }
      pending_requests.erase(pending_requests.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (pick(0, 3) > 0 && holder.try_answer(machine, "b", Term(1), holder_clock(at))) {
      answered[machine] = at;
      ++uses;
      EXPECT_LE(at, known + (40'000 - 10'000) - 1000)
          << "a task could outlive a cancellation after the last known change";
    }
    if (pick(0, 600) == 0) holder = make_holder(++life);
    table.prune_expired(leader_clock(at));
    for (const auto& [name, when] : answered) {
      // The lease ends 10 s after the last answer by the worker's own clock, which may be slow.
      const double lease_end = when + 10'000 * (1 + constants::kClockDrift);
      if (lease_end <= at) continue;
      ASSERT_GE(table.renewed_until("b", name) + delegation_timeouts.lease, leader_clock(lease_end) - Millis(1))
          << name.text() << " at " << at;
    }
  }
  EXPECT_GT(uses, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaseDelegationSimulation, testing::Range(1U, 101U));

}  // namespace
}  // namespace foxshunt::zone
