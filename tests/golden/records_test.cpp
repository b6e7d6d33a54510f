// Stored records: what earlier programs stored is read, and written back, byte by byte.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "accounts/account.h"
#include "calendar/occurrence.h"
#include "catalog/records.h"
#include "catalog/xml.h"
#include "golden/golden_file.h"
#include "pools/records.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::golden {
namespace {

using wire::Value;

constexpr std::uint32_t kPartSize = 128;
const JobId kJob("j-000412");

TEST(GoldenRecords, Jobs) {
  expect_read_back(
      "records_jobs.txt",
      {{"job", [](const Value& value) { return to_value(state::job_from(value)); }},
       {"part", [](const Value& value) { return to_value(state::job_shard_from(value, kPartSize)); }},
       {"final state",
        [](const Value& value) { return state::finished_job_value(state::finished_job_from(kJob, value)); }},
       {"term", [](const Value& value) { return to_value(state::term_record_from(value)); }},
       {"machine types", [](const Value& value) { return to_value(wire::machine_types_from(value)); }}});
}

TEST(GoldenRecords, Catalog) {
  expect_read_back("records_catalog.txt",
                   {{"class", [](const Value& value) { return to_value(catalog::class_from(value)); }},
                    {"calendar entry", [](const Value& value) { return to_value(catalog::calendar_from(value)); }},
                    {"pool", [](const Value& value) { return to_value(catalog::pool_from(value)); }},
                    {"head", [](const Value& value) { return to_value(catalog::head_from(value, Revision(77))); }},
                    {"stage", [](const Value& value) { return to_value(catalog::stage_from(value)); }}});
}

TEST(GoldenRecords, Pools) {
  expect_read_back("records_pools.txt",
                   {{"members", [](const Value& value) { return to_value(pools::held_from(value)); }},
                    {"rental", [](const Value& value) { return to_value(pools::rent_from(value)); }},
                    {"state", [](const Value& value) { return to_value(pools::state_from(value)); }},
                    {"images", [](const Value& value) { return to_value(pools::holds_from(value)); }},
                    {"account", [](const Value& value) { return to_value(accounts::parse_account(value)); }}});
}

TEST(GoldenRecords, Calendar) {
  expect_read_back(
      "records_calendar.txt",
      {{"occurrence", [](const Value& value) { return to_value(calendar::occurrence_from(value).value()); }}});
}

// Keys are as much a part of stored data as values.
TEST(GoldenRecords, Keys) {
  const std::string stage = "12-00112233445566778899aabbccddeeff";
  std::string keys;
  for (const std::string& key : {std::string(state::kTermKey),
                                 std::string(state::kLeaderKey),
                                 std::string(state::kMachineTypesKey),
                                 std::string(state::kActiveJobPrefix),
                                 std::string(state::kFinishedJobPrefix),
                                 std::string(state::kTerminatingJobPrefix),
                                 std::string(state::kJobShardPrefix),
                                 std::string(state::kLeadershipPrefix),
                                 state::active_job_key(kJob),
                                 state::finished_job_key(kJob),
                                 state::terminating_job_key(kJob),
                                 state::job_shard_key(kJob, 3),
                                 std::string(catalog::kPrefix),
                                 std::string(catalog::kHeadKey),
                                 std::string(catalog::kItemPrefix),
                                 std::string(catalog::kStagePrefix),
                                 catalog::item_key({.stage = stage, .kind = catalog::Kind::job_class, .number = 4}),
                                 catalog::item_key({.stage = stage, .kind = catalog::Kind::calendar, .number = 5}),
                                 catalog::item_key({.stage = stage, .kind = catalog::Kind::pool, .number = 6}),
                                 catalog::stage_key(stage),
                                 std::string(pools::kPoolPrefix),
                                 std::string(pools::kNextKey),
                                 std::string(pools::kRentPrefix),
                                 std::string(pools::kHeldPrefix),
                                 std::string(pools::kStatePrefix),
                                 std::string(pools::kHoldsPrefix),
                                 pools::held_key("warm pool/a", 2),
                                 pools::state_key("warm pool/a"),
                                 pools::holds_key(MachineId("m-000003")),
                                 accounts::account_key("warm pool/a", 20'000),
                                 calendar::entry_prefix("night run"),
                                 calendar::key_of("night run/\u00e4", 1'760'000'000'000),
                                 calendar::key_of(std::string(300, 'x'), 1'760'000'000'000)}) {
    keys += key + "\n";
  }
  expect_same("record_keys.txt", keys);
}

// A declared set as it is stored: the digest by which controllers know it, and each item's name and bytes.
TEST(GoldenRecords, CatalogFromXml) {
  std::ifstream file(path_of("catalog.xml"));
  std::ostringstream xml;
  xml << file.rdbuf();
  const catalog::Reading reading = catalog::read_xml(xml.str(), {});
  ASSERT_TRUE(reading.faults.empty()) << catalog::text_of(path_of("catalog.xml"), reading.faults.front());
  std::string stored = "digest " + catalog::digest_of(reading.set) + "\n";
  for (const catalog::Item& item : catalog::items_of(reading.set)) {
    stored += std::string(catalog::name_of(item.kind)) + " " + std::to_string(item.number) + " " + item.name + "\n  " +
              to_json(item.data) + "\n  " + to_hex(item.data) + "\n";
  }
  expect_same("catalog_stored.txt", stored);
  expect_same("catalog.xml", catalog::write_xml(reading.set));
}

}  // namespace
}  // namespace foxshunt::golden
