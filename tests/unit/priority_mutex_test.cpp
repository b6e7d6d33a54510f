// The order in which duties get the engine.
#include "node/priority_mutex.h"

#include <gtest/gtest.h>

#include <latch>
#include <thread>
#include <vector>

namespace foxshunt::node {
namespace {

TEST(DutyMutex, TheMostUrgentOfThoseWhoWaitIsNext) {
  DutyMutex mutex;
  std::vector<Duty> order;
  std::vector<std::jthread> waiting;
  {
    const std::lock_guard held(mutex.of(Duty::cloud));
    for (const Duty duty : {Duty::planning, Duty::records, Duty::lease, Duty::reports}) {
      waiting.emplace_back([&mutex, &order, duty] {
        const std::lock_guard lock(mutex.of(duty));
        order.push_back(duty);
      });
      while (!mutex.awaited_by(duty)) std::this_thread::yield();
    }
  }
  waiting.clear();
  EXPECT_EQ(order, (std::vector{Duty::lease, Duty::reports, Duty::records, Duty::planning}));
}

// A pass gives the engine back between its portions: whoever waits gets it there, not only at the end of the pass.
TEST(DutyMutex, WhoGivesItBackDoesNotGetItBeforeAMoreUrgentOne) {
  DutyMutex mutex;
  bool reported = false;
  std::jthread report;
  {
    const std::lock_guard first(mutex.of(Duty::planning));
    report = std::jthread([&] {
      const std::lock_guard lock(mutex.of(Duty::reports));
      reported = true;
    });
    while (!mutex.awaited_by(Duty::reports)) std::this_thread::yield();
  }
  const std::lock_guard second(mutex.of(Duty::planning));
  EXPECT_TRUE(reported);
}

TEST(DutyMutex, ManyThreadsShareIt) {
  DutyMutex mutex;
  std::uint64_t count = 0;
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < kDuties * 2; ++i) {
      threads.emplace_back([&mutex, &count, duty = static_cast<Duty>(i % kDuties)] {
        for (int turn = 0; turn < 2000; ++turn) {
          const std::lock_guard lock(mutex.of(duty));
          ++count;
        }
      });
    }
  }
  EXPECT_EQ(count, kDuties * 2 * 2000);
}

TEST(DutyMutex, TellsTheLongestWait) {
  using std::chrono::milliseconds;
  DutyMutex mutex;
  std::jthread report;
  {
    const std::lock_guard held(mutex.of(Duty::planning));
    report = std::jthread([&mutex] { const std::lock_guard lock(mutex.of(Duty::reports)); });
    while (!mutex.awaited_by(Duty::reports)) std::this_thread::yield();
  }
  report.join();
  EXPECT_GT(mutex.longest_waits()[static_cast<std::size_t>(Duty::reports)], milliseconds(0));
  EXPECT_EQ(mutex.longest_waits()[static_cast<std::size_t>(Duty::lease)], milliseconds(0));
}

TEST(RecentPeak, ForgetsWhatIsLongAgo) {
  using std::chrono::milliseconds;
  const RecentPeak::Clock::time_point start{std::chrono::hours(1)};
  RecentPeak peak;
  peak.note(milliseconds(40), start);
  peak.note(milliseconds(7), start + constants::kPeakWindow / 2);
  EXPECT_EQ(peak.longest(start + constants::kPeakWindow / 2), milliseconds(40));
  peak.note(milliseconds(9), start + constants::kPeakWindow);
  EXPECT_EQ(peak.longest(start + constants::kPeakWindow), milliseconds(40));
  EXPECT_EQ(peak.longest(start + 2 * constants::kPeakWindow), milliseconds(9));
  EXPECT_EQ(peak.longest(start + 5 * constants::kPeakWindow), milliseconds(0));
}

}  // namespace
}  // namespace foxshunt::node
