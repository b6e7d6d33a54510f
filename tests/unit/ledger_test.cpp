// What a node knows of the records, fed as the node feeds it: paged cold reads, watches that repeat themselves or are too
// old, and a store that changes meanwhile.
#include <gtest/gtest.h>

#include <random>

#include "ledger/comparison.h"
#include "ledger/jobs.h"
#include "ledger/ledger.h"
#include "state/job_records.h"

namespace foxshunt::record_cache {
namespace {

// Every change that a store made, so that any moment's content can be asked for.
class History {
 public:
  void set(const std::string& key) {
    note({.key = key, .data = wire::Value(++revision_), .revision = Revision(revision_)});
  }
  void remove(const std::string& key) {
    if (content(revision_).contains(key)) note({.key = key, .data = {}, .revision = Revision(++revision_)});
  }
  [[nodiscard]] Revision revision() const { return Revision(revision_); }
  [[nodiscard]] std::vector<kv::Event> since(Revision from) const {
    std::vector<kv::Event> news;
    for (const kv::Event& event : events_) {
      if (event.revision > from) news.push_back(event);
    }
    return news;
  }
  [[nodiscard]] std::map<std::string, Revision> content(std::uint64_t at) const {
    std::map<std::string, Revision> there;
    for (const kv::Event& event : events_) {
      if (event.revision.number() > at) break;
      if (event.data) {
        there[event.key] = event.revision;
      } else {
        there.erase(event.key);
      }
    }
    return there;
  }
  // Keys from `first` to `last`, a page of a cold read.
  void page(const std::string& first, const std::string& last, std::vector<kv::Entry>& into) const {
    for (const auto& [key, revision] : content(revision_)) {
      if (key >= first && key < last)
        into.push_back({.key = key, .data = wire::Value(revision.number()), .revision = revision});
    }
  }

 private:
  void note(kv::Event event) { events_.push_back(std::move(event)); }
  std::vector<kv::Event> events_;
  std::uint64_t revision_ = 0;
};

std::map<std::string, Revision> held(const RecordCache& record_cache) {
  std::map<std::string, Revision> there;
  record_cache.each("", [&](const std::string& key, const Record& record) { there[key] = record.revision; });
  return there;
}

class Told final : public CacheObserver {
 public:
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override {
    if (data == nullptr) {
      there.erase(key);
    } else {
      there[key] = revision;
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
    RecordCache record_cache({"live/"});
    Told told;
    CacheVerifier cache_verifier;
    record_cache.add_reader(told);
    record_cache.add_reader(cache_verifier);
    std::vector<kv::Event> earlier;
    bool read = false;
    for (int step = 0; step < 200; ++step) {
      if (!read || random() % 20 == 0) {  // the first time, after 410, or after a fault
        const Revision from = store.revision();
        std::vector<kv::Entry> entries;
        store.page("live/", "live/f", entries);
        for (unsigned i = 0; i < random() % 4; ++i) change();
        store.page("live/f", "live0", entries);
        record_cache.read(entries, from);
        read = true;
        EXPECT_FALSE(record_cache.whole());
      }
      for (unsigned i = 0; i < random() % 5; ++i) change();
      const Revision upto = store.revision();
      std::vector<kv::Event> news = store.since(record_cache.revision());
      earlier = news;
      record_cache.heard(news, upto);
      if (random() % 5 == 0) record_cache.heard(earlier, upto);  // an answer that came twice
      ASSERT_TRUE(record_cache.whole());
      ASSERT_EQ(record_cache.revision(), upto);
      ASSERT_EQ(held(record_cache), store.content(upto.number())) << "seed " << seed << " step " << step;
      ASSERT_EQ(told.there, held(record_cache)) << "seed " << seed << " step " << step;
      std::vector<kv::Entry> all;
      store.page("live/", "live0", all);
      ASSERT_EQ(record_cache.digest("live/"), digest_of(all));
      ASSERT_TRUE(cache_verifier.differences(record_cache, all, upto).empty());
    }
  }
}

TEST(LedgerOfRecords, ALateWordTakesNothingBack) {
  RecordCache record_cache({"live/"});
  record_cache.read({{.key = "live/a", .data = wire::Value(7), .revision = Revision(7)}}, Revision(3));
  record_cache.heard({{.key = "live/a", .data = wire::Value(5), .revision = Revision(5)}}, Revision(6));
  EXPECT_EQ(record_cache.find("live/a")->revision, Revision(7));
  record_cache.heard({}, Revision(9));
  record_cache.heard({{.key = "live/a", .data = {}, .revision = Revision(8)}}, Revision(8));  // told before, and late
  EXPECT_NE(record_cache.find("live/a"), nullptr);
  EXPECT_EQ(record_cache.revision(), Revision(9));
}

TEST(LedgerOfRecords, AComparisonFindsWhatAWatchHasLost) {
  RecordCache record_cache({"live/"});
  CacheVerifier cache_verifier;
  record_cache.add_reader(cache_verifier);
  record_cache.read({{.key = "live/a", .data = wire::Value(1), .revision = Revision(1)},
                     {.key = "live/b", .data = wire::Value(2), .revision = Revision(2)},
                     {.key = "live/c", .data = wire::Value(3), .revision = Revision(3)}},
                    Revision(3));
  record_cache.heard({}, Revision(9));  // the change of a, the end of b and the begin of d were never told
  cache_verifier.begin();
  record_cache.heard({{.key = "live/c", .data = {}, .revision = Revision(10)}},
                     Revision(10));  // removed after it was read
  const std::vector<kv::Entry> cold{{.key = "live/a", .data = wire::Value(4), .revision = Revision(4)},
                                    {.key = "live/c", .data = wire::Value(3), .revision = Revision(3)},
                                    {.key = "live/d", .data = wire::Value(5), .revision = Revision(5)}};
  EXPECT_EQ(cache_verifier.differences(record_cache, cold, Revision(9)),
            (std::vector<std::string>{"live/a", "live/d", "live/b"}));
}

TEST(LedgerOfRecords, JobsAreReadFromRecordsAndParts) {
  RecordCache record_cache({"live/", "linger/", "part/"});
  Jobs jobs;
  record_cache.add_reader(jobs);
  wire::JobSpec spec{.id = JobId("j-000001"), .job_class = "c", .team = "red", .tasks = 200, .cpus = 1, .ram_gb = 1};
  spec.image = "img";
  const state::JobShardRecord shard{
      .next_attempt = AttemptNumber(2),
      .done = {true, true},
      .allocations = {
          {.index = 2, .attempt = AttemptNumber(1), .machine = MachineId("m"), .incarnation = AgentIncarnation(1)}}};
  record_cache.read(
      {{.key = "live/j-000001", .data = state::to_value(state::new_job(spec, 5000)), .revision = Revision(1)},
       {.key = "part/j-000001/1", .data = state::to_value(shard), .revision = Revision(2)}},
      Revision(2));
  ASSERT_NE(jobs.find(spec.id), nullptr);
  EXPECT_EQ(jobs.find(spec.id)->done, 2U);
  EXPECT_EQ(jobs.find(spec.id)->placed, 1U);
  EXPECT_EQ(jobs.find(spec.id)->waiting(), 197U);
  // It is withdrawn: both changes of the transaction have one revision.
  record_cache.heard(
      {{.key = "live/j-000001", .data = {}, .revision = Revision(3)},
       {.key = "linger/j-000001", .data = state::to_value(state::new_job(spec, 5000)), .revision = Revision(3)}},
      Revision(3));
  ASSERT_NE(jobs.find(spec.id), nullptr);
  EXPECT_TRUE(jobs.find(spec.id)->cancelled);
  record_cache.heard({{.key = "linger/j-000001", .data = {}, .revision = Revision(4)}}, Revision(4));
  EXPECT_EQ(jobs.find(spec.id), nullptr);
  record_cache.heard({{.key = "live/j-000002", .data = wire::Value("no record"), .revision = Revision(5)}},
                     Revision(5));
  EXPECT_EQ(jobs.unreadable(), 1U);
}

}  // namespace
}  // namespace foxshunt::record_cache
