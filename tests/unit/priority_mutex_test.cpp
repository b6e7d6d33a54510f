// The order in which duties get the controller.
#include "node/priority_mutex.h"

#include <gtest/gtest.h>

#include <latch>
#include <thread>
#include <vector>

namespace foxshunt::node {
namespace {

TEST(PriorityMutex, TheMostUrgentOfThoseWhoWaitIsNext) {
  PriorityMutex mutex;
  std::vector<LockPriority> order;
  std::vector<std::jthread> waiting;
  {
    const std::lock_guard held(mutex.handle(LockPriority::cloud));
    for (const LockPriority priority :
         {LockPriority::scheduling, LockPriority::records, LockPriority::lease, LockPriority::heartbeats}) {
      waiting.emplace_back([&mutex, &order, priority] {
        const std::lock_guard lock(mutex.handle(priority));
        order.push_back(priority);
      });
      while (!mutex.is_awaited_by(priority)) std::this_thread::yield();
    }
  }
  waiting.clear();
  EXPECT_EQ(order, (std::vector{LockPriority::lease, LockPriority::heartbeats, LockPriority::records,
                                LockPriority::scheduling}));
}

// A pass gives the controller back between its portions: whoever waits gets it there, not only at the end of the pass.
TEST(PriorityMutex, WhoGivesItBackDoesNotGetItBeforeAMoreUrgentOne) {
  PriorityMutex mutex;
  bool has_reported = false;
  std::jthread heartbeat;
  {
    const std::lock_guard first(mutex.handle(LockPriority::scheduling));
    heartbeat = std::jthread([&] {
      const std::lock_guard lock(mutex.handle(LockPriority::heartbeats));
      has_reported = true;
    });
    while (!mutex.is_awaited_by(LockPriority::heartbeats)) std::this_thread::yield();
  }
  const std::lock_guard second(mutex.handle(LockPriority::scheduling));
  EXPECT_TRUE(has_reported);
}

TEST(PriorityMutex, ManyThreadsShareIt) {
  PriorityMutex mutex;
  std::uint64_t count = 0;
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < kLockPriorities * 2; ++i) {
      threads.emplace_back([&mutex, &count, priority = static_cast<LockPriority>(i % kLockPriorities)] {
        for (int turn = 0; turn < 2000; ++turn) {
          const std::lock_guard lock(mutex.handle(priority));
          ++count;
        }
      });
    }
  }
  EXPECT_EQ(count, kLockPriorities * 2 * 2000);
}

TEST(PriorityMutex, TellsTheLongestWait) {
  using std::chrono::milliseconds;
  PriorityMutex mutex;
  std::jthread heartbeat;
  {
    const std::lock_guard held(mutex.handle(LockPriority::scheduling));
    heartbeat = std::jthread([&mutex] { const std::lock_guard lock(mutex.handle(LockPriority::heartbeats)); });
    while (!mutex.is_awaited_by(LockPriority::heartbeats)) std::this_thread::yield();
  }
  heartbeat.join();
  EXPECT_GT(mutex.longest_waits()[static_cast<std::size_t>(LockPriority::heartbeats)], milliseconds(0));
  EXPECT_EQ(mutex.longest_waits()[static_cast<std::size_t>(LockPriority::lease)], milliseconds(0));
}

TEST(RecentPeak, ForgetsWhatIsLongAgo) {
  using std::chrono::milliseconds;
  const RecentPeak::Clock::time_point start{std::chrono::hours(1)};
  RecentPeak peak;
  peak.record(milliseconds(40), start);
  peak.record(milliseconds(7), start + constants::kPeakWindow / 2);
  EXPECT_EQ(peak.longest(start + constants::kPeakWindow / 2), milliseconds(40));
  peak.record(milliseconds(9), start + constants::kPeakWindow);
  EXPECT_EQ(peak.longest(start + constants::kPeakWindow), milliseconds(40));
  EXPECT_EQ(peak.longest(start + 2 * constants::kPeakWindow), milliseconds(9));
  EXPECT_EQ(peak.longest(start + 5 * constants::kPeakWindow), milliseconds(0));
}

}  // namespace
}  // namespace foxshunt::node
