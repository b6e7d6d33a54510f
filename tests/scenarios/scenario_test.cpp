// Runs the scenarios of this folder, and checks that malformed ones are refused.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "scenarios/scenario.h"

namespace foxshunt::standins {
namespace {

std::vector<std::filesystem::path> scenario_files() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(FOXSHUNT_SCENARIOS)) {
    if (entry.path().extension() == ".txt") files.push_back(entry.path().filename());
  }
  std::ranges::sort(files);
  return files;
}

class Scenarios : public testing::TestWithParam<std::filesystem::path> {};

TEST_P(Scenarios, Holds) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  Scenario(std::filesystem::path(FOXSHUNT_SCENARIOS) / GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, testing::ValuesIn(scenario_files()), [](const auto& info) {
  std::string name = info.param.stem().string();
  std::ranges::replace(name, '-', '_');
  return name;
});

// A scenario of a few good lines and one that is not.
class MalformedScenarios : public testing::Test {
 protected:
  void SetUp() override {
    path_ = std::filesystem::temp_directory_path() /
            ("foxshunt-" + std::to_string(::testing::UnitTest::GetInstance()->random_seed()) + "-" +
             testing::UnitTest::GetInstance()->current_test_info()->name() + ".txt");
  }
  void TearDown() override { std::filesystem::remove(path_); }

  // What reading says of the line; nothing if it takes it.
  std::string refusal_of(const std::string& line) {
    std::ofstream(path_) << "settings report 1 lease 10 cancel 40\n"
                            "type plain cpus 8 zones a each_zone 2\n"
                            "team red cpus 8 cpus_max 8\n"
                         << line << "\nend 10\n";
    try {
      const Scenario scenario(path_);
    } catch (const std::runtime_error& error) {
      return error.what();
    }
    return "";
  }
  // With file and line.
  void expect_refused(const std::string& line, const std::string& why) {
    EXPECT_EQ(refusal_of(line), path_.filename().string() + ":4: " + why) << line;
  }

  std::filesystem::path path_;
};

TEST_F(MalformedScenarios, AGoodLineIsTaken) {
  EXPECT_EQ(refusal_of("at 1 late_commands 0.5 20"), "");
  EXPECT_EQ(refusal_of("at 1 cut_state leader 5 hold peers"), "");
  EXPECT_EQ(refusal_of("at 1 crash all 0.2 times 3 every 2"), "");
}

TEST_F(MalformedScenarios, UnknownCommandsAreRefused) {
  expect_refused("weather rain", "unknown command weather");
  expect_refused("at 1 earthquake 5", "unknown event earthquake");
  expect_refused("at 1 outage network 5", "no such service: network");
  expect_refused("at 1 late sleep leader 5", "no such duty: sleep");
  expect_refused("at 1 crash_during lunch 5", "no such moment: lunch");
  expect_refused("at 1 windows ajar", "no such state of windows: ajar");
  expect_refused("settings may_rent perhaps", "no such may_rent: perhaps");
  expect_refused("stream 1 9 1 crash leader", "no such event of a stream: crash");
}

TEST_F(MalformedScenarios, FiguresThatAreNoneAreRefused) {
  expect_refused("at soon crash leader 5", "time is no number: soon");
  expect_refused("at 1 late_commands half 20", "share is no number: half");
  expect_refused("at 1 late_writes 0.5 20s", "seconds is no number: 20s");
  expect_refused("at 1 crash leader -1", "seconds is negative");
  expect_refused("at 1 crash 7 5", "no such node: 7");
  expect_refused("at 1 cancel_now 1.5", "jobs is no count: 1.5");
  expect_refused("at 1 hang m-000000", "seconds is missing");
  expect_refused("type other cpus many", "cpus is no number: many");
  expect_refused("stream 1 9 0 submit j-000001", "interval is not positive");
}

TEST_F(MalformedScenarios, WordsThatNobodyReadsAreRefused) {
  expect_refused("at 1 late_reports 0.5 20 at_once", "unknown word at_once");
  expect_refused("at 1 submit j-000001 colour red", "unknown word colour");
  expect_refused("at 1 submit j-000001 kind choir", "no such kind: choir");
}

}  // namespace
}  // namespace foxshunt::standins
