// Two troubles at once, where no day of the emulated world meets them at the very moment: docs/design/concurrent-faults.md.
#include <gtest/gtest.h>

#include <algorithm>

#include "control/controller.h"
#include "config/constants.h"
#include "standins/state_store.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

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
  settings.heartbeat_interval_s = 1;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 12;
  settings.operators.can_scale_out = false;
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

class ConcurrentFaults : public testing::Test {
 protected:
  ConcurrentFaults() : controller_(settings()) {
    controller_.on_machine_types(
        {{.name = "plain", .cpus = 16, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"a", "b"}}});
  }

  void become_leader(Term term, Revision revision, std::vector<kv::Entry> live = {},
                     std::vector<kv::Entry> linger = {}) {
    FailoverSnapshot failover;
    failover.term = term;
    failover.term_revision = revision;
    failover.older_leaders_until = now_ + Millis(20'000);
    failover.active_jobs = std::move(live);
    failover.terminating_jobs = std::move(linger);
    controller_.become_leader(failover, now_);
    know_all();
  }

  void know_all() {
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
  }

  static wire::TaskStatus task(std::uint32_t index, TaskState state, EndReason reason = EndReason::none) {
    return {.task = {kJob, index}, .attempt = AttemptNumber(1), .state = state, .reason = reason, .saved = false};
  }

  std::optional<std::vector<wire::Command>> heartbeat(const MachineId& machine, std::uint64_t incarnation,
                                                      std::uint64_t sequence, Term seen,
                                                      std::vector<wire::TaskStatus> tasks) {
    wire::Heartbeat made;
    made.machine = machine;
    made.address = "127.0.0.1:1";
    made.type = "plain";
    made.zone = "a";
    made.incarnation = AgentIncarnation(incarnation);
    made.sequence = sequence;
    made.term = seen;
    made.tasks = std::move(tasks);
    return controller_.on_heartbeat(made, now_);
  }

  // A record that places the job's tasks, by index, with its first attempt.
  static kv::Entry placed(const std::string& key, const wire::JobSpec& spec,
                          const std::vector<std::pair<MachineId, std::uint64_t>>& machines_and_sessions) {
    state::JobRecord record = state::new_job(spec, 0);
    record.whole->next = AttemptNumber(2);
    std::uint32_t index = 0;
    for (const auto& [machine, incarnation] : machines_and_sessions) {
      record.whole->allocations.push_back({.index = index++,
                                           .attempt = AttemptNumber(1),
                                           .machine = machine,
                                           .incarnation = AgentIncarnation(incarnation)});
    }
    return {.key = key, .data = state::to_value(record), .revision = Revision(2)};
  }

  Instant now_{Millis(1'000'000)};
  Controller controller_;
};

// The machine lost its session while its gang gathered, and got the lost task again, with the same attempt number, in its
// next one. What it had told before, that its start was refused, was held up until a leader with no memory has begun.
TEST_F(ConcurrentFaults, AReportOfTheSessionBeforeTellsANewLeaderNothingOfTheSameAttempt) {
  const wire::JobSpec spec = job_of(2, wire::JobKind::gang);
  become_leader(Term(7), Revision(1), {placed(state::active_job_key(kJob), spec, {{kFirst, 2}, {kSecond, 1}})});
  ASSERT_TRUE(heartbeat(kFirst, 1, 40, Term(6), {task(0, TaskState::ended, EndReason::no_room)}));
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 2U) << "the task is taken for gone while it runs";
  ASSERT_TRUE(heartbeat(kFirst, 2, 3, Term(7), {task(0, TaskState::running)}));
  ASSERT_TRUE(heartbeat(kSecond, 1, 50, Term(7), {task(1, TaskState::running)}));
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 2U);
  for (const auto& [unused, run] : controller_.jobs().at(kJob).shards[0].allocations) EXPECT_FALSE(run.stopping);
}

// A new leader reads live/ and then linger/. A job that is called off between the two is found in both; it is one job, whose
// tasks count once for the limit, are proved gone, and are forgotten.
TEST_F(ConcurrentFaults, AJobCalledOffWhileTheRecordsAreReadIsOneJob) {
  const wire::JobSpec spec = job_of(2);
  become_leader(Term(7), Revision(1), {placed(state::active_job_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})},
                {placed(state::terminating_job_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})});
  EXPECT_EQ(controller_.find_inconsistency(), std::nullopt);
  ASSERT_TRUE(controller_.jobs().contains(kJob));
  EXPECT_TRUE(controller_.jobs().at(kJob).cancelled);
  controller_.on_job_removed(kJob, now_);  // by the watch, which begins at what was read first
  wire::JobSpec next = job_of(4);
  next.id = JobId("j-000002");
  controller_.on_job_record(next.id, state::to_value(state::new_job(next, 0)), Revision(20), 0, now_);
  for (const char* name : {"m-000001", "m-000002", "m-000003"}) (void)heartbeat(MachineId(name), 1, 10, Term(7), {});
  EXPECT_FALSE(controller_.jobs().at(kJob).allocation_count > 0) << "what is proved gone counts still";
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(next.id).allocation_count, 4U) << "of 8 CPUs each, for a limit of 32";
  const auto write = controller_.begin_write(now_);
  ASSERT_TRUE(write);
  controller_.end_write(*write, {.answer = kv::Answer::ok, .revision = Revision(30), .failed = {}}, now_);
  EXPECT_FALSE(controller_.jobs().contains(kJob)) << "it is never forgotten";
  EXPECT_EQ(controller_.find_inconsistency(), std::nullopt);
}

// The watch was too far behind, and the whole list was asked for; its answer was held up until the node leads once more. A
// job that was accepted meanwhile is not in it, and one that is over is.
TEST_F(ConcurrentFaults, AListThatAnEarlierLeadReadTellsTheNextOneNothing) {
  become_leader(Term(7), Revision(1));
  wire::JobSpec over = job_of(1);
  over.id = JobId("j-000009");
  const std::vector<kv::Entry> before{placed(state::active_job_key(over.id), over, {{kFirst, 1}})};
  become_leader(Term(9), Revision(50), {placed(state::active_job_key(kJob), job_of(1), {{kSecond, 1}})});
  EXPECT_FALSE(controller_.on_job_list(Term(7), before, 0, now_));
  EXPECT_FALSE(controller_.jobs().at(kJob).cancelled) << "an accepted job would never run";
  EXPECT_FALSE(controller_.jobs().contains(over.id)) << "it is over";
  // What this lead reads counts.
  EXPECT_TRUE(controller_.on_job_list(Term(9), before, 0, now_));
  EXPECT_TRUE(controller_.jobs().at(kJob).cancelled);
  EXPECT_TRUE(controller_.jobs().contains(over.id));
}

// Tasks that are to be spread over zones lose their leader and a machine that nobody has heard of since: until it is known
// where that one stands, the next task may be one too many in its zone.
TEST_F(ConcurrentFaults, NoTaskIsSpreadBesideOneWhoseZoneIsUnknown) {
  wire::JobSpec spec = job_of(2);
  spec.spread = true;
  become_leader(Term(7), Revision(1), {placed(state::active_job_key(kJob), spec, {{kSecond, 1}})});
  (void)heartbeat(kFirst, 1, 10, Term(7), {});
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 1U);
  (void)heartbeat(kSecond, 1, 10, Term(7), {task(0, TaskState::running)});  // in zone a as well
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 1U);
}

// Leaders, users and a state service that carries a transaction out when the test says so.
class ConcurrentFaultsAtTheStore : public ConcurrentFaults {
 protected:
  ConcurrentFaultsAtTheStore() : next_(settings()) { next_.on_machine_types(controller_.machine_types()); }

  void acquire_leadership(Controller& controller, const NodeName& node) {
    const state::LeadershipView view =
        state::leadership_view(store_.get(state::kLeaderKey), store_.get(state::kTermKey));
    const kv::LeaseId lease = store_.grant_lease(Millis(4000), now_);
    const kv::TxnResult taken = store_.txn(state::acquire_leadership_txn(view, node, lease, 0));
    ASSERT_EQ(taken.answer, kv::Answer::ok);
    FailoverSnapshot failover;
    failover.term = view.record.term.next();
    failover.term_revision = taken.revision;
    failover.older_leaders_until = now_;
    failover.active_jobs = store_.list(state::kActiveJobPrefix).entries;
    failover.terminating_jobs = store_.list(state::kTerminatingJobPrefix).entries;
    controller.become_leader(failover, now_);
    controller.on_leader_lease_renewed(now_);
    controller.on_records_confirmed(now_);
  }

  kv::TxnResult submit(const wire::JobSpec& spec) { return store_.txn(state::create_job_txn(state::new_job(spec, 0))); }

  // The job is accepted, the first controller leads, its only machine reports, and a pass places what fits.
  void accept_and_plan(const wire::JobSpec& spec) {
    ASSERT_EQ(submit(spec).answer, kv::Answer::ok);
    acquire_leadership(controller_, NodeName("node-0"));
    (void)report_to(controller_);
    controller_.plan_pass(now_);
  }

  // What the leader's watch tells.
  void watch(Controller& controller) {
    const kv::WatchResult news = store_.watch(state::kActiveJobPrefix, seen_);
    for (const kv::Event& event : news.events) {
      const JobId id = *state::job_of_key(event.key);
      if (event.data) {
        controller.on_job_record(id, *event.data, event.revision, 0, now_);
      } else {
        controller.on_job_removed(id, now_);
      }
    }
    seen_ = news.revision;
  }

  std::optional<std::vector<wire::Command>> report_to(Controller& controller,
                                                      std::vector<wire::TaskStatus> tasks = {}) {
    wire::Heartbeat made;
    made.machine = kFirst;
    made.address = "127.0.0.1:1";
    made.type = "plain";
    made.zone = "a";
    made.incarnation = AgentIncarnation(1);
    made.sequence = ++sequence_;
    made.term = controller.term();
    made.tasks = std::move(tasks);
    return controller.on_heartbeat(made, now_);
  }

  // The write that the controller wants next; what becomes of it is the test's.
  WriteBatch written(Controller& controller) {
    const auto batch = controller.begin_write(now_);
    EXPECT_TRUE(batch);
    return batch.value_or(WriteBatch{});
  }
  void carry_out(Controller& controller) {
    const WriteBatch batch = written(controller);
    controller.end_write(batch, store_.txn(batch.txn), now_);
  }
  void lose_answer(Controller& controller, const WriteBatch& batch) {
    controller.end_write(batch, {.answer = kv::Answer::none, .revision = {}, .failed = {}}, now_);
  }
  static bool starts(const std::optional<std::vector<wire::Command>>& commands) {
    return commands && std::ranges::any_of(
                           *commands, [](const wire::Command& command) { return command.kind == CommandKind::run; });
  }
  [[nodiscard]] bool is_live() const { return store_.get(state::active_job_key(kJob)).answer == kv::Answer::ok; }

  standins::StateStore store_;
  Controller next_;
  Revision seen_;
  std::uint64_t sequence_ = 0;
};

// New machines get work at once while writes lag, and the leader ends: its placement is carried out when its successor has
// taken the lead and read the records, which know of none.
TEST_F(ConcurrentFaultsAtTheStore, APlacementThatLagsIsRefusedOnceTheNextLeads) {
  accept_and_plan(job_of(1));
  const WriteBatch late = written(controller_);
  lose_answer(controller_, late);
  EXPECT_FALSE(starts(report_to(controller_))) << "it may never be written";
  store_.expire(now_ + Millis(9000));
  acquire_leadership(next_, NodeName("node-1"));
  EXPECT_EQ(store_.txn(late.txn).answer, kv::Answer::conflict);
  (void)report_to(next_);
  next_.plan_pass(now_);
  carry_out(next_);
  EXPECT_TRUE(starts(report_to(next_))) << "written at once, as nothing came between";
}

// A transaction without an answer is carried out after newer ones of the same controller: the job has run and is over.
TEST_F(ConcurrentFaultsAtTheStore, APlacementThatLagsBringsNothingBackThatIsOver) {
  accept_and_plan(job_of(1));
  const WriteBatch late = written(controller_);
  lose_answer(controller_, late);
  carry_out(controller_);
  ASSERT_TRUE(starts(report_to(controller_)));
  (void)report_to(controller_, {task(0, TaskState::ended, EndReason::done)});
  carry_out(controller_);
  ASSERT_FALSE(is_live());
  EXPECT_EQ(store_.txn(late.txn).answer, kv::Answer::conflict);
  EXPECT_FALSE(is_live()) << "it would run again, and its user would hear that it waits";
}

// A write on a part of a large job gets no answer and is carried out after a newer one on the same part, while the job's own
// record has not changed: the outcomes that the newer one tells would be lost.
TEST_F(ConcurrentFaultsAtTheStore, AWriteOnAPartThatLagsTakesNothingBack) {
  wire::JobSpec spec = job_of(constants::kTasksPerShard + 2);
  spec.cpus = 0.1;
  accept_and_plan(spec);
  carry_out(controller_);
  ASSERT_TRUE(starts(report_to(controller_)));
  const wire::TaskStatus first = task(0, TaskState::ended, EndReason::done);
  wire::TaskStatus second = task(1, TaskState::ended, EndReason::done);
  second.attempt = AttemptNumber(2);
  (void)report_to(controller_, {first});
  const WriteBatch late = written(controller_);
  lose_answer(controller_, late);
  (void)report_to(controller_, {first, second});
  carry_out(controller_);
  const auto done = [&] {
    const kv::GetResult found = store_.get(state::job_shard_key(kJob, 0));
    return state::job_shard_from(found.entry.data, constants::kTasksPerShard).done;
  };
  ASSERT_TRUE(done()[0] && done()[1]);
  EXPECT_EQ(store_.txn(late.txn).answer, kv::Answer::conflict);
  EXPECT_TRUE(done()[1]);
}

// Only the answer is lost, and others read what was written: the next write meets it, reads it again, and goes on from there.
TEST_F(ConcurrentFaultsAtTheStore, AWriteWhoseAnswerIsLostIsReadAgain) {
  accept_and_plan(job_of(1));
  const WriteBatch first = written(controller_);
  ASSERT_EQ(store_.txn(first.txn).answer, kv::Answer::ok);
  lose_answer(controller_, first);
  carry_out(controller_);
  EXPECT_FALSE(starts(report_to(controller_))) << "what is there has not been looked at";
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, store_.get(reload->key()).entry.revision, now_);
  carry_out(controller_);
  EXPECT_TRUE(starts(report_to(controller_)));
}

// A user's cancellation is carried out late, when the job that it read as waiting runs: it would leave no word of the task.
// The repeated one does, and the next leader knows of it.
TEST_F(ConcurrentFaultsAtTheStore, ACancellationThatLagsMissesNoPlacement) {
  ASSERT_EQ(submit(job_of(1)).answer, kv::Answer::ok);
  acquire_leadership(controller_, NodeName("node-0"));
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  const kv::Txn late = state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision);
  (void)report_to(controller_);
  controller_.plan_pass(now_);
  carry_out(controller_);
  ASSERT_TRUE(starts(report_to(controller_)));
  EXPECT_EQ(store_.txn(late).answer, kv::Answer::conflict);
  const kv::GetResult runs = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(runs.answer, kv::Answer::ok);
  EXPECT_EQ(store_.txn(state::cancel_job_txn(state::job_from(runs.entry.data), runs.entry.revision)).answer,
            kv::Answer::ok);
  store_.expire(now_ + Millis(9000));
  acquire_leadership(next_, NodeName("node-1"));
  ASSERT_TRUE(next_.jobs().contains(kJob)) << "nobody would stop its task, nor count it";
  EXPECT_EQ(next_.jobs().at(kJob).allocation_count, 1U);
  const auto answer = report_to(next_, {task(0, TaskState::running)});
  ASSERT_TRUE(answer);
  EXPECT_EQ(std::ranges::count(*answer, CommandKind::stop, &wire::Command::kind), 1);
}

// A cancellation is confirmed while a placement is on its way: the placement fails, and is never started.
TEST_F(ConcurrentFaultsAtTheStore, APlacementMeetsAConfirmedCancellation) {
  ASSERT_EQ(submit(job_of(1)).answer, kv::Answer::ok);
  acquire_leadership(controller_, NodeName("node-0"));
  seen_ = store_.revision();
  (void)report_to(controller_);
  controller_.plan_pass(now_);
  const WriteBatch batch = written(controller_);
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(store_.txn(state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision)).answer,
            kv::Answer::ok);
  controller_.end_write(batch, store_.txn(batch.txn), now_);
  EXPECT_FALSE(starts(report_to(controller_)));
  EXPECT_FALSE(is_live()) << "called off for its user, it would run";
  watch(controller_);
  if (const auto reload = controller_.next_reload()) controller_.on_reloaded(*reload, std::nullopt, now_);
  EXPECT_FALSE(starts(report_to(controller_)));
  EXPECT_EQ(controller_.jobs().contains(kJob) ? controller_.jobs().at(kJob).allocation_count : 0, 0U);
}

// A cancellation that has read the job as running is carried out just after its last task's end was written, or just before:
// one of the two fails, and the user hears the other for good.
TEST_F(ConcurrentFaultsAtTheStore, ACancellationMeetsTheEndOfTheLastTask) {
  for (const bool end_first : {true, false}) {
    SCOPED_TRACE(end_first);
    store_ = {};
    sequence_ = 0;
    ASSERT_EQ(submit(job_of(1)).answer, kv::Answer::ok);
    acquire_leadership(controller_, NodeName("node-0"));
    (void)report_to(controller_);
    controller_.plan_pass(now_);
    carry_out(controller_);
    ASSERT_TRUE(starts(report_to(controller_)));
    const kv::GetResult runs = store_.get(state::active_job_key(kJob));
    const kv::Txn cancellation = state::cancel_job_txn(state::job_from(runs.entry.data), runs.entry.revision);
    (void)report_to(controller_, {task(0, TaskState::ended, EndReason::done)});
    const WriteBatch end = written(controller_);
    EXPECT_EQ(store_.txn(end_first ? end.txn : cancellation).answer, kv::Answer::ok);
    EXPECT_EQ(store_.txn(end_first ? cancellation : end.txn).answer, kv::Answer::conflict);
    const kv::GetResult over = store_.get(state::finished_job_key(kJob));
    ASSERT_EQ(over.answer, kv::Answer::ok);
    EXPECT_EQ(state::finished_job_from(kJob, over.entry.data).state,
              end_first ? wire::JobState::done : wire::JobState::cancelled);
    EXPECT_FALSE(is_live());
  }
}

// A submission without an answer is carried out when the repeated one has been accepted and its job is over.
TEST_F(ConcurrentFaultsAtTheStore, ASubmissionThatLagsIsRefusedOnceItsJobIsOver) {
  const kv::Txn late = state::create_job_txn(state::new_job(job_of(1), 0));
  ASSERT_EQ(submit(job_of(1)).answer, kv::Answer::ok);
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(store_.txn(state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision)).answer,
            kv::Answer::ok);
  EXPECT_EQ(store_.txn(late).answer, kv::Answer::conflict);
  EXPECT_FALSE(is_live());
}

}  // namespace
}  // namespace foxshunt::control
