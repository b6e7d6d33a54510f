// Guards against a late copy of a start command: the command was carried out and answered, its task has ended since, and
// the copy starts it once more, beside the task's new place or after its cancellation.
#include <algorithm>
#include <chrono>
#include <functional>

#include "cluster_fixture.h"
#include "config/constants.h"
#include "control/reconciler.h"
#include "standins/worker.h"

namespace foxshunt::control {
namespace {

using namespace std::chrono_literals;

constexpr Millis kStep = 500ms;  // an agent reports a change no sooner

// A machine's surroundings: every task runs for a minute.
class CountedStarts : public standins::Surroundings {
 public:
  explicit CountedStarts(wire::JobSpec spec) : spec_(std::move(spec)) {}
  const wire::JobSpec* job(const JobId& id) override { return id == spec_.id ? &spec_ : nullptr; }
  Millis run_left(const TaskKey&) override { return 60s; }
  bool is_done(const TaskKey&) override { return false; }
  void keep_progress(const TaskKey&, Millis) override {}
  void on_started(const TaskKey&, AttemptNumber, const MachineId&) override { ++starts_; }
  void on_gone(const TaskKey&, AttemptNumber, const MachineId&, bool) override {}
  [[nodiscard]] int starts() const { return starts_; }

 private:
  wire::JobSpec spec_;
  int starts_ = 0;
};

// The answer to a report.
struct Answer {
  std::vector<wire::Command> commands;
  AgentIncarnation incarnation;
  Instant sent;  // when the report was sent
};

class LateStartCopyTest : public ClusterFixture {
 protected:
  LateStartCopyTest()
      : leadership_(Millis(30'000)),
        tasks_(cluster_, leadership_),
        reconciler_(cluster_, leadership_),
        machine_(add_machine("m-000001")),
        surroundings_(spec_of("j-000001", 1)),
        worker_(machine_.id, worker_type(), "a", false, 10s, surroundings_, now_) {
    leadership_.begin_term(kTerm, Revision(1), now_);
    machine_.incarnation = worker_.incarnation();
    machine_.address = worker_.heartbeat().address;
    tasks_.place_task(add_job(spec_of("j-000001", 1)), 0, AttemptNumber(1), machine_, now_);
    write_records();
  }

  static wire::MachineType worker_type() {
    return {.name = "plain", .cpus = 16, .ram_gb = 64, .fetch_gb_per_s = 1, .zones = {"a"}};
  }

  // Sends a report, and answers it once all that it has caused is durable.
  Answer report() {
    worker_.advance(now_);
    const wire::Heartbeat heartbeat = worker_.heartbeat();
    Answer answer{
        .commands = reconciler_.on_heartbeat(heartbeat, now_), .incarnation = heartbeat.incarnation, .sent = now_};
    write_records();
    for (const wire::Command& command : reconciler_.newly_due_commands(heartbeat, now_)) {
      if (std::ranges::find(answer.commands, command) == answer.commands.end()) answer.commands.push_back(command);
    }
    return answer;
  }
  // An agent drops an answer 4 s after its report.
  void deliver(const Answer& answer) {
    if (now_ - answer.sent > constants::kHeartbeatTimeout) return;
    worker_.answer(kTerm, answer.commands, answer.incarnation, answer.sent, now_);
    worker_.advance(now_);
  }
  // Ends the task that the first answer started, in the given way, and delivers that answer again after each exchange.
  void expect_one_start(const std::function<void()>& end_task) {
    const Answer start = report();
    deliver(start);
    ASSERT_EQ(surroundings_.starts(), 1);
    end_task();
    for (const Instant until = now_ + 2 * constants::kHeartbeatTimeout; now_ < until; now_ += kStep) {
      deliver(report());
      deliver(start);
    }
    EXPECT_EQ(surroundings_.starts(), 1);
    EXPECT_TRUE(worker_.attempts().empty()) << "the agent may forget the task in the end";
    EXPECT_FALSE(machine_.has_unknown_tasks);
  }

  static constexpr Term kTerm{7};

  Leadership leadership_;
  TaskLifecycle tasks_;
  Reconciler reconciler_;
  Machine& machine_;
  CountedStarts surroundings_;
  standins::Worker worker_;
};

TEST_F(LateStartCopyTest, DoesNotStartACancelledTask) {
  expect_one_start([this] { tasks_.cancel_job(cluster_.jobs.at(JobId("j-000001")), now_); });
}

TEST_F(LateStartCopyTest, DoesNotStartATaskThatWasMoved) {
  expect_one_start([this] { tasks_.drain_machine(machine_, "requested by the test"); });
}

TEST_F(LateStartCopyTest, DoesNotStartATaskThatFailed) {
  expect_one_start([this] {
    worker_.attempts().begin()->second.state = wire::TaskState::ended;
    worker_.attempts().begin()->second.reason = wire::EndReason::error;
  });
}

// Guards against copies that reach the agent beside its reports, minutes late: only stop commands go there.
TEST_F(LateStartCopyTest, StartsAreNeverSentDirectly) {
  deliver(report());
  (void)report();
  tasks_.cancel_job(cluster_.jobs.at(JobId("j-000001")), now_);
  int sent = 0;
  for (const Instant until = now_ + 30s; now_ < until; now_ += kStep) {
    for (const DirectStop& direct : tasks_.due_direct_stops(now_)) {
      ++sent;
      for (const wire::Command& command : direct.commands) EXPECT_EQ(command.kind, wire::CommandKind::stop);
    }
  }
  EXPECT_GT(sent, 0);
}

}  // namespace
}  // namespace foxshunt::control
