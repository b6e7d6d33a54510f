// What the checkers and the stand-in of the load balancer say themselves.
#include <gtest/gtest.h>

#include <algorithm>

#include "standins/balancer.h"
#include "standins/rules.h"
#include "standins/served.h"

namespace foxshunt::standins {
namespace {

Instant at(int second) { return Instant(Millis(1000 * second)); }

wire::JobSpec job(const char* id, wire::JobKind kind, std::uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  spec.team = "red";
  spec.job_class = "work";
  spec.kind = kind;
  spec.tasks = tasks;
  return spec;
}

TEST(Balancer, TakesNodesOutAndBackLater) {
  Balancer balancer(1);
  std::mt19937 random(1);
  const auto accepts = [](std::size_t) { return true; };
  EXPECT_FALSE(balancer.choose(accepts, random, at(0)));
  balancer.on_probe(0, true, at(0));
  EXPECT_TRUE(balancer.healthy(0)) << "a fresh node needs one success";
  balancer.on_probe(0, false, at(1));
  EXPECT_TRUE(balancer.choose(accepts, random, at(1)));
  balancer.on_probe(0, false, at(2));
  EXPECT_FALSE(balancer.choose(accepts, random, at(2))) << "two failures in a row";
  for (int second = 3; second < 5; ++second) balancer.on_probe(0, true, at(second));
  EXPECT_FALSE(balancer.healthy(0)) << "not before 3 s have passed";
  balancer.on_probe(0, true, at(5));
  EXPECT_TRUE(balancer.healthy(0));
  // Three of the last six; and the pause has doubled.
  for (const bool good : {false, true, false, true}) balancer.on_probe(0, good, at(6));
  EXPECT_TRUE(balancer.healthy(0));
  balancer.on_probe(0, false, at(6));
  EXPECT_FALSE(balancer.healthy(0));
  for (int second = 7; second < 12; ++second) balancer.on_probe(0, true, at(second));
  EXPECT_FALSE(balancer.healthy(0));
  balancer.on_probe(0, true, at(12));
  EXPECT_TRUE(balancer.healthy(0));
}

TEST(Balancer, PassesOverANodeThatRefuses) {
  Balancer balancer(2);
  std::mt19937 random(1);
  for (const std::size_t node : {0U, 1U}) balancer.on_probe(node, true, at(0));
  int asked = 0;
  const auto accepts = [&asked](std::size_t node) {
    if (node == 0) ++asked;
    return node == 1;
  };
  for (int i = 0; i < 50; ++i) EXPECT_EQ(balancer.choose(accepts, random, at(1)), 1U);
  EXPECT_EQ(asked, 3);
  for (int i = 0; i < 50; ++i) (void)balancer.choose(accepts, random, at(5));
  EXPECT_EQ(asked, 6);
}

TEST(Served, CountsWhatBeganByClassTeamAndSize) {
  Served served;
  served.on_submitted(job("j-000001", wire::JobKind::gang, 2), at(0));
  served.on_submitted(job("j-000002", wire::JobKind::gang, 2), at(0));
  served.on_submitted(job("j-000003", wire::JobKind::array, 1), at(0));
  served.on_submitted(job("j-000004", wire::JobKind::gang, 2), at(0));
  served.on_over(JobId("j-000004"));
  served.on_started({JobId("j-000003"), 0}, AttemptNumber(1), at(5));
  // Of the first all tasks are there at once; the other's are not, or not in one attempt.
  for (const std::uint32_t task : {0U, 1U}) served.on_started({JobId("j-000001"), task}, AttemptNumber(1), at(20));
  served.on_started({JobId("j-000002"), 0}, AttemptNumber(1), at(20));
  served.on_gone({JobId("j-000002"), 0}, AttemptNumber(1), at(21));
  served.on_started({JobId("j-000002"), 1}, AttemptNumber(1), at(21));
  served.on_started({JobId("j-000002"), 0}, AttemptNumber(2), at(22));
  const std::vector<Served::Share> shares = served.shares(at(100));
  ASSERT_EQ(shares.size(), 3U);
  EXPECT_EQ(shares[0].text(), "class work: 3 of 4 served, longest wait 100 s, not served: j-000002");
  EXPECT_EQ(shares[1].text(), "largest of work: 2 of 3 served, longest wait 100 s, not served: j-000002");
  EXPECT_EQ(shares[2].of, "team red");
  EXPECT_DOUBLE_EQ(shares[2].share(), 0.75);
}

// A job `id` of one task in class work, or in one of its own.
wire::JobSpec single(const char* id, const char* job_class = "work") {
  wire::JobSpec spec = job(id, wire::JobKind::array, 1);
  spec.job_class = job_class;
  return spec;
}

TEST(Served, HalfOfEachClassTeamAndSizeIsToBeServed) {
  for (const int begun : {1, 2}) {
    Served served;
    for (const char* id : {"j-000001", "j-000002", "j-000003", "j-000004"}) served.on_submitted(single(id), at(0));
    if (begun > 1) served.on_started({JobId("j-000002"), 0}, AttemptNumber(1), at(1));
    served.on_started({JobId("j-000001"), 0}, AttemptNumber(1), at(1));
    const std::vector<std::string> verdicts = served.verdicts(at(100));
    EXPECT_EQ(verdicts.size(), begun == 1 ? 3U : 0U);  // class, largest, team
  }
  // Three quarters of all are served, and none of one class; or none of the class's largest.
  for (const bool by_class : {true, false}) {
    Served served;
    for (const char* id : {"j-000001", "j-000002", "j-000003"}) {
      served.on_submitted(single(id), at(0));
      served.on_started({JobId(id), 0}, AttemptNumber(1), at(1));
    }
    served.on_submitted(by_class ? single("j-000004", "rare") : job("j-000004", wire::JobKind::array, 2), at(0));
    const std::vector<std::string> verdicts = served.verdicts(at(100));
    ASSERT_EQ(verdicts.size(), by_class ? 2U : 1U);
    EXPECT_TRUE(verdicts.front().starts_with(by_class ? "less than half is served of class rare: 0 of 1"
                                                      : "less than half is served of largest of work: 0 of 1"))
        << verdicts.front();
  }
}

TEST(Served, TheLargestBeginWithinFourMinutes) {
  for (const int second : {250, 251}) {
    Served served;
    served.on_submitted(job("j-000001", wire::JobKind::gang, 2), at(10));
    served.on_submitted(single("j-000002"), at(10));  // not of the largest
    served.on_started({JobId("j-000001"), 0}, AttemptNumber(1), at(20));
    served.on_started({JobId("j-000001"), 1}, AttemptNumber(1), at(second));
    served.on_started({JobId("j-000002"), 0}, AttemptNumber(1), at(400));
    EXPECT_EQ(served.verdicts(at(500)),
              second == 250 ? std::vector<std::string>{}
                            : std::vector<std::string>{"j-000001, a largest of class work, waited 241 s"});
  }
  Served served;
  served.on_submitted(single("j-000001"), at(0));
  served.on_over(JobId("j-000001"));
  EXPECT_TRUE(served.verdicts(at(500)).empty()) << "cancelled before";
}

// It waits from 10 s on; another job of its team, of the limit's size, is on a machine from 20 s to 220 s.
std::vector<std::string> largest_behind(int submitted_at, wire::Priority priority, double cpus) {
  Served served({{.name = "red", .cpus = 0, .cpus_max = 4, .gpus = 0, .gpus_max = 0}});
  wire::JobSpec large = job("j-000001", wire::JobKind::gang, 2);
  large.cpus = 2;
  wire::JobSpec other = single("j-000002", "other");
  other.cpus = cpus;
  other.priority = priority;
  served.on_submitted(other, at(submitted_at));
  served.on_submitted(large, at(10));
  served.on_started({other.id, 0}, AttemptNumber(1), at(20));
  served.on_gone({other.id, 0}, AttemptNumber(1), at(220));
  for (const std::uint32_t task : {0U, 1U}) served.on_started({large.id, task}, AttemptNumber(1), at(300));
  return served.verdicts(at(500));
}

TEST(Served, ATeamsLimitExcusesTheLargestForItsEarlierWorkAlone) {
  EXPECT_TRUE(largest_behind(0, wire::Priority::standard, 4).empty()) << "90 s of its own";
  EXPECT_TRUE(largest_behind(0, wire::Priority::standard, 1).empty());
  EXPECT_TRUE(largest_behind(15, wire::Priority::high, 4).empty());
  EXPECT_EQ(largest_behind(15, wire::Priority::standard, 4).size(), 1U) << "passed by what came later";
  EXPECT_EQ(largest_behind(0, wire::Priority::standard, 0).size(), 1U) << "the limit allowed both";
}

config::Settings strict_settings() {
  config::Settings settings;
  settings.cancel_s = 40;
  settings.teams = {{.name = "red", .cpus = 4, .cpus_max = 8, .gpus = 0, .gpus_max = 2},
                    {.name = "free", .cpus = 0, .cpus_max = 0, .gpus = 0, .gpus_max = 0}};
  return settings;
}

Rules::Place place(const char* machine, const char* zone = "a", bool spot = false, const char* type = "plain") {
  return {.machine = MachineId(machine), .type = type, .zone = zone, .spot = spot};
}

// A job of 2 CPUs a task, that was submitted and accepted.
wire::JobSpec known(Rules& rules, wire::JobSpec spec) {
  if (spec.cpus == 0) spec.cpus = 2;
  rules.on_submitted(spec);
  rules.on_accepted(spec.id, at(0));
  return spec;
}

std::string rule(const Rules& rules) {
  return rules.broken().empty() ? std::string() : rules.broken().front().substr(0, rules.broken().front().find(':'));
}

TEST(Rules, ACancelledTaskIsGoneInTimeWhetherAnybodyLooksOrNot) {
  for (const int gone : {50, 51}) {
    Rules rules(strict_settings());
    const TaskKey task{known(rules, single("j-000001")).id, 0};
    rules.on_started(task, place("m-1"), at(1));
    rules.on_told(task.job, wire::JobState::cancelled, at(10));
    rules.check(at(50));
    EXPECT_EQ(rule(rules), "");
    // Its machine hung meanwhile, say; it may also have completed.
    rules.on_gone(task, MachineId("m-1"), gone == 51, at(gone));
    rules.check(at(100));
    EXPECT_EQ(rule(rules), gone == 50 ? "" : "ran_cancelled");
  }
  Rules rules(strict_settings());
  const TaskKey task{known(rules, single("j-000001")).id, 0};
  rules.on_started(task, place("m-1"), at(1));
  rules.on_told(task.job, wire::JobState::cancelled, at(10));
  rules.check(at(51));
  rules.check(at(52));
  EXPECT_EQ(rules.broken(), std::vector<std::string>{"ran_cancelled: j-000001/0 on m-1"}) << "told once";
}

TEST(Rules, ACancelledTaskThatStartsIsTold) {
  for (const int start : {10, 11, 50, 51}) {
    Rules rules(strict_settings());
    const TaskKey task{known(rules, single("j-000001")).id, 0};
    rules.on_told(task.job, wire::JobState::cancelled, at(10));
    rules.on_told(task.job, wire::JobState::cancelled, at(30));  // told again
    rules.on_started(task, place("m-1"), at(start));
    rules.on_gone(task, MachineId("m-1"), false, at(start));
    EXPECT_EQ(rules.starts_after_cancel(), start == 11 || start == 50 ? 1U : 0U) << start;
    EXPECT_EQ(rule(rules), start == 51 ? "ran_cancelled" : "");
  }
}

TEST(Rules, ATaskIsOnOneMachineAtATime) {
  Rules rules(strict_settings());
  const TaskKey task{known(rules, single("j-000001")).id, 0};
  rules.on_started(task, place("m-1"), at(1));
  rules.on_gone(task, MachineId("m-1"), false, at(2));
  rules.on_started(task, place("m-2"), at(2));
  // Two attempts on one machine; the first alone is gone.
  rules.on_started(task, place("m-2"), at(3));
  rules.on_gone(task, MachineId("m-2"), false, at(4));
  EXPECT_EQ(rule(rules), "");
  rules.on_started(task, place("m-3"), at(5));
  EXPECT_EQ(rule(rules), "ran_twice");
}

TEST(Rules, ATeamUsesNoMoreThanItsLimit) {
  for (const char* team : {"red", "free"}) {
    Rules rules(strict_settings());
    wire::JobSpec spec = job("j-000001", wire::JobKind::array, 6);
    spec.team = team;
    (void)known(rules, spec);
    for (std::uint32_t index = 0; index < 4; ++index) rules.on_started({spec.id, index}, place("m-1"), at(1));
    rules.on_gone({spec.id, 0}, MachineId("m-1"), true, at(2));
    rules.on_gone({spec.id, 0}, MachineId("m-1"), true, at(2));  // it frees nothing twice
    rules.on_started({spec.id, 4}, place("m-1"), at(3));
    EXPECT_EQ(rule(rules), "") << "8 CPUs";
    rules.on_started({spec.id, 5}, place("m-1"), at(3));
    EXPECT_EQ(rule(rules), std::string(team) == "red" ? "quota" : "") << "a limit of 0 is none";
  }
  Rules rules(strict_settings());
  wire::JobSpec spec = job("j-000001", wire::JobKind::array, 3);
  spec.cpus = 0.1;
  spec.gpus = 1;
  (void)known(rules, spec);
  for (std::uint32_t index = 0; index < 2; ++index) rules.on_started({spec.id, index}, place("m-1"), at(1));
  EXPECT_EQ(rule(rules), "");
  rules.on_started({spec.id, 2}, place("m-1"), at(1));
  EXPECT_EQ(rule(rules), "quota") << "3 GPUs";
}

TEST(Rules, ATaskStartsWhereItsJobAllows) {
  struct Case {
    const char* what;
    void (*job)(wire::JobSpec&);
    Rules::Place right;
    Rules::Place wrong;
  };
  const std::vector<Case> cases{
      {"type",
       [](wire::JobSpec& spec) {
         spec.types = {"gpu", "plain"};
       },
       place("m-1"), place("m-2", "a", false, "large")},
      {"zone", [](wire::JobSpec& spec) { spec.zone = "b"; }, place("m-1", "b"), place("m-2", "a")},
      {"kind", [](wire::JobSpec& spec) { spec.spot = false; }, place("m-1"), place("m-2", "a", true)},
      {"one zone", [](wire::JobSpec& spec) { spec.one_zone = true; }, place("m-1", "a"), place("m-2", "b")},
      {"spread", [](wire::JobSpec& spec) { spec.spread = true; }, place("m-1", "a"), place("m-2", "a")}};
  for (const Case& one : cases) {
    Rules rules(strict_settings());
    wire::JobSpec spec = job("j-000001", wire::JobKind::array, 2);
    one.job(spec);
    (void)known(rules, spec);
    rules.on_started({spec.id, 0}, one.right, at(1));
    EXPECT_EQ(rule(rules), "") << one.what;
    rules.on_started({spec.id, 1}, one.wrong, at(2));
    EXPECT_EQ(rule(rules), "wrong_place") << one.what;
  }
}

TEST(Rules, OtherTasksCountWhileTheyAreThere) {
  // Until a task exits its zone is taken, and no longer.
  Rules rules(strict_settings());
  wire::JobSpec bound = job("j-000001", wire::JobKind::gang, 2);
  bound.one_zone = true;
  (void)known(rules, bound);
  rules.on_started({bound.id, 0}, place("m-1", "a"), at(1));
  rules.on_gone({bound.id, 0}, MachineId("m-1"), false, at(2));
  rules.on_started({bound.id, 0}, place("m-2", "b"), at(2));
  rules.on_started({bound.id, 1}, place("m-2", "b"), at(2));
  // 2 of 3 in a zone, and a third once one of them is gone.
  wire::JobSpec spread = job("j-000002", wire::JobKind::array, 3);
  spread.spread = true;
  spread.cpus = 0.1;
  (void)known(rules, spread);
  for (const std::uint32_t index : {0U, 1U}) rules.on_started({spread.id, index}, place("m-1"), at(3));
  rules.on_gone({spread.id, 0}, MachineId("m-1"), true, at(4));
  rules.on_started({spread.id, 2}, place("m-1"), at(4));
  EXPECT_EQ(rule(rules), "");
  rules.on_started({spread.id, 0}, place("m-1"), at(5));
  EXPECT_EQ(rule(rules), "wrong_place");
}

std::vector<wire::MachineType> some_types() {
  return {{.name = "plain", .cpus = 4, .gpus = 0, .ram_gb = 16, .zones = {"a", "b"}},
          {.name = "gpu", .cpus = 2, .gpus = 2, .ram_gb = 64, .zones = {"a"}}};
}

wire::Value::Map sound_submission() {
  return {{"id", "j-000001"}, {"breed", "work"}, {"pack", "red"}, {"gait", "ensemble"}, {"rank", "high"},
          {"cubs", 2},        {"cpus", 4.0},     {"cards", 0.0},  {"ramGb", 16.0},      {"pelt", "img"},
          {"pullGb", 0},      {"burrows", {}},   {"covert", {}},  {"samePlace", false}, {"spread", false},
          {"strays", true},   {"runS", 10.0},    {"cacheS", 0.0}, {"buryS", 0.0},       {"duskS", {}}};
}

std::string rule_of_accepting(const wire::Value& submission) {
  Rules rules(strict_settings());
  rules.on_types(some_types());
  rules.on_accepted(submission, at(0));
  return rule(rules);
}

wire::Value with(wire::Value::Map map, std::string_view field, wire::Value value) {
  std::ranges::find(map, field, [](const auto& entry) { return std::string_view(entry.first); })->second =
      std::move(value);
  return map;
}

TEST(Rules, WhatIsAcceptedLacksNothing) {
  const wire::Value::Map sound = sound_submission();
  EXPECT_EQ(rule_of_accepting(sound), "");
  for (std::size_t at = 0; at < sound.size(); ++at) {
    wire::Value::Map lacking = sound;
    lacking.erase(lacking.begin() + static_cast<std::ptrdiff_t>(at));
    const bool may_lack = sound[at].second.is_null();
    EXPECT_EQ(rule_of_accepting(lacking), may_lack ? "" : "wrongly_accepted") << sound[at].first;
    EXPECT_EQ(rule_of_accepting(with(sound, sound[at].first, wire::Value::Map{})), "wrongly_accepted")
        << sound[at].first;
  }
  EXPECT_EQ(rule_of_accepting(wire::Value::List{}), "wrongly_accepted");
  const std::vector<std::pair<const char*, wire::Value>> wrong{{"id", "job-1"},
                                                               {"id", "j-"},
                                                               {"id", "j-1x"},
                                                               {"gait", "gang"},
                                                               {"rank", "low"},
                                                               {"cubs", 0},
                                                               {"cubs", 2.0},
                                                               {"cubs", 100'001},
                                                               {"cpus", -1.0},
                                                               {"ramGb", "16"},
                                                               {"breed", ""},
                                                               {"covert", ""},
                                                               {"duskS", "soon"},
                                                               {"duskS", -1},
                                                               {"spread", 1},
                                                               {"burrows", "plain"},
                                                               {"burrows", wire::Value::List{1}}};
  for (const auto& [field, value] : wrong) {
    EXPECT_EQ(rule_of_accepting(with(sound, field, value)), "wrongly_accepted") << field;
  }
}

TEST(Rules, WhatIsAcceptedCanRun) {
  const wire::Value::Map sound = sound_submission();
  struct Case {
    std::vector<std::pair<const char*, wire::Value>> fields;
    bool runs;
  };
  using List = wire::Value::List;
  const std::vector<Case> cases{{{{"pack", "blue"}}, false},
                                {{{"pack", "free"}, {"cubs", 100}}, true},  // no limit
                                {{{"cubs", 3}}, false},                     // 12 CPUs of 8
                                {{{"cubs", 3}, {"gait", "service"}}, false},
                                {{{"cubs", 3}, {"gait", "array"}}, true},
                                {{{"cpus", 4.5}}, false},
                                {{{"ramGb", 16.5}}, false},
                                {{{"cards", 1.0}}, false},  // not with 4 CPUs
                                {{{"cards", 1.0}, {"cpus", 2.0}}, true},
                                {{{"cards", 1.0}, {"cpus", 2.0}, {"covert", "b"}}, false},
                                {{{"cards", 2.0}, {"cpus", 2.0}}, false},  // 4 GPUs of 2
                                {{{"covert", "b"}}, true},
                                {{{"covert", "c"}}, false},
                                {{{"burrows", List{"plain"}}}, true},
                                {{{"burrows", List{"gpu"}}}, false},
                                {{{"burrows", List{"gpu", "plain"}}}, true},
                                {{{"burrows", List{}}}, false}};
  for (std::size_t at = 0; at < cases.size(); ++at) {
    wire::Value submission = sound;
    for (const auto& [field, value] : cases[at].fields) submission = with(*submission.as_map(), field, value);
    EXPECT_EQ(rule_of_accepting(submission), cases[at].runs ? "" : "wrongly_accepted") << "case " << at;
  }
}

// Whether the job is found left waiting, when these machines stand there for `seconds` after a trouble at 100 s.
bool left_waiting(const wire::JobSpec& job, const std::vector<Rules::Machine>& machines, int seconds = 91,
                  const std::vector<wire::JobSpec>& others = {}) {
  Rules rules(strict_settings());
  (void)known(rules, job);
  for (const wire::JobSpec& other : others) rules.on_submitted(other);
  rules.on_trouble(at(100));
  for (int second = 0; second <= 100 + seconds; ++second) rules.check_waiting(machines, at(second));
  return rule(rules) == "left_waiting";
}

Rules::Machine machine(const char* id, const char* zone, double cpus, std::vector<TaskKey> tasks = {}) {
  return {.place = place(id, zone), .cpus = cpus, .gpus = 0, .ram_gb = 8, .tasks = std::move(tasks), .usable = true};
}

TEST(Rules, NoJobIsLeftWaitingWhereThereIsRoom) {
  const wire::JobSpec job = single("j-000001");
  EXPECT_TRUE(left_waiting(job, {machine("m-1", "a", 2)}));
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 2)}, 90)) << "90 s from the end of the trouble";
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 1.9)}));
  EXPECT_FALSE(left_waiting(job, {}));
  wire::JobSpec hungry = job;
  hungry.ram_gb = 8;
  EXPECT_TRUE(left_waiting(hungry, {machine("m-1", "a", 2)}));
  hungry.ram_gb = 8.5;
  EXPECT_FALSE(left_waiting(hungry, {machine("m-1", "a", 2)}));
  Rules::Machine silent = machine("m-1", "a", 2);
  silent.usable = false;
  EXPECT_FALSE(left_waiting(job, {silent}));
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 4, {{job.id, 0}})})) << "on its way";
}

TEST(Rules, RoomIsWhatOthersLeave) {
  const wire::JobSpec job = single("j-000001");
  wire::JobSpec other = single("j-000002");
  other.cpus = 2;
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 3, {{other.id, 0}})}, 91, {other}));
  EXPECT_TRUE(left_waiting(job, {machine("m-1", "a", 4, {{other.id, 0}})}, 91, {other}));
  other.cpus = 6;  // of the team's 8
  EXPECT_TRUE(left_waiting(job, {machine("m-1", "a", 6, {{other.id, 0}}), machine("m-2", "a", 2)}, 91, {other}));
  other.cpus = 6.5;
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 6, {{other.id, 0}}), machine("m-2", "a", 2)}, 91, {other}));
}

TEST(Rules, RoomIsWhereTheJobMayBe) {
  wire::JobSpec job = single("j-000001");
  job.zone = "b";
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "a", 2)}));
  EXPECT_TRUE(left_waiting(job, {machine("m-1", "b", 2)}));
  job.types = {"gpu"};
  EXPECT_FALSE(left_waiting(job, {machine("m-1", "b", 2)}));
  job.types = {"gpu", "plain"};
  EXPECT_TRUE(left_waiting(job, {machine("m-1", "b", 2)}));
  Rules::Machine spot = machine("m-1", "b", 2);
  spot.place.spot = true;
  EXPECT_FALSE(left_waiting(job, {spot}));
  job.spot = true;
  EXPECT_TRUE(left_waiting(job, {spot}));
}

TEST(Rules, AGangNeedsRoomForAllItsTasksAtOnce) {
  wire::JobSpec gang = job("j-000001", wire::JobKind::gang, 3);
  EXPECT_TRUE(left_waiting(gang, {machine("m-1", "a", 5), machine("m-2", "b", 2)}));
  EXPECT_FALSE(left_waiting(gang, {machine("m-1", "a", 5), machine("m-2", "b", 1)}));
  gang.cpus = 3;  // 9 of the team's 8
  EXPECT_FALSE(left_waiting(gang, {machine("m-1", "a", 16)}));
  gang.cpus = 2;
  gang.one_zone = true;
  EXPECT_FALSE(left_waiting(gang, {machine("m-1", "a", 5), machine("m-2", "b", 2)}));
  EXPECT_TRUE(left_waiting(gang, {machine("m-1", "a", 5), machine("m-2", "a", 2)}));
  gang.one_zone = false;
  gang.spread = true;  // 2 in a zone at most
  EXPECT_FALSE(left_waiting(gang, {machine("m-1", "a", 16)}));
  EXPECT_TRUE(left_waiting(gang, {machine("m-1", "a", 16), machine("m-2", "b", 2)}));
}

TEST(Rules, WaitingIsCountedWhileItCouldRun) {
  Rules rules(strict_settings());
  const JobId id = known(rules, single("j-000001")).id;
  const std::vector<Rules::Machine> room{machine("m-1", "a", 2)};
  const auto wait = [&](int from, int to, const std::vector<Rules::Machine>& machines) {
    for (int second = from; second <= to; ++second) rules.check_waiting(machines, at(second));
  };
  wait(0, 90, room);
  wait(91, 91, {});  // no room for a moment
  wait(92, 180, room);
  rules.on_started({id, 0}, place("m-1"), at(180));  // it has begun, and is gone between two looks
  rules.on_gone({id, 0}, MachineId("m-1"), false, at(180));
  wait(181, 271, room);
  EXPECT_EQ(rule(rules), "");
  wait(272, 272, room);
  EXPECT_EQ(rule(rules), "left_waiting");
  // What is over waits for nothing.
  for (const wire::JobState state : {wire::JobState::done, wire::JobState::cancelled}) {
    Rules other(strict_settings());
    const JobId over = known(other, single("j-000001")).id;
    if (state == wire::JobState::done) other.on_gone({over, 0}, MachineId("m-1"), true, at(0));
    other.on_told(over, state, at(1));
    for (int second = 0; second < 200; ++second) other.check_waiting(room, at(second));
    EXPECT_EQ(rule(other), "");
  }
}

TEST(Rules, AnAnswerIsComparedWithWhatWasToldBeforeItsQuestion) {
  for (const int asked : {9, 10}) {
    Rules rules(strict_settings());
    const JobId id = known(rules, single("j-000001")).id;
    rules.on_told(id, wire::JobState::cancelled, at(10));
    rules.on_told(id, wire::JobState::running, at(11), at(asked));
    EXPECT_EQ(rule(rules), asked == 9 ? "" : "went_back");
    EXPECT_TRUE(rules.is_over(id));
  }
  for (const int asked : {9, 10}) {
    Rules rules(strict_settings());
    rules.on_submitted(single("j-000001"));
    rules.on_accepted(JobId("j-000001"), at(10));
    rules.on_told_unknown(JobId("j-000001"), at(asked));
    EXPECT_EQ(rule(rules), asked == 9 ? "" : "forgotten");
  }
  Rules rules(strict_settings());
  const JobId id = known(rules, single("j-000001")).id;
  rules.on_gone({id, 0}, MachineId("m-1"), true, at(5));
  rules.on_told(id, wire::JobState::done, at(10));
  rules.on_told(id, wire::JobState::cancelled, at(11), at(9));
  EXPECT_EQ(rule(rules), "went_back") << "both can't be, whenever it was asked";
}

TEST(Rules, AJobAskedAboutInVainIsForgotten) {
  Rules rules{config::Settings{}};
  for (const char* id : {"j-000001", "j-000002"}) {
    rules.on_submitted(job(id, wire::JobKind::array, 1));
    rules.on_accepted(JobId(id), at(0));
  }
  rules.on_told(JobId("j-000002"), wire::JobState::cancelled, at(1));
  rules.on_trouble(at(50));
  rules.check_answers(at(125));
  EXPECT_TRUE(rules.broken().empty()) << "75 s from the end of the troubles";
  rules.check_answers(at(126));
  EXPECT_EQ(rules.broken(), std::vector<std::string>{"forgotten: j-000001 is asked about in vain"});
}

TEST(Rules, AnAcceptedJobBeginsOnce) {
  Rules rules{config::Settings{}};
  rules.on_created(JobId("j-000001"));
  EXPECT_TRUE(rules.broken().empty());
  rules.on_created(JobId("j-000001"));
  EXPECT_EQ(rules.broken().size(), 1U);
}

}  // namespace
}  // namespace foxshunt::standins
