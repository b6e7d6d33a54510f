// Unit tests of the controller as leader. Each safety check is tested on its own, because the simulation tests rarely
// fail when only one of the checks is missing.
#include "control/controller.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "config/constants.h"
#include "control/times.h"

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
  settings.teams = {{.name = "red", .cpus = 32, .cpus_max = 64, .gpus = 0, .gpus_max = 0}};
  settings.heartbeat_interval_s = 1;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 12;
  settings.operators.can_scale_out = false;
  settings.operators.zone_lease_delegation = true;
  settings.siblings = {{.name = NodeName("node-1"), .zone = "b", .endpoint = "127.0.0.1:1"}};
  return settings;
}

wire::JobSpec make_job_spec(std::uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = kJob;
  spec.job_class = "work";
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = 4;
  spec.image = "img";
  spec.estimate_s = 60;
  return spec;
}

class ControllerTest : public testing::Test {
 protected:
  ControllerTest() : controller_(settings()) {
    controller_.on_machine_types(
        {{.name = "plain", .cpus = 16, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"a", "b"}}});
  }

  void become_leader(std::vector<kv::Entry> active_entries = {}, std::vector<kv::Entry> terminating_entries = {}) {
    FailoverSnapshot failover;
    failover.term = Term(7);
    failover.term_revision = Revision(1);
    failover.older_leaders_until = now_ + Millis(20'000);
    failover.active_jobs = std::move(active_entries);
    failover.terminating_jobs = std::move(terminating_entries);
    controller_.become_leader(failover, now_);
  }

  // Returns a job record with an allocation of the job's first task on the machine.
  static kv::Entry job_entry_placed_on(const MachineId& machine, const wire::JobSpec& spec) {
    state::JobRecord record = state::new_job(spec, 0);
    record.only_shard->next_attempt = AttemptNumber(2);
    record.only_shard->allocations = {
        {.index = 0, .attempt = AttemptNumber(1), .machine = machine, .incarnation = AgentIncarnation(1)}};
    return {.key = state::active_job_key(spec.id), .data = state::to_value(record), .revision = Revision(2)};
  }

  std::optional<std::vector<wire::Command>> send_heartbeat(const MachineId& machine, std::uint64_t sequence,
                                                           Term seen_term, std::vector<wire::TaskStatus> tasks = {},
                                                           bool confirm = true) {
    if (confirm) {
      controller_.on_leader_lease_renewed(now_);
      controller_.on_records_confirmed(now_);
    }
    wire::Heartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.address = "127.0.0.1:1";
    heartbeat.type = "plain";
    heartbeat.zone = machine == kFirst ? "a" : "b";
    heartbeat.incarnation = AgentIncarnation(1);
    heartbeat.sequence = sequence;
    heartbeat.term = seen_term;
    heartbeat.tasks = std::move(tasks);
    last_heartbeat_ = heartbeat;
    return controller_.on_heartbeat(heartbeat, now_);
  }

  void submit(const wire::JobSpec& spec) {
    controller_.on_job_record(spec.id, state::to_value(state::new_job(spec, 0)), Revision(++revision_), 0, now_);
  }

  bool write_records(kv::Status answer = kv::Status::ok) {
    const auto batch = controller_.begin_write(now_);
    if (!batch) return false;
    controller_.end_write(*batch, {.status = answer, .revision = Revision(++revision_), .failed_keys = {}}, now_);
    return true;
  }

  static wire::TaskStatus task_status(std::uint32_t index, TaskState state, EndReason reason = EndReason::none,
                                      std::uint64_t attempt = 1) {
    return {.task = {kJob, index}, .attempt = AttemptNumber(attempt), .state = state, .reason = reason, .saved = false};
  }
  static bool has_command(const std::optional<std::vector<wire::Command>>& commands, CommandKind kind) {
    return commands &&
           std::ranges::any_of(*commands, [&](const wire::Command& command) { return command.kind == kind; });
  }
  [[nodiscard]] std::uint32_t placed_tasks() const {
    return controller_.jobs().contains(kJob) ? controller_.jobs().at(kJob).allocation_count : 0;
  }

  Instant now_{Millis(1'000'000)};
  std::uint64_t revision_ = 10;
  wire::Heartbeat last_heartbeat_;
  Controller controller_;
};

// A node loses leadership and regains it. Then it receives the answer to a write of its earlier term, and must ignore
// it.
TEST_F(ControllerTest, IgnoresTheResultOfAWriteFromAnEarlierTerm) {
  become_leader();
  send_heartbeat(kFirst, 1, Term(7));
  submit(make_job_spec(1));
  controller_.plan_pass(now_);
  const auto late_write = controller_.begin_write(now_);
  ASSERT_TRUE(late_write);
  FailoverSnapshot second_failover;
  second_failover.term = Term(9);
  second_failover.term_revision = Revision(50);
  controller_.become_leader(second_failover, now_);
  controller_.end_write(*late_write, {.status = kv::Status::conflict, .revision = {}, .failed_keys = {state::kTermKey}},
                        now_);
  EXPECT_TRUE(controller_.is_leader());
  // The write is rebuilt from the current job table, and sent only once.
  submit(make_job_spec(1));
  send_heartbeat(kFirst, 2, Term(9));
  controller_.plan_pass(now_);
  const auto write = controller_.begin_write(now_);
  ASSERT_TRUE(write);
  controller_.end_write(*late_write, {.status = kv::Status::unknown, .revision = {}, .failed_keys = {}}, now_);
  EXPECT_FALSE(controller_.begin_write(now_));
}

// The tasks of a gang start together. While the placement of any of them is not durable, none may be started.
TEST_F(ControllerTest, StartsAGangOnceAllItsShardsAreDurable) {
  config::Settings single_op_settings = settings();
  single_op_settings.state_txn_ops = 1;
  const std::vector<wire::MachineType> types = controller_.machine_types();
  controller_ = Controller(single_op_settings);
  controller_.on_machine_types(types);
  become_leader();
  (void)send_heartbeat(kFirst, 1, Term(7));
  wire::JobSpec gang = make_job_spec(constants::kTasksPerShard + 2);
  gang.kind = wire::JobKind::gang;
  gang.cpus = 0.1;
  submit(gang);
  controller_.plan_pass(now_);
  ASSERT_EQ(placed_tasks(), gang.tasks);
  ASSERT_TRUE(write_records());
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 2, Term(7)), CommandKind::run))
      << "its second shard is not written yet";
  ASSERT_TRUE(write_records());
  const auto answer = send_heartbeat(kFirst, 3, Term(7));
  ASSERT_TRUE(answer);
  EXPECT_EQ(std::ranges::count(*answer, CommandKind::run, &wire::Command::kind), gang.tasks);
}

// Catalog, pool and calendar records are written outside the controller, conditioned on the same term record. A
// conflict that is reported after the same process has become leader again belongs to the earlier term.
TEST_F(ControllerTest, ATermConflictEndsOnlyTheTermThatWrote) {
  FailoverSnapshot first_failover;
  first_failover.term = Term(7);
  first_failover.term_revision = Revision(40);
  controller_.become_leader(first_failover, now_);
  FailoverSnapshot second_failover;
  second_failover.term = Term(9);
  second_failover.term_revision = Revision(50);
  controller_.become_leader(second_failover, now_);
  controller_.on_term_conflict(Revision(40));
  EXPECT_TRUE(controller_.is_leader());
  controller_.on_term_conflict(Revision(50));
  EXPECT_FALSE(controller_.is_leader());
}

// A direct stop decided in an earlier term may be sent after the same process has become leader again and wants the
// task to run. The stop carries the earlier term as its fencing token, so that the agent rejects it.
TEST_F(ControllerTest, ADirectStopCarriesTheTermThatIssuedIt) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(1))});
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  controller_.on_job_removed(kJob, now_);
  (void)controller_.due_direct_stops(now_);  // the reply to the next heartbeat is tried first
  now_ += Millis(2000);
  const auto direct_stops = controller_.due_direct_stops(now_);
  ASSERT_EQ(direct_stops.size(), 1U);
  EXPECT_EQ(direct_stops[0].term, Term(7));
  EXPECT_EQ(direct_stops[0].machine, kSecond);
  FailoverSnapshot second_failover;
  second_failover.term = Term(9);
  second_failover.term_revision = Revision(50);
  second_failover.terminating_jobs = {job_entry_placed_on(kSecond, make_job_spec(1))};
  controller_.become_leader(second_failover, now_);
  (void)send_heartbeat(kSecond, 2, Term(9), {task_status(0, TaskState::running)});
  (void)controller_.due_direct_stops(now_);
  now_ += Millis(2000);
  const auto later = controller_.due_direct_stops(now_);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].term, Term(9));
}

// Invariant 3: an agent that has seen a higher term proves that there is another leader.
TEST_F(ControllerTest, StepsDownOnAHeartbeatWithAHigherTerm) {
  become_leader();
  EXPECT_TRUE(send_heartbeat(kFirst, 1, Term(7)));
  EXPECT_FALSE(send_heartbeat(kFirst, 2, Term(8)));
  EXPECT_FALSE(controller_.is_leader());
  EXPECT_FALSE(send_heartbeat(kSecond, 1, Term(0)));
}

// The time bound of a lease delegation does not cover cancellations that the leader already knows. Excluded from a
// delegation are therefore machines with a task of a cancelled job, machines with tasks that no record places there,
// and machines that have gone silent while the requesting controller has not.
TEST_F(ControllerTest, DelegatesNoMachineThatOnlyTheLeaderMayAnswer) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(1))});
  zone::DelegationRequest request{.node = NodeName("node-1"), .life = 1, .term = Term(7), .holds = {}, .uses = {}};
  const auto is_excluded = [&] {
    ++request.sequence;
    const auto delegation = controller_.on_delegation_request(request, now_);
    return delegation ? std::ranges::find(delegation->except, kSecond) != delegation->except.end() : true;
  };
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  EXPECT_FALSE(is_excluded());
  controller_.on_job_removed(kJob, now_);
  EXPECT_TRUE(is_excluded()) << "a task of a cancelled job";
  (void)send_heartbeat(kSecond, 2, Term(7), {task_status(0, TaskState::ended, EndReason::stopped)});
  EXPECT_FALSE(is_excluded());
  (void)send_heartbeat(kSecond, 3, Term(7), {task_status(3, TaskState::running, EndReason::none, 9)});
  EXPECT_TRUE(is_excluded()) << "a task that no record places there";
  (void)send_heartbeat(kSecond, 4, Term(7));
  EXPECT_FALSE(is_excluded());
  now_ += Millis(4000);
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(is_excluded()) << "silent";
  request.uses = {{.machine = kSecond, .ago = Millis(500)}};
  EXPECT_FALSE(is_excluded()) << "the other controller answers its heartbeats";
  request.uses.clear();
  request.term = Term(6);
  EXPECT_FALSE(controller_.on_delegation_request(
      {.node = NodeName("node-1"), .life = 1, .sequence = 99, .term = Term(6), .holds = {}, .uses = {}}, now_));
}

// The watch reports a job's removal while a write on the job is in progress. Whether this leader or a cancellation
// removed the record is known only after rereading it, so no task is stopped yet. If the reread does not succeed, the
// leader must stop answering one fence interval after the last moment before the removal. Found by the explorer, which
// delayed a write's answer.
TEST_F(ControllerTest, ARemovalDuringAWriteIsUnknownUntilTheRecordIsReread) {
  become_leader();
  submit(make_job_spec(2));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_EQ(placed_tasks(), 2U);
  const auto batch = controller_.begin_write(now_);
  ASSERT_TRUE(batch);
  const Instant before = now_;
  for (int second = 1; second <= 20; ++second) {
    now_ = before + Millis(1000 * second);
    if (second == 1) controller_.on_job_removed(kJob, now_);
    if (second == 3) controller_.end_write(*batch, {.status = kv::Status::unknown}, now_);
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
  }
  EXPECT_TRUE(controller_.can_renew_agent_leases(before + fencing_timeout(settings()) - Millis(1)));
  EXPECT_FALSE(controller_.can_renew_agent_leases(before + fencing_timeout(settings())));
  EXPECT_FALSE(controller_.can_start_tasks(now_));
  // After the reread the removal is known, and later confirmations count again.
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, std::nullopt, now_);
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(controller_.can_start_tasks(now_));
  EXPECT_TRUE(controller_.jobs().empty() || controller_.jobs().at(kJob).cancelled);
}

// A write that conflicts on the job's record may have lost against a cancellation. Until the record has been reread, no
// other controller may answer the machines of the job's tasks.
TEST_F(ControllerTest, DelegatesNoMachineOfAJobWhoseRecordMustBeReread) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(2))});
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  zone::DelegationRequest request{.node = NodeName("node-1"), .life = 1, .term = Term(7), .holds = {}, .uses = {}};
  const auto is_excluded = [&] {
    ++request.sequence;
    const auto delegation = controller_.on_delegation_request(request, now_);
    return delegation && std::ranges::find(delegation->except, kSecond) != delegation->except.end();
  };
  controller_.plan_pass(now_);
  const auto batch = controller_.begin_write(now_);
  ASSERT_TRUE(batch);
  EXPECT_FALSE(is_excluded());
  controller_.end_write(
      *batch, {.status = kv::Status::conflict, .revision = {}, .failed_keys = {state::active_job_key(kJob)}}, now_);
  EXPECT_TRUE(is_excluded());
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, Revision(3), now_);
  EXPECT_FALSE(is_excluded());
}

// A heartbeat of an earlier agent incarnation is delayed until a new leader has started. It reports an ended attempt.
// The record places the same attempt in the later incarnation, where it was started again and runs.
TEST_F(ControllerTest, AHeartbeatOfAnEarlierIncarnationEndsNoTask) {
  wire::JobSpec spec = make_job_spec(1);
  state::JobRecord record = state::new_job(spec, 0);
  record.only_shard->next_attempt = AttemptNumber(2);
  record.only_shard->allocations = {
      {.index = 0, .attempt = AttemptNumber(1), .machine = kFirst, .incarnation = AgentIncarnation(2)}};
  become_leader({{.key = state::active_job_key(spec.id), .data = state::to_value(record), .revision = Revision(2)}});
  ASSERT_TRUE(send_heartbeat(kFirst, 50, Term(6), {task_status(0, TaskState::ended, EndReason::done)}));
  EXPECT_EQ(placed_tasks(), 1U);
}

// Invariant 6: a heartbeat older than the latest one changes no state, and the reply to it starts no task.
TEST_F(ControllerTest, IgnoresAnOutOfOrderHeartbeat) {
  become_leader();
  submit(make_job_spec(1));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write_records());
  ASSERT_TRUE(has_command(send_heartbeat(kFirst, 3, Term(7)), CommandKind::run));
  (void)send_heartbeat(kFirst, 5, Term(7), {task_status(0, TaskState::running)});
  const auto answer = send_heartbeat(kFirst, 4, Term(7));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->empty());
  EXPECT_EQ(placed_tasks(), 1U);
  // A repeated heartbeat with the latest sequence number changes no state either.
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 5, Term(7), {task_status(0, TaskState::ended, EndReason::done)}),
                           CommandKind::clear));
  EXPECT_EQ(controller_.jobs().at(kJob).done_count, 0U);
}

// Invariant 5: until the agent has seen the current term, an older leader's start command may still reach it.
TEST_F(ControllerTest, AMissingTaskIsNotTerminatedBeforeTheAgentHasSeenTheTerm) {
  kv::Entry terminating_entry = job_entry_placed_on(kFirst, make_job_spec(1));
  terminating_entry.key = state::terminating_job_key(kJob);
  become_leader({}, {terminating_entry});
  (void)send_heartbeat(kFirst, 1, Term(6));
  EXPECT_EQ(placed_tasks(), 1U);
  EXPECT_FALSE(write_records()) << "the record of the task's possible location is removed too early";
  (void)send_heartbeat(kFirst, 2, Term(7));
  EXPECT_EQ(placed_tasks(), 0U);
  EXPECT_TRUE(write_records());
}

// Invariant 11: after the clear command the agent no longer reports the task, so its outcome must be durable before.
TEST_F(ControllerTest, ClearsATaskOnlyWhenItsOutcomeIsDurable) {
  become_leader();
  submit(make_job_spec(2));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write_records());
  (void)send_heartbeat(kFirst, 2, Term(7));
  now_ += constants::kAnswerCopyLifetime + Millis(1);  // until then, tasks are not cleared because of late copies
  const std::vector<wire::TaskStatus> tasks{task_status(0, TaskState::ended, EndReason::done),
                                            task_status(1, TaskState::running, EndReason::none, 2)};
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 3, Term(7), tasks), CommandKind::clear));
  ASSERT_TRUE(write_records(kv::Status::unknown));  // the write may or may not have succeeded
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 4, Term(7), tasks), CommandKind::clear));
  ASSERT_TRUE(write_records());
  EXPECT_TRUE(has_command(send_heartbeat(kFirst, 5, Term(7), tasks), CommandKind::clear));
  EXPECT_EQ(controller_.jobs().at(kJob).done_count, 1U);
}

// Invariant 6: a task is started only once its placement is known to be durable.
TEST_F(ControllerTest, StartsOnlyDurablePlacements) {
  become_leader();
  submit(make_job_spec(1));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 2, Term(7)), CommandKind::run));
  EXPECT_FALSE(has_command(controller_.follow_up_commands(last_heartbeat_, now_), CommandKind::run));
  ASSERT_TRUE(write_records(kv::Status::unknown));
  EXPECT_FALSE(has_command(controller_.follow_up_commands(last_heartbeat_, now_), CommandKind::run));
  EXPECT_FALSE(has_command(send_heartbeat(kFirst, 3, Term(7)), CommandKind::run));
  ASSERT_TRUE(write_records());
  EXPECT_TRUE(has_command(send_heartbeat(kFirst, 4, Term(7)), CommandKind::run));
}

// Invariant 10: a machine is drained after two consecutive task failures.
TEST_F(ControllerTest, DrainsAMachineOnWhichTasksFail) {
  become_leader();
  submit(make_job_spec(2));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write_records());
  (void)send_heartbeat(kFirst, 2, Term(7));
  (void)send_heartbeat(
      kFirst, 3, Term(7),
      {task_status(0, TaskState::ended, EndReason::error), task_status(1, TaskState::running, EndReason::none, 2)});
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::up);
  (void)send_heartbeat(kFirst, 4, Term(7), {task_status(1, TaskState::ended, EndReason::error, 2)});
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::draining);
  controller_.tick(now_);
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::returning);
}

// Invariant 7: the zone of a machine that has not reported is unknown. Until it is known, no other task of a job that
// requires a single zone is placed.
TEST_F(ControllerTest, PlacesNoTaskOfAOneZoneJobWhileAZoneIsUnknown) {
  wire::JobSpec spec = make_job_spec(2);
  spec.one_zone = true;
  become_leader({job_entry_placed_on(kSecond, spec)});
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 1U);
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  controller_.plan_pass(now_);
  ASSERT_EQ(placed_tasks(), 2U);
  EXPECT_EQ(controller_.machines().at(kSecond).allocations.size(), 2U);
}

// Invariant 7: a placed task counts against the team quota until it is confirmed terminated, also while its machine is
// silent.
TEST_F(ControllerTest, TasksOnASilentMachineCountAgainstTheTeamQuota) {
  wire::JobSpec spec = make_job_spec(20);
  become_leader({job_entry_placed_on(kSecond, spec)});
  for (const char* name : {"m-000001", "m-000003", "m-000004", "m-000005", "m-000006"})
    (void)send_heartbeat(MachineId(name), 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 16U);  // of 4 CPUs each, for a limit of 64
}

// Periodic work may run late on a small machine. The right to answer is therefore counted from the last confirmed
// moment, not from the time of the last answer.
TEST_F(ControllerTest, StopsStartingAndAnsweringWithoutConfirmations) {
  become_leader();
  submit(make_job_spec(1));
  ASSERT_TRUE(send_heartbeat(kFirst, 1, Term(7)));
  now_ += Millis(4'100);  // no confirmation: the leader lease may have expired
  EXPECT_TRUE(controller_.can_renew_agent_leases(now_));
  EXPECT_FALSE(controller_.can_start_tasks(now_));
  EXPECT_TRUE(send_heartbeat(kFirst, 2, Term(7), {}, false));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 0U);
  EXPECT_FALSE(controller_.begin_write(now_));
  now_ += Millis(24'000);  // cancel_s of 40 s minus the agent lease of 10 s minus a margin of 2 s
  EXPECT_FALSE(controller_.can_renew_agent_leases(now_));
}

// A reply renews the agent's lease. If it was delayed until writes completed, the right to answer must be checked
// again, because the node may have been suspended or may have lost leadership meanwhile.
TEST_F(ControllerTest, ADelayedReplyRequiresTheRightToRenewLeases) {
  become_leader();
  ASSERT_TRUE(send_heartbeat(kFirst, 1, Term(7)));
  EXPECT_TRUE(controller_.follow_up_commands(last_heartbeat_, now_));
  now_ += Millis(28'100);  // see StopsStartingAndAnsweringWithoutConfirmations
  EXPECT_FALSE(controller_.follow_up_commands(last_heartbeat_, now_)) << "the node was suspended";
  controller_.on_leader_lease_renewed(now_);
  EXPECT_FALSE(controller_.follow_up_commands(last_heartbeat_, now_))
      << "a confirmed lease does not imply known cancellations";
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(controller_.follow_up_commands(last_heartbeat_, now_));
  controller_.observe_term(Term(8));
  EXPECT_FALSE(controller_.follow_up_commands(last_heartbeat_, now_)) << "another controller leads";
}

// Invariant 7: the team quota counts all placed tasks, independently of the plan. A pass that runs in portions may
// outlive the booking of a task that takes longer than estimated. The planner then treats the task's resources as free.
TEST_F(ControllerTest, KeepsTheTeamQuotaWhenAPassOutlivesABooking) {
  become_leader();
  submit(make_job_spec(16));  // of 4 CPUs each: the whole team quota
  const std::vector<MachineId> machines{kFirst, kSecond, MachineId("m-000003"), MachineId("m-000004")};
  for (const MachineId& machine : machines) (void)send_heartbeat(machine, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_EQ(placed_tasks(), 16U);
  now_ += Millis(59'000);  // of the 60 s that they are booked for
  (void)send_heartbeat(MachineId("m-000005"), 1, Term(7));
  wire::JobSpec next = make_job_spec(1);
  next.id = JobId("j-000002");
  submit(next);
  wire::JobSpec last = make_job_spec(1);
  last.id = JobId("j-000003");
  submit(last);
  ASSERT_FALSE(controller_.plan_portion(now_, 1));
  now_ += Millis(2'000);
  (void)send_heartbeat(MachineId("m-000005"), 2, Term(7));
  ASSERT_TRUE(controller_.plan_portion(now_, 1));
  EXPECT_EQ(controller_.jobs().at(next.id).allocation_count, 0U);
  EXPECT_EQ(controller_.jobs().at(last.id).allocation_count, 0U);
}

// Texts shown to operators.
TEST_F(ControllerTest, ExplainsWhyAJobWaits) {
  EXPECT_FALSE(controller_.explain(kJob, now_)) << "the controller does not lead";
  become_leader();
  EXPECT_FALSE(controller_.explain(kJob, now_)) << "the job is unknown";
  submit(make_job_spec(20));  // of 4 CPUs each; the team may have 64
  EXPECT_EQ(controller_.explain(kJob, now_),
            "20 of 20 tasks wait; no machine that is up or boots has room for it; the settings forbid renting");
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 4U);
  EXPECT_EQ(
      controller_.explain(kJob, now_),
      "16 of 20 tasks wait; the first is booked to start in 60 s, 16 of them later than a machine rented now would "
      "let them; the settings forbid renting");
  now_ += Millis(60'000);
  EXPECT_EQ(controller_.explain(kJob, now_),
            "16 of 20 tasks wait; nothing is started while the state service does not answer");
}

TEST_F(ControllerTest, CountsUnwrittenRecordsAndTheirAge) {
  become_leader();
  EXPECT_EQ(controller_.cluster_summary(now_).unwritten_records, 0U);
  submit(make_job_spec(2));
  (void)send_heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  now_ += Millis(700);
  control::ClusterSummary cluster_summary = controller_.cluster_summary(now_);
  EXPECT_EQ(cluster_summary.tasks_placed, 2U);
  EXPECT_EQ(cluster_summary.machines_up, 1U);
  EXPECT_EQ(cluster_summary.unwritten_records, 1U);
  EXPECT_EQ(cluster_summary.oldest_unwritten_age, Millis(700));
  ASSERT_TRUE(write_records(kv::Status::unknown));  // the write may or may not have succeeded
  now_ += Millis(300);
  EXPECT_EQ(controller_.cluster_summary(now_).oldest_unwritten_age, Millis(1000));
  ASSERT_TRUE(write_records());
  cluster_summary = controller_.cluster_summary(now_);
  EXPECT_EQ(cluster_summary.unwritten_records, 0U);
  EXPECT_EQ(cluster_summary.oldest_unwritten_age, Millis(0));
  EXPECT_GT(cluster_summary.fence_remaining, Millis(0));
}

// ---- soft state of an earlier leader ----

void add_entry(standby::SoftStateSnapshot& snapshot, standby::Kind kind, std::string name, standby::EntryValue what) {
  standby::Key key;
  key.kind = kind;
  key.name = std::move(name);
  snapshot.entries.push_back({.key = std::move(key), .what = std::move(what)});
}

// A snapshot of the term before ControllerTest's, with machine kSecond in zone b and the first task of kJob.
standby::SoftStateSnapshot make_soft_state(Instant now, bool up = true) {
  standby::SoftStateSnapshot snapshot{.term = Term(6), .taken = now, .starts_s = 1, .entries = {}};
  standby::Machine machine{.address = "127.0.0.1:1", .type = "plain", .zone = "b", .up = up};
  machine.since = now - Millis(2000);
  machine.ready = now + Millis(8000);
  machine.images = {"img"};
  add_entry(snapshot, standby::Kind::machine, kSecond.text(), standby::Shared(machine));
  add_entry(snapshot, standby::Kind::task, kJob.text(),
            standby::Task{.attempt = AttemptNumber(1), .began = now - Millis(50'000), .saved = {}});
  return snapshot;
}

// Tasks are planned on the machine, so that no replacement is rented, but none is placed there before its first
// heartbeat.
TEST_F(ControllerTest, AMachineKnownFromSoftStateIsPlannedButNotUsed) {
  become_leader();
  submit(make_job_spec(1));
  controller_.plan_pass(now_);
  ASSERT_EQ(controller_.jobs().at(kJob).late_tasks, 1U);
  controller_.apply_soft_state(make_soft_state(now_), now_);
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).late_tasks, 0U);
  EXPECT_TRUE(controller_.jobs().at(kJob).planned_start);
  EXPECT_EQ(placed_tasks(), 0U);
  now_ += Millis(3000);  // its first heartbeat is overdue
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 0U);
  (void)send_heartbeat(kSecond, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 1U);
}

TEST_F(ControllerTest, IgnoresSoftStateOfItsOwnTermOrTooOld) {
  become_leader();
  standby::SoftStateSnapshot own = make_soft_state(now_);
  own.term = Term(7);
  controller_.apply_soft_state(own, now_);
  EXPECT_TRUE(controller_.machines().empty());
  standby::SoftStateSnapshot old = make_soft_state(now_);
  old.taken -= constants::kMaxSoftStateAge + Millis(1);
  controller_.apply_soft_state(old, now_);
  EXPECT_TRUE(controller_.machines().empty());
  controller_.step_down("test steps down");
  controller_.apply_soft_state(make_soft_state(now_), now_);
  EXPECT_TRUE(controller_.machines().empty());
}

// A machine that was returned after the snapshot is in no machine list and sends no heartbeat. It is forgotten.
TEST_F(ControllerTest, AMachineKnownFromSoftStateIsForgottenIfNeverSeen) {
  become_leader();
  controller_.apply_soft_state(make_soft_state(now_), now_);
  ASSERT_EQ(controller_.machines().size(), 1U);
  for (int step = 0; step < 60; ++step) {
    now_ += Millis(1000);
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
    controller_.tick(now_);
    EXPECT_TRUE(controller_.next_scale_in(now_).empty());
  }
  EXPECT_TRUE(controller_.machines().empty());
}

// Soft state of another controller changes neither lease expiry nor the zone that delegations are checked for. Whatever
// zone it names, a task counts exactly until nobody can have renewed its machine's lease. The parameter is the zone in
// the soft state; empty means no soft state. The machine is actually in zone b, whose controller answers its
// heartbeats.
class ControllerSoftStateTest : public ControllerTest, public testing::WithParamInterface<const char*> {};
TEST_P(ControllerSoftStateTest, SoftStateShortensNoLease) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(1))});
  if (const std::string zone = GetParam(); !zone.empty()) {
    standby::Machine machine{.address = "127.0.0.1:1", .type = "plain", .zone = zone, .up = true};
    standby::SoftStateSnapshot hint_snapshot = make_soft_state(now_);
    hint_snapshot.entries[0].what = standby::Shared(machine);
    controller_.apply_soft_state(hint_snapshot, now_);
    ASSERT_EQ(controller_.machines().at(kSecond).zone, zone);
  }
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  // Requested before the machine counts as silent; the delegation would exclude it otherwise.
  const auto delegation = controller_.on_delegation_request(
      {.node = NodeName("node-1"), .life = 1, .sequence = 1, .term = Term(7), .holds = {}, .uses = {}}, now_);
  ASSERT_TRUE(delegation);
  ASSERT_TRUE(delegation->except.empty());
  const Instant end = now_ + delegation_spans(settings()).bound + agent_lease_timeout(settings());
  ASSERT_GT(end, now_ + Millis(20'000) + agent_lease_timeout(settings()))
      << "the older leaders' bound from become_leader() must end earlier";
  for (const Instant last = end + Millis(2000); now_ < last; now_ += Millis(1000)) {
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
    controller_.tick(now_);
    ASSERT_EQ(placed_tasks(), now_ <= end ? 1U : 0U) << (end - now_).count() << " ms before the lease's end";
  }
}
INSTANTIATE_TEST_SUITE_P(Zones, ControllerSoftStateTest, testing::Values("", "a", "b"), [](const auto& info) {
  return std::string(info.param).empty() ? std::string("NoHint") : "HintOfZone_" + std::string(info.param);
});

TEST_F(ControllerTest, AZoneFromSoftStateAllowsNoTaskOfAOneZoneJob) {
  wire::JobSpec spec = make_job_spec(2);
  spec.one_zone = true;
  become_leader({job_entry_placed_on(kSecond, spec)});
  controller_.apply_soft_state(make_soft_state(now_), now_);  // names zone b
  wire::Heartbeat heartbeat;
  (void)send_heartbeat(MachineId("m-000003"), 1, Term(7));  // in zone b
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 1U);
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  controller_.plan_pass(now_);
  EXPECT_EQ(placed_tasks(), 2U);
}

// A task that has run for 50 of its estimated 60 s is planned to end in 10 s. It counts as running once a heartbeat
// reports so.
TEST_F(ControllerTest, AStartTimeFromSoftStateSetsThePlannedEnd) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(1))});
  controller_.apply_soft_state(make_soft_state(now_), now_);
  const auto allocation = [&]() -> const control::Allocation& {
    return controller_.jobs().at(kJob).shards[0].allocations.at(0);
  };
  EXPECT_FALSE(allocation().running_since);
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(10'000));
  (void)send_heartbeat(kSecond, 1, Term(7), {task_status(0, TaskState::running)});
  ASSERT_TRUE(allocation().running_since);
  EXPECT_EQ(*allocation().running_since, now_ - Millis(50'000));
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(10'000));
}

// The soft state refers to another attempt than the record.
TEST_F(ControllerTest, IgnoresAStartTimeOfAnotherAttempt) {
  become_leader({job_entry_placed_on(kSecond, make_job_spec(1))});
  standby::SoftStateSnapshot other = make_soft_state(now_);
  std::get<standby::Task>(other.entries[1].what).attempt = AttemptNumber(9);
  controller_.apply_soft_state(other, now_);
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(60'000));
}

// A second failover follows before heartbeats have confirmed the soft state: it is passed on unchanged.
TEST_F(ControllerTest, PassesSoftStateOnUntilItIsConfirmed) {
  become_leader({job_entry_placed_on(kFirst, make_job_spec(1))});
  controller_.apply_soft_state(make_soft_state(now_), now_);
  const standby::SoftStateSnapshot hint_snapshot = controller_.soft_state(now_);
  ASSERT_EQ(hint_snapshot.count(standby::Kind::machine), 1U);
  const auto& machine = *std::get<standby::Shared<standby::Machine>>(hint_snapshot.entries[0].what);
  EXPECT_TRUE(machine.up);
  EXPECT_EQ(machine.zone, "b");
  EXPECT_EQ(hint_snapshot.count(standby::Kind::task), 1U);
  EXPECT_EQ(hint_snapshot.term, Term(7));
}

// Capacity refusals and the largest job of a class are applied and passed on to the next leader.
TEST_F(ControllerTest, PassesOnDemandAndCapacityRefusals) {
  become_leader();
  standby::SoftStateSnapshot hint_snapshot = make_soft_state(now_);
  hint_snapshot.entries.clear();
  add_entry(hint_snapshot, standby::Kind::refusal, "plain",
            standby::Shared(standby::Refusal{
                .zone = "a", .spot = false, .not_before = now_ + Millis(30'000), .pause = Millis(40'000), .most = 3}));
  add_entry(hint_snapshot, standby::Kind::sample, "work",
            standby::Shared(standby::Sample{.cpus = 4, .estimate_s = 60, .largest = 40}));
  controller_.apply_soft_state(hint_snapshot, now_);
  const standby::SoftStateSnapshot passed_on = controller_.soft_state(now_);
  ASSERT_EQ(passed_on.count(standby::Kind::refusal), 1U);
  ASSERT_EQ(passed_on.count(standby::Kind::sample), 1U);
  for (const standby::SoftStateEntry& entry : passed_on.entries) {
    if (entry.key.kind == standby::Kind::refusal) {
      EXPECT_EQ(std::get<standby::Shared<standby::Refusal>>(entry.what)->most, 3U);
    } else {
      EXPECT_EQ(std::get<standby::Shared<standby::Sample>>(entry.what)->largest, 40U);
    }
  }
}

}  // namespace
}  // namespace foxshunt::control
