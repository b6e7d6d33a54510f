// What operators declare: its records, and the set that a node has in force by them.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "calendar/civil.h"
#include "catalog/book.h"
#include "catalog/founder.h"
#include "catalog/session.h"
#include "catalog/sweeper.h"
#include "catalog/xml.h"
#include "config/constants.h"
#include "standins/state_store.h"

namespace foxshunt::catalog {
namespace {

// A set that uses every field.
Set full_set() {
  Set set;
  set.author = "night desk";
  set.wall_ms = 1'800'000'000'000;
  const JobMatch match{.job_classes = {"train"},
                       .teams = {"red", "blue"},
                       .images = {"img-07"},
                       .priorities = {wire::Priority::high, wire::Priority::best_effort},
                       .kind = wire::JobKind::gang,
                       .tasks_least = 2,
                       .tasks_most = 4000000000,
                       .has_deadline = true};
  set.classes.push_back({.name = "lock forecast",
                         .order = 1,
                         .takes = {match, {.has_deadline = false}},
                         .standing = 2,
                         .wait_most_s = 90.5,
                         .age_every_s = 60,
                         .age_most = 3,
                         .never_passes = {"urgent index"},
                         .cpus_most = {{"blue", 8}, {"red", 16.5}}});
  set.classes.push_back({.name = "urgent index", .order = 2, .takes = {match}, .standing = 1});
  set.calendar.push_back({.name = "dawn forecast",
                          .jobs = {match},
                          .time_zone = "Europe/Tallinn",
                          .at = "05:30",
                          .weekdays = {1, 7},
                          .dates = {"2027-03-28"},
                          .except = {"2027-12-24"},
                          .expected_jobs = 3,
                          .expected_tasks = 120,
                          .opens_before_s = 7200,
                          .lead_s = 1800.25,
                          .tell = {"harbour master"}});
  set.calendar.push_back({.name = "hull report",
                          .jobs = {{.job_classes = {"train"}}},
                          .time_zone = "Europe/Tallinn",
                          .sunrise = Place{.latitude = 59.4375, .longitude = -24.75},
                          .minus_s = 1800.5,
                          .opens_before_s = 7200});
  set.pools.push_back({.name = "index weights",
                       .images = {{"img-07", 6.2}},
                       .types = {"g8"},
                       .zones = {"a", "b"},
                       .spot = true,
                       .least = 1,
                       .most = 6,
                       .peak_days = 7,
                       .windows = {{.time_zone = "Asia/Kolkata", .from = "22:00", .to = "04:30", .weekdays = {5}}},
                       .payer = "red",
                       .ceiling_hour = 30.75,
                       .users = {match},
                       .lends = false,
                       .gives_way_s = 45});
  return set;
}

TEST(CatalogRecords, EveryFieldSurvivesTheWayThroughARecord) {
  const Set set = full_set();
  EXPECT_EQ(class_from(wire::decode(wire::encode(to_value(set.classes[0])))), set.classes[0]);
  EXPECT_EQ(class_from(to_value(set.classes[1])), set.classes[1]);
  EXPECT_EQ(calendar_from(wire::decode(wire::encode(to_value(set.calendar[0])))), set.calendar[0]);
  EXPECT_EQ(pool_from(wire::decode(wire::encode(to_value(set.pools[0])))), set.pools[0]);
}

std::string example_file() {
  std::ostringstream text;
  text << std::ifstream(FOXSHUNT_DEPLOY "/catalog.example.xml").rdbuf();
  return text.str();
}

std::string all_of(const Reading& reading) {
  std::string text;
  for (const Fault& fault : reading.faults) text += text_of("f", fault) + "\n";
  return text;
}

Known known_names() {
  return {.teams = {{"red", "blue"}},
          .zones = {{"a", "b"}},
          .types = {{"g8"}},
          .record_bytes_most = 8 * 1024,
          .time_zone = [](const std::string& name) { return name == "Europe/Tallinn" || name == "Asia/Kolkata"; }};
}

TEST(CatalogXml, WhatIsPrintedIsReadAsTheSame) {
  const Set set = full_set();
  const std::string text = write_xml(set);
  const Reading reading = read_xml(text, known_names());
  // 4,000,000,000 tasks are more than a job can have.
  EXPECT_EQ(reading.faults.size(), 4U) << all_of(reading);
  const Reading example = read_xml(example_file(), known_names());
  EXPECT_EQ(all_of(example), "");
  EXPECT_EQ(example.set.classes.size(), 4U);
  EXPECT_EQ(example.set.classes[3].name, "visiting work");
  const Reading again = read_xml(write_xml(example.set), known_names());
  EXPECT_EQ(all_of(again), "");
  EXPECT_EQ(digest_of(again.set), digest_of(example.set));
  EXPECT_EQ(write_xml(again.set), write_xml(example.set));
}

// Every set under deploy/ can be applied as it stands, wherever its teams and zones are known.
TEST(CatalogXml, TheSetsOfTheDeployFolderHaveNoFault) {
  const Known known{.record_bytes_most = 7 * 1024, .time_zone = calendar::zone_exists};
  std::size_t sets = 0;
  for (const auto& entry : std::filesystem::directory_iterator(FOXSHUNT_DEPLOY)) {
    const std::string name = entry.path().filename().string();
    if (entry.path().extension() != ".xml" || name.starts_with("operator")) continue;
    std::ostringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    const Reading reading = read_xml(text.str(), known);
    EXPECT_EQ(all_of(reading), "") << name;
    EXPECT_GT(items_of(reading.set).size(), 0U) << name;
    ++sets;
  }
  EXPECT_GE(sets, 5U);
}

TEST(CatalogXml, EveryFieldIsPrinted) {
  Set set = full_set();
  for (JobMatch* match :
       {&set.classes[0].takes[0], &set.classes[1].takes[0], &set.calendar[0].jobs[0], &set.pools[0].users[0]}) {
    match->tasks_most = 100'000;
  }
  const Reading reading = read_xml(write_xml(set), known_names());
  EXPECT_EQ(all_of(reading), "");
  EXPECT_EQ(reading.set.classes, set.classes);
  EXPECT_EQ(reading.set.calendar, set.calendar);
  EXPECT_EQ(reading.set.pools, set.pools);
}

TEST(CatalogXml, AllFaultsAreToldEachByItsLine) {
  const Reading reading = read_xml(R"(<catalog>
  <class name="one  two" order="1" standing="0" colour="red"><takes><team>green</team></takes></class>
  <class name="index" order="1" standing="1" age-most="2"><takes tasks-least="5" tasks-most="4"/>
    <never-passes>nobody</never-passes><never-passes>index</never-passes></class>
  <class name="index" order="x" standing="1" wait-most-s="nan"/>
  <calendar name="dawn" time-zone="Mars/Base" at="24:00" lead-s="60"><jobs/><weekday>caturday</weekday>
    <date>2027-02-29</date><except>2028-02-29</except></calendar>
  <pool name="p" least="3" most="2" payer="nobody" lends="maybe"><image name="i" gb="inf"/><type>t</type><zone>z</zone>
    <window time-zone="Europe/Tallinn" from="05:00" to="05:00"/></pool>
  <harbour/>text
  <calendar name="s" time-zone="Etc/UTC" at="05:00" sunrise="91,24.75" opens-before-s="60"><jobs/></calendar>
  <calendar name="m" time-zone="Etc/UTC" minus-s="60" opens-before-s="60"><jobs/></calendar>
</catalog>)",
                                   known_names());
  const std::string told = all_of(reading);
  for (const char* expected : {"f:2: class \"one  two\": name: must be 1 to 64 letters",
                               "f:2: class \"one  two\": has no attribute colour",
                               "f:2: class \"one  two\": standing: must be a whole number from 1",
                               "f:2: team: team: the settings have no team green",
                               "f:3: class \"index\": order 1 is another class's as well",
                               "f:3: class \"index\": age-every-s and age-most go together",
                               "f:3: takes: tasks-least is above tasks-most",
                               "f:4: never-passes: there is no class nobody",
                               "f:4: never-passes: is the class itself",
                               "f:5: class \"index\": order: must be a whole number",
                               "f:5: class \"index\": wait-most-s: must be a number",
                               "f:5: class \"index\": takes no job",
                               "f:5: class \"index\": another one has this name",
                               "f:6: calendar \"dawn\": time-zone: there is none of the name Mars/Base",
                               "f:6: calendar \"dawn\": at: must be a time of day",
                               "f:6: calendar \"dawn\": lead-s is above opens-before-s",
                               "f:6: weekday: must be one of monday to sunday",
                               "f:7: date: must be a date that there is",
                               "f:8: pool \"p\": least is above most",
                               "f:8: pool \"p\": team: the settings have no team nobody",
                               "f:8: pool \"p\": lends: must be true or false",
                               "f:8: image \"i\": gb: must be a number",
                               "f:8: type: machine type: the settings have no machine type t",
                               "f:8: zone: zone: the settings have no zone z",
                               "f:9: window: ends when it begins",
                               "f:11: calendar \"s\": sunrise: must be degrees",
                               "f:11: calendar \"s\": is due at a time or by sunrise, not both",
                               "f:12: calendar \"m\": minus-s goes with sunrise",
                               "f:12: calendar \"m\": attribute at is missing",
                               "f:10: harbour: does not belong in <catalog>",
                               "f:10: catalog: holds text beside its elements"}) {
    EXPECT_NE(told.find(expected), std::string::npos) << expected << "\n" << told;
  }
  EXPECT_EQ(told.find("f:7: except"), std::string::npos) << "a leap day is a date";
}

TEST(CatalogXml, ClassesInARingHaveNoOrder) {
  const Reading reading = read_xml(R"(<catalog>
  <class name="a" order="1" standing="1"><takes/><never-passes>b</never-passes></class>
  <class name="b" order="2" standing="1"><takes/><never-passes>c</never-passes></class>
  <class name="c" order="3" standing="1"><takes/><never-passes>a</never-passes></class>
  <class name="d" order="4" standing="1"><takes/><never-passes>a</never-passes></class></catalog>)",
                                   {});
  EXPECT_NE(all_of(reading).find("f:2: never-passes: goes round in a ring: a and b"), std::string::npos);
}

TEST(CatalogXml, WhatWouldSurpriseIsNotTaken) {
  const auto told = [](const std::string& text) { return all_of(read_xml(text, {})); };
  EXPECT_NE(told("<!DOCTYPE catalog [<!ENTITY a \"b\">]>\n<catalog/>").find("f:1: document: a document type"),
            std::string::npos);
  EXPECT_NE(told("<catalog>\n&who;</catalog>").find("f:2: document: holds an entity"), std::string::npos);
  EXPECT_NE(told("<catalog>\n&#0;</catalog>").find("f:2: document: holds an entity"), std::string::npos);
  EXPECT_NE(told("<catalog>\n\n\xff</catalog>").find("f:3: document: holds not UTF-8"), std::string::npos);
  EXPECT_NE(told(std::string("<catalog>\n\0</catalog>", 21)).find("f:2: document: holds a control"), std::string::npos);
  EXPECT_NE(told("<catalog><![CDATA[x]]></catalog>").find("CDATA"), std::string::npos);
  EXPECT_NE(told("<catalog>\n<?php x?></catalog>").find("f:2"), std::string::npos);
  EXPECT_NE(told("<catalog/><catalog/>").find("one document element"), std::string::npos);
  EXPECT_NE(told("").find("f:1: document"), std::string::npos);
  EXPECT_NE(told("<catalog>\n<class</catalog>").find("f:2: document: is not XML"), std::string::npos);
  EXPECT_NE(told("<catalog><class name=\"a\" name=\"b\"/></catalog>").find("name stands twice"), std::string::npos);
  EXPECT_NE(told(std::string(constants::kMaxCatalogXmlBytes + 1, ' ')).find("is longer than"), std::string::npos);
  std::string deep;
  for (int level = 0; level < 100'000; ++level) deep += "<a>";
  for (int level = 0; level < 100'000; ++level) deep += "</a>";
  EXPECT_NE(told(deep).find("nested too deeply"), std::string::npos);
  EXPECT_EQ(told("<catalog><!-- & not an entity --></catalog>"), "");
}

TEST(CatalogXml, CountsAndBytesAreBounded) {
  const auto classes = [](std::size_t count) {
    std::string text = "<catalog>";
    for (std::size_t n = 1; n <= count; ++n) {
      const std::string number = std::to_string(n);
      text += "<class name=\"c" + number + "\" order=\"" + number + "\" standing=\"1\"><takes/></class>\n";
    }
    return text + "</catalog>";
  };
  EXPECT_EQ(all_of(read_xml(classes(200), {})), "");
  const Reading many = read_xml(classes(300), {});
  EXPECT_EQ(many.faults.size(), constants::kMaxCatalogFaults);
  EXPECT_TRUE(many.more_faults);
  EXPECT_NE(all_of(many).find("f:201: class \"c201\": there may be 200 of its kind at most"), std::string::npos);
  std::string large = "<catalog><class name=\"c\" order=\"1\" standing=\"1\">";
  for (int match = 0; match < 60; ++match) {
    large += "<takes>";
    for (int n = 0; n < 60; ++n) large += "<image>" + std::to_string(match * 100 + n) + "</image>";
    large += "</takes>";
  }
  EXPECT_NE(all_of(read_xml(large + "</class></catalog>", {})).find("bytes; 16384 is the most"), std::string::npos);
}

// Whatever is read without a fault prints as a file that is read as the same.
TEST(CatalogXml, FuzzedFilesAreJudgedOrTaken) {
  const std::string example = example_file();
  std::mt19937_64 random(20);
  std::size_t taken = 0;
  for (int round = 0; round < 1500; ++round) {
    std::string text = example;
    for (std::uint64_t edits = 1 + random() % 3; edits > 0; --edits) {
      const std::size_t at = random() % text.size();
      const std::size_t span = std::min<std::size_t>(1 + random() % 40, text.size() - at);
      switch (random() % 4) {
        case 0: text[at] = static_cast<char>(random()); break;
        case 1: text.erase(at, span); break;
        case 2: text.insert(random() % text.size(), text.substr(at, span)); break;
        default: text[at] = "<>\"&;0179-:"[random() % 11]; break;
      }
    }
    const Reading reading = read_xml(text, known_names());
    if (!reading.faults.empty()) continue;
    ++taken;
    const Reading again = read_xml(write_xml(reading.set), known_names());
    ASSERT_EQ(all_of(again), "") << text;
    ASSERT_EQ(digest_of(again.set), digest_of(reading.set)) << text;
  }
  EXPECT_GT(taken, 50U);
}

TEST(CatalogRecords, FuzzedRecordsAreRefusedOrStable) {
  const Set set = full_set();
  Head head;
  head.now = {.version = Version(3), .author = "a", .digest = std::string(32, 'a'), .classes = 2};
  head.former = {{.version = Version(2), .author = "a", .digest = std::string(32, 'b'), .revision = Revision(9)}};
  std::vector<std::string> records;
  for (const Item& item : items_of(set)) records.push_back(wire::encode(item.data));
  records.push_back(wire::encode(to_value(head)));
  std::mt19937_64 random(21);
  CatalogView book;
  std::size_t read = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = records[random() % records.size()];
    for (std::uint64_t edits = random() % 3; edits > 0; --edits)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    wire::Value value;
    try {
      value = wire::decode(bytes);
    } catch (const wire::Malformed&) {
      continue;
    }
    for (const char* key : {kHeadKey, "catalog/s/3-a/class/0", "catalog/s/3-a/calendar/0", "catalog/s/3-a/pool/0"}) {
      book.on_change(key, &value, Revision(static_cast<std::uint64_t>(round) + 1));
    }
    (void)book.in_force();
    const auto stable = [&](auto from) {
      try {
        const auto one = from(value);
        ++read;
        const wire::Value again = to_value(one);
        EXPECT_EQ(wire::encode(to_value(from(again))), wire::encode(again));
      } catch (const wire::Malformed&) {
      }
    };
    stable(class_from);
    stable(calendar_from);
    stable(pool_from);
    stable([](const wire::Value& head_value) { return head_from(head_value, Revision(1)); });
  }
  EXPECT_GT(read, 5000U);
}

// ---- several nodes on one state service ----

// A crash of the node or of the operator's request.
struct Crash {};

// What happens at one of a request's calls to the state service, counted from 0.
class TestStore final : public Store {
 public:
  enum class Fault { none, crash_before, crash_after, lost_before, lost_after, refused };

  explicit TestStore(standins::StateStore& store) : store_(store) {}
  void at(std::size_t call, Fault fault) { faults_[call] = fault; }
  void before(std::size_t call, std::function<void()> hook) { hooks_[call] = std::move(hook); }
  [[nodiscard]] std::size_t writes() const { return writes_; }

  kv::GetResult get(const std::string& key) override { return store_.get(key); }
  kv::ListResult list(const std::string& prefix) override { return store_.list(prefix); }
  kv::TxnResult txn(const kv::Txn& txn) override {
    EXPECT_LE(txn.changes.size(), 24U);
    const std::size_t call = writes_++;
    if (const auto hook = hooks_.find(call); hook != hooks_.end()) hook->second();
    const Fault fault = faults_.contains(call) ? faults_[call] : Fault::none;
    if (fault == Fault::crash_before) throw Crash();
    if (fault == Fault::lost_before) return {};
    if (fault == Fault::refused) return {.status = kv::Status::unavailable, .revision = {}, .failed_keys = {}};
    const kv::TxnResult result = store_.txn(txn);
    if (fault == Fault::crash_after) throw Crash();
    if (fault == Fault::lost_after) return {};
    return result;
  }
  bool pause() override { return ++pauses_ < 20; }

 private:
  standins::StateStore& store_;
  std::map<std::size_t, Fault> faults_;
  std::map<std::size_t, std::function<void()>> hooks_;
  std::size_t writes_ = 0;
  int pauses_ = 0;
};

constexpr WriteLimits kLimits{.changes = 24, .bytes = 60 * 1024, .portion = 16};

// Classes of the names prefix-0 on.
Set set_of(const std::string& prefix, std::uint32_t count) {
  Set set;
  for (std::uint32_t n = 0; n < count; ++n) {
    set.classes.push_back({.name = prefix + "-" + std::to_string(n), .order = n + 1, .takes = {{}}, .standing = 1});
  }
  return set;
}

// A node's ledger with what reads from it. It does not hold the items: what a cold read missed is not told as removed.
struct Reader {
  record_cache::RecordCache record_cache{{kHeadKey, kStagePrefix}};
  CatalogView book;
  CatalogGarbageCollector sweeper;

  Reader() {
    record_cache.add_reader(book);
    record_cache.add_reader(sweeper);
  }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;
  void read(const standins::StateStore& store) { record_cache.read(store.list("").entries, store.revision()); }
  void hear(const standins::StateStore& store) {
    const kv::WatchResult news = store.watch("", record_cache.revision());
    record_cache.heard(news.events, news.revision);
  }
};

// Sweeps as the leader does, until there is nothing left to do.
void sweep(standins::StateStore& store, std::int64_t wall_ms) {
  Reader leader;
  leader.read(store);
  leader.hear(store);
  const record_cache::Jobs jobs;
  for (int round = 0; round < 1000; ++round) {
    const auto txn = leader.sweeper.next_write(jobs, {.wall_ms = wall_ms, .steady = {}}, 16);
    if (!txn) return;
    leader.sweeper.on_written(*txn, store.txn(*txn));
    leader.hear(store);
  }
  ADD_FAILURE() << "sweeps without end";
}

std::string names_in_force(const standins::StateStore& store) {
  Reader node;
  node.read(store);
  const auto set = node.book.in_force();
  return std::to_string(set->version.number()) + ":" + std::to_string(set->classes.size()) +
         (set->classes.empty() ? "" : set->classes[0].name);
}

// Items of sets that the head does not name, and records of stages.
std::size_t leftovers(const standins::StateStore& store) {
  std::optional<Head> head;
  if (const auto got = store.get(kHeadKey); got.status == kv::Status::ok)
    head = head_from(got.entry.data, got.entry.revision);
  std::size_t count = store.list(kStagePrefix).entries.size();
  for (const kv::Entry& entry : store.list(kItemPrefix).entries) {
    if (!head || !head->keeps(item_key_from(entry.key)->stage)) ++count;
  }
  return count;
}

Outcome put(Store& store, const Set& set, std::uint64_t base, const std::string& author = "desk") {
  return put_in_force(store, set, Version(base), author, 1000, kLimits);
}

Outcome put(standins::StateStore& state, const Set& set, std::uint64_t base, const std::string& author = "desk") {
  TestStore store(state);
  return put(store, set, base, author);
}

TEST(CatalogApply, ASmallSetIsOneWriteAndALargeOneIsSwitchedByItsHead) {
  standins::StateStore state;
  TestStore small(state);
  EXPECT_EQ(put(small, set_of("a", 23), 0).kind, Outcome::Kind::in_force);
  EXPECT_EQ(small.writes(), 1U);
  EXPECT_EQ(names_in_force(state), "1:23a-0");
  TestStore large(state);
  for (std::size_t call = 0; call < 4; ++call) {
    large.before(call, [&] { EXPECT_EQ(names_in_force(state), "1:23a-0"); });
  }
  const Outcome outcome = put(large, set_of("b", 24), 1);
  EXPECT_EQ(outcome.kind, Outcome::Kind::in_force);
  EXPECT_EQ(large.writes(), 4U);  // stage, two portions, head
  EXPECT_EQ(outcome.ours.revision, state.revision());
  EXPECT_EQ(names_in_force(state), "2:24b-0");
  EXPECT_EQ(leftovers(state), 0U);
}

// At each write of a staged set: the node or its request ends, or the answer is lost, before or after it was executed.
// What is in force is always a whole set; the same request, asked again at another node, tells the truth.
TEST(CatalogApply, CrashesAndLostAnswersAtEachWrite) {
  using Fault = TestStore::Fault;
  for (const Fault fault :
       {Fault::crash_before, Fault::crash_after, Fault::lost_before, Fault::lost_after, Fault::refused}) {
    for (std::size_t call = 0; call < 5; ++call) {
      standins::StateStore state;
      ASSERT_EQ(put(state, set_of("a", 3), 0).kind, Outcome::Kind::in_force);
      const Set set = set_of("b", 40);
      TestStore store(state);
      store.at(call, fault);
      bool crashed = false;
      try {
        EXPECT_EQ(put(store, set, 1).kind, Outcome::Kind::in_force);
      } catch (const Crash&) {
        crashed = true;
      }
      const bool done = !crashed || (call == 4 && fault == Fault::crash_after);
      EXPECT_EQ(names_in_force(state), done ? "2:40b-0" : "1:3a-0") << call;
      EXPECT_EQ(put(state, set, 1).kind, Outcome::Kind::in_force);
      EXPECT_EQ(names_in_force(state), "2:40b-0");
      EXPECT_EQ(put(state, set_of("c", 1), 2).kind, Outcome::Kind::in_force);
      EXPECT_EQ(put(state, set, 1).kind, Outcome::Kind::replaced);
      EXPECT_EQ(leftovers(state), 0U);
    }
  }
}

// What a crash left is removed once its version is taken, or when it is old; a set that takes long is not.
TEST(CatalogApply, LeftoversAreSweptNeverWhatIsInForce) {
  for (std::size_t call = 1; call < 5; ++call) {
    standins::StateStore state;
    ASSERT_EQ(put(state, set_of("a", 30), 0).kind, Outcome::Kind::in_force);
    TestStore store(state);
    store.at(call, TestStore::Fault::crash_before);
    EXPECT_THROW((void)put(store, set_of("b", 40), 1), Crash);
    const std::size_t left = leftovers(state);
    EXPECT_GT(left, 0U);
    sweep(state, 1000 + constants::kCatalogStagedKeptMs);
    EXPECT_EQ(leftovers(state), left);
    if (call % 2 == 0) {
      sweep(state, 1001 + constants::kCatalogStagedKeptMs);
    } else {
      ASSERT_EQ(put(state, set_of("c", 25), 1).kind, Outcome::Kind::in_force);
      sweep(state, 1000);
    }
    EXPECT_EQ(leftovers(state), 0U);
    EXPECT_EQ(names_in_force(state), call % 2 == 0 ? "1:30a-0" : "2:25c-0");
  }
}

// A sweeper that holds a stage for given up, at each write of it: the set comes into force whole all the same.
TEST(CatalogApply, ASweptStageIsBegunAnew) {
  for (std::size_t call = 0; call < 5; ++call) {
    standins::StateStore state;
    TestStore store(state);
    store.before(call, [&] { sweep(state, std::int64_t{1} << 40); });
    EXPECT_EQ(put(store, set_of("a", 40), 0).kind, Outcome::Kind::in_force);
    EXPECT_EQ(names_in_force(state), "1:40a-0");
    EXPECT_EQ(leftovers(state), 0U);
  }
}

// A sweeper's write that comes late, when the stage it took for left was begun anew or came into force.
TEST(CatalogApply, ALateSweepRemovesNothingInForce) {
  standins::StateStore state;
  TestStore store(state);
  store.at(3, TestStore::Fault::crash_before);
  EXPECT_THROW((void)put(store, set_of("a", 40), 0), Crash);
  Reader leader;
  leader.read(state);
  const record_cache::Jobs jobs;
  const auto record = leader.sweeper.next_write(jobs, {.wall_ms = std::int64_t{1} << 40, .steady = {}}, 16);
  ASSERT_TRUE(record);
  leader.sweeper.on_written(*record, state.txn(*record));
  leader.hear(state);
  const auto late = leader.sweeper.next_write(jobs, {.wall_ms = std::int64_t{1} << 40, .steady = {}}, 16);
  ASSERT_TRUE(late);
  EXPECT_EQ(late->changes.size(), 16U);
  TestStore anew(state);
  anew.at(3, TestStore::Fault::crash_before);
  EXPECT_THROW((void)put(anew, set_of("a", 40), 0), Crash);
  EXPECT_EQ(state.txn(*late).status, kv::Status::conflict);
  ASSERT_EQ(put(state, set_of("a", 40), 0).kind, Outcome::Kind::in_force);
  EXPECT_EQ(state.txn(*late).status, kv::Status::conflict);
  EXPECT_EQ(names_in_force(state), "1:40a-0");
}

// Each request has time for three writes: the next one goes on where the last one was.
TEST(CatalogApply, ALargeSetTakesSeveralRequests) {
  standins::StateStore state;
  const Set set = set_of("a", 200);
  std::size_t requests = 0;
  for (bool done = false; !done; ++requests) {
    ASSERT_LT(requests, 8U);
    TestStore store(state);
    store.at(2, TestStore::Fault::crash_after);
    try {
      done = put(store, set, 0).kind == Outcome::Kind::in_force;
    } catch (const Crash&) {
    }
  }
  EXPECT_EQ(names_in_force(state), "1:200a-0");
}

// An item's write that comes late, after its stage was swept or came into force.
TEST(CatalogApply, ALateItemIsNotWritten) {
  standins::StateStore state;
  Writer writer({}, Revision(0), set_of("a", 30), "desk", 1000, kLimits);
  writer.on_result(state.txn(*writer.next()));
  const kv::Txn late = *writer.next();
  sweep(state, std::int64_t{1} << 40);
  EXPECT_EQ(state.txn(late).status, kv::Status::conflict);
  ASSERT_EQ(put(state, set_of("a", 30), 0).kind, Outcome::Kind::in_force);
  EXPECT_EQ(state.txn(late).status, kv::Status::conflict);
}

// Two operators at two nodes, the second one's whole request at each write of the first's.
TEST(CatalogApply, OfTwoOperatorsOneWinsAndTheOtherIsToldByWhom) {
  for (const std::uint32_t count : {2U, 40U}) {
    const std::size_t calls = count == 2 ? 1 : 5;
    for (std::size_t call = 0; call < calls; ++call) {
      standins::StateStore state;
      ASSERT_EQ(put(state, set_of("a", 30), 0).kind, Outcome::Kind::in_force);
      TestStore first(state);
      first.before(call, [&] { EXPECT_EQ(put(state, set_of("c", 41), 1, "second").kind, Outcome::Kind::in_force); });
      const Outcome outcome = put(first, set_of("b", count), 1, "first");
      EXPECT_EQ(outcome.kind, Outcome::Kind::lost);
      ASSERT_TRUE(outcome.theirs);
      EXPECT_EQ(outcome.theirs->author, "second");
      EXPECT_EQ(outcome.theirs->version, Version(2));
      sweep(state, 1000);
      EXPECT_EQ(leftovers(state), 0U);
      EXPECT_EQ(names_in_force(state), "2:41c-0");
      // The same content by both: it is in force, and both may say so.
      EXPECT_EQ(put(state, set_of("c", 41), 1, "first").kind, Outcome::Kind::in_force);
    }
  }
}

TEST(CatalogApply, TwentySetsAreKeptAndAFormerOneComesBack) {
  standins::StateStore state;
  for (std::uint64_t version = 0; version < 30; ++version) {
    ASSERT_EQ(put(state, set_of("v" + std::to_string(version + 1), 25), version).kind, Outcome::Kind::in_force);
    sweep(state, 1000);
  }
  EXPECT_EQ(leftovers(state), 0U);
  EXPECT_EQ(state.list(kItemPrefix).entries.size(), 20U * 25U);
  TestStore store(state);
  const HeadLook look = look_at_head(store);
  ASSERT_EQ(look.head->former.size(), 19U);
  const SetLook back = look_at_set(store, look.head->former[4]);
  ASSERT_EQ(back.found, SetLook::Found::read);
  EXPECT_EQ(back.set->classes[0].name, "v25-0");
  EXPECT_EQ(put(state, *back.set, 30).kind, Outcome::Kind::in_force);
  EXPECT_EQ(names_in_force(state), "31:25v25-0");
  Reader node;
  node.read(state);
  EXPECT_EQ(node.book.edition(Version(25))->classes[0].name, "v25-0");
  EXPECT_EQ(node.book.edition(Version(25))->revision, look.head->former[4].revision);
  EXPECT_EQ(node.book.edition(Version(11)), nullptr);
}

// Nodes that watched all along, that came late, and that fell behind and read anew, have the same in force.
TEST(CatalogBook, AllNodesHaveTheSameInForceAtTheSameRevision) {
  standins::StateStore state;
  std::mt19937_64 random(22);
  std::vector<std::unique_ptr<Reader>> nodes;
  for (int node = 0; node < 3; ++node) {
    nodes.push_back(std::make_unique<Reader>());
    nodes.back()->read(state);
  }
  for (std::uint64_t version = 0; version < 40; ++version) {
    const auto count = static_cast<std::uint32_t>(random() % 60);
    TestStore store(state);
    if (random() % 3 == 0) store.at(random() % 4, TestStore::Fault::lost_after);
    ASSERT_EQ(put(store, set_of("v" + std::to_string(version), count), version).kind, Outcome::Kind::in_force);
    if (random() % 2 == 0) sweep(state, 1000);
    nodes[0]->hear(state);
    if (random() % 2 == 0) nodes[1]->read(state);  // it hears nothing of what was removed meanwhile but by this
    nodes[1]->hear(state);
    nodes[2] = std::make_unique<Reader>();
    nodes[2]->read(state);
    nodes[2]->hear(state);
    for (const auto& node : nodes) {
      EXPECT_EQ(node->book.in_force()->digest, nodes[0]->book.in_force()->digest);
      EXPECT_EQ(node->book.in_force()->revision, nodes[0]->book.in_force()->revision);
      EXPECT_EQ(node->book.in_force()->classes.size(), count);
      EXPECT_EQ(node->book.unreadable(), 0U);
    }
  }
}

TEST(CatalogBook, ASetThatIsNotWholeLeavesTheFormerInForce) {
  standins::StateStore state;
  ASSERT_EQ(put(state, set_of("a", 3), 0).kind, Outcome::Kind::in_force);
  ASSERT_EQ(put(state, set_of("b", 3), 1).kind, Outcome::Kind::in_force);
  EXPECT_EQ(names_in_force(state), "2:3b-0");
  const kv::Entry gone = state.list(kItemPrefix + std::string("2-")).entries[1];
  (void)state.txn({.preconditions = {}, .changes = {{.key = gone.key, .data = {}, .lease = {}}}});
  EXPECT_EQ(names_in_force(state), "1:3a-0");
  // Not what the digest says.
  ClassDef other = class_from(gone.data);
  other.standing = 7;
  (void)state.txn({.preconditions = {}, .changes = {{.key = gone.key, .data = to_value(other), .lease = {}}}});
  EXPECT_EQ(names_in_force(state), "1:3a-0");
  (void)state.txn({.preconditions = {}, .changes = {{.key = gone.key, .data = gone.data, .lease = {}}}});
  EXPECT_EQ(names_in_force(state), "2:3b-0");
}

TEST(CatalogBook, RecordsOfANewerFormAreLeftAsTheyAre) {
  standins::StateStore state;
  ASSERT_EQ(put(state, set_of("a", 30), 0).kind, Outcome::Kind::in_force);
  Reader node;
  node.read(state);
  ASSERT_EQ(node.book.in_force()->version, Version(1));
  const auto newer = [](wire::Value value) {
    for (auto& [key, entry] : *value.as_map()) {
      if (key == "form") entry = wire::Value(newest_form(Kind::calendar) + 1);
    }
    return value;
  };
  // Of an item: the set is not read, and its stage not swept.
  const kv::Entry item = state.list(kItemPrefix).entries[0];
  (void)state.txn({.preconditions = {}, .changes = {{.key = item.key, .data = newer(item.data), .lease = {}}}});
  node.hear(state);
  EXPECT_EQ(node.book.unreadable(), 1U);
  TestStore store(state);
  EXPECT_EQ(look_at_set(store, look_at_head(store).head->now).found, SetLook::Found::newer_form);
  const std::string left = item_key({.stage = "1-0", .kind = Kind::pool, .number = 0});
  (void)state.txn({.preconditions = {}, .changes = {{.key = left, .data = newer(item.data), .lease = {}}}});
  sweep(state, std::int64_t{1} << 40);
  EXPECT_EQ(state.get(left).status, kv::Status::ok);
  // Of the head: nothing is written, nothing swept, and what was in force stays so.
  const kv::Entry head = state.get(kHeadKey).entry;
  (void)state.txn(
      {.preconditions = {},
       .changes = {
           {.key = kHeadKey, .data = newer(head.data), .lease = {}},
           {.key = item_key({.stage = "1-1", .kind = Kind::pool, .number = 0}), .data = item.data, .lease = {}}}});
  const Revision before = state.revision();
  node.hear(state);
  EXPECT_EQ(node.book.in_force()->version, Version(1));
  EXPECT_EQ(put(state, set_of("b", 1), 1).kind, Outcome::Kind::newer_form);
  sweep(state, std::int64_t{1} << 40);
  EXPECT_EQ(state.revision(), before);
}

TEST(CatalogApply, TheDifferenceIsByKindAndName) {
  const Set before = full_set();
  Set after = before;
  after.classes[0].standing = 9;
  after.classes.erase(after.classes.begin() + 1);
  after.pools.push_back({.name = "more"});
  EXPECT_EQ(difference(before, after), (std::vector<Difference>{{ChangeKind::changed, Kind::job_class, "lock forecast"},
                                                                {ChangeKind::removed, Kind::job_class, "urgent index"},
                                                                {ChangeKind::added, Kind::pool, "more"}}));
  EXPECT_TRUE(difference(before, before).empty());
}

// A node with a founding set, which leads whenever it is asked to write.
struct Founded {
  explicit Founded(const Set& set) : Founded(write_xml(set)) {}
  explicit Founded(std::optional<std::string> text)
      : founder(BootstrapCatalog{.file = "founding.xml", .text = std::move(text), .known = known_names()}, kLimits) {
    record_cache.add_reader(founder);
  }
  Founded(const Founded&) = delete;
  Founded& operator=(const Founded&) = delete;

  void look(const standins::StateStore& store) {
    if (record_cache.revision() == Revision(0)) record_cache.read(store.list("").entries, store.revision());
    const kv::WatchResult news = store.watch("", record_cache.revision());
    record_cache.heard(news.events, news.revision);
  }
  std::optional<kv::Txn> next() {
    at += constants::kCatalogGarbageCollectionInterval;
    return founder.next_write({}, {.wall_ms = 1000, .steady = at}, kLimits.changes);
  }
  // As a leader does until there is nothing left to write.
  void found(standins::StateStore& store) {
    for (int round = 0; round < 50; ++round) {
      look(store);
      const auto txn = next();
      if (!txn) return;
      founder.on_written(*txn, store.txn(*txn));
    }
    ADD_FAILURE() << "founds without end";
  }

  record_cache::RecordCache record_cache{{kHeadKey, kStagePrefix}};
  CatalogBootstrapper founder;
  std::chrono::steady_clock::time_point at;
};

std::size_t editions(const standins::StateStore& store) {
  const auto got = store.get(kHeadKey);
  return got.status == kv::Status::ok ? 1 + head_from(got.entry.data, got.entry.revision).former.size() : 0;
}

// At each write of it the leader ends, before or after it was executed, or hears no answer; another one goes on. What
// the first one sent and what comes late after all is over changes nothing.
TEST(CatalogFounder, ASetIsFoundedOnceOverCrashesAndLateWrites) {
  for (const std::uint32_t count : {3U, 40U}) {
    for (std::size_t call = 0; call < 5; ++call) {
      for (const bool executed : {false, true}) {
        standins::StateStore state;
        Founded first(set_of("a", count));
        std::optional<kv::Txn> late;
        for (std::size_t n = 0; n <= call; ++n) {
          first.look(state);
          late = first.next();
          if (!late) break;
          if (n < call) first.founder.on_written(*late, state.txn(*late));
        }
        if (!late) continue;  // a small set is one write
        if (executed) (void)state.txn(*late);
        first.founder.on_written(*late, {});
        Founded second(set_of("a", count));
        second.found(state);
        EXPECT_EQ(names_in_force(state), "1:" + std::to_string(count) + "a-0") << call;
        const Revision before = state.revision();
        EXPECT_EQ(state.txn(*late).status, kv::Status::conflict) << call;
        first.found(state);
        Founded third(set_of("a", count));
        third.found(state);
        EXPECT_EQ(state.revision(), before);
        EXPECT_EQ(editions(state), 1U);
        EXPECT_EQ(leftovers(state), 0U);
      }
    }
  }
}

// Two that both hold themselves for the leader, at first with the same file and then with different ones.
TEST(CatalogFounder, OfTwoLeadersOneFounds) {
  for (const char* other : {"a", "b"}) {
    standins::StateStore state;
    Founded one(set_of("a", 40));
    Founded two(set_of(other, 40));
    for (int round = 0; round < 20; ++round) {
      one.look(state);
      two.look(state);
      const auto ones = one.next();
      const auto twos = two.next();
      if (twos) two.founder.on_written(*twos, state.txn(*twos));
      if (ones) one.founder.on_written(*ones, state.txn(*ones));
    }
    EXPECT_FALSE(one.founder.waits() || two.founder.waits());
    EXPECT_EQ(editions(state), 1U);
    sweep(state, 1000);
    EXPECT_EQ(leftovers(state), 0U);
    EXPECT_NE(names_in_force(state).find("1:40"), std::string::npos);
  }
}

// An operator's set, at any moment of it, and a head that this program can't read, stand.
TEST(CatalogFounder, WhatWasDeclaredIsNeverReplaced) {
  for (std::size_t call = 0; call < 5; ++call) {
    standins::StateStore state;
    Founded node(set_of("a", 40));
    std::optional<kv::Txn> sent;
    for (std::size_t n = 0; n <= call; ++n) {
      node.look(state);
      sent = node.next();
      if (sent && n < call) node.founder.on_written(*sent, state.txn(*sent));
    }
    if (!sent) continue;  // it was in force by then
    ASSERT_EQ(put(state, set_of("hand", 2), 0).kind, Outcome::Kind::in_force);
    node.founder.on_written(*sent, state.txn(*sent));
    node.found(state);
    EXPECT_EQ(names_in_force(state), "1:2hand-0");
    sweep(state, 1000);
    EXPECT_EQ(leftovers(state), 0U);
  }
  for (const std::uint64_t form : {kForm + 1, kForm}) {
    standins::StateStore state;
    (void)state.txn(
        {.preconditions = {}, .changes = {{.key = kHeadKey, .data = wire::Value::Map{{"form", form}}, .lease = {}}}});
    Founded node(set_of("a", 2));
    node.found(state);
    EXPECT_EQ(state.revision(), Revision(1));
  }
}

// A stage that was swept and begun anew while the node fell behind: a cold read does not tell that its items are gone.
TEST(CatalogFounder, ItemsOfASweptStageAreWrittenAgain) {
  standins::StateStore state;
  Founded node(set_of("a", 40));
  for (int n = 0; n < 2; ++n) {
    node.look(state);
    const auto txn = node.next();
    ASSERT_TRUE(txn);
    node.founder.on_written(*txn, state.txn(*txn));
  }
  node.look(state);
  sweep(state, std::int64_t{1} << 40);
  EXPECT_EQ(leftovers(state), 0U);
  node.record_cache.read(state.list("").entries, state.revision());
  node.found(state);
  EXPECT_EQ(names_in_force(state), "1:40a-0");
}

TEST(CatalogFounder, ABadFileIsToldAndAMachineTypeIsJudgedOnceTypesAreKnown) {
  const BootstrapCatalog bad{.file = "f.xml", .text = "<catalog>\n<x/></catalog>", .known = known_names()};
  ASSERT_EQ(faults_of(bad).size(), 1U);
  EXPECT_EQ(faults_of(bad)[0].find("f.xml:2: x: "), 0U) << faults_of(bad)[0];
  EXPECT_EQ(faults_of({.file = "f.xml", .text = {}, .known = {}}), std::vector<std::string>{"f.xml: cannot be read"});
  for (const std::optional<std::string>& text : {std::optional<std::string>(), bad.text}) {
    standins::StateStore state;
    Founded node(text);
    EXPECT_FALSE(node.founder.waits());
    node.found(state);
    EXPECT_EQ(editions(state), 0U);
  }
  for (const char* type : {"g8", "g9"}) {
    Set set;
    set.pools.push_back({.name = "p", .images = {{"i", 1}}, .types = {type}, .most = 1, .payer = "red"});
    BootstrapCatalog bootstrap{.file = "f.xml", .text = write_xml(set), .known = known_names()};
    bootstrap.known.types.reset();
    CatalogBootstrapper founder(bootstrap, kLimits);
    EXPECT_TRUE(founder.wants_types());
    EXPECT_FALSE(founder.next_write({}, {}, 24));
    founder.learn_types({});
    EXPECT_TRUE(founder.wants_types());
    founder.learn_types({"g8"});
    EXPECT_EQ(founder.next_write({}, {}, 24).has_value(), std::string(type) == "g8");
  }
}

}  // namespace
}  // namespace foxshunt::catalog
