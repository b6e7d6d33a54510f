// Requests to the state service as it receives them, and transactions of leadership.
#include <gtest/gtest.h>

#include <mutex>

#include "golden/golden_file.h"
#include "net/http.h"
#include "kv/client.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::golden {
namespace {

using std::chrono::milliseconds;
using wire::Value;

// Answers each request with the body given last, and writes down what it received.
class RecordingServer {
 public:
  void answers(const std::string& json, int status = 200) {
    const std::lock_guard lock(mutex_);
    answer_ = {.status = status, .body = wire::encode(from_json(json)), .retry_after_s = {}};
  }
  [[nodiscard]] net::Address address() const { return server_.address(); }
  [[nodiscard]] std::string told() const {
    const std::lock_guard lock(mutex_);
    return told_;
  }

 private:
  net::HttpResponse handle(const net::HttpRequest& request) {
    const std::lock_guard lock(mutex_);
    told_ += request.method + " " + request.path;
    for (const auto& [key, value] : request.query) told_ += " " + key + "=" + value;
    told_ += "\n";
    if (!request.body.empty()) {
      const Value body = wire::decode(request.body);
      told_ += "  " + to_json(body) + "\n  " + to_hex(body) + "\n";
    }
    return answer_;
  }

  mutable std::mutex mutex_;
  std::string told_;
  net::HttpResponse answer_;
  net::HttpServer server_{net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 4},
                          [this](const net::HttpRequest& request) { return handle(request); }};
};

TEST(GoldenStateService, Requests) {
  constexpr double kEnough = 1e6;
  const auto until = net::Clock::now() + std::chrono::seconds(60);
  RecordingServer server;
  kv::RateLimiter rate_limiter(kEnough, kEnough, 1);
  kv::Client client(server.address(), rate_limiter, kv::Priority::system);
  std::string answers;

  server.answers(R"({"mark":17,"data":{"next":3}})");
  const kv::GetResult found = client.get("live/j-000412", until);
  answers += "get: mark " + std::to_string(found.entry.revision.number()) + " " + to_json(found.entry.data) + "\n";

  server.answers(R"({"tally":20,"items":[{"k":"live/j-000412","data":"x","mark":17}],"more":false})");
  const kv::ListResult listed = client.list("live/", milliseconds(60'000));
  answers += "list: revision " + std::to_string(listed.revision.number());
  for (const kv::Entry& entry : listed.entries) {
    answers += " " + entry.key + " mark " + std::to_string(entry.revision.number()) + " " + to_json(entry.data);
  }

  const kv::Txn txn{.preconditions = {{.key = "a", .revision = Revision(4)}, {.key = "b", .revision = {}}},
                    .changes = {{.key = "a", .data = Value(Value::Map{{"x", 1}}), .lease = kv::LeaseId{9}},
                                {.key = "b", .data = Value("text"), .lease = {}},
                                {.key = "c", .data = {}, .lease = {}}}};
  server.answers(R"({"tally":21})");
  answers += "\ntransaction: revision " + std::to_string(client.txn(txn, until).revision.number());
  server.answers(R"({"failed":["b"]})", 409);
  for (const std::string& key : client.txn(txn, until).failed_keys) answers += "\nconflict: " + key;

  server.answers(R"({"tether":33})");
  answers += "\nlease: " + std::to_string(client.grant_lease(milliseconds(9'000), until).value().number) + "\n";
  (void)client.renew_lease(kv::LeaseId{33}, until);
  (void)client.revoke_lease(kv::LeaseId{33}, until);

  server.answers(R"({"tally":22,"news":[{"set":"a","data":7,"mark":21},{"remove":"b","mark":22}]})");
  const kv::WatchResult followed = client.watch("live/", Revision(20), milliseconds(1'500), until);
  answers += "watch: revision " + std::to_string(followed.revision.number());
  for (const kv::Event& event : followed.events) {
    answers += " " + event.key + " mark " + std::to_string(event.revision.number()) + " " +
               (event.data ? to_json(*event.data) : "removed");
  }
  expect_same("state_service.txt", server.told() + answers + "\n");
}

std::string text_of(const kv::Txn& txn) {
  std::string text;
  for (const kv::Precondition& condition : txn.preconditions) {
    text += "if " + condition.key + " " + std::to_string(condition.revision.number()) + "\n";
  }
  for (const kv::Change& change : txn.changes) {
    text += "set " + change.key + " " + to_json(change.data.value()) + " " + to_hex(change.data.value());
    if (change.lease) text += " lease " + std::to_string(change.lease->number);
    text += "\n";
  }
  return text;
}

kv::GetResult got(const std::string& json, std::uint64_t revision) {
  return {.status = kv::Status::ok, .entry = {.key = {}, .data = from_json(json), .revision = Revision(revision)}};
}

TEST(GoldenStateService, TakingTheLead) {
  const kv::GetResult nothing{.status = kv::Status::not_found, .entry = {}};
  std::string told;
  const state::LeadershipView first = state::leadership_view(nothing, nothing);
  told += text_of(state::acquire_leadership_txn(first, NodeName("node-0"), kv::LeaseId{5}, 0));
  const state::LeadershipView later = state::leadership_view(
      got(R"({"node":"node-0","tether":5})", 8), got(R"({"term":7,"leader":"node-0","until":1760000000000})", 9));
  told += "held by lease " + std::to_string(later.leader_lease) + ", others until " +
          std::to_string(later.older_leaders_until_wall_ms) + "\n";
  told += text_of(state::acquire_leadership_txn(later, NodeName("node-1"), kv::LeaseId{6}, 1760000009000));
  expect_same("leadership.txt", told);
}

}  // namespace
}  // namespace foxshunt::golden
