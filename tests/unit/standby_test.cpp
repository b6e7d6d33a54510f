// Soft state as words: in order, bounded, whole again after a gap, and nothing taken from a word that does not fit.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "config/constants.h"
#include "standby/listener.h"
#include "standby/teller.h"

namespace foxshunt::standby {
namespace {

const NodeName kLeader("node-0");
const NodeName kOther("node-1");
const Instant kStart{Millis(5'000'000)};

SoftStateEntry fact(Kind kind, std::string name, std::uint32_t number, EntryValue what) {
  Key key;
  key.kind = kind;
  key.name = std::move(name);
  key.number = number;
  return {.key = std::move(key), .what = std::move(what)};
}

// A fact as it is on the wire.
wire::Value raw(int kind, const char* name, int number, const char* more = nullptr) {
  wire::Value::List fields;
  fields.emplace_back(kind);
  fields.emplace_back(name);
  fields.emplace_back(number);
  if (more != nullptr) fields.emplace_back(more);
  wire::Value::List entries;
  entries.emplace_back(std::move(fields));
  return entries;
}

SoftStateEntry machine(const std::string& name, bool up = true) {
  return fact(Kind::machine, name, 0,
              Shared(Machine{.address = "127.0.0.1:1",
                             .type = "plain",
                             .zone = "a",
                             .spot = false,
                             .up = up,
                             .incarnation = AgentIncarnation(3),
                             .since = kStart - Millis(9000),
                             .ready = kStart + Millis(4000),
                             .errors = 1,
                             .images = {"img-a", "img-b"}}));
}

SoftStateEntry task(std::uint32_t number, Millis saved) {
  return fact(Kind::task, "j-000001", number,
              Task{.attempt = AttemptNumber(2), .began = kStart - Millis(500), .saved = saved});
}

// One of each kind.
SoftStateSnapshot full() {
  SoftStateSnapshot snapshot{.term = Term(4), .taken = kStart, .starts_s = 2.5, .entries = {}};
  snapshot.entries.push_back(machine("m-1"));
  snapshot.entries.push_back(task(0, Millis(30)));
  snapshot.entries.push_back(
      fact(Kind::trouble, "j-000002", 0,
           Shared(JobFailures{.errors = 2, .not_before = kStart, .failed_on = {MachineId("m-1")}})));
  snapshot.entries.push_back(
      fact(Kind::refusal, "plain", 1,
           Shared(Refusal{.zone = "a", .spot = true, .not_before = kStart, .pause = Millis(20'000), .most = 7})));
  snapshot.entries.push_back(fact(Kind::arrivals, "work", 9, Arrivals{.from = kStart, .jobs = 3, .tasks = 12}));
  snapshot.entries.push_back(
      fact(Kind::sample, "work", 0,
           Shared(Sample{
               .cpus = 4, .gpus = 0.5, .ram_gb = 8, .image_gb = 1, .estimate_s = 60, .spot = true, .largest = 40})));
  snapshot.entries.push_back(
      fact(Kind::gpus, "", 0, Shared(GpuDemand{.peaks = {{kStart, 8000}}, .cpus_beside = 12, .ram_beside = 64})));
  return snapshot;
}

std::string answer(Publisher& publisher, const SnapshotRequest& ask, Instant at) {
  const auto word = publisher.tell(ask, at);
  return word ? wire::encode(to_value(*word)) : std::string();
}

class Standby : public testing::Test {
 protected:
  // Asks until it knows all; how many words it took.
  std::size_t catch_up(const NodeName& from = kLeader) {
    std::size_t words = 0;
    do {
      now_ += Millis(100);
      const auto why = subscriber_.on_answer(answer(publisher_, subscriber_.next_request(from), now_), now_);
      EXPECT_FALSE(why) << why.value_or("");
    } while (++words < 100 && !subscriber_.caught_up());
    return words;
  }
  [[nodiscard]] std::vector<SoftStateEntry> held() const {
    return subscriber_.snapshot(now_).value_or(SoftStateSnapshot{}).entries;
  }

  Instant now_ = kStart;
  Publisher publisher_{77};
  Subscriber subscriber_{kOther};
};

TEST_F(Standby, EveryKindOfFactComesAsItWasTold) {
  publisher_.show(full());
  EXPECT_EQ(catch_up(), 1U);
  EXPECT_EQ(held(), full().entries);
  EXPECT_EQ(subscriber_.snapshot(now_)->term, Term(4));
  EXPECT_EQ(subscriber_.snapshot(now_)->starts_s, 2.5);
}

TEST_F(Standby, MomentsAreReckonedByTheListenersClock) {
  publisher_.show(full());
  // The listener's clock began a day later.
  const Millis behind(86'400'000);
  const SnapshotRequest ask = subscriber_.next_request(kLeader);
  ASSERT_FALSE(subscriber_.on_answer(answer(publisher_, ask, kStart), kStart + behind));
  const SoftStateSnapshot snapshot = *subscriber_.snapshot(kStart + behind);
  EXPECT_EQ(std::get<Shared<Machine>>(snapshot.entries[0].what)->ready, kStart + behind + Millis(4000));
  EXPECT_EQ(snapshot.taken, kStart + behind);
}

TEST_F(Standby, OnlyChangesAreToldAgain) {
  SoftStateSnapshot snapshot = full();
  publisher_.show(snapshot);
  catch_up();
  const std::uint64_t told = publisher_.counts().entries;
  snapshot.entries.erase(snapshot.entries.begin() + 1);  // the task has ended
  snapshot.entries[0] = machine("m-1", false);           // changed
  snapshot.entries.insert(snapshot.entries.begin() + 1, machine("m-2"));
  publisher_.show(snapshot);
  EXPECT_EQ(catch_up(), 1U);
  EXPECT_EQ(publisher_.counts().entries - told, 3U);
  EXPECT_EQ(held(), snapshot.entries);
  EXPECT_EQ(publisher_.counts().wholes, 1U);
}

TEST_F(Standby, WordsAreBoundedAndAPictureIsHeldOnlyWhole) {
  SoftStateSnapshot snapshot{.term = Term(4), .taken = kStart, .starts_s = 0, .entries = {}};
  for (std::uint32_t number = 0; number < 5000; ++number) snapshot.entries.push_back(task(number, Millis(0)));
  publisher_.show(snapshot);
  const std::string first = answer(publisher_, subscriber_.next_request(kLeader), now_);
  EXPECT_LE(first.size(), constants::kMaxStandbyMessageBytes + 500);
  EXPECT_FALSE(subscriber_.on_answer(first, now_));
  EXPECT_FALSE(subscriber_.caught_up());
  EXPECT_FALSE(subscriber_.snapshot(now_));
  EXPECT_GT(catch_up(), 2U);
  EXPECT_EQ(held(), snapshot.entries);
}

TEST_F(Standby, APictureStaysUntilTheNextOneIsWhole) {
  publisher_.show(full());
  catch_up();
  Publisher successor(78);
  SoftStateSnapshot snapshot{.term = Term(5), .taken = now_, .starts_s = 0, .entries = {}};
  for (std::uint32_t number = 0; number < 5000; ++number) snapshot.entries.push_back(task(number, Millis(0)));
  successor.show(snapshot);
  EXPECT_FALSE(subscriber_.on_answer(answer(successor, subscriber_.next_request(NodeName("node-2")), now_), now_));
  EXPECT_EQ(held(), full().entries);
  EXPECT_EQ(subscriber_.snapshot(now_)->term, Term(4));
}

// An asker that hammers, or many that catch up, don't cost the leader more than this.
TEST_F(Standby, WordsASecondAreBounded) {
  publisher_.show(full());
  std::size_t words = 0;
  for (int ask = 0; ask < 200; ++ask) {
    if (publisher_.tell({.node = kOther, .number = 1, .life = 0, .sequence = 0}, now_)) ++words;
  }
  EXPECT_EQ(words, constants::kMaxStandbyMessagesPerSecond);
  EXPECT_TRUE(publisher_.tell({.node = kOther, .number = 1, .life = 0, .sequence = 0}, now_ + Millis(1000)));
}

TEST_F(Standby, WhoMissedMoreThanIsRememberedIsToldAllAgain) {
  publisher_.show(full());
  catch_up();
  for (std::uint32_t round = 0; round < 3; ++round) {
    SoftStateSnapshot snapshot{.term = Term(4), .taken = now_, .starts_s = 0, .entries = {}};
    for (std::uint32_t number = 0; number < constants::kMaxStandbyEnded; ++number) {
      snapshot.entries.push_back(task(number + round * 100'000, Millis(0)));
    }
    publisher_.show(snapshot);
  }
  publisher_.show(full());
  catch_up();
  EXPECT_EQ(publisher_.counts().wholes, 2U);
  EXPECT_EQ(held(), full().entries);
}

// Nothing of a word that does not fit is taken, and all is asked for again.
TEST(StandbyWords, WhatDoesNotFitIsRefusedWithoutEffect) {
  const Instant now = kStart;
  using Make = std::function<std::string(Message)>;
  const auto refused = [&](const char* why, const Make& make, Term known = {}) {
    Publisher publisher(77);
    Subscriber subscriber(kOther);
    publisher.show(full());
    ASSERT_FALSE(subscriber.on_answer(answer(publisher, subscriber.next_request(kLeader), now), now));
    SoftStateSnapshot snapshot = full();
    snapshot.entries.push_back(machine("m-9"));
    publisher.show(snapshot);
    subscriber.observe_term(known);
    const SnapshotRequest ask = subscriber.next_request(kLeader);
    ASSERT_EQ(ask.life, 77U);
    const auto told = subscriber.on_answer(make(*publisher.tell(ask, now)), now);
    ASSERT_TRUE(told) << why;
    EXPECT_NE(told->find(why), std::string::npos) << *told;
    EXPECT_EQ(subscriber.snapshot(now)->entries, full().entries) << why;
    EXPECT_EQ(subscriber.next_request(kLeader).life, 0U) << why;
    snapshot.term = std::max(snapshot.term, known);
    publisher.show(snapshot);
    ASSERT_FALSE(subscriber.on_answer(answer(publisher, subscriber.next_request(kLeader), now), now)) << why;
    EXPECT_EQ(subscriber.snapshot(now)->entries.size(), full().entries.size() + 1) << why;
  };
  const auto with = [](const std::function<void(Message&)>& change) -> Make {
    return [change](Message word) {
      change(word);
      return wire::encode(to_value(word));
    };
  };
  const auto as_value = [](const std::function<void(wire::Value::Map&)>& change) -> Make {
    return [change](const Message& word) {
      wire::Value value = to_value(word);
      change(*value.as_map());
      return wire::encode(value);
    };
  };
  using Map = wire::Value::Map;
  refused("", [](const Message& word) {
    const std::string whole = wire::encode(to_value(word));
    return whole.substr(0, whole.size() - 3);
  });
  refused("gap", with([](Message& word) { --word.after; }));
  refused("gap", with([](Message& word) { ++word.life; }));
  refused("older term", with([](Message&) {}), Term(5));
  refused("yet to come", with([](Message& word) { word.taken = word.at + Millis(1); }));
  refused("too old", with([](Message& word) { word.taken = word.at - constants::kMaxSoftStateAge - Millis(1); }));
  refused("out of order", with([](Message& word) { word.last = word.upto - 1; }));
  refused("too long", [](const Message&) { return std::string(constants::kMaxStandbyAnswerBytes + 1, 'x'); });
  refused("format", as_value([](Map& map) { map.front().second = wire::Value(9); }));
  refused("standby", as_value([](Map& map) { map = {{"leader", "x"}}; }));
  refused("known kind", as_value([](Map& map) { map.back().second = raw(99, "x", 0); }));
  refused("cut short", as_value([](Map& map) { map.back().second.as_list()->front().as_list()->pop_back(); }));
  refused("too many fields",
          as_value([](Map& map) { map.back().second.as_list()->front().as_list()->emplace_back("more"); }));
  refused("a number is missing", as_value([](Map& map) { map.back().second = raw(1, "j", 0, "x"); }));
}

// Answers that come twice, or after a newer ask, tell nothing and break nothing.
TEST_F(Standby, LateAndDoubledWordsAreDropped) {
  publisher_.show(full());
  const SnapshotRequest first = subscriber_.next_request(kLeader);
  const std::string late = answer(publisher_, first, now_);
  const SnapshotRequest second = subscriber_.next_request(kLeader);
  EXPECT_TRUE(subscriber_.on_answer(late, now_));
  EXPECT_FALSE(subscriber_.holds());
  const std::string fresh = answer(publisher_, second, now_);
  EXPECT_FALSE(subscriber_.on_answer(fresh, now_));
  EXPECT_TRUE(subscriber_.on_answer(fresh, now_)) << "a second time";
  EXPECT_EQ(held(), full().entries);
  EXPECT_TRUE(subscriber_.caught_up());
}

TEST_F(Standby, AnOldPictureIsNotGivenOut) {
  publisher_.show(full());
  catch_up();
  EXPECT_TRUE(subscriber_.snapshot(now_));
  EXPECT_FALSE(subscriber_.snapshot(kStart + constants::kMaxSoftStateAge + Millis(1)));
  EXPECT_TRUE(subscriber_.holds());
}

// Whatever is lost, doubled, late or begun anew: what is held is a picture that was shown, and in the end the last one.
TEST(StandbyWords, AnyOrderOfTroublesEndsInTheLastPicture) {
  for (unsigned seed = 0; seed < 8; ++seed) {
    std::mt19937 luck(seed);
    const auto chance = [&luck](unsigned of) { return luck() % of == 0; };
    Instant now = kStart;
    std::uint64_t life = 1;
    Publisher publisher(life);
    Subscriber subscriber(kOther);
    std::vector<std::string> held_up;
    std::vector<std::vector<SoftStateEntry>> shown;
    for (int step = 0; step < 150; ++step) {
      now += Millis(200);
      if (chance(40)) publisher = Publisher(++life);
      SoftStateSnapshot snapshot{.term = Term(life), .taken = now, .starts_s = 0, .entries = {}};
      for (std::uint32_t number = 0; number < 200; ++number) {
        if (!chance(5)) snapshot.entries.push_back(task(number, Millis(chance(3) ? 1 : 0)));
      }
      shown.push_back(snapshot.entries);
      publisher.show(std::move(snapshot));
      const std::string bytes = answer(publisher, subscriber.next_request(kLeader), now);
      if (chance(4)) {
        held_up.push_back(bytes);
      } else {
        (void)subscriber.on_answer(chance(20) ? bytes.substr(0, bytes.size() / 2) : bytes, now);
      }
      if (!held_up.empty() && chance(3)) (void)subscriber.on_answer(held_up[luck() % held_up.size()], now);
      if (const auto seen = subscriber.snapshot(now); seen && subscriber.caught_up()) {
        EXPECT_NE(std::ranges::find(shown, seen->entries), shown.end()) << "seed " << seed;
      }
    }
    for (int more = 0; more < 5; ++more) {
      now += Millis(200);
      (void)subscriber.on_answer(answer(publisher, subscriber.next_request(kLeader), now), now);
    }
    EXPECT_EQ(subscriber.snapshot(now)->entries, shown.back()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace foxshunt::standby
