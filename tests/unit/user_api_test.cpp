#include "user_api/request.h"

#include <gtest/gtest.h>

#include <cmath>

#include "config/constants.h"
#include "standins/state_store.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::user_api {
namespace {

using kv::Status;
using wire::JobState;

const JobId kJob("j-000001");

wire::JobSpec job(std::uint32_t tasks = 2) {
  wire::JobSpec spec;
  spec.id = kJob;
  spec.job_class = spec.image = "x";
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = 4;
  spec.ram_gb = 1;
  return spec;
}

// A node without threads and bytes; `lost` transactions are carried out, but not answered.
class Node {
 public:
  Node() { settings_.teams = {{.name = "red", .cpus = 8, .cpus_max = 16, .gpus = 1, .gpus_max = 2}}; }

  Reply submit(const wire::JobSpec& spec) { return submit(wire::encode(wire::to_value(spec))); }
  Reply submit(const std::string& body) { return run(Request::submission(known(), body)); }
  Reply ask(const std::string& id = kJob.text()) { return run(Request::question(known(), id)); }
  Reply cancel(const std::string& id = kJob.text()) { return run(Request::cancellation(known(), id)); }
  Known known() { return {.settings = settings_, .finals = finals, .types = types, .wall_ms = 77}; }

  standins::StateStore store;
  FinalStates finals;
  std::vector<wire::MachineType> types{{.name = "plain", .cpus = 8, .gpus = 1, .ram_gb = 32, .zones = {"a"}}};
  std::vector<Status> answers;  // of the transactions that come, in place of the store's
  bool lost = false;            // whether these are carried out all the same
  bool reads_answered = true;
  std::size_t reads = 0;
  std::size_t writes = 0;

 private:
  Reply run(Request request) {
    while (request.reply() == nullptr) {
      if (const auto* read = std::get_if<Request::Read>(&request.step())) {
        ++reads;
        request.on_read(reads_answered ? store.get(read->key) : kv::GetResult{});
        continue;
      }
      kv::TxnResult result;
      const auto& txn = std::get<kv::Txn>(request.step());
      if (writes < answers.size()) {
        result.status = answers[writes];
        if (lost) (void)store.txn(txn);
      } else {
        result = store.txn(txn);
      }
      ++writes;
      request.on_written(result);
    }
    return *request.reply();
  }

  config::Settings settings_;
};

JobState state_of(const Reply& reply) { return wire::job_status_from(reply.body).state; }

void end(standins::StateStore& store, JobState state) {
  ASSERT_EQ(store
                .txn({.preconditions = {},
                      .changes = {{.key = state::active_job_key(kJob), .data = {}, .lease = {}},
                                  {.key = state::finished_job_key(kJob),
                                   .data = state::finished_job_value({.id = kJob, .state = state}),
                                   .lease = {}}}})
                .status,
            Status::ok);
}

TEST(UserApi, ASubmissionIsAcceptedOnceAndKnownEverAfter) {
  Node node;
  EXPECT_EQ(node.submit(job()).status, 201);
  const auto kept = state::job_from(node.store.get(state::active_job_key(kJob)).entry.data);
  EXPECT_EQ(kept.submitted_wall_ms, 77);
  const Reply again = node.submit(job());
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(state_of(again), JobState::pending);
  end(node.store, JobState::done);
  EXPECT_EQ(state_of(node.submit(job())), JobState::done);
  const std::size_t reads = node.reads;
  EXPECT_EQ(state_of(node.submit(job())), JobState::done);
  EXPECT_EQ(node.reads, reads) << "a final state is kept";
}

// An accepted job is known whatever a later submission of its id looks like.
TEST(UserApi, WhatIsWrongOnlyMattersForANewJob) {
  wire::Value without = wire::to_value(job());
  without.as_map()->erase(without.as_map()->begin() + 1);
  wire::JobSpec nobodys = job();
  nobodys.team = "nobody";
  Node node;
  EXPECT_EQ(node.submit(wire::encode(without)).status, 400);
  EXPECT_EQ(node.submit(nobodys).status, 422);
  EXPECT_EQ(node.submit("nonsense").status, 400);
  EXPECT_EQ(node.submit(wire::encode(wire::Value::Map{{"id", "x"}})).status, 400);
  EXPECT_EQ(node.writes, 0U);
  EXPECT_EQ(node.submit(job()).status, 201);
  EXPECT_EQ(node.submit(wire::encode(without)).status, 200);
  EXPECT_EQ(node.submit(nobodys).status, 200);
  node.reads_answered = false;
  EXPECT_EQ(node.submit(wire::encode(without)).status, 503) << "it may be known";
  EXPECT_EQ(node.submit(nobodys).status, 503);
}

TEST(UserApi, WhatCanNeverRun) {
  const auto answered = [](const wire::JobSpec& spec) {
    Node node;
    return node.submit(spec).status;
  };
  wire::JobSpec spec = job(4);
  EXPECT_EQ(answered(spec), 201);
  spec.cpus = 9;
  EXPECT_EQ(answered(spec), 422) << "fits no machine";
  spec = job(5);
  EXPECT_EQ(answered(spec), 201) << "an array needs its limit for one task";
  spec.kind = wire::JobKind::gang;
  EXPECT_EQ(answered(spec), 422) << "a gang needs it for all";
  spec.kind = wire::JobKind::service;
  EXPECT_EQ(answered(spec), 422);
  spec = job(3);
  spec.kind = wire::JobKind::gang;
  spec.gpus = 1;
  EXPECT_EQ(answered(spec), 422);
  spec = job();
  spec.types = {"other"};
  EXPECT_EQ(answered(spec), 422);
  spec = job();
  spec.zone = "b";
  EXPECT_EQ(answered(spec), 422);
}

// Guards against a check of submissions that counts otherwise than the placement: a gang of exactly its team's limit was
// refused for ever.
TEST(UserApi, AGangOfExactlyItsTeamsLimitIsAccepted) {
  config::Settings settings;
  settings.teams = {{.name = "red", .cpus_max = 6.6}};
  const std::vector<wire::MachineType> types{{.name = "plain", .cpus = 32, .ram_gb = 64, .zones = {"a"}}};
  wire::JobSpec spec = job(6);
  spec.kind = wire::JobKind::gang;
  spec.cpus = 1.1;
  EXPECT_EQ(never_runs(spec, settings, types), std::nullopt);
  spec.tasks = 560;
  settings.teams.front().cpus_max = 616;
  EXPECT_EQ(never_runs(spec, settings, types), std::nullopt);
  spec.cpus = std::nextafter(1.1, 2.0);
  EXPECT_NE(never_runs(spec, settings, types), std::nullopt);
}

TEST(UserApi, MachineTypesAreReadIfTheyAreNotKnown) {
  Node node;
  const auto types = std::exchange(node.types, {});
  const Reply unknown = node.submit(job());
  EXPECT_EQ(unknown.status, 503);
  EXPECT_EQ(unknown.retry_after_s, constants::kRetryAfterSeconds);
  (void)node.store.txn(
      {.preconditions = {}, .changes = {{.key = state::kMachineTypesKey, .data = wire::Value("no"), .lease = {}}}});
  EXPECT_EQ(node.submit(job()).status, 503);
  (void)node.store.txn(
      {.preconditions = {}, .changes = {{.key = state::kMachineTypesKey, .data = wire::to_value(types), .lease = {}}}});
  EXPECT_EQ(node.submit(job()).status, 201);
}

// Without an answer the transaction may have been carried out: only what is read may be told.
TEST(UserApi, ASubmissionWhoseTransactionIsNotAnswered) {
  Node node;
  node.answers = {Status::unknown, Status::unavailable, Status::unknown};
  EXPECT_EQ(node.submit(job()).status, 503);
  EXPECT_EQ(node.submit(job()).status, 503) << "refused";
  node.lost = true;
  const Reply there = node.submit(job());
  EXPECT_EQ(there.status, 200);
  EXPECT_EQ(state_of(there), JobState::pending);
}

TEST(UserApi, AQuestion) {
  Node node;
  EXPECT_EQ(node.ask().status, 404);
  EXPECT_EQ(node.ask("nonsense").status, 404);
  (void)node.submit(job());
  EXPECT_EQ(state_of(node.ask()), JobState::pending);
  node.reads_answered = false;
  EXPECT_EQ(node.ask().status, 503);
  node.reads_answered = true;
  end(node.store, JobState::cancelled);
  EXPECT_EQ(state_of(node.ask()), JobState::cancelled);
  node.reads_answered = false;
  EXPECT_EQ(state_of(node.ask()), JobState::cancelled) << "a final state is kept";
}

// live/ was read before the job ended, over/ after it: it is missed in neither.
TEST(UserApi, AQuestionWhileTheJobEnds) {
  Node node;
  (void)node.submit(job());
  Request request = Request::question(node.known(), kJob.text());
  EXPECT_EQ(std::get<Request::Read>(request.step()).key, state::active_job_key(kJob));
  end(node.store, JobState::done);
  request.on_read(node.store.get(state::active_job_key(kJob)));
  EXPECT_EQ(std::get<Request::Read>(request.step()).key, state::finished_job_key(kJob));
  request.on_read(node.store.get(state::finished_job_key(kJob)));
  ASSERT_NE(request.reply(), nullptr);
  EXPECT_EQ(state_of(*request.reply()), JobState::done);
}

TEST(UserApi, ARecordThatCannotBeReadIsNotTakenForNone) {
  Node node;
  (void)node.store.txn(
      {.preconditions = {}, .changes = {{.key = state::active_job_key(kJob), .data = wire::Value("no"), .lease = {}}}});
  EXPECT_EQ(node.ask().status, 503);
  EXPECT_EQ(node.cancel().status, 503);
}

TEST(UserApi, ACancellation) {
  Node node;
  EXPECT_EQ(node.cancel().status, 404);
  EXPECT_EQ(node.cancel("nonsense").status, 404);
  (void)node.submit(job());
  EXPECT_EQ(state_of(node.cancel()), JobState::cancelled);
  EXPECT_EQ(node.store.get(state::active_job_key(kJob)).status, Status::not_found);
  node.reads_answered = false;
  EXPECT_EQ(state_of(node.cancel()), JobState::cancelled);
  EXPECT_EQ(state_of(node.submit(job())), JobState::cancelled);
}

TEST(UserApi, ACancellationOfWhatIsDone) {
  Node node;
  (void)node.submit(job());
  end(node.store, JobState::done);
  EXPECT_EQ(state_of(node.cancel()), JobState::done);
  EXPECT_EQ(node.writes, 1U) << "the submission's";
}

// The job changes between its reading and the transaction, or nobody answers that: it is read again.
TEST(UserApi, ACancellationIsTriedAgain) {
  Node node;
  (void)node.submit(job());
  node.answers = {Status::ok, Status::conflict, Status::unknown};
  EXPECT_EQ(state_of(node.cancel()), JobState::cancelled);
  EXPECT_EQ(node.writes, 4U);

  Node unlucky;
  (void)unlucky.submit(job());
  unlucky.answers.assign(1 + constants::kMaxConflictRetries, Status::conflict);
  EXPECT_EQ(unlucky.cancel().status, 503);
  EXPECT_EQ(unlucky.writes, 1U + constants::kMaxConflictRetries);

  Node unanswered;
  (void)unanswered.submit(job());
  unanswered.answers = {Status::ok, Status::unknown};
  unanswered.lost = true;
  EXPECT_EQ(state_of(unanswered.cancel()), JobState::cancelled);
  EXPECT_EQ(unanswered.writes, 2U);

  Node refused;
  (void)refused.submit(job());
  refused.answers = {Status::ok, Status::unavailable};
  EXPECT_EQ(refused.cancel().status, 503);
}

}  // namespace
}  // namespace foxshunt::user_api
