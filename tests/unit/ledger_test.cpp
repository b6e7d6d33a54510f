// What a node knows of the records, fed as the node feeds it: paged cold reads, watches that repeat themselves or are too
// old, and a store that changes meanwhile.
#include <gtest/gtest.h>

#include <random>

#include "ledger/comparison.h"
#include "ledger/jobs.h"
#include "ledger/ledger.h"
#include "state/job_records.h"

namespace foxshunt::ledger {
namespace {

// Every change that a store made, so that any moment's content can be asked for.
class History {
 public:
  void set(const std::string& key) {
    note({.key = key, .data = wire::Value(++revision_), .mark = Revision(revision_)});
  }
  void remove(const std::string& key) {
    if (content(revision_).contains(key)) note({.key = key, .data = {}, .mark = Revision(++revision_)});
  }
  [[nodiscard]] Revision revision() const { return Revision(revision_); }
  [[nodiscard]] std::vector<kv::Event> since(Revision from) const {
    std::vector<kv::Event> news;
    for (const kv::Event& event : events_) {
      if (event.mark > from) news.push_back(event);
    }
    return news;
  }
  [[nodiscard]] std::map<std::string, Revision> content(std::uint64_t at) const {
    std::map<std::string, Revision> there;
    for (const kv::Event& event : events_) {
      if (event.mark.number() > at) break;
      if (event.data) {
        there[event.key] = event.mark;
      } else {
        there.erase(event.key);
      }
    }
    return there;
  }
  // Keys from `first` to `last`, a page of a cold read.
  void page(const std::string& first, const std::string& last, std::vector<kv::Entry>& into) const {
    for (const auto& [key, mark] : content(revision_)) {
      if (key >= first && key < last) into.push_back({.key = key, .data = wire::Value(mark.number()), .mark = mark});
    }
  }

 private:
  void note(kv::Event event) { events_.push_back(std::move(event)); }
  std::vector<kv::Event> events_;
  std::uint64_t revision_ = 0;
};

std::map<std::string, Revision> held(const Ledger& ledger) {
  std::map<std::string, Revision> there;
  ledger.each("", [&](const std::string& key, const Record& record) { there[key] = record.mark; });
  return there;
}

class Told final : public Reader {
 public:
  void on_change(const std::string& key, const wire::Value* data, Revision mark) override {
    if (data == nullptr) {
      there.erase(key);
    } else {
      there[key] = mark;
    }
  }
  std::map<std::string, Revision> there;
};

TEST(LedgerOfRecords, IsThePictureOfItsRevisionWhateverTheStoreDoesMeanwhile) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    History store;
    const auto change = [&] {
      const std::string key = std::string("live/") + static_cast<char>('a' + random() % 12);
      if (random() % 3 == 0) {
        store.remove(key);
      } else {
        store.set(key);
      }
    };
    for (int i = 0; i < 20; ++i) change();
    Ledger ledger({"live/"});
    Told told;
    Comparison comparison;
    ledger.add_reader(told);
    ledger.add_reader(comparison);
    std::vector<kv::Event> earlier;
    bool read = false;
    for (int step = 0; step < 200; ++step) {
      if (!read || random() % 20 == 0) {  // the first time, after 410, or after a fault
        const Revision from = store.revision();
        std::vector<kv::Entry> entries;
        store.page("live/", "live/f", entries);
        for (unsigned i = 0; i < random() % 4; ++i) change();
        store.page("live/f", "live0", entries);
        ledger.read(entries, from);
        read = true;
        EXPECT_FALSE(ledger.whole());
      }
      for (unsigned i = 0; i < random() % 5; ++i) change();
      const Revision upto = store.revision();
      std::vector<kv::Event> news = store.since(ledger.revision());
      earlier = news;
      ledger.heard(news, upto);
      if (random() % 5 == 0) ledger.heard(earlier, upto);  // an answer that came twice
      ASSERT_TRUE(ledger.whole());
      ASSERT_EQ(ledger.revision(), upto);
      ASSERT_EQ(held(ledger), store.content(upto.number())) << "seed " << seed << " step " << step;
      ASSERT_EQ(told.there, held(ledger)) << "seed " << seed << " step " << step;
      std::vector<kv::Entry> all;
      store.page("live/", "live0", all);
      ASSERT_EQ(ledger.digest("live/"), digest_of(all));
      ASSERT_TRUE(comparison.differences(ledger, all, upto).empty());
    }
  }
}

TEST(LedgerOfRecords, ALateWordTakesNothingBack) {
  Ledger ledger({"live/"});
  ledger.read({{.key = "live/a", .data = wire::Value(7), .mark = Revision(7)}}, Revision(3));
  ledger.heard({{.key = "live/a", .data = wire::Value(5), .mark = Revision(5)}}, Revision(6));
  EXPECT_EQ(ledger.find("live/a")->mark, Revision(7));
  ledger.heard({}, Revision(9));
  ledger.heard({{.key = "live/a", .data = {}, .mark = Revision(8)}}, Revision(8));  // told before, and late
  EXPECT_NE(ledger.find("live/a"), nullptr);
  EXPECT_EQ(ledger.revision(), Revision(9));
}

TEST(LedgerOfRecords, AComparisonFindsWhatAWatchHasLost) {
  Ledger ledger({"live/"});
  Comparison comparison;
  ledger.add_reader(comparison);
  ledger.read({{.key = "live/a", .data = wire::Value(1), .mark = Revision(1)},
               {.key = "live/b", .data = wire::Value(2), .mark = Revision(2)},
               {.key = "live/c", .data = wire::Value(3), .mark = Revision(3)}},
              Revision(3));
  ledger.heard({}, Revision(9));  // the change of a, the end of b and the begin of d were never told
  comparison.begin();
  ledger.heard({{.key = "live/c", .data = {}, .mark = Revision(10)}}, Revision(10));  // removed after it was read
  const std::vector<kv::Entry> cold{{.key = "live/a", .data = wire::Value(4), .mark = Revision(4)},
                                    {.key = "live/c", .data = wire::Value(3), .mark = Revision(3)},
                                    {.key = "live/d", .data = wire::Value(5), .mark = Revision(5)}};
  EXPECT_EQ(comparison.differences(ledger, cold, Revision(9)),
            (std::vector<std::string>{"live/a", "live/d", "live/b"}));
}

TEST(LedgerOfRecords, JobsAreReadFromRecordsAndParts) {
  Ledger ledger({"live/", "linger/", "part/"});
  Jobs jobs;
  ledger.add_reader(jobs);
  wire::JobSpec spec{.id = JobId("j-000001"), .job_class = "c", .team = "red", .tasks = 200, .cpus = 1, .ram_gb = 1};
  spec.image = "img";
  const state::PartRecord part{
      .next = AttemptNo(2),
      .done = {true, true},
      .runs = {{.index = 2, .attempt = AttemptNo(1), .machine = MachineId("m"), .session = SessionNo(1)}}};
  ledger.read({{.key = "live/j-000001", .data = state::to_value(state::new_job(spec, 5000)), .mark = Revision(1)},
               {.key = "part/j-000001/1", .data = state::to_value(part), .mark = Revision(2)}},
              Revision(2));
  ASSERT_NE(jobs.find(spec.id), nullptr);
  EXPECT_EQ(jobs.find(spec.id)->done, 2U);
  EXPECT_EQ(jobs.find(spec.id)->placed, 1U);
  EXPECT_EQ(jobs.find(spec.id)->waiting(), 197U);
  // It is withdrawn: both changes of the transaction have one revision.
  ledger.heard({{.key = "live/j-000001", .data = {}, .mark = Revision(3)},
                {.key = "linger/j-000001", .data = state::to_value(state::new_job(spec, 5000)), .mark = Revision(3)}},
               Revision(3));
  ASSERT_NE(jobs.find(spec.id), nullptr);
  EXPECT_TRUE(jobs.find(spec.id)->withdrawn);
  ledger.heard({{.key = "linger/j-000001", .data = {}, .mark = Revision(4)}}, Revision(4));
  EXPECT_EQ(jobs.find(spec.id), nullptr);
  ledger.heard({{.key = "live/j-000002", .data = wire::Value("no record"), .mark = Revision(5)}}, Revision(5));
  EXPECT_EQ(jobs.unreadable(), 1U);
}

}  // namespace
}  // namespace foxshunt::ledger
