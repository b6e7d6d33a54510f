// The user API: what each request reads and writes in the state service, and its answer.
#include "user_api/request.h"

#include <gtest/gtest.h>

#include "golden/golden_file.h"
#include "standins/state_store.h"

namespace foxshunt::golden {
namespace {

using wire::Value;

const std::string kJob = "j-000412";

Value job(const std::string& id, std::uint64_t tasks = 2) {
  return from_json(R"({"id":")" + id + R"(","breed":"x","pack":"red","gait":"array","rank":"standard","cubs":)" +
                   std::to_string(tasks) +
                   R"(,"cpus":4.0,"cards":0.0,"ramGb":1.0,"pelt":"img","pullGb":0.25,"burrows":null,"covert":null,)"
                   R"("samePlace":false,"spread":false,"strays":false,"runS":30.0,"cacheS":0.0,"buryS":0.0,)"
                   R"("duskS":null})");
}

Value with(Value message, const std::string& field, const Value& value) {
  for (auto& [key, held] : *message.as_map()) {
    if (key == field) held = value;
  }
  return message;
}

// Conditions and changes, with the bytes of what is stored.
std::string text_of(const kv::Txn& txn) {
  std::string text = "  write";
  for (const kv::Precondition& condition : txn.preconditions) {
    text += " if " + condition.key + (condition.revision == Revision{} ? " is not there" : " is unchanged");
  }
  text += "\n";
  for (const kv::Change& change : txn.changes) {
    text += change.data ? "    set " + change.key + " " + to_json(*change.data) + " " + to_hex(*change.data) + "\n"
                        : "    remove " + change.key + "\n";
  }
  return text;
}

class GoldenUserApi : public ::testing::Test {
 protected:
  GoldenUserApi() { settings_.teams = {{.name = "red", .cpus = 8, .cpus_max = 16, .gpus = 1, .gpus_max = 2}}; }

  void submit(const std::string& what, const Value& message) { submit_bytes(what, wire::encode(message)); }
  void submit_bytes(const std::string& what, const std::string& body) {
    run("submit " + what, user_api::Request::submission(known(), body));
  }
  void ask(const std::string& id) { run("status " + id, user_api::Request::question(known(), id)); }
  void cancel(const std::string& id) { run("cancel " + id, user_api::Request::cancellation(known(), id)); }
  void expect_golden(const std::string& file) const { expect_same(file, told_); }

  standins::StateStore store_;
  std::vector<wire::MachineType> types_ = wire::machine_types_from(
      from_json(R"({"burrows":[{"name":"plain","cpus":8.0,"cards":1.0,"ramGb":32.0,"cacheGb":100.0,"fetchGbPerS":0.5,)"
                R"("hourly":0.5,"marketPrice":0.25,"bootS":45.0,"coverts":["zone-a"]}]})"));
  kv::Status failing_reads_ = kv::Status::ok;  // given in place of the store's
  kv::Status failing_writes_ = kv::Status::ok;

 private:
  user_api::Known known() {
    return {.settings = settings_, .finals = finals_, .types = types_, .wall_ms = 1760000000000};
  }

  void run(const std::string& what, user_api::Request request) {
    told_ += what + "\n";
    while (request.reply() == nullptr) {
      if (const auto* read = std::get_if<user_api::Request::Read>(&request.step())) {
        told_ += "  read " + read->key + "\n";
        request.on_read(failing_reads_ == kv::Status::ok ? store_.get(read->key)
                                                         : kv::GetResult{.status = failing_reads_, .entry = {}});
        continue;
      }
      const kv::Txn txn = std::get<kv::Txn>(request.step());
      told_ += text_of(txn);
      request.on_written(failing_writes_ == kv::Status::ok
                             ? store_.txn(txn)
                             : kv::TxnResult{.status = failing_writes_, .revision = {}, .failed_keys = {}});
    }
    const user_api::Reply& reply = *request.reply();
    told_ += "  " + std::to_string(reply.status);
    if (reply.retry_after_s) told_ += " retry after " + std::to_string(*reply.retry_after_s) + " s";
    told_ += " " + to_json(reply.body) + " " + to_hex(reply.body) + "\n";
  }

  config::Settings settings_;
  user_api::FinalStates finals_;
  std::string told_;
};

TEST_F(GoldenUserApi, LifeOfAJob) {
  submit("a new job", job(kJob));
  submit("the same again", job(kJob));
  submit("the same, malformed", with(job(kJob), "cubs", "many"));
  ask(kJob);
  cancel(kJob);
  cancel(kJob);
  ask(kJob);
  submit("what was withdrawn", job(kJob));
  submit("a job in parts", job("j-000413", 300));
  ask("j-000413");
  cancel("j-000413");
  expect_golden("user_api_jobs.txt");
}

TEST_F(GoldenUserApi, UnknownJobs) {
  for (const char* id : {"j-999999", "nonsense", "", "j-1", "j-000412/3"}) {
    ask(id);
    cancel(id);
  }
  expect_golden("user_api_unknown.txt");
}

TEST_F(GoldenUserApi, RefusedSubmissions) {
  submit_bytes("no CBOR", "nonsense");
  submit_bytes("nothing", "");
  submit("a list", Value(Value::List{}));
  submit("of a team nobody knows", with(job(kJob), "pack", "nobody"));
  submit("of too many CPUs for a machine", with(job(kJob), "cpus", 9.0));
  submit("of a type that is none", with(job(kJob), "burrows", Value::List{"none"}));
  submit("of a zone without the type", with(job(kJob), "covert", "zone-b"));
  submit("of a gang beyond the team's CPUs", with(job(kJob, 5), "gait", "ensemble"));
  submit("of a gang beyond the team's GPUs",
         with(with(with(job(kJob, 3), "gait", "ensemble"), "cpus", 1.0), "cards", 1.0));
  submit("of an unknown kind", with(job(kJob), "gait", "gang"));
  submit("of an unknown priority", with(job(kJob), "rank", "urgent"));
  submit("of no task", job(kJob, 0));
  submit("of too many tasks", job(kJob, 100'001));
  submit("of endless work", with(job(kJob), "runS", 1e10));
  submit("with a negative amount", with(job(kJob), "cpus", -1.0));
  submit("with types that are none", with(job(kJob), "burrows", Value::List{}));
  submit("with a long name", with(job(kJob), "breed", std::string(201, 'x')));
  const Value whole = job(kJob);
  for (const auto& [field, value] : *whole.as_map()) {
    if (value.is_null()) continue;  // may be left out
    submit("with " + field + " null", with(whole, field, Value()));
  }
  expect_golden("user_api_refused.txt");
}

TEST_F(GoldenUserApi, WithoutTheStateService) {
  submit("a job while it can be reached", job("j-000411"));
  failing_writes_ = kv::Status::unavailable;
  submit("while it refuses writes", job(kJob));
  failing_writes_ = kv::Status::unknown;
  submit("while writes are not answered", job(kJob));
  cancel("j-000411");
  failing_writes_ = kv::Status::conflict;
  submit("while writes conflict", job(kJob));
  cancel("j-000411");
  failing_reads_ = kv::Status::unknown;
  submit("while reads are not answered", job(kJob));
  ask(kJob);
  cancel(kJob);
  types_.clear();
  submit("while machine types are not known", job(kJob));
  expect_golden("user_api_unserved.txt");
}

}  // namespace
}  // namespace foxshunt::golden
