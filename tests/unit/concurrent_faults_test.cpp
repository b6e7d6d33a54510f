// Tests of two faults at once, in interleavings that simulated days do not reach: docs/design/concurrent-faults.md.
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

wire::JobSpec make_job_spec(std::uint32_t tasks, wire::JobKind kind = wire::JobKind::array) {
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

  void become_leader(Term term, Revision revision, std::vector<kv::Entry> active_entries = {},
                     std::vector<kv::Entry> terminating_entries = {}) {
    FailoverSnapshot failover;
    failover.term = term;
    failover.term_revision = revision;
    failover.older_leaders_until = now_ + Millis(20'000);
    failover.active_jobs = std::move(active_entries);
    failover.terminating_jobs = std::move(terminating_entries);
    controller_.become_leader(failover, now_);
    confirm_leadership();
  }

  void confirm_leadership() {
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
  }

  static wire::TaskStatus task_status(std::uint32_t index, TaskState state, EndReason reason = EndReason::none) {
    return {.task = {kJob, index}, .attempt = AttemptNumber(1), .state = state, .reason = reason, .saved = false};
  }

  std::optional<std::vector<wire::Command>> send_heartbeat(const MachineId& machine, std::uint64_t incarnation,
                                                           std::uint64_t sequence, Term seen_term,
                                                           std::vector<wire::TaskStatus> tasks) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.address = "127.0.0.1:1";
    heartbeat.type = "plain";
    heartbeat.zone = "a";
    heartbeat.incarnation = AgentIncarnation(incarnation);
    heartbeat.sequence = sequence;
    heartbeat.term = seen_term;
    heartbeat.tasks = std::move(tasks);
    return controller_.on_heartbeat(heartbeat, now_);
  }

  // Returns a job record that places task i, in its first attempt, on the i-th of the given machines and agent
  // incarnations.
  static kv::Entry job_entry_placed_on(
      const std::string& key, const wire::JobSpec& spec,
      const std::vector<std::pair<MachineId, std::uint64_t>>& machines_and_incarnations) {
    state::JobRecord record = state::new_job(spec, 0);
    record.only_shard->next_attempt = AttemptNumber(2);
    std::uint32_t index = 0;
    for (const auto& [machine, incarnation] : machines_and_incarnations) {
      record.only_shard->allocations.push_back({.index = index++,
                                                .attempt = AttemptNumber(1),
                                                .machine = machine,
                                                .incarnation = AgentIncarnation(incarnation)});
    }
    return {.key = key, .data = state::to_value(record), .revision = Revision(2)};
  }

  Instant now_{Millis(1'000'000)};
  Controller controller_;
};

// A machine's agent restarted while the start barrier of a gang was held. The lost task was started again, with the
// same attempt number, in the new incarnation. A heartbeat of the earlier incarnation reported a refused start and was
// delayed until a new leader has started, which knows only the records.
TEST_F(ConcurrentFaults, AHeartbeatOfAnEarlierIncarnationDoesNotEndTheSameAttempt) {
  const wire::JobSpec spec = make_job_spec(2, wire::JobKind::gang);
  become_leader(Term(7), Revision(1),
                {job_entry_placed_on(state::active_job_key(kJob), spec, {{kFirst, 2}, {kSecond, 1}})});
  ASSERT_TRUE(send_heartbeat(kFirst, 1, 40, Term(6), {task_status(0, TaskState::ended, EndReason::no_room)}));
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 2U) << "the task is treated as terminated while it runs";
  ASSERT_TRUE(send_heartbeat(kFirst, 2, 3, Term(7), {task_status(0, TaskState::running)}));
  ASSERT_TRUE(send_heartbeat(kSecond, 1, 50, Term(7), {task_status(1, TaskState::running)}));
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 2U);
  for (const auto& [unused, allocation] : controller_.jobs().at(kJob).shards[0].allocations)
    EXPECT_FALSE(allocation.stopping);
}

// A new leader reads live/ and then linger/. A job that is cancelled between the two reads is found in both. It must be
// restored as one job: its tasks count once for the team quota, are confirmed terminated, and the job is then removed.
TEST_F(ConcurrentFaults, AJobCancelledWhileRecordsAreReadIsRestoredOnce) {
  const wire::JobSpec spec = make_job_spec(2);
  become_leader(Term(7), Revision(1),
                {job_entry_placed_on(state::active_job_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})},
                {job_entry_placed_on(state::terminating_job_key(kJob), spec, {{kFirst, 1}, {kSecond, 1}})});
  EXPECT_EQ(controller_.find_inconsistency(), std::nullopt);
  ASSERT_TRUE(controller_.jobs().contains(kJob));
  EXPECT_TRUE(controller_.jobs().at(kJob).cancelled);
  controller_.on_job_removed(kJob, now_);  // by the watch, which starts at the revision of the first read
  wire::JobSpec next = make_job_spec(4);
  next.id = JobId("j-000002");
  controller_.on_job_record(next.id, state::to_value(state::new_job(next, 0)), Revision(20), 0, now_);
  for (const char* name : {"m-000001", "m-000002", "m-000003"})
    (void)send_heartbeat(MachineId(name), 1, 10, Term(7), {});
  EXPECT_FALSE(controller_.jobs().at(kJob).allocation_count > 0) << "confirmed terminated tasks still count";
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(next.id).allocation_count, 4U) << "4 tasks of 8 CPUs each fit the quota of 32";
  const auto write = controller_.begin_write(now_);
  ASSERT_TRUE(write);
  controller_.end_write(*write, {.status = kv::Status::ok, .revision = Revision(30), .failed_keys = {}}, now_);
  EXPECT_FALSE(controller_.jobs().contains(kJob)) << "the job is never removed";
  EXPECT_EQ(controller_.find_inconsistency(), std::nullopt);
}

// The watch fell too far behind and the leader requested a complete listing. The answer is delayed until the node leads
// in a later term. A job that was accepted meanwhile is missing from the listing, and a job that has finished is still
// in it.
TEST_F(ConcurrentFaults, IgnoresAJobListingReadInAnEarlierTerm) {
  become_leader(Term(7), Revision(1));
  wire::JobSpec finished = make_job_spec(1);
  finished.id = JobId("j-000009");
  const std::vector<kv::Entry> earlier_listing{
      job_entry_placed_on(state::active_job_key(finished.id), finished, {{kFirst, 1}})};
  become_leader(Term(9), Revision(50),
                {job_entry_placed_on(state::active_job_key(kJob), make_job_spec(1), {{kSecond, 1}})});
  EXPECT_FALSE(controller_.on_job_list(Term(7), earlier_listing, 0, now_));
  EXPECT_FALSE(controller_.jobs().at(kJob).cancelled) << "the accepted job would never run";
  EXPECT_FALSE(controller_.jobs().contains(finished.id)) << "the job is finished";
  // A listing read in the current term is applied.
  EXPECT_TRUE(controller_.on_job_list(Term(9), earlier_listing, 0, now_));
  EXPECT_TRUE(controller_.jobs().at(kJob).cancelled);
  EXPECT_TRUE(controller_.jobs().contains(finished.id));
}

// A job's tasks are to be spread over zones. After a failover, a machine with one of them has not reported yet. Until
// its zone is known, placing the next task may exceed the limit of that zone.
TEST_F(ConcurrentFaults, PlacesNoTaskOfASpreadJobWhileAZoneIsUnknown) {
  wire::JobSpec spec = make_job_spec(2);
  spec.spread = true;
  become_leader(Term(7), Revision(1), {job_entry_placed_on(state::active_job_key(kJob), spec, {{kSecond, 1}})});
  (void)send_heartbeat(kFirst, 1, 10, Term(7), {});
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 1U);
  (void)send_heartbeat(kSecond, 1, 10, Term(7), {task_status(0, TaskState::running)});  // in zone a as well
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).allocation_count, 1U);
}

// Two controllers, a user and a state store. The test decides when the store executes each transaction.
class ConcurrentFaultsWithStore : public ConcurrentFaults {
 protected:
  ConcurrentFaultsWithStore() : next_controller_(settings()) {
    next_controller_.on_machine_types(controller_.machine_types());
  }

  void acquire_leadership(Controller& controller, const NodeName& node) {
    const state::LeadershipView view =
        state::leadership_view(store_.get(state::kLeaderKey), store_.get(state::kTermKey));
    const kv::LeaseId lease = store_.grant_lease(Millis(4000), now_);
    const kv::TxnResult taken = store_.txn(state::acquire_leadership_txn(view, node, lease, 0));
    ASSERT_EQ(taken.status, kv::Status::ok);
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

  // Submits the job, makes the first controller leader, sends a heartbeat of its only machine and runs a planning pass.
  void accept_and_plan(const wire::JobSpec& spec) {
    ASSERT_EQ(submit(spec).status, kv::Status::ok);
    acquire_leadership(controller_, NodeName("node-0"));
    (void)send_heartbeat_to(controller_);
    controller_.plan_pass(now_);
  }

  // Delivers the store's events on active jobs since the last call to the controller.
  void deliver_watch_events(Controller& controller) {
    const kv::WatchResult watch_result = store_.watch(state::kActiveJobPrefix, watched_revision_);
    for (const kv::Event& event : watch_result.events) {
      const JobId id = *state::job_of_key(event.key);
      if (event.data) {
        controller.on_job_record(id, *event.data, event.revision, 0, now_);
      } else {
        controller.on_job_removed(id, now_);
      }
    }
    watched_revision_ = watch_result.revision;
  }

  std::optional<std::vector<wire::Command>> send_heartbeat_to(Controller& controller,
                                                              std::vector<wire::TaskStatus> tasks = {}) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = kFirst;
    heartbeat.address = "127.0.0.1:1";
    heartbeat.type = "plain";
    heartbeat.zone = "a";
    heartbeat.incarnation = AgentIncarnation(1);
    heartbeat.sequence = ++sequence_;
    heartbeat.term = controller.term();
    heartbeat.tasks = std::move(tasks);
    return controller.on_heartbeat(heartbeat, now_);
  }

  // Begins the controller's next write. The test decides whether and when it is executed.
  WriteBatch begin_next_write(Controller& controller) {
    const auto batch = controller.begin_write(now_);
    EXPECT_TRUE(batch);
    return batch.value_or(WriteBatch{});
  }
  void complete_next_write(Controller& controller) {
    const WriteBatch batch = begin_next_write(controller);
    controller.end_write(batch, store_.txn(batch.txn), now_);
  }
  void end_without_answer(Controller& controller, const WriteBatch& batch) {
    controller.end_write(batch, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  }
  static bool has_run_command(const std::optional<std::vector<wire::Command>>& commands) {
    return commands && std::ranges::any_of(
                           *commands, [](const wire::Command& command) { return command.kind == CommandKind::run; });
  }
  [[nodiscard]] bool is_job_active() const { return store_.get(state::active_job_key(kJob)).status == kv::Status::ok; }

  standins::StateStore store_;
  Controller next_controller_;
  Revision watched_revision_;
  std::uint64_t sequence_ = 0;
};

// A placement write is delayed and its leader fails. The store executes the write after the next leader has acquired
// leadership and has read the records, which do not contain the placement.
TEST_F(ConcurrentFaultsWithStore, ADelayedPlacementWriteFailsUnderTheNextLeader) {
  accept_and_plan(make_job_spec(1));
  const WriteBatch delayed = begin_next_write(controller_);
  end_without_answer(controller_, delayed);
  EXPECT_FALSE(has_run_command(send_heartbeat_to(controller_))) << "the placement may never become durable";
  store_.expire(now_ + Millis(9000));
  acquire_leadership(next_controller_, NodeName("node-1"));
  EXPECT_EQ(store_.txn(delayed.txn).status, kv::Status::conflict);
  (void)send_heartbeat_to(next_controller_);
  next_controller_.plan_pass(now_);
  complete_next_write(next_controller_);
  EXPECT_TRUE(has_run_command(send_heartbeat_to(next_controller_))) << "the write succeeds at once, without a conflict";
}

// A transaction without an answer is executed after newer ones of the same controller, when the job has run and
// finished.
TEST_F(ConcurrentFaultsWithStore, ADelayedPlacementWriteDoesNotReviveAFinishedJob) {
  accept_and_plan(make_job_spec(1));
  const WriteBatch delayed = begin_next_write(controller_);
  end_without_answer(controller_, delayed);
  complete_next_write(controller_);
  ASSERT_TRUE(has_run_command(send_heartbeat_to(controller_)));
  (void)send_heartbeat_to(controller_, {task_status(0, TaskState::ended, EndReason::done)});
  complete_next_write(controller_);
  ASSERT_FALSE(is_job_active());
  EXPECT_EQ(store_.txn(delayed.txn).status, kv::Status::conflict);
  EXPECT_FALSE(is_job_active()) << "the job would run again, and its user would see it as waiting";
}

// A write on a shard of a large job gets no answer and is executed after a newer write on the same shard. The job's own
// record has not changed. If the delayed write succeeded, the task outcomes in the newer one would be lost.
TEST_F(ConcurrentFaultsWithStore, ADelayedShardWriteDoesNotOverwriteANewerOne) {
  wire::JobSpec spec = make_job_spec(constants::kTasksPerShard + 2);
  spec.cpus = 0.1;
  accept_and_plan(spec);
  complete_next_write(controller_);
  ASSERT_TRUE(has_run_command(send_heartbeat_to(controller_)));
  const wire::TaskStatus first = task_status(0, TaskState::ended, EndReason::done);
  wire::TaskStatus second = task_status(1, TaskState::ended, EndReason::done);
  second.attempt = AttemptNumber(2);
  (void)send_heartbeat_to(controller_, {first});
  const WriteBatch delayed = begin_next_write(controller_);
  end_without_answer(controller_, delayed);
  (void)send_heartbeat_to(controller_, {first, second});
  complete_next_write(controller_);
  const auto done = [&] {
    const kv::GetResult found = store_.get(state::job_shard_key(kJob, 0));
    return state::job_shard_from(found.entry.data, constants::kTasksPerShard).done;
  };
  ASSERT_TRUE(done()[0] && done()[1]);
  EXPECT_EQ(store_.txn(delayed.txn).status, kv::Status::conflict);
  EXPECT_TRUE(done()[1]);
}

// A write succeeds but its answer is lost. The next write conflicts with it; the controller rereads the record and
// continues from its revision.
TEST_F(ConcurrentFaultsWithStore, AWriteWithoutAnAnswerIsReread) {
  accept_and_plan(make_job_spec(1));
  const WriteBatch first = begin_next_write(controller_);
  ASSERT_EQ(store_.txn(first.txn).status, kv::Status::ok);
  end_without_answer(controller_, first);
  complete_next_write(controller_);
  EXPECT_FALSE(has_run_command(send_heartbeat_to(controller_))) << "the record has not been reread yet";
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, store_.get(reload->key()).entry.revision, now_);
  complete_next_write(controller_);
  EXPECT_TRUE(has_run_command(send_heartbeat_to(controller_)));
}

// A user's cancellation read the job as waiting and is executed when the job runs. If it succeeded, no record of the
// running task would remain. The repeated cancellation keeps such a record, and the next leader stops the task.
TEST_F(ConcurrentFaultsWithStore, ADelayedCancellationMissesNoPlacement) {
  ASSERT_EQ(submit(make_job_spec(1)).status, kv::Status::ok);
  acquire_leadership(controller_, NodeName("node-0"));
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  const kv::Txn delayed = state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision);
  (void)send_heartbeat_to(controller_);
  controller_.plan_pass(now_);
  complete_next_write(controller_);
  ASSERT_TRUE(has_run_command(send_heartbeat_to(controller_)));
  EXPECT_EQ(store_.txn(delayed).status, kv::Status::conflict);
  const kv::GetResult running_job = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(running_job.status, kv::Status::ok);
  EXPECT_EQ(
      store_.txn(state::cancel_job_txn(state::job_from(running_job.entry.data), running_job.entry.revision)).status,
      kv::Status::ok);
  store_.expire(now_ + Millis(9000));
  acquire_leadership(next_controller_, NodeName("node-1"));
  ASSERT_TRUE(next_controller_.jobs().contains(kJob)) << "nobody would stop its task or count it against the quota";
  EXPECT_EQ(next_controller_.jobs().at(kJob).allocation_count, 1U);
  const auto answer = send_heartbeat_to(next_controller_, {task_status(0, TaskState::running)});
  ASSERT_TRUE(answer);
  EXPECT_EQ(std::ranges::count(*answer, CommandKind::stop, &wire::Command::kind), 1);
}

// A cancellation is confirmed while a placement write is in progress. The write fails and the task is never started.
TEST_F(ConcurrentFaultsWithStore, APlacementWriteFailsAfterAConfirmedCancellation) {
  ASSERT_EQ(submit(make_job_spec(1)).status, kv::Status::ok);
  acquire_leadership(controller_, NodeName("node-0"));
  watched_revision_ = store_.revision();
  (void)send_heartbeat_to(controller_);
  controller_.plan_pass(now_);
  const WriteBatch batch = begin_next_write(controller_);
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(store_.txn(state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision)).status,
            kv::Status::ok);
  controller_.end_write(batch, store_.txn(batch.txn), now_);
  EXPECT_FALSE(has_run_command(send_heartbeat_to(controller_)));
  EXPECT_FALSE(is_job_active()) << "the job would run after its cancellation was confirmed";
  deliver_watch_events(controller_);
  if (const auto reload = controller_.next_reload()) controller_.on_reloaded(*reload, std::nullopt, now_);
  EXPECT_FALSE(has_run_command(send_heartbeat_to(controller_)));
  EXPECT_EQ(controller_.jobs().contains(kJob) ? controller_.jobs().at(kJob).allocation_count : 0, 0U);
}

// A cancellation that read the job as running is executed just after, or just before, the write of its last task's end.
// One of the two fails, and the user permanently sees the result of the other.
TEST_F(ConcurrentFaultsWithStore, ACancellationRacesWithTheEndOfTheLastTask) {
  for (const bool end_first : {true, false}) {
    SCOPED_TRACE(end_first);
    store_ = {};
    sequence_ = 0;
    ASSERT_EQ(submit(make_job_spec(1)).status, kv::Status::ok);
    acquire_leadership(controller_, NodeName("node-0"));
    (void)send_heartbeat_to(controller_);
    controller_.plan_pass(now_);
    complete_next_write(controller_);
    ASSERT_TRUE(has_run_command(send_heartbeat_to(controller_)));
    const kv::GetResult running_job = store_.get(state::active_job_key(kJob));
    const kv::Txn cancellation =
        state::cancel_job_txn(state::job_from(running_job.entry.data), running_job.entry.revision);
    (void)send_heartbeat_to(controller_, {task_status(0, TaskState::ended, EndReason::done)});
    const WriteBatch end = begin_next_write(controller_);
    EXPECT_EQ(store_.txn(end_first ? end.txn : cancellation).status, kv::Status::ok);
    EXPECT_EQ(store_.txn(end_first ? cancellation : end.txn).status, kv::Status::conflict);
    const kv::GetResult finished = store_.get(state::finished_job_key(kJob));
    ASSERT_EQ(finished.status, kv::Status::ok);
    EXPECT_EQ(state::finished_job_from(kJob, finished.entry.data).state,
              end_first ? wire::JobState::done : wire::JobState::cancelled);
    EXPECT_FALSE(is_job_active());
  }
}

// A submission without an answer is executed after the repeated submission was accepted and its job has finished.
TEST_F(ConcurrentFaultsWithStore, ADelayedSubmissionFailsOnceItsJobIsFinished) {
  const kv::Txn delayed = state::create_job_txn(state::new_job(make_job_spec(1), 0));
  ASSERT_EQ(submit(make_job_spec(1)).status, kv::Status::ok);
  const kv::GetResult waiting = store_.get(state::active_job_key(kJob));
  ASSERT_EQ(store_.txn(state::cancel_job_txn(state::job_from(waiting.entry.data), waiting.entry.revision)).status,
            kv::Status::ok);
  EXPECT_EQ(store_.txn(delayed).status, kv::Status::conflict);
  EXPECT_FALSE(is_job_active());
}

}  // namespace
}  // namespace foxshunt::control
