// What a leader may and may not conclude, each check by itself: a day seldom misses one of them alone.
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

wire::JobSpec job_of(std::uint32_t tasks) {
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

class Leading : public testing::Test {
 protected:
  Leading() : controller_(settings()) {
    controller_.on_machine_types(
        {{.name = "plain", .cpus = 16, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"a", "b"}}});
  }

  void become_leader(std::vector<kv::Entry> live = {}, std::vector<kv::Entry> linger = {}) {
    FailoverSnapshot failover;
    failover.term = Term(7);
    failover.term_revision = Revision(1);
    failover.older_leaders_until = now_ + Millis(20'000);
    failover.active_jobs = std::move(live);
    failover.terminating_jobs = std::move(linger);
    controller_.become_leader(failover, now_);
  }

  // A record that places the job's first task.
  static kv::Entry placed_on(const MachineId& machine, const wire::JobSpec& spec) {
    state::JobRecord record = state::new_job(spec, 0);
    record.whole->next = AttemptNumber(2);
    record.whole->allocations = {
        {.index = 0, .attempt = AttemptNumber(1), .machine = machine, .incarnation = AgentIncarnation(1)}};
    return {.key = state::active_job_key(spec.id), .data = state::to_value(record), .revision = Revision(2)};
  }

  std::optional<std::vector<wire::Command>> heartbeat(const MachineId& machine, std::uint64_t sequence, Term seen,
                                                      std::vector<wire::TaskStatus> tasks = {}, bool confirmed = true) {
    if (confirmed) {
      controller_.on_leader_lease_renewed(now_);
      controller_.on_records_confirmed(now_);
    }
    wire::Heartbeat made;
    made.machine = machine;
    made.address = "127.0.0.1:1";
    made.type = "plain";
    made.zone = machine == kFirst ? "a" : "b";
    made.incarnation = AgentIncarnation(1);
    made.sequence = sequence;
    made.term = seen;
    made.tasks = std::move(tasks);
    last_ = made;
    return controller_.on_heartbeat(made, now_);
  }

  void submit(const wire::JobSpec& spec) {
    controller_.on_job_record(spec.id, state::to_value(state::new_job(spec, 0)), Revision(++revision_), 0, now_);
  }

  bool write(kv::Answer answer = kv::Answer::ok) {
    const auto batch = controller_.begin_write(now_);
    if (!batch) return false;
    controller_.end_write(*batch, {.answer = answer, .revision = Revision(++revision_), .failed = {}}, now_);
    return true;
  }

  static wire::TaskStatus task(std::uint32_t index, TaskState state, EndReason reason = EndReason::none,
                               std::uint64_t attempt = 1) {
    return {.task = {kJob, index}, .attempt = AttemptNumber(attempt), .state = state, .reason = reason, .saved = false};
  }
  static bool has(const std::optional<std::vector<wire::Command>>& commands, CommandKind kind) {
    return commands &&
           std::ranges::any_of(*commands, [&](const wire::Command& command) { return command.kind == kind; });
  }
  [[nodiscard]] std::uint32_t placed() const {
    return controller_.jobs().contains(kJob) ? controller_.jobs().at(kJob).allocation_count : 0;
  }

  Instant now_{Millis(1'000'000)};
  std::uint64_t revision_ = 10;
  wire::Heartbeat last_;
  Controller controller_;
};

// A node that lost the lead and has it again meets the answer to a write of its earlier lead.
TEST_F(Leading, AnEarlierLeadsWriteTellsNothing) {
  become_leader();
  heartbeat(kFirst, 1, Term(7));
  submit(job_of(1));
  controller_.plan_pass(now_);
  const auto late = controller_.begin_write(now_);
  ASSERT_TRUE(late);
  FailoverSnapshot again;
  again.term = Term(9);
  again.term_revision = Revision(50);
  controller_.become_leader(again, now_);
  controller_.end_write(*late, {.answer = kv::Answer::conflict, .revision = {}, .failed = {state::kTermKey}}, now_);
  EXPECT_TRUE(controller_.is_leader());
  // It is built anew from this lead's job table, and written once.
  submit(job_of(1));
  heartbeat(kFirst, 2, Term(9));
  controller_.plan_pass(now_);
  const auto write = controller_.begin_write(now_);
  ASSERT_TRUE(write);
  controller_.end_write(*late, {.answer = kv::Answer::none, .revision = {}, .failed = {}}, now_);
  EXPECT_FALSE(controller_.begin_write(now_));
}

// All tasks of a gang start or none: while the placement of some of them is not durable, those that are wait.
TEST_F(Leading, StartsAGangOnceAllItsPartsAreDurable) {
  config::Settings one_change = settings();
  one_change.state_txn_ops = 1;
  const std::vector<wire::MachineType> types = controller_.machine_types();
  controller_ = Controller(one_change);
  controller_.on_machine_types(types);
  become_leader();
  (void)heartbeat(kFirst, 1, Term(7));
  wire::JobSpec gang = job_of(constants::kTasksPerShard + 2);
  gang.kind = wire::JobKind::gang;
  gang.cpus = 0.1;
  submit(gang);
  controller_.plan_pass(now_);
  ASSERT_EQ(placed(), gang.tasks);
  ASSERT_TRUE(write());
  EXPECT_FALSE(has(heartbeat(kFirst, 2, Term(7)), CommandKind::run)) << "its second part is not written yet";
  ASSERT_TRUE(write());
  const auto answer = heartbeat(kFirst, 3, Term(7));
  ASSERT_TRUE(answer);
  EXPECT_EQ(std::ranges::count(*answer, CommandKind::run, &wire::Command::kind), gang.tasks);
}

// The records of catalog, pools and calendar are written beside the controller, conditioned on the same term: an answer that comes
// when the same process leads again is of the lead that has ended.
TEST_F(Leading, ATermConflictEndsOnlyTheLeadThatWrote) {
  FailoverSnapshot first;
  first.term = Term(7);
  first.term_revision = Revision(40);
  controller_.become_leader(first, now_);
  FailoverSnapshot again;
  again.term = Term(9);
  again.term_revision = Revision(50);
  controller_.become_leader(again, now_);
  controller_.on_term_conflict(Revision(40));
  EXPECT_TRUE(controller_.is_leader());
  controller_.on_term_conflict(Revision(50));
  EXPECT_FALSE(controller_.is_leader());
}

// What an ended lead wanted stopped may be sent when the same process leads again, which may want it to run: it goes with the
// token of the lead that wanted it, which the worker refuses by then.
TEST_F(Leading, ADirectHaltNamesTheTermThatWantedIt) {
  become_leader({placed_on(kSecond, job_of(1))});
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  controller_.on_job_removed(kJob, now_);
  (void)controller_.due_direct_stops(now_);  // the answer to the next report tells it first
  now_ += Millis(2000);
  const auto direct_stops = controller_.due_direct_stops(now_);
  ASSERT_EQ(direct_stops.size(), 1U);
  EXPECT_EQ(direct_stops[0].term, Term(7));
  EXPECT_EQ(direct_stops[0].machine, kSecond);
  FailoverSnapshot again;
  again.term = Term(9);
  again.term_revision = Revision(50);
  again.terminating_jobs = {placed_on(kSecond, job_of(1))};
  controller_.become_leader(again, now_);
  (void)heartbeat(kSecond, 2, Term(9), {task(0, TaskState::running)});
  (void)controller_.due_direct_stops(now_);
  now_ += Millis(2000);
  const auto later = controller_.due_direct_stops(now_);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].term, Term(9));
}

// Invariant 3: a worker that has seen a higher term proves that another leads.
TEST_F(Leading, StepsDownOnAReportWithAHigherTerm) {
  become_leader();
  EXPECT_TRUE(heartbeat(kFirst, 1, Term(7)));
  EXPECT_FALSE(heartbeat(kFirst, 2, Term(8)));
  EXPECT_FALSE(controller_.is_leader());
  EXPECT_FALSE(heartbeat(kSecond, 1, Term(0)));
}

// A cancellation that the leader knows is not covered by the grant's reckoning: whoever holds a task of it is left out, and
// so is a machine with tasks that no record places there, or one that nobody hears while the sibling is heard.
TEST_F(Leading, GrantsNothingForMachinesThatOnlyTheLeaderMayAnswer) {
  become_leader({placed_on(kSecond, job_of(1))});
  zone::DelegationRequest ask{.node = NodeName("node-1"), .life = 1, .term = Term(7), .holds = {}, .uses = {}};
  const auto left_out = [&] {
    ++ask.sequence;
    const auto delegation = controller_.on_delegation_request(ask, now_);
    return delegation ? std::ranges::find(delegation->except, kSecond) != delegation->except.end() : true;
  };
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  EXPECT_FALSE(left_out());
  controller_.on_job_removed(kJob, now_);
  EXPECT_TRUE(left_out()) << "a task of a withdrawn job";
  (void)heartbeat(kSecond, 2, Term(7), {task(0, TaskState::ended, EndReason::stopped)});
  EXPECT_FALSE(left_out());
  (void)heartbeat(kSecond, 3, Term(7), {task(3, TaskState::running, EndReason::none, 9)});
  EXPECT_TRUE(left_out()) << "a task that no record places there";
  (void)heartbeat(kSecond, 4, Term(7));
  EXPECT_FALSE(left_out());
  now_ += Millis(4000);
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(left_out()) << "silent";
  ask.uses = {{.machine = kSecond, .ago = Millis(500)}};
  EXPECT_FALSE(left_out()) << "the sibling answers it";
  ask.uses.clear();
  ask.term = Term(6);
  EXPECT_FALSE(controller_.on_delegation_request(
      {.node = NodeName("node-1"), .life = 1, .sequence = 99, .term = Term(6), .holds = {}, .uses = {}}, now_));
}

// A cancellation that the watch tells of while a write on the job is under way halts nothing yet: whose removal it was, the
// record read again decides. When that does not come through, the leader must not answer for longer than a fence after
// the last moment before the removal. Seen when the explorer let an answer to a write hang.
TEST_F(Leading, ARemovalThatWaitsForAWriteIsNotKnownYet) {
  become_leader();
  submit(job_of(2));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_EQ(placed(), 2U);
  const auto batch = controller_.begin_write(now_);
  ASSERT_TRUE(batch);
  const Instant before = now_;
  for (int second = 1; second <= 20; ++second) {
    now_ = before + Millis(1000 * second);
    if (second == 1) controller_.on_job_removed(kJob, now_);
    if (second == 3) controller_.end_write(*batch, {.answer = kv::Answer::none}, now_);
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
  }
  EXPECT_TRUE(controller_.can_renew_agent_leases(before + fencing_timeout(settings()) - Millis(1)));
  EXPECT_FALSE(controller_.can_renew_agent_leases(before + fencing_timeout(settings())));
  EXPECT_FALSE(controller_.can_start_tasks(now_));
  // Read again, it is known; what comes after counts.
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, std::nullopt, now_);
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(controller_.can_start_tasks(now_));
  EXPECT_TRUE(controller_.jobs().empty() || controller_.jobs().at(kJob).cancelled);
}

// A write that failed on the job's record may have met a cancellation: until the record was read again nobody else may
// answer the machines of its tasks.
TEST_F(Leading, GrantsNothingForMachinesOfAJobWhoseRecordHasToBeReadAgain) {
  become_leader({placed_on(kSecond, job_of(2))});
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  zone::DelegationRequest ask{.node = NodeName("node-1"), .life = 1, .term = Term(7), .holds = {}, .uses = {}};
  const auto left_out = [&] {
    ++ask.sequence;
    const auto delegation = controller_.on_delegation_request(ask, now_);
    return delegation && std::ranges::find(delegation->except, kSecond) != delegation->except.end();
  };
  controller_.plan_pass(now_);
  const auto batch = controller_.begin_write(now_);
  ASSERT_TRUE(batch);
  EXPECT_FALSE(left_out());
  controller_.end_write(
      *batch, {.answer = kv::Answer::conflict, .revision = {}, .failed = {state::active_job_key(kJob)}}, now_);
  EXPECT_TRUE(left_out());
  const auto reload = controller_.next_reload();
  ASSERT_TRUE(reload);
  controller_.on_reloaded(*reload, Revision(3), now_);
  EXPECT_FALSE(left_out());
}

// A report of the session before, held up until a new leader has begun, tells of an attempt that has ended there. What the
// record places in the later session is another start of it, and runs.
TEST_F(Leading, AnEarlierSessionsReportEndsNothing) {
  wire::JobSpec spec = job_of(1);
  state::JobRecord record = state::new_job(spec, 0);
  record.whole->next = AttemptNumber(2);
  record.whole->allocations = {
      {.index = 0, .attempt = AttemptNumber(1), .machine = kFirst, .incarnation = AgentIncarnation(2)}};
  become_leader({{.key = state::active_job_key(spec.id), .data = state::to_value(record), .revision = Revision(2)}});
  ASSERT_TRUE(heartbeat(kFirst, 50, Term(6), {task(0, TaskState::ended, EndReason::done)}));
  EXPECT_EQ(placed(), 1U);
}

// Invariant 6: a report that was overtaken teaches nothing, and its answer starts nothing.
TEST_F(Leading, LearnsNothingFromAnOlderReport) {
  become_leader();
  submit(job_of(1));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write());
  ASSERT_TRUE(has(heartbeat(kFirst, 3, Term(7)), CommandKind::run));
  (void)heartbeat(kFirst, 5, Term(7), {task(0, TaskState::running)});
  const auto answer = heartbeat(kFirst, 4, Term(7));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->empty());
  EXPECT_EQ(placed(), 1U);
  // Nor does one of an earlier session, whatever its number.
  EXPECT_FALSE(has(heartbeat(kFirst, 5, Term(7), {task(0, TaskState::ended, EndReason::done)}), CommandKind::clear));
  EXPECT_EQ(controller_.jobs().at(kJob).done_count, 0U);
}

// Invariant 5: until the worker has seen our term, an older leader's start command may yet reach it.
TEST_F(Leading, AbsenceIsNoProofBeforeTheWorkerHasSeenOurTerm) {
  kv::Entry linger = placed_on(kFirst, job_of(1));
  linger.key = state::terminating_job_key(kJob);
  become_leader({}, {linger});
  (void)heartbeat(kFirst, 1, Term(6));
  EXPECT_EQ(placed(), 1U);
  EXPECT_FALSE(write()) << "the record of where its tasks may be is given up too early";
  (void)heartbeat(kFirst, 2, Term(7));
  EXPECT_EQ(placed(), 0U);
  EXPECT_TRUE(write());
}

// Invariant 11: what the worker forgets can't be asked of it again.
TEST_F(Leading, ClearsATaskOnlyWhenItsOutcomeIsDurable) {
  become_leader();
  submit(job_of(2));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write());
  (void)heartbeat(kFirst, 2, Term(7));
  const std::vector<wire::TaskStatus> tasks{task(0, TaskState::ended, EndReason::done),
                                            task(1, TaskState::running, EndReason::none, 2)};
  EXPECT_FALSE(has(heartbeat(kFirst, 3, Term(7), tasks), CommandKind::clear));
  ASSERT_TRUE(write(kv::Answer::none));  // it may have been written, or not
  EXPECT_FALSE(has(heartbeat(kFirst, 4, Term(7), tasks), CommandKind::clear));
  ASSERT_TRUE(write());
  EXPECT_TRUE(has(heartbeat(kFirst, 5, Term(7), tasks), CommandKind::clear));
  EXPECT_EQ(controller_.jobs().at(kJob).done_count, 1U);
}

// Invariant 6: a start command waits for a placement that is known to be written.
TEST_F(Leading, StartsOnlyWhatIsDurable) {
  become_leader();
  submit(job_of(1));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_FALSE(has(heartbeat(kFirst, 2, Term(7)), CommandKind::run));
  EXPECT_FALSE(has(controller_.follow_up_commands(last_, now_), CommandKind::run));
  ASSERT_TRUE(write(kv::Answer::none));
  EXPECT_FALSE(has(controller_.follow_up_commands(last_, now_), CommandKind::run));
  EXPECT_FALSE(has(heartbeat(kFirst, 3, Term(7)), CommandKind::run));
  ASSERT_TRUE(write());
  EXPECT_TRUE(has(heartbeat(kFirst, 4, Term(7)), CommandKind::run));
}

// Invariant 10: a machine on which tasks fail twice in a row gets no more of them.
TEST_F(Leading, DrainsAMachineOnWhichTasksFail) {
  become_leader();
  submit(job_of(2));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_TRUE(write());
  (void)heartbeat(kFirst, 2, Term(7));
  (void)heartbeat(kFirst, 3, Term(7),
                  {task(0, TaskState::ended, EndReason::error), task(1, TaskState::running, EndReason::none, 2)});
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::up);
  (void)heartbeat(kFirst, 4, Term(7), {task(1, TaskState::ended, EndReason::error, 2)});
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::draining);
  controller_.tick(now_);
  EXPECT_EQ(controller_.machines().at(kFirst).state, MachineState::returning);
}

// Invariant 7: where a machine that nobody has heard of stands is not known, so that no other task of a job that
// wants one zone starts anywhere until it is.
TEST_F(Leading, PlacesNothingBesideATaskWhoseZoneIsUnknown) {
  wire::JobSpec spec = job_of(2);
  spec.one_zone = true;
  become_leader({placed_on(kSecond, spec)});
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 1U);
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  controller_.plan_pass(now_);
  ASSERT_EQ(placed(), 2U);
  EXPECT_EQ(controller_.machines().at(kSecond).allocations.size(), 2U);
}

// Invariant 7: what is placed counts against the limit until proof, also when its machine is silent.
TEST_F(Leading, ASilentMachinesTasksCountAgainstTheLimit) {
  wire::JobSpec spec = job_of(20);
  become_leader({placed_on(kSecond, spec)});
  for (const char* name : {"m-000001", "m-000003", "m-000004", "m-000005", "m-000006"})
    (void)heartbeat(MachineId(name), 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 16U);  // of 4 CPUs each, for a limit of 64
}

// Duties run late on a small machine: what is answered counts from the moment up to which all was known, and not
// from the moment of the answer.
TEST_F(Leading, AnswersAndStartsNothingOnceItsKnowledgeIsTooOld) {
  become_leader();
  submit(job_of(1));
  ASSERT_TRUE(heartbeat(kFirst, 1, Term(7)));
  now_ += Millis(4'100);  // nothing confirmed: the lease may have ended
  EXPECT_TRUE(controller_.can_renew_agent_leases(now_));
  EXPECT_FALSE(controller_.can_start_tasks(now_));
  EXPECT_TRUE(heartbeat(kFirst, 2, Term(7), {}, false));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 0U);
  EXPECT_FALSE(controller_.begin_write(now_));
  now_ += Millis(24'000);  // 40 s for a cancellation, less a worker's lease of 10 s and a margin of 2 s
  EXPECT_FALSE(controller_.can_renew_agent_leases(now_));
}

// An answer renews the worker's lease: one that has waited for writes to settle needs the right to answer again. The node may
// have stood still meanwhile, or lead no longer.
TEST_F(Leading, AnAnswerThatWaitedNeedsTheRightOnceMore) {
  become_leader();
  ASSERT_TRUE(heartbeat(kFirst, 1, Term(7)));
  EXPECT_TRUE(controller_.follow_up_commands(last_, now_));
  now_ += Millis(28'100);  // as above
  EXPECT_FALSE(controller_.follow_up_commands(last_, now_)) << "it stood still";
  controller_.on_leader_lease_renewed(now_);
  EXPECT_FALSE(controller_.follow_up_commands(last_, now_)) << "the lease alone tells nothing of cancellations";
  controller_.on_records_confirmed(now_);
  EXPECT_TRUE(controller_.follow_up_commands(last_, now_));
  controller_.observe_term(Term(8));
  EXPECT_FALSE(controller_.follow_up_commands(last_, now_)) << "another one leads";
}

// Invariant 7: a team's limit counts what is placed, whatever the plan says. A pass in portions may outlive the booking
// of a run that takes longer than estimated; the plan then takes what it uses for free.
TEST_F(Leading, KeepsTheTeamsLimitWhenAPassOutlivesABooking) {
  become_leader();
  submit(job_of(16));  // of 4 CPUs each: all that the team may have
  const std::vector<MachineId> machines{kFirst, kSecond, MachineId("m-000003"), MachineId("m-000004")};
  for (const MachineId& machine : machines) (void)heartbeat(machine, 1, Term(7));
  controller_.plan_pass(now_);
  ASSERT_EQ(placed(), 16U);
  now_ += Millis(59'000);  // of the 60 s for which they are booked
  (void)heartbeat(MachineId("m-000005"), 1, Term(7));
  wire::JobSpec next = job_of(1);
  next.id = JobId("j-000002");
  submit(next);
  wire::JobSpec last = job_of(1);
  last.id = JobId("j-000003");
  submit(last);
  ASSERT_FALSE(controller_.plan_portion(now_, 1));
  now_ += Millis(2'000);
  (void)heartbeat(MachineId("m-000005"), 2, Term(7));
  ASSERT_TRUE(controller_.plan_portion(now_, 1));
  EXPECT_EQ(controller_.jobs().at(next.id).allocation_count, 0U);
  EXPECT_EQ(controller_.jobs().at(last.id).allocation_count, 0U);
}

// What operators are told.
TEST_F(Leading, ExplainsWhyAJobWaits) {
  EXPECT_FALSE(controller_.explain(kJob, now_)) << "it does not lead";
  become_leader();
  EXPECT_FALSE(controller_.explain(kJob, now_)) << "it knows no such job";
  submit(job_of(20));  // of 4 CPUs each; the team may have 64
  EXPECT_EQ(controller_.explain(kJob, now_),
            "20 of 20 tasks wait; no machine that is up or boots has room for it; the settings forbid renting");
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 4U);
  EXPECT_EQ(
      controller_.explain(kJob, now_),
      "16 of 20 tasks wait; the first is booked to start in 60 s, 16 of them later than a machine rented now would "
      "let them; the settings forbid renting");
  now_ += Millis(60'000);
  EXPECT_EQ(controller_.explain(kJob, now_),
            "16 of 20 tasks wait; nothing is started while the state service does not answer");
}

TEST_F(Leading, CountsWhatIsNotWrittenYetAndSinceWhen) {
  become_leader();
  EXPECT_EQ(controller_.cluster_summary(now_).unwritten_records, 0U);
  submit(job_of(2));
  (void)heartbeat(kFirst, 1, Term(7));
  controller_.plan_pass(now_);
  now_ += Millis(700);
  control::ClusterSummary cluster_summary = controller_.cluster_summary(now_);
  EXPECT_EQ(cluster_summary.tasks_placed, 2U);
  EXPECT_EQ(cluster_summary.machines_up, 1U);
  EXPECT_EQ(cluster_summary.unwritten_records, 1U);
  EXPECT_EQ(cluster_summary.oldest_unwritten_age, Millis(700));
  ASSERT_TRUE(write(kv::Answer::none));  // it may be written, or not
  now_ += Millis(300);
  EXPECT_EQ(controller_.cluster_summary(now_).oldest_unwritten_age, Millis(1000));
  ASSERT_TRUE(write());
  cluster_summary = controller_.cluster_summary(now_);
  EXPECT_EQ(cluster_summary.unwritten_records, 0U);
  EXPECT_EQ(cluster_summary.oldest_unwritten_age, Millis(0));
  EXPECT_GT(cluster_summary.fence_remaining, Millis(0));
}

// ---- hints of a standby ----

void add_fact(standby::SoftStateSnapshot& snapshot, standby::Kind kind, std::string name, standby::EntryValue what) {
  standby::Key key;
  key.kind = kind;
  key.name = std::move(name);
  snapshot.entries.push_back({.key = std::move(key), .what = std::move(what)});
}

standby::SoftStateSnapshot hints(Instant now, bool up = true) {
  standby::SoftStateSnapshot snapshot{.term = Term(6), .taken = now, .starts_s = 1, .entries = {}};
  standby::Machine machine{.address = "127.0.0.1:1", .type = "plain", .zone = "b", .up = up};
  machine.since = now - Millis(2000);
  machine.ready = now + Millis(8000);
  machine.images = {"img"};
  add_fact(snapshot, standby::Kind::machine, kSecond.text(), standby::Shared(machine));
  add_fact(snapshot, standby::Kind::task, kJob.text(),
           standby::Task{.attempt = AttemptNumber(1), .began = now - Millis(50'000), .saved = {}});
  return snapshot;
}

// Work is planned on it, so that nothing is rented in its place; but it starts nothing before it has reported.
TEST_F(Leading, AHintedMachineIsCountedOnButNotUsed) {
  become_leader();
  submit(job_of(1));
  controller_.plan_pass(now_);
  ASSERT_EQ(controller_.jobs().at(kJob).late_tasks, 1U);
  controller_.apply_soft_state(hints(now_), now_);
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  controller_.plan_pass(now_);
  EXPECT_EQ(controller_.jobs().at(kJob).late_tasks, 0U);
  EXPECT_TRUE(controller_.jobs().at(kJob).planned_start);
  EXPECT_EQ(placed(), 0U);
  now_ += Millis(3000);  // it was to report by now
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 0U);
  (void)heartbeat(kSecond, 1, Term(7));
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 1U);
}

TEST_F(Leading, HintsOfItsOwnTermOrOldOnesAreNotTaken) {
  become_leader();
  standby::SoftStateSnapshot own = hints(now_);
  own.term = Term(7);
  controller_.apply_soft_state(own, now_);
  EXPECT_TRUE(controller_.machines().empty());
  standby::SoftStateSnapshot old = hints(now_);
  old.taken -= constants::kMaxSoftStateAge + Millis(1);
  controller_.apply_soft_state(old, now_);
  EXPECT_TRUE(controller_.machines().empty());
  controller_.step_down("it ends");
  controller_.apply_soft_state(hints(now_), now_);
  EXPECT_TRUE(controller_.machines().empty());
}

// A machine that was returned since is forgotten; the list would have told it.
TEST_F(Leading, AHintedMachineThatIsNeverSeenIsForgotten) {
  become_leader();
  controller_.apply_soft_state(hints(now_), now_);
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

// Neither a lease nor the zone that grants are reckoned for is taken from a sibling's word: whatever is hinted, a task counts
// until nobody can have renewed its machine's lease, and no longer. The machine stands in zone b, whose controller answers it.
class LeadingByHints : public Leading, public testing::WithParamInterface<const char*> {};
TEST_P(LeadingByHints, ShortenNoLease) {
  become_leader({placed_on(kSecond, job_of(1))});
  if (const std::string zone = GetParam(); !zone.empty()) {
    standby::Machine machine{.address = "127.0.0.1:1", .type = "plain", .zone = zone, .up = true};
    standby::SoftStateSnapshot told = hints(now_);
    told.entries[0].what = standby::Shared(machine);
    controller_.apply_soft_state(told, now_);
    ASSERT_EQ(controller_.machines().at(kSecond).zone, zone);
  }
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  // Asked for before the machine counts as silent, as it would be left out of the grant otherwise.
  const auto delegation = controller_.on_delegation_request(
      {.node = NodeName("node-1"), .life = 1, .sequence = 1, .term = Term(7), .holds = {}, .uses = {}}, now_);
  ASSERT_TRUE(delegation);
  ASSERT_TRUE(delegation->except.empty());
  const Instant end = now_ + delegation_spans(settings()).bound + agent_lease_timeout(settings());
  ASSERT_GT(end, now_ + Millis(20'000) + agent_lease_timeout(settings()))
      << "older leaders' reckoning ends before, by lead()";
  for (const Instant last = end + Millis(2000); now_ < last; now_ += Millis(1000)) {
    controller_.on_leader_lease_renewed(now_);
    controller_.on_records_confirmed(now_);
    controller_.tick(now_);
    ASSERT_EQ(placed(), now_ <= end ? 1U : 0U) << (end - now_).count() << " ms before the lease's end";
  }
}
INSTANTIATE_TEST_SUITE_P(Zones, LeadingByHints, testing::Values("", "a", "b"), [](const auto& info) {
  return std::string(info.param).empty() ? std::string("NoHint") : "HintOfZone_" + std::string(info.param);
});

TEST_F(Leading, AHintedZoneAllowsNoTaskOfAJobInOneZone) {
  wire::JobSpec spec = job_of(2);
  spec.one_zone = true;
  become_leader({placed_on(kSecond, spec)});
  controller_.apply_soft_state(hints(now_), now_);  // in zone b, they say
  wire::Heartbeat made;
  (void)heartbeat(MachineId("m-000003"), 1, Term(7));  // in zone b
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 1U);
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  controller_.plan_pass(now_);
  EXPECT_EQ(placed(), 2U);
}

// What has run for 50 of 60 s leaves its place in 10; and it counts as running once a report says so.
TEST_F(Leading, AHintedStartTellsWhenTheTaskEnds) {
  become_leader({placed_on(kSecond, job_of(1))});
  controller_.apply_soft_state(hints(now_), now_);
  const auto run = [&]() -> const control::Allocation& {
    return controller_.jobs().at(kJob).shards[0].allocations.at(0);
  };
  EXPECT_FALSE(run().running_since);
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(10'000));
  (void)heartbeat(kSecond, 1, Term(7), {task(0, TaskState::running)});
  ASSERT_TRUE(run().running_since);
  EXPECT_EQ(*run().running_since, now_ - Millis(50'000));
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(10'000));
}

// A hint of an attempt that is not the record's says nothing.
TEST_F(Leading, AHintedStartOfAnotherAttemptIsPassedOver) {
  become_leader({placed_on(kSecond, job_of(1))});
  standby::SoftStateSnapshot other = hints(now_);
  std::get<standby::Task>(other.entries[1].what).attempt = AttemptNumber(9);
  controller_.apply_soft_state(other, now_);
  EXPECT_EQ(controller_.planned_ends().at(kJob), now_ + Millis(60'000));
}

// A takeover within a takeover: what was hinted is told on as it was.
TEST_F(Leading, HintsAreToldOnUntilTheyAreSeen) {
  become_leader({placed_on(kFirst, job_of(1))});
  controller_.apply_soft_state(hints(now_), now_);
  const standby::SoftStateSnapshot told = controller_.soft_state(now_);
  ASSERT_EQ(told.count(standby::Kind::machine), 1U);
  const auto& machine = *std::get<standby::Shared<standby::Machine>>(told.entries[0].what);
  EXPECT_TRUE(machine.up);
  EXPECT_EQ(machine.zone, "b");
  EXPECT_EQ(told.count(standby::Kind::task), 1U);
  EXPECT_EQ(told.term, Term(7));
}

// Refusals, arrivals of a class that can't wait, and sizes come through.
TEST_F(Leading, LearntDemandAndRefusalsAreHinted) {
  become_leader();
  standby::SoftStateSnapshot told = hints(now_);
  told.entries.clear();
  add_fact(told, standby::Kind::refusal, "plain",
           standby::Shared(standby::Refusal{
               .zone = "a", .spot = false, .not_before = now_ + Millis(30'000), .pause = Millis(40'000), .most = 3}));
  add_fact(told, standby::Kind::sample, "work",
           standby::Shared(standby::Sample{.cpus = 4, .estimate_s = 60, .largest = 40}));
  controller_.apply_soft_state(told, now_);
  const standby::SoftStateSnapshot again = controller_.soft_state(now_);
  ASSERT_EQ(again.count(standby::Kind::refusal), 1U);
  ASSERT_EQ(again.count(standby::Kind::sample), 1U);
  for (const standby::SoftStateEntry& fact : again.entries) {
    if (fact.key.kind == standby::Kind::refusal) {
      EXPECT_EQ(std::get<standby::Shared<standby::Refusal>>(fact.what)->most, 3U);
    } else {
      EXPECT_EQ(std::get<standby::Shared<standby::Sample>>(fact.what)->largest, 40U);
    }
  }
}

}  // namespace
}  // namespace foxshunt::control
