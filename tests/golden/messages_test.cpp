// Messages between controllers, with workers and with the cloud: read and written back, byte by byte.
#include <gtest/gtest.h>

#include "golden/golden_file.h"
#include "health/health.h"
#include "standby/words.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"
#include "wire/messages.h"
#include "zone/messages.h"

namespace foxshunt::golden {
namespace {

using wire::Value;

// Who leads, and how the controller fares with the state service.
Value leadership_again(const Value& value) {
  Value again = state::to_value(state::term_record_from(value));
  if (const auto contact = health::contact_from(value)) health::write_contact(*again.as_map(), *contact);
  return again;
}

TEST(GoldenMessages, BetweenControllers) {
  expect_read_back(
      "messages_controllers.txt",
      {{"leadership", leadership_again},
       {"zone request", [](const Value& value) { return to_value(zone::delegation_request_from(value)); }},
       {"zone grant", [](const Value& value) { return to_value(zone::delegation_from(value)); }},
       {"standby request", [](const Value& value) { return to_value(standby::snapshot_request_from(value)); }},
       {"standby answer", [](const Value& value) { return to_value(standby::message_from(value)); }}});
}

Value answer_again(const Value& value) {
  return wire::heartbeat_response(Term(value.count("alpha")), wire::commands_from(value));
}

Value direct_commands_again(const Value& value) {
  return wire::direct_commands(Term(value.count("alpha")), AgentIncarnation(value.count("prowl")),
                               wire::commands_from(value));
}

Value redirect_again(const Value& value) {
  return wire::redirect_to(NodeName(value["vixen"].is_null() ? "" : value.text("vixen")));
}

TEST(GoldenMessages, WithWorkers) {
  expect_read_back("messages_workers.txt",
                   {{"heartbeat", [](const Value& value) { return to_value(wire::heartbeat_from(value)); }},
                    {"heartbeat answer", answer_again},
                    {"commands", direct_commands_again},
                    {"redirect", redirect_again}});
}

// The program only writes it.
Value rental_again(const Value& value) {
  return to_value(wire::ScaleOutRequest{.request = value.text("hunt"),
                                        .type = value.text("burrow"),
                                        .zone = value.text("covert"),
                                        .spot = value.flag("strays"),
                                        .count = value.count("count")});
}

// The program only reads it.
Value machine_page_again(const Value& value) {
  const wire::MachinePage page = wire::machine_page_from(value);
  Value::List machines;
  for (const wire::ListedMachine& machine : page.machines) {
    const char* state = machine.state == wire::ListedState::starting  ? "starting"
                        : machine.state == wire::ListedState::running ? "running"
                                                                      : "failed";
    Value::Map entry{{"id", machine.id.text()}};
    if (!machine.address.empty()) entry.emplace_back("addr", machine.address);
    for (auto& field : Value::Map{{"burrow", machine.type},
                                  {"covert", machine.zone},
                                  {"strays", machine.spot},
                                  {"scent", state},
                                  {"ageS", machine.age_s}}) {
      entry.push_back(std::move(field));
    }
    machines.emplace_back(std::move(entry));
  }
  return Value::Map{{"dens", std::move(machines)}, {"more", page.more}};
}

TEST(GoldenMessages, WithTheCloud) {
  expect_read_back(
      "messages_cloud.txt",
      {{"machine types", [](const Value& value) { return to_value(wire::machine_types_from(value)); }},
       {"machine page", machine_page_again},
       {"rental", rental_again},
       {"machine names", [](const Value& value) { return wire::machine_names(wire::machine_names_from(value)); }}});
}

TEST(GoldenMessages, WithUsers) {
  expect_read_back("messages_users.txt",
                   {{"job", [](const Value& value) { return to_value(wire::job_spec_from(value)); }},
                    {"job status", [](const Value& value) { return to_value(wire::job_status_from(value)); }}});
}

// A message that cannot be read is refused with the field's name: a part of the answers, and of the logs.
TEST(GoldenMessages, RefusedOnes) {
  std::string refused;
  const auto try_each_without = [&refused](const char* what, const Value& whole, const Codec& codec) {
    for (std::size_t at = 0; at < whole.as_map()->size(); ++at) {
      for (const bool is_null : {true, false}) {
        Value broken = whole;
        auto& [field, value] = broken.as_map()->at(at);
        value = is_null ? Value() : Value(Value::List{Value(Value::List{})});
        refused += std::string(what) + " with " + field + (is_null ? " null: " : " [[]]: ");
        try {
          refused += "taken as " + to_json(codec(broken)) + "\n";
        } catch (const wire::Malformed& error) {
          refused += std::string(error.what()) + "\n";
        }
      }
    }
  };
  const auto heartbeat = [](const Value& value) { return to_value(wire::heartbeat_from(value)); };
  const auto job = [](const Value& value) { return to_value(wire::job_spec_from(value)); };
  try_each_without("heartbeat",
                   from_json(R"({"den":"m-000001","addr":"10.0.0.1:7000","burrow":"plain","covert":"zone-a",)"
                             R"("strays":false,"prowl":1,"pawmark":2,"alpha":3,"barkS":4.0,"cubs":[]})"),
                   heartbeat);
  try_each_without("task", from_json(R"({"cub":"j-000412/3","try":4,"scent":"ended","trail":"done","saved":true})"),
                   [&heartbeat](const Value& task) {
                     return heartbeat(Value::Map{{"den", "m"},
                                                 {"addr", "a"},
                                                 {"burrow", "b"},
                                                 {"covert", "c"},
                                                 {"strays", false},
                                                 {"prowl", 1},
                                                 {"pawmark", 2},
                                                 {"alpha", 3},
                                                 {"barkS", Value()},
                                                 {"cubs", Value::List{task}}});
                   });
  try_each_without("job",
                   from_json(R"({"id":"j-000412","breed":"x","pack":"red","gait":"array","rank":"standard","cubs":5,)"
                             R"("cpus":2.0,"cards":0.0,"ramGb":1.5,"pelt":"img","pullGb":0.25,"burrows":["plain"],)"
                             R"("covert":"zone-a","samePlace":false,"spread":false,"strays":false,"runS":30.0,)"
                             R"("cacheS":0.0,"buryS":0.0,"duskS":9.0})"),
                   job);
  try_each_without("zone request", from_json(R"({"node":"node-1","life":1,"sequence":2,"term":3,"holds":4,"uses":[]})"),
                   [](const Value& value) { return to_value(zone::delegation_request_from(value)); });
  try_each_without("zone grant", from_json(R"({"number":1,"term":2,"zone":"zone-a","age":3,"except":[]})"),
                   [](const Value& value) { return to_value(zone::delegation_from(value)); });
  try_each_without("standby request", from_json(R"({"standby":1,"node":"node-1","number":2,"life":3,"held":4})"),
                   [](const Value& value) { return to_value(standby::snapshot_request_from(value)); });
  try_each_without("standby answer",
                   from_json(R"({"standby":1,"number":1,"life":2,"term":3,"at":5,"taken":4,"starts":0.5,"after":1,)"
                             R"("upto":2,"last":3,"facts":[]})"),
                   [](const Value& value) { return to_value(standby::message_from(value)); });
  expect_same("messages_refused.txt", refused);
}

}  // namespace
}  // namespace foxshunt::golden
