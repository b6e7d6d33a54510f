#include "classes/classes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "classes/queue.h"
#include "classes/ranking.h"
#include "config/constants.h"

namespace foxshunt::classes {
namespace {

constexpr std::int64_t kNowMs = 1'800'000'000'000;

struct Waits {
  explicit Waits(catalog::Set set) : table(set) {}

  Candidate& add(const std::string& id, const std::string& job_class, double since_s) {
    wire::JobSpec& spec = specs.emplace_back();
    spec.id = JobId(id);
    spec.job_class = job_class;
    spec.team = "red";
    spec.tasks = 1;
    spec.cpus = 1;
    jobs.push_back(
        {.spec = &spec, .submitted_wall_ms = kNowMs - static_cast<std::int64_t>(since_s * 1000), .waiting = 1});
    return jobs.back();
  }
  wire::JobSpec& spec() { return specs.back(); }
  std::vector<Rank> ranked(std::int64_t later_ms = 0) const {
    return rank(jobs, table, teams, step_of(kNowMs + later_ms));
  }
  std::vector<std::string> order(std::int64_t later_ms = 0) const {
    std::vector<std::string> ids;
    for (const Rank& one : ranked(later_ms)) ids.push_back(one.job.text());
    return ids;
  }

  Table table;
  std::deque<wire::JobSpec> specs;
  std::vector<Candidate> jobs;
  std::vector<config::Team> teams{{.name = "red", .cpus = 1000}, {.name = "blue", .cpus = 20}};
};

catalog::ClassDef class_def(const std::string& name, std::uint32_t standing) {
  catalog::ClassDef one;
  one.name = name;
  one.takes = {{.job_classes = {name}}};
  one.standing = standing;
  return one;
}

catalog::Set set_of(std::vector<catalog::ClassDef> classes) {
  catalog::Set set;
  set.version = catalog::Version(1);
  set.classes = std::move(classes);
  for (std::size_t at = 0; at < set.classes.size(); ++at) set.classes[at].order = static_cast<std::uint32_t>(at);
  return set;
}

using Ids = std::vector<std::string>;

TEST(Classes, StandingThenPriorityThenSubmissionThenId) {
  Waits waits(set_of({class_def("index", 5)}));
  waits.add("j-5", "none", 60);
  waits.add("j-4", "none", 50);
  waits.spec().priority = wire::Priority::production;
  waits.add("j-3", "index", 10);
  waits.add("j-2", "index", 10);
  waits.add("j-1", "index", 5);
  waits.spec().priority = wire::Priority::high;
  EXPECT_EQ(waits.order(), (Ids{"j-1", "j-2", "j-3", "j-4", "j-5"}));
}

TEST(Classes, GuaranteesStandAboveClasses) {
  Waits waits(set_of({class_def("index", 5)}));
  waits.teams[0].cpus = 2;
  waits.add("j-1", "index", 10);
  waits.add("j-2", "none", 60);
  waits.add("j-3", "none", 50);
  EXPECT_EQ(waits.order(), (Ids{"j-2", "j-3", "j-1"}));
  EXPECT_TRUE(waits.ranked().back().borrowed);
}

TEST(Classes, FirstClassByOrderTakesAJob) {
  catalog::ClassDef wide = class_def("wide", 5);
  wide.takes = {{.teams = {"red"}}};
  catalog::ClassDef narrow = class_def("narrow", 1);
  narrow.takes = {{.job_classes = {"work"}}};
  catalog::Set set = set_of({narrow, wide});
  std::swap(set.classes[0].order, set.classes[1].order);
  Waits waits(set);
  waits.add("j-1", "work", 0);
  EXPECT_EQ(waits.table.at(*waits.ranked()[0].of).name, "wide");
}

TEST(Classes, AgesInStepsAndNotBeyondItsBound) {
  catalog::ClassDef visit = class_def("visit", 10);
  visit.age_every_s = 20;
  visit.age_most = 3;
  Waits waits(set_of({visit}));
  waits.add("j-1", "visit", 0);
  EXPECT_EQ(waits.ranked()[0].standing, 10U);
  EXPECT_EQ(waits.ranked(29'999)[0].standing, 10U);  // 15 s have passed by the step
  EXPECT_EQ(waits.ranked(30'000)[0].standing, 9U);
  EXPECT_EQ(waits.ranked(200'000)[0].standing, 7U);
}

TEST(Classes, RisesAsFarAsItMayWhenItHasWaitedTooLong) {
  catalog::ClassDef visit = class_def("visit", 10);
  visit.age_most = 8;
  Waits waits(set_of({visit}));
  waits.add("j-1", "visit", 0);
  EXPECT_EQ(waits.ranked(240'000)[0].standing, 10U);  // the promise that holds for all
  EXPECT_EQ(waits.ranked(255'000)[0].standing, 2U);
}

TEST(Classes, ABoundOnWaitingWithoutAgeingRaisesToTheFloor) {
  catalog::ClassDef visit = class_def("visit", 10);
  catalog::ClassDef bound = class_def("bound", 10);
  bound.wait_most_s = 30;
  bound.never_passes = {"index"};
  Waits waits(set_of({class_def("index", 3), visit, bound}));
  waits.add("j-1", "visit", 0);
  waits.add("j-2", "bound", 0);
  EXPECT_EQ(waits.ranked(30'000)[0].standing, 10U);
  EXPECT_EQ(waits.ranked(300'000)[0].standing, 4U);
  EXPECT_EQ(waits.ranked(300'000)[1].standing, 10U);
}

TEST(Classes, SlackRaisesByAStatedNumberAndNotPastWhatItMayNotPass) {
  catalog::ClassDef visit = class_def("visit", 10);
  visit.never_passes = {"index"};
  Waits waits(set_of({class_def("index", 8), visit}));
  waits.add("j-1", "visit", 0);
  waits.add("j-2", "visit", 0).slack = 1;
  waits.add("j-3", "visit", 0).slack = -4;
  waits.add("j-4", "none", 0).slack = 0;
  waits.add("j-5", "none", 0).slack = 50;
  std::map<std::string, std::uint32_t> standing;
  for (const Rank& one : waits.ranked()) standing[one.job.text()] = one.standing;
  EXPECT_EQ(standing,
            (std::map<std::string, std::uint32_t>{{"j-1", 10}, {"j-2", 9}, {"j-3", 9}, {"j-4", 97}, {"j-5", 100}}));
}

TEST(Classes, NeverPassesHoldsAlongAChainAndACircleIsCutTheSameWayEachTime) {
  catalog::ClassDef first = class_def("first", 50);
  first.never_passes = {"second"};
  catalog::ClassDef second = class_def("second", 7);
  second.never_passes = {"third"};
  const Table chain(set_of({first, second, class_def("third", 60)}));
  EXPECT_EQ(chain.floor(1), 61U);
  EXPECT_EQ(chain.floor(0), 62U);
  catalog::ClassDef third = class_def("third", 60);
  third.never_passes = {"first", "third", "unknown"};
  const Table circle(set_of({first, second, third}));
  EXPECT_EQ(circle.floor(2), 1U);
  EXPECT_EQ(circle.floor(0), 62U);
}

TEST(Classes, StepsDoNotGoBackWithAClockThatIsSetBackByALittle) {
  StepClock clock;
  const std::int64_t step_ms = constants::kRankStep.count();
  EXPECT_EQ(clock.at(10 * step_ms + 5), TimeStep(10));
  EXPECT_EQ(clock.at(10 * step_ms - 500), TimeStep(10));
  EXPECT_EQ(clock.at(10 * step_ms - constants::kRankStepBack.count() - 1), TimeStep(9));
}

// A random catalog and random jobs of it.
Waits random_waits(std::mt19937& random) {
  const auto upto = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
  std::vector<catalog::ClassDef> defs;
  const int count = 1 + upto(7);
  for (int number = 0; number < count; ++number) {
    catalog::ClassDef one = class_def("c" + std::to_string(number), static_cast<std::uint32_t>(1 + upto(12)));
    one.age_every_s = upto(2) * 17;
    one.age_most = static_cast<std::uint32_t>(upto(15));
    if (upto(1) == 1) one.wait_most_s = upto(200);
    // Of earlier ones only: no circles.
    if (number > 0 && upto(1) == 1) one.never_passes = {"c" + std::to_string(upto(number - 1))};
    if (upto(2) == 0) one.cpus_most["red"] = 1 + upto(10);
    defs.push_back(one);
  }
  Waits waits(set_of(defs));
  for (int job = 0; job < 40; ++job) {
    Candidate& added = waits.add("j-" + std::to_string(job), "c" + std::to_string(upto(count)), upto(20) * 15);
    waits.spec().priority = static_cast<wire::Priority>(upto(3));
    waits.spec().team = upto(2) == 0 ? "blue" : "red";
    waits.spec().tasks = static_cast<std::uint32_t>(1 + upto(5));
    waits.spec().kind = upto(2) == 0 ? wire::JobKind::gang : wire::JobKind::array;
    added.waiting = waits.spec().tasks;
    if (added.waiting > 1 && upto(3) == 0) --added.waiting, ++added.placed;
    if (upto(3) == 0) added.slack = upto(5) - 1;
  }
  return waits;
}

TEST(Classes, IsATotalOrderIndependentOfTheOrderOfArrival) {
  std::mt19937 random(11);
  for (int round = 0; round < 60; ++round) {
    Waits waits = random_waits(random);
    const std::vector<Rank> ranks = waits.ranked();
    for (std::size_t one = 0; one < ranks.size(); ++one) {
      for (std::size_t other = 0; other < ranks.size(); ++other) {
        // Antisymmetric, total, and as the list says for every pair, hence transitive.
        ASSERT_EQ(ranks[one].key() < ranks[other].key(), one < other);
      }
    }
    const std::uint64_t digest = digest_of(ranks, waits.table);
    std::ranges::shuffle(waits.jobs, random);
    ASSERT_EQ(digest_of(waits.ranked(), waits.table), digest) << "round " << round;
  }
}

TEST(Classes, NoJobIsRankedBeforeOneThatItMayNotPassWhateverTheirAges) {
  std::mt19937 random(12);
  int pairs = 0;
  for (int round = 0; round < 60; ++round) {
    const Waits waits = random_waits(random);
    for (const std::int64_t later_ms : {0, 45'000, 1'000'000}) {
      std::map<bool, std::set<std::string>> behind;  // of each group: whom somebody before may not pass
      for (const Rank& one : waits.ranked(later_ms)) {
        ASSERT_GE(one.standing, one.best);
        if (!one.of) continue;
        const catalog::ClassDef& own = waits.table.at(*one.of);
        ASSERT_FALSE(behind[one.borrowed].contains(own.name)) << "round " << round;
        for (const std::string& name : own.never_passes) behind[one.borrowed].insert(name), ++pairs;
      }
    }
  }
  EXPECT_GT(pairs, 1000);
}

TEST(Classes, WaitingOnlyRaises) {
  std::mt19937 random(13);
  for (int round = 0; round < 20; ++round) {
    const Waits waits = random_waits(random);
    std::map<std::string, std::uint32_t> before;
    for (std::int64_t later_ms = 0; later_ms < 600'000; later_ms += 15'000) {
      for (const Rank& one : waits.ranked(later_ms)) {
        const auto known = before.find(one.job.text());
        if (known != before.end()) {
          ASSERT_LE(one.standing, known->second);
        }
        before[one.job.text()] = one.standing;
      }
    }
  }
}

TEST(Classes, CapsHoldForWhatIsPlannedInOrder) {
  std::mt19937 random(14);
  int kept = 0;
  for (int round = 0; round < 100; ++round) {
    const Waits waits = random_waits(random);
    std::map<std::string, double> used;  // by class, of team red
    std::map<std::string, int> jobs;
    for (const Candidate& job : waits.jobs) {
      if (job.spec->team == "red") used[job.spec->job_class] += static_cast<double>(job.placed);
    }
    for (const Rank& one : waits.ranked()) {
      if (!one.of || one.team != "red") continue;
      const std::string& name = waits.table.at(*one.of).name;
      const auto cap = waits.table.cap(*one.of, "red");
      const auto runs = static_cast<double>(one.waiting - one.capped);
      if (cap && runs > 0) {
        // More than the cap only for one piece of work alone.
        ASSERT_TRUE(used[name] + runs <= *cap || used[name] == 0) << "round " << round;
      }
      if (!cap) {
        ASSERT_EQ(one.capped, 0U);
      }
      kept += one.capped > 0 ? 1 : 0;
      used[name] += runs;
    }
  }
  EXPECT_GT(kept, 50);
}

TEST(Classes, RankingKeepsWhatCouldBeRankedBeforeTheWorkThatAsks) {
  catalog::ClassDef visit = class_def("visit", 10);
  visit.age_every_s = 20;
  visit.age_most = 6;
  Waits waits(set_of({visit, class_def("index", 5), class_def("survey", 2)}));
  waits.add("j-1", "visit", 0);
  waits.add("j-2", "index", 0);
  waits.add("j-3", "survey", 0);
  Ranking ranking;
  EXPECT_FALSE(ranking.on());
  ranking.on_catalog(set_of({visit, class_def("index", 5), class_def("survey", 2)}));
  const Ranking::Moment now{std::chrono::seconds(1000)};
  ranking.tell_time(kNowMs, now);
  ranking.begin(waits.jobs, waits.teams, now);
  EXPECT_EQ(ranking.step(), step_of(kNowMs));
  EXPECT_FALSE(ranking.goes_first(JobId("j-2"), JobId("j-1")));  // which will have risen to 4
  EXPECT_TRUE(ranking.goes_first(JobId("j-3"), JobId("j-1")));
  EXPECT_FALSE(ranking.goes_first(JobId("j-1"), JobId("j-3")));
}

TEST(Classes, QueueIsAnsweredInPagesWithADigestOfTheWhole) {
  Waits waits(set_of({class_def("index", 5)}));
  for (int job = 0; job < 250; ++job) {
    waits.add("j-" + std::to_string(1000 + job), job % 5 == 0 ? "index" : "none", 300 - job);
  }
  waits.add("j-9999", "index", 0).waiting = 0;
  const Basis basis{.version = catalog::Version(3), .revision = Revision(77), .step = step_of(kNowMs)};
  const auto ranks = waits.ranked();
  std::size_t lines = 0;
  std::set<std::string> digests;
  wire::Value next = std::uint64_t{1};
  while (const auto* from = next.as_count()) {
    const wire::Value page = queue_answer(ranks, waits.table, basis, {.from = *from});
    lines += page.list("lines").size();
    digests.insert(page.text("digest"));
    EXPECT_EQ(page.count("jobs"), 250U);
    EXPECT_EQ(page.count("revision"), 77U);
    EXPECT_LE(wire::json_length(page), constants::kMaxBodyBytes);
    EXPECT_EQ(page.list("lines").front().count("place"), *from);
    next = page["next"];
  }
  EXPECT_EQ(lines, 250U);
  EXPECT_EQ(digests.size(), 1U);
  EXPECT_EQ(queue_answer(ranks, waits.table, basis, {.class_name = "index"}).list("lines").size(), 50U);
  EXPECT_EQ(queue_answer(ranks, waits.table, basis, {.team = "blue"}).list("lines").size(), 0U);
}

}  // namespace
}  // namespace foxshunt::classes
