// The expectations of a scenario.
#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

#include "scenarios/scenario.h"

namespace foxshunt::standins {

namespace {

// `exactly`, `at_least` or `at_most` so many.
void expect_count(std::size_t found, const std::string& relation, std::size_t count) {
  if (relation == "at_least") {
    EXPECT_GE(found, count);
  } else if (relation == "at_most") {
    EXPECT_LE(found, count);
  } else if (relation == "exactly") {
    EXPECT_EQ(found, count);
  } else {
    throw std::runtime_error("unknown relation " + relation);
  }
}

}  // namespace

void Scenario::expect(const Words& words, int line) {
  const std::string where = name_ + ":" + std::to_string(line);
  SCOPED_TRACE(where);
  try {
    const std::string& what = words.at(1);
    if (what.starts_with("j-")) return what.find('/') == std::string::npos ? expect_job(words) : expect_task(words);
    if (what == "calendar") return expect_calendar(words);
    if (what == "queue") return expect_queue(words);
    if (what == "pool") return expect_pool(words);
    expect_world(words);
  } catch (const std::exception& error) {
    ADD_FAILURE() << where << ": " << error.what();
  }
}

// A state, or `started before/after T`, `started never`.
void Scenario::expect_job(const Words& words) {
  const JobId id(words.at(1));
  const std::string& verb = words.at(2);
  if (verb != "started") {
    const auto status = world().ask(id);
    ASSERT_TRUE(status) << "no such job";
    EXPECT_EQ(wire::name_of(status->state), verb);
    return;
  }
  const auto start_s = world().first_start_s(id);
  const std::string& relation = words.at(3);
  if (relation == "never") {
    EXPECT_FALSE(start_s) << "started at " << start_s.value_or(0);
    return;
  }
  const double bound_s = number_from(words.at(4), "time");
  ASSERT_TRUE(start_s) << "not started";
  if (relation == "before") {
    EXPECT_LT(*start_s, bound_s);
  } else if (relation == "after") {
    EXPECT_GE(*start_s, bound_s);
  } else {
    throw std::runtime_error("unknown relation " + relation);
  }
}

// `on MACHINE`, `nowhere`, `starts N`.
void Scenario::expect_task(const Words& words) {
  const auto task = wire::task_key_from(words.at(1));
  if (!task) throw std::runtime_error("no such task: " + words.at(1));
  if (words.at(2) == "on") {
    ASSERT_EQ(world().where(*task).size(), 1U) << "is on no machine, or on several";
    EXPECT_EQ(world().where(*task).front(), MachineId(words.at(3)));
  } else if (words.at(2) == "nowhere") {
    EXPECT_TRUE(world().where(*task).empty());
  } else if (words.at(2) == "starts") {
    EXPECT_EQ(world().starts_of(*task), count_from(words.at(3), "starts"));
  } else {
    throw std::runtime_error("unknown expectation " + words[2]);
  }
}

// `alike`, or `order JOB…`.
void Scenario::expect_queue(const Words& words) {
  std::vector<World::Queue> seen;
  for (std::size_t each = 0; each < nodes_; ++each) {
    if (const auto queue = world().queue(each)) seen.push_back(*queue);
  }
  ASSERT_GE(seen.size(), 2U) << "too few nodes follow the records";
  for (const World::Queue& one : seen) {
    EXPECT_EQ(one.basis, seen.front().basis) << "not a quiet moment";
    EXPECT_EQ(one.digest, seen.front().digest);
  }
  if (words.at(2) != "order") return;
  std::vector<JobId> expected;
  for (std::size_t at = 3; at < words.size(); ++at) expected.emplace_back(words[at]);
  EXPECT_EQ(seen.front().jobs, expected);
  ASSERT_TRUE(world().leader());
  std::vector<JobId> planned;
  for (const classes::Rank& rank : world().controller(*world().leader()).ranking().order()) {
    if (rank.place > 0) planned.push_back(rank.job);
  }
  EXPECT_EQ(planned, expected) << "as the leader plans";
}

// `at_risk`, `met`, ...: its only occurrence, as the leader knows it; `why WORD`: a reason has the word.
void Scenario::expect_calendar(const Words& words) {
  if (words.at(2) == "alike") {
    EXPECT_TRUE(world().alike());
    return;
  }
  const calendar::DeadlineController* keeper = world().calendar(world().leader().value_or(0));
  ASSERT_NE(keeper, nullptr);
  for (const auto& [key, known] : keeper->occurrences()) {
    const calendar::Occurrence& one = known.seen;
    if (one.entry != words.at(2)) continue;
    std::string state(calendar::name_of(one.state));
    std::ranges::replace(state, ' ', '_');
    std::string reasons;
    for (const std::string& reason : one.reasons) reasons += reason + "; ";
    if (words.at(3) == "why") {
      std::string part = words.at(4);
      std::ranges::replace(part, '_', ' ');
      EXPECT_NE(reasons.find(part), std::string::npos) << part << " is not in: " << reasons;
    } else {
      EXPECT_EQ(state, words.at(3)) << reasons;
    }
    return;
  }
  ADD_FAILURE() << "no occurrence of " << words.at(2);
}

void Scenario::expect_world(const Words& words) {
  const std::string& what = words.at(1);
  if (what == "served" && words.at(2) == "verdicts") {
    for (const std::string& verdict : world().served_verdicts()) ADD_FAILURE() << verdict;
  } else if (what == "served") {  // at_least SHARE, of each class, each team and each class's largest jobs
    for (const Served::Share& share : world().shares())
      EXPECT_GE(share.share(), number_from(words.at(3), what)) << share.text();
  } else if (what == "crashes") {  // nothing waits for its moment any more
    EXPECT_EQ(world().crashes_left(), 0U);
  } else if (what == "zone") {  // NAME STATE, as the leader sees it
    ASSERT_TRUE(world().leader());
    std::string state = words.at(3);
    if (words.size() > 4) state += " " + words[4];
    EXPECT_EQ(zone::name_of(world().controller(*world().leader()).zone_health().state_of(words.at(2))), state);
  } else if (what == "rentals") {  // of pools
    EXPECT_EQ(world().pool_rentals(), count_from(words.at(2), what));
  } else if (what == "digests") {  // equal
    EXPECT_TRUE(world().digests_equal());
  } else if (what == "killed") {  // tasks, by their workers' leases so far
    EXPECT_EQ(world().killed_by_lease(), count_from(words.at(2), what));
  } else if (what == "granted") {  // reports answered by what a node was granted: none | some
    EXPECT_EQ(world().answered_by_delegation() > 0, words.at(2) == "some");
  } else if (what == "hints") {  // taken by new leaders: N
    EXPECT_EQ(world().hints_taken(), count_from(words.at(2), what));
  } else if (what == "rented") {  // machines, by all leaders so far: N
    EXPECT_EQ(world().rented(), count_from(words.at(2), what));
  } else if (what == "machines") {  // exactly | at_least | at_most N
    expect_count(world().machines_up(), words.at(2), count_from(words.at(3), what));
  } else if (what == "struck") {  // TROUBLE at_least N, by its command
    EXPECT_GE(world().struck(words.at(2)), count_from(words.at(4), what));
  } else if (what == "clocks") {  // apart SECONDS, at least
    EXPECT_GE(world().clocks_apart_s(), number_from(words.at(3), what));
  } else if (what == "leader") {
    ASSERT_TRUE(world().leader());
    if (words.at(2) != "any") {
      EXPECT_EQ(*world().leader(), count_from(words[2], "node"));
    }
  } else {
    throw std::runtime_error("unknown expectation " + what);
  }
}

void Scenario::expect_pool(const Words& words) {
  ASSERT_TRUE(world().leader());
  const std::vector<pools::PoolView> views = world().pools(*world().leader())->pools();
  const auto view = std::ranges::find(views, words.at(2), &pools::PoolView::name);
  ASSERT_NE(view, views.end()) << "no such pool";
  const std::string& figure = words.at(3);
  if (figure == "why") {
    const std::string& part = words.at(4);
    EXPECT_TRUE(part == "nothing" ? view->why.empty() : view->why.find(part) != std::string::npos) << view->why;
    return;
  }
  const std::map<std::string, std::uint32_t> figures{
      {"wanted", view->wanted},   {"held", view->held}, {"warm", view->warm},  {"in_use", view->in_use},
      {"warming", view->warming}, {"lent", view->lent}, {"asked", view->asked}};
  if (!figures.contains(figure)) throw std::runtime_error("unknown figure " + figure);
  expect_count(figures.at(figure), words.at(4), count_from(words.at(5), figure));
}

}  // namespace foxshunt::standins
