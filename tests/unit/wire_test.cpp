#include <gtest/gtest.h>

#include <limits>

#include "wire/messages.h"

namespace foxshunt::wire {
namespace {

Value::Map job_map() {
  return {{"id", "j-000412"},  {"breed", "train"},  {"pack", "vision"}, {"gait", "ensemble"},
          {"rank", "high"},    {"cubs", 16},        {"cpus", 8.0},      {"cards", 1.0},
          {"ramGb", 64.0},     {"pelt", "img-07"},  {"pullGb", 6.2},    {"burrows", Value::List{"g8"}},
          {"covert", nullptr}, {"samePlace", true}, {"spread", false},  {"strays", true},
          {"runS", 240.0},     {"cacheS", 30.0},    {"buryS", 4.0},     {"duskS", 900.0}};
}

Value with(std::string_view key, Value item) {
  Value::Map map = job_map();
  for (auto& [name, value] : map) {
    if (name == key) value = std::move(item);
  }
  return map;
}

TEST(Cbor, RoundTrip) {
  const Value value = Value::Map{{"a", Value::List{1, 2.5, "x", true, nullptr}}, {"b", std::uint64_t{1} << 63}};
  const std::string bytes = encode(value);
  const Value back = decode(bytes);
  EXPECT_EQ(encode(back), bytes);
  EXPECT_EQ(back.count("b"), std::uint64_t{1} << 63);
}

TEST(Cbor, EveryTruncationIsRefused) {
  const std::string bytes = encode(job_map());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_THROW((void)decode(std::string_view(bytes).substr(0, length)), Malformed) << length;
  }
  EXPECT_THROW((void)decode(bytes + "x"), Malformed);
}

TEST(Cbor, AbsurdInputCostsNothing) {
  using namespace std::string_literals;
  EXPECT_THROW((void)decode("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"s), Malformed);  // a list of 2^63 items
  EXPECT_THROW((void)decode("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"s), Malformed);  // a map of as many
  EXPECT_THROW((void)decode("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"s), Malformed);  // a text of as many
  EXPECT_THROW((void)decode(std::string(60'000, '\x81')), Malformed);              // nested 60,000 deep
  EXPECT_THROW((void)decode(std::string(60'000, '\x9f')), Malformed);
  EXPECT_THROW((void)decode("\x41x"s), Malformed);                   // bytes
  EXPECT_THROW((void)decode("\xc0\x61x"s), Malformed);               // a tag
  EXPECT_THROW((void)decode("\xa1\x01\x02"s), Malformed);            // a key that is no text
  EXPECT_THROW((void)decode("\xa2\x61x\x01\x61x\x02"s), Malformed);  // a key twice
  EXPECT_THROW((void)decode("\xff"s), Malformed);
  EXPECT_THROW((void)decode("\xa1\x80\x01"s), Malformed);
}

TEST(Cbor, IndefiniteItems) {
  using namespace std::string_literals;
  const Value value = decode(
      "\xbf\x61x\x9f\x01\x02\xff\x61y\x7f\x61"
      "a\x61"
      "b\xff\xff"s);
  EXPECT_EQ(value.list("x").size(), 2U);
  EXPECT_EQ(value.text("y"), "ab");
}

TEST(JobSpec, RoundTripAndUnknownFields) {
  Value::Map map = job_map();
  map.emplace_back("newField", Value::List{1});
  const JobSpec spec = job_spec_from(map);
  EXPECT_EQ(spec.kind, JobKind::gang);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_EQ(spec.tasks, 16U);
  EXPECT_EQ(spec.types, std::vector<std::string>{"g8"});
  EXPECT_TRUE(spec.zone.empty());
  EXPECT_EQ(encode(to_value(job_spec_from(to_value(spec)))), encode(to_value(spec)));
}

TEST(JobSpec, NullableFieldsMayBeMissing) {
  Value::Map map = job_map();
  std::erase_if(map, [](const auto& entry) {
    return entry.first == "burrows" || entry.first == "covert" || entry.first == "duskS";
  });
  EXPECT_FALSE(job_spec_from(map).deadline_s.has_value());
}

TEST(JobSpec, EveryOtherFieldIsNeeded) {
  for (const auto& [key, unused] : job_map()) {
    if (key == "burrows" || key == "covert" || key == "duskS") continue;
    EXPECT_THROW((void)job_spec_from(with(key, nullptr)), Malformed) << key;
    EXPECT_THROW((void)job_spec_from(with(key, Value::List{})), Malformed) << key;
  }
}

TEST(JobSpec, BadFieldsAreNamed) {
  const auto why = [](const Value& value) -> std::string {
    try {
      (void)job_spec_from(value);
    } catch (const Malformed& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_TRUE(why(with("cpus", -1.0)).starts_with("cpus"));
  EXPECT_TRUE(why(with("cpus", std::numeric_limits<double>::quiet_NaN())).starts_with("cpus"));
  EXPECT_TRUE(why(with("ramGb", std::numeric_limits<double>::infinity())).starts_with("ramGb"));
  EXPECT_TRUE(why(with("cubs", 0)).starts_with("cubs"));
  EXPECT_TRUE(why(with("cubs", 100'001)).starts_with("cubs"));
  EXPECT_TRUE(why(with("gait", "solo")).starts_with("gait"));
  EXPECT_TRUE(why(with("rank", "urgent")).starts_with("rank"));
  EXPECT_TRUE(why(with("id", "job-1")).starts_with("id"));
  EXPECT_TRUE(why(with("id", "j-00041x")).starts_with("id"));
  EXPECT_TRUE(why(Value::List{}).starts_with("not a map"));
}

TEST(Heartbeat, RoundTrip) {
  const Value body = Value::Map{
      {"den", "m-000231"},
      {"addr", "10.1.0.232:9000"},
      {"burrow", "g8"},
      {"covert", "a"},
      {"strays", true},
      {"prowl", 2},
      {"pawmark", 88},
      {"alpha", 41},
      {"barkS", nullptr},
      {"cubs", Value::List{Value::Map{{"cub", "j-000412/3"}, {"try", 2}, {"scent", "running"}},
                           Value::Map{{"cub", "j-000398/0"}, {"try", 1}, {"scent", "ended"}, {"trail", "done"}}}}};
  const Heartbeat heartbeat = heartbeat_from(body);
  EXPECT_EQ(heartbeat.term, Term(41));
  EXPECT_EQ(heartbeat.incarnation, AgentIncarnation(2));
  ASSERT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[0].task, (TaskKey{JobId("j-000412"), 3}));
  EXPECT_EQ(heartbeat.tasks[1].reason, EndReason::done);
  EXPECT_EQ(encode(to_value(heartbeat_from(to_value(heartbeat)))), encode(to_value(heartbeat)));
  EXPECT_THROW((void)heartbeat_from(Value::Map{{"den", "m-1"}}), Malformed);
}

TEST(TaskKey, Forms) {
  EXPECT_TRUE(task_key_from("j-000412/99999"));
  for (const char* bad :
       {"j-000412", "j-000412/", "j-000412/-1", "j-000412/1x", "x-000412/1", "j-000412/99999999999"}) {
    EXPECT_FALSE(task_key_from(bad)) << bad;
  }
}

TEST(Size, JsonLengthIsNoLessThanJson) {
  EXPECT_GE(json_length(Value::Map{{"a", "b"}, {"c", Value::List{1, 22, nullptr}}}),
            std::string(R"({"a":"b","c":[1,22,null]})").size());
}

}  // namespace
}  // namespace foxshunt::wire
