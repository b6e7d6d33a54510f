// A running controller: the paths it answers, the fields of its answers with their types, names of counters, and the
// bodies of its errors. Values change from run to run, so of good answers only the shape is golden.
#include <gtest/gtest.h>

#include <ctime>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "cluster/local_cluster.h"
#include "golden/golden_file.h"

namespace foxshunt::golden {
namespace {

using wire::Value;

constexpr const char* kOperatorSettings =
    "<foxshunt><shared-records>true</shared-records><standby>true</standby><zone-watch>true</zone-watch>"
    "<zone-grants>true</zone-grants></foxshunt>";

// Its calendar's entry is due half a day from now, so that no occurrence opens meanwhile.
std::string catalog_xml(int pool_least) {
  const std::time_t later = std::time(nullptr) + 12 * 3600;
  std::tm parts{};
  gmtime_r(&later, &parts);
  std::ostringstream text;
  text << R"(<catalog><class name="rest" order="1" standing="1"><takes/></class>)"
       << R"(<calendar name="daily" time-zone="UTC" at=")" << std::put_time(&parts, "%H:%M")
       << R"(" opens-before-s="60" lead-s="1"><jobs/></calendar>)"
       << R"(<pool name="warm" least=")" << pool_least
       << R"(" most="1" payer="red"><image name="img" gb="0.5"/><users/></pool></catalog>)";
  return text.str();
}

constexpr std::chrono::seconds kWaitLimit{60};
constexpr double kRunSeconds = 600;
constexpr const char* kWaitingJob =  // more tasks than the team may run at once
    R"({"id":"j-000001","breed":"work","pack":"red","gait":"array","rank":"standard","cubs":90,"cpus":2.0,"cards":0.0,)"
    R"("ramGb":1.0,"pelt":"img","pullGb":0.1,"burrows":null,"covert":null,"samePlace":false,"spread":false,)"
    R"("strays":false,"runS":600.0,"cacheS":0.0,"buryS":0.0,"duskS":null})";

Value with(Value message, const std::string& field, const Value& value) {
  for (auto& [key, held] : *message.as_map()) {
    if (key == field) held = value;
  }
  return message;
}

std::string type_of(const Value& value) {
  if (value.as_bool() != nullptr) return "flag";
  if (value.as_count() != nullptr) return "count";
  if (value.as_real() != nullptr) return "real";
  if (value.as_text() != nullptr) return "text";
  return "null";
}

// Whether a shape tells of a list's entries: not of one that may be empty or not.
enum class Lists : std::uint8_t { open, closed };

// A line for each field: its path and type. Of an open list the first entry stands for all.
void shape(const std::string& path, const Value& value, Lists lists, std::ostream& into) {
  if (const auto* map = value.as_map()) {
    for (const auto& [key, entry] : *map) shape(path + "." + key, entry, lists, into);
  } else if (value.as_list() != nullptr && lists == Lists::closed) {
    into << "  " << path << " list\n";
  } else if (const auto* list = value.as_list()) {
    if (list->empty()) {
      into << "  " << path << " empty list\n";
    } else {
      shape(path + "[]", list->front(), lists, into);
    }
  } else {
    into << "  " << path << " " << type_of(value) << "\n";
  }
}

// The first of two controllers; the other one is not started.
class GoldenController : public ::testing::Test {
 protected:
  void start(const char* operator_settings) {
    cluster_.set_operators(operator_settings);
    cluster_.start(0);
    ASSERT_TRUE(cluster_.wait_until_up(0));
    std::ifstream file(cluster_.folder() / "node-0.json");
    std::ostringstream text;
    text << file.rdbuf();
    peer_ = net::parse_address(from_json(text.str()).text("peer_listen")).value();
  }

  net::HttpResponse call(const net::Address& to, const std::string& method, const std::string& path,
                         const std::string& body = {}) {
    net::HttpClient client(to, std::chrono::seconds(1));
    const auto answer =
        client.call({.method = method, .path = path, .body = body}, net::Clock::now() + std::chrono::seconds(10));
    return answer.value_or(net::HttpResponse{.status = 0, .body = {}, .retry_after_s = {}});
  }
  net::HttpResponse call(const std::string& method, const std::string& path, const std::string& body = {}) {
    return call(cluster_.address(0), method, path, body);
  }

  // Asks until the answer is as it should be; throws with the last answer when it never is.
  template <typename Precondition>
  Value wait_for(const net::Address& to, const std::string& path, Precondition is_good) {
    const auto until = net::Clock::now() + kWaitLimit;
    std::string last = "no answer";
    while (net::Clock::now() < until) {
      const net::HttpResponse answer = call(to, "GET", path);
      if (answer.status == 200) {
        Value body = wire::decode(answer.body);
        if (is_good(body)) return body;
        last = to_json(body);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    throw std::runtime_error("GET " + path + " is not as expected: " + last);
  }
  template <typename Precondition>
  Value wait_for(const std::string& path, Precondition is_good) {
    return wait_for(cluster_.address(0), path, is_good);
  }

  // Judges the set and puts it in force.
  void apply(const std::string& xml) {
    Value::Map request{{"file", "set.xml"}, {"author", "ada"}, {"dry_run", true}, {"xml", xml}};
    const net::HttpResponse judged = call("POST", "/catalog/apply", wire::encode(request));
    ASSERT_EQ(judged.status, 200);
    const Value plan = wire::decode(judged.body);
    tell_shape("/catalog/apply (POST, dry run)", plan);
    request = with(request, "dry_run", false).as_map()[0];
    request.emplace_back("base", plan["base"]);
    request.emplace_back("digest", plan["digest"]);
    const net::HttpResponse applied = call("POST", "/catalog/apply", wire::encode(request));
    ASSERT_EQ(applied.status, 200);
    tell_shape("/catalog/apply (POST)", wire::decode(applied.body));
  }

  // The first record whose key begins so, as soon as there is one.
  Value stored(const std::string& prefix) {
    const Value page = wait_for(cluster_.state().address_of(0), "/kv?starts=" + prefix + "&most=1000",
                                [](const Value& body) { return !body.list("items").empty(); });
    return page.list("items").front()["data"];
  }

  std::ostream& told() { return told_; }
  void tell_shape(const std::string& path, const Value& body) {
    told_ << "GET " << path << "\n";
    shape("", body, Lists::open, told_);
  }
  void tell_error(const net::Address& to, const std::string& method, const std::string& path,
                  const std::string& what = {}, const std::string& body = {}) {
    const net::HttpResponse answer = call(to, method, path, body);
    told_ << method << " " << path << (what.empty() ? "" : " with " + what) << "\n  " << answer.status << " "
          << (answer.body.empty() ? "no body" : to_json(wire::decode(answer.body)));
    if (answer.retry_after_s) told_ << " retry after " << *answer.retry_after_s << " s";
    told_ << "\n";
  }
  void tell_error(const std::string& method, const std::string& path, const std::string& what = {},
                  const std::string& body = {}) {
    tell_error(cluster_.address(0), method, path, what, body);
  }
  // So that machines can run it.
  void upload(const Value& job) { cluster_.cloud().upload(wire::job_spec_from(job), kRunSeconds); }
  [[nodiscard]] const net::Address& peer() const { return peer_; }
  void expect_golden(const std::string& file) const { expect_same(file, told_.str()); }

 private:
  cluster::LocalCluster cluster_{2, true, {}, [] { return ::testing::Test::HasFailure(); }};
  net::Address peer_;
  std::ostringstream told_;
};

TEST_F(GoldenController, ShapesOfAnswers) {
  ASSERT_NO_FATAL_FAILURE(start(kOperatorSettings));
  (void)wait_for("/counters", [](const Value& body) { return body.flag("leads"); });
  (void)wait_for("/standby", [](const Value& body) {
    return body["records_whole"].as_bool() != nullptr && body.flag("records_whole");
  });
  ASSERT_NO_FATAL_FAILURE(apply(catalog_xml(0)));
  const Value job = from_json(kWaitingJob);
  upload(job);
  ASSERT_EQ(call("POST", "/api/jobs", wire::encode(job)).status, 201);
  const auto has = [](const char* list) { return [list](const Value& body) { return !body.list(list).empty(); }; };
  (void)wait_for("/standby", [](const Value& body) { return !body["takeover_started_ms"].is_null(); });
  tell_shape("/catalog", wait_for("/catalog", has("classes")));
  tell_shape("/catalog/history", wait_for("/catalog/history", has("sets")));
  tell_shape("/queue", wait_for("/queue", has("lines")));
  tell_shape("/calendar/2", wait_for("/calendar/2", has("occurrences")));
  tell_shape("/pools", wait_for("/pools", has("pools")));
  tell_shape("/accounts", wait_for("/accounts", [](const Value&) { return true; }));
  tell_shape("/zones",
             wait_for("/zones", [&has](const Value& body) { return body.flag("leads") && has("zones")(body); }));
  tell_shape("/plan/j-000001", wait_for("/plan/j-000001", [](const Value&) { return true; }));
  tell_shape("/standby", wait_for("/standby", [](const Value& body) { return body.flag("leads"); }));
  tell_shape("/counters", wait_for("/counters", [](const Value& body) { return body.flag("leads"); }));
  const net::HttpResponse leadership = call(peer(), "GET", "/lead");
  ASSERT_EQ(leadership.status, 200);
  tell_shape("/lead (between controllers)", wire::decode(leadership.body));
  expect_golden("controller_shapes.txt");
}

// What a leader stores, by the keys of the records that every leader writes; the state service is asked for them. Of pools,
// account/ is left out, as it may be written only after two minutes.
TEST_F(GoldenController, StoredRecords) {
  ASSERT_NO_FATAL_FAILURE(start(kOperatorSettings));
  (void)wait_for("/counters", [](const Value& body) { return body.flag("leads"); });
  ASSERT_NO_FATAL_FAILURE(apply(catalog_xml(1)));
  Value job = from_json(kWaitingJob);
  upload(job);
  ASSERT_EQ(call("POST", "/api/jobs", wire::encode(job)).status, 201);
  Value large = with(with(job, "id", "j-000002"), "cubs", std::uint64_t{200});
  large = with(large, "rank", "high");  // its tasks go first
  upload(large);
  ASSERT_EQ(call("POST", "/api/jobs", wire::encode(large)).status, 201);
  ASSERT_EQ(call("POST", "/api/jobs", wire::encode(with(job, "id", "j-000003"))).status, 201);
  ASSERT_EQ(call("POST", "/api/jobs/j-000003/abort").status, 200);
  for (const char* key :
       {"lead/holder", "lead/term", "types", "live/j-000001", "live/j-000002", "part/j-000002/0", "over/j-000003",
        "catalog/head", "catalog/s/", "pool/next", "pool/held/warm/0", "pool/state/warm"}) {
    const Value record = stored(key);
    told() << key << "\n";
    shape("", record, Lists::closed, told());
  }
  expect_golden("controller_stored.txt");
}

TEST_F(GoldenController, Errors) {
  ASSERT_NO_FATAL_FAILURE(start(kOperatorSettings));
  (void)wait_for("/counters", [](const Value& body) { return body.flag("leads"); });
  (void)wait_for("/standby", [](const Value& body) {
    return body["records_whole"].as_bool() != nullptr && body.flag("records_whole");
  });
  const std::string empty = wire::encode(Value(Value::Map{}));
  for (const char* path : {"/checkin", "/api/jobs", "/catalog/apply", "/catalog/part", "/calendar"}) {
    tell_error("POST", path, "no CBOR", "nonsense");
    tell_error("POST", path, "an empty map", empty);
  }
  for (const char* path : {"/relay", "/grant", "/standby"}) {
    tell_error(peer(), "POST", path, "no CBOR", "nonsense");
    tell_error(peer(), "POST", path, "an empty map", empty);
  }
  for (const char* path : {"/", "/nothing", "/checkin", "/api/jobs", "/api/jobs/j-000404", "/api/jobs/nonsense",
                           "/plan/j-000404", "/plan/nonsense", "/queue?from=x", "/calendar/0", "/calendar/x",
                           "/calendar/2/0/0/0", "/calendar", "/catalog/nothing", "/up"}) {
    tell_error("GET", path);
  }
  tell_error("POST", "/api/jobs/j-000404/abort");
  tell_error("DELETE", "/api/jobs/j-000404");
  tell_error(peer(), "GET", "/nothing");
  tell_error("POST", "/calendar", "an unknown entry",
             wire::encode(from_json(R"({"order":"waive","entry":"x","occurrence":"y","by":"ada","why":""})")));
  tell_error("POST", "/calendar", "an unknown order",
             wire::encode(from_json(R"({"order":"x","entry":"x","occurrence":"y","by":"ada","why":""})")));
  tell_error("POST", "/catalog/apply", "a faulty file",
             wire::encode(from_json(R"({"file":"f","author":"ada","dry_run":true,"xml":"<catalog><x/></catalog>"})")));
  tell_error("POST", "/catalog/apply", "no former set",
             wire::encode(from_json(R"({"file":"f","author":"ada","dry_run":true,"back":1})")));
  tell_error("POST", "/catalog/apply", "missing parts",
             wire::encode(from_json(R"({"file":"f","author":"ada","dry_run":true,"upload":"u"})")));
  tell_error("POST", "/catalog/apply", "a bad author",
             wire::encode(from_json(R"({"file":"f","author":"","dry_run":true,"xml":""})")));
  expect_golden("controller_errors.txt");
}

TEST_F(GoldenController, WithoutSharedRecords) {
  ASSERT_NO_FATAL_FAILURE(start("<foxshunt/>"));
  for (const char* path : {"/catalog", "/catalog/history", "/queue", "/calendar/2"}) tell_error("GET", path);
  for (const char* path : {"/catalog/apply", "/calendar"}) tell_error("POST", path);
  expect_golden("controller_without_shared_records.txt");
}

}  // namespace
}  // namespace foxshunt::golden
