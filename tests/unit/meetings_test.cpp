// Two troubles at once, where no day of the emulated world meets them at the very moment: docs/design/meetings.md.
#include <gtest/gtest.h>

#include <algorithm>

#include "control/engine.h"

namespace foxshunt::control {
namespace {

using wire::CommandKind;
using wire::EndReason;
using wire::TaskState;

const MachineId kFirst("m-000001");
const MachineId kSecond("m-000002");
const JobId kJob("j-000001");

config::Settings settings() {
  config::Settings settings;
  settings.zones = {"a", "b"};
  settings.teams = {{.name = "red", .cpus = 32, .cpus_max = 32, .gpus = 0, .gpus_max = 0}};
  settings.report_s = 1;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 12;
  settings.operators.may_rent = false;
  return settings;
}

wire::JobSpec job_of(std::uint32_t tasks, wire::JobKind kind = wire::JobKind::array) {
  wire::JobSpec spec;
  spec.id = kJob;
  spec.job_class = "work";
  spec.team = "red";
  spec.kind = kind;
  spec.tasks = tasks;
  spec.cpus = 8;
  spec.image = "img";
  spec.estimate_s = 60;
  return spec;
}

class Meetings : public testing::Test {
 protected:
  Meetings() : engine_(settings()) {
    engine_.on_types({{.name = "plain", .cpus = 16, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"a", "b"}}});
  }

  void lead(Term term, Revision mark, std::vector<state::Entry> live = {}, std::vector<state::Entry> linger = {}) {
    Takeover takeover;
    takeover.term = term;
    takeover.term_mark = mark;
    takeover.others_until = now_ + Millis(20'000);
    takeover.live = std::move(live);
    takeover.linger = std::move(linger);
    engine_.lead(takeover, now_);
    know_all();
  }

  void know_all() {
    engine_.confirm_lease(now_);
    engine_.confirm_reading(now_);
  }

  static wire::TaskReport task(std::uint32_t index, TaskState state, EndReason reason = EndReason::none) {
    return {.task = {kJob, index}, .attempt = AttemptNo(1), .state = state, .reason = reason, .saved = false};
  }

  std::optional<std::vector<wire::Command>> report(const MachineId& machine, std::uint64_t session,
                                                   std::uint64_t sequence, Term seen,
                                                   std::vector<wire::TaskReport> tasks) {
    wire::Report made;
    made.machine = machine;
    made.address = "127.0.0.1:1";
    made.type = "plain";
    made.zone = "a";
    made.session = SessionNo(session);
    made.sequence = sequence;
    made.term = seen;
    made.tasks = std::move(tasks);
    return engine_.on_report(made, now_);
  }

  // A record that places the job's tasks, by index, with its first attempt.
  static state::Entry placed(const std::string& key, const wire::JobSpec& spec,
                             const std::vector<std::pair<MachineId, std::uint64_t>>& machines_and_sessions) {
    state::JobRecord record = state::new_job(spec, 0);
    record.whole->next = AttemptNo(2);
    std::uint32_t index = 0;
    for (const auto& [machine, session] : machines_and_sessions) {
      record.whole->runs.push_back(
          {.index = index++, .attempt = AttemptNo(1), .machine = machine, .session = SessionNo(session)});
    }
    return {.key = key, .data = state::to_value(record), .mark = Revision(2)};
  }

  Instant now_{Millis(1'000'000)};
  Engine engine_;
};

// The machine lost its session while its gang gathered, and got the lost task again, with the same attempt number, in its
// next one. What it had told before, that its start was refused, was held up until a leader with no memory has begun.
TEST_F(Meetings, AReportOfTheSessionBeforeTellsANewLeaderNothingOfTheSameAttempt) {
  const wire::JobSpec spec = job_of(2, wire::JobKind::gang);
  lead(Term(7), Revision(1), {placed(state::live_key(kJob), spec, {{kFirst, 2}, {kSecond, 1}})});
  ASSERT_TRUE(report(kFirst, 1, 40, Term(6), {task(0, TaskState::ended, EndReason::no_room)}));
  EXPECT_EQ(engine_.jobs().at(kJob).runs_count, 2U) << "the task is taken for gone while it runs";
  ASSERT_TRUE(report(kFirst, 2, 3, Term(7), {task(0, TaskState::running)}));
  ASSERT_TRUE(report(kSecond, 1, 50, Term(7), {task(1, TaskState::running)}));
  EXPECT_EQ(engine_.jobs().at(kJob).runs_count, 2U);
  for (const auto& [unused, run] : engine_.jobs().at(kJob).parts[0].runs) EXPECT_FALSE(run.halting);
}

// A new leader reads live/ and then linger/. A job that is called off between the two is found in both; it is one job, whose
// tasks count once for the limit, are proved gone, and are forgotten.
TEST_F(Meetings, AJobCalledOffWhileTheRecordsAreReadIsOneJob) {
  const wire::JobSpec spec = job_of(2);
  lead(Term(7), Revision(1), {placed(state::live_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})},
       {placed(state::linger_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})});
  EXPECT_EQ(engine_.disagreement(), std::nullopt);
  ASSERT_TRUE(engine_.jobs().contains(kJob));
  EXPECT_TRUE(engine_.jobs().at(kJob).withdrawn);
  engine_.on_job_removed(kJob, now_);  // by the watch, which begins at what was read first
  wire::JobSpec next = job_of(4);
  next.id = JobId("j-000002");
  engine_.on_job_record(next.id, state::to_value(state::new_job(next, 0)), Revision(20), 0, now_);
  for (const char* name : {"m-000001", "m-000002", "m-000003"}) (void)report(MachineId(name), 1, 10, Term(7), {});
  EXPECT_FALSE(engine_.jobs().at(kJob).runs_count > 0) << "what is proved gone counts still";
  engine_.plan_pass(now_);
  EXPECT_EQ(engine_.jobs().at(next.id).runs_count, 4U) << "of 8 CPUs each, for a limit of 32";
  const auto write = engine_.begin_write(now_);
  ASSERT_TRUE(write);
  engine_.end_write(*write, {.answer = state::Answer::ok, .revision = Revision(30), .failed = {}}, now_);
  EXPECT_FALSE(engine_.jobs().contains(kJob)) << "it is never forgotten";
  EXPECT_EQ(engine_.disagreement(), std::nullopt);
}

// The watch was too far behind, and the whole list was asked for; its answer was held up until the node leads once more. A
// job that was accepted meanwhile is not in it, and one that is over is.
TEST_F(Meetings, AListThatAnEarlierLeadReadTellsTheNextOneNothing) {
  lead(Term(7), Revision(1));
  wire::JobSpec over = job_of(1);
  over.id = JobId("j-000009");
  const std::vector<state::Entry> before{placed(state::live_key(over.id), over, {{kFirst, 1}})};
  lead(Term(9), Revision(50), {placed(state::live_key(kJob), job_of(1), {{kSecond, 1}})});
  EXPECT_FALSE(engine_.on_job_list(Term(7), before, 0, now_));
  EXPECT_FALSE(engine_.jobs().at(kJob).withdrawn) << "an accepted job would never run";
  EXPECT_FALSE(engine_.jobs().contains(over.id)) << "it is over";
  // What this lead reads counts.
  EXPECT_TRUE(engine_.on_job_list(Term(9), before, 0, now_));
  EXPECT_TRUE(engine_.jobs().at(kJob).withdrawn);
  EXPECT_TRUE(engine_.jobs().contains(over.id));
}

}  // namespace
}  // namespace foxshunt::control
