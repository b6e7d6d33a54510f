// Random short days on which the machines of a zone are returned, hang or are cut off within seconds of a crash or standstill of the
// leader. A job that is bound to the zone has to run all the same: the zone may not wait for machines that never report again.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "scenarios/scenario.h"

namespace foxshunt::standins {
namespace {

constexpr unsigned kDays = 60;
constexpr unsigned kFirstSeedOfMany = 1'001;
constexpr unsigned kLastSeedOfMany = 5'000;
constexpr int kIdleReturn = 10;    // s
constexpr int kFirstTrouble = 20;  // s; the first job's machines are returned about then
constexpr int kRunsWithin = 300;   // s after the last trouble; leases and a lost zone's retention are over long before

// One day, drawn from a seed.
class ZoneDay {
 public:
  explicit ZoneDay(unsigned seed) : random_(seed) {
    const std::size_t machines = pick(3, 6);
    const bool machines_hang = pick(0, 1) == 0;
    // With two controllers none stands in zone c.
    text_ << "nodes " << pick(2, 3) << "\nseed " << seed << "\n"
          << (pick(0, 1) == 0 ? "settings report 1 lease 10 cancel 40" : "settings report 5 lease 27 cancel 57")
          << " list_lag " << one_of({"0", "3", "10", "20"}) << " idle_return " << (machines_hang ? 1000 : kIdleReturn)
          << " zone_grants yes zone_watch yes\n"
          << "type plain cpus 8 boot 2 zones a,b,c each_zone 12 spot_each_zone 0 price 1\n"
          << "team red cpus 96 cpus_max 144\n"
          << "up plain c " << machines << "\n"
          << "at 1 submit j-000001 tasks " << machines << " cpus 8 run 5 zone c\n";
    if (machines_hang) add_hanging_machines(machines);
    add_trouble();
    text_ << "at " << kFirstTrouble + pick(0, 30) << " submit j-000002 tasks " << pick(1, 6) << " cpus 8 run 5 zone c\n"
          << "at " << last_trouble_ + kRunsWithin << " expect j-000002 done\n"
          << "end " << last_trouble_ + kRunsWithin << "\n";
  }
  [[nodiscard]] std::string text() const { return text_.str(); }

 private:
  std::size_t pick(std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random_);
  }
  std::string one_of(const std::vector<std::string>& choices) { return choices.at(pick(0, choices.size() - 1)); }

  void add_hanging_machines(std::size_t machines) {
    const std::size_t hanging = pick(1, machines);
    const std::size_t at = kFirstTrouble + pick(0, 15);
    for (std::size_t machine = 0; machine < hanging; ++machine)
      text_ << "at " << at << " hang m-00000" << machine << " 1000\n";
  }

  // The leader ends or stands still, or the zone is cut off, or both.
  void add_trouble() {
    const std::size_t at = kFirstTrouble + pick(0, 15);
    const std::size_t span = pick(1, 50);
    const std::string trouble =
        one_of({"crash leader 0.1", "crash leader 6", "crash all 6", "late all leader", "none"});
    if (trouble == "late all leader") {
      text_ << "at " << at << " late all leader " << span << "\n";
    } else if (trouble != "none") {
      text_ << "at " << at << " " << trouble << "\n";
    }
    if (trouble == "none" || pick(0, 2) == 0) text_ << "at " << at + pick(0, 10) << " cut_zone c " << span << "\n";
    last_trouble_ = at + 10 + span;
  }

  std::mt19937 random_;
  std::ostringstream text_;
  std::size_t last_trouble_ = 0;  // s
};

// Plays the day of a seed.
void play(unsigned seed) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  const std::string day = ZoneDay(seed).text();
  SCOPED_TRACE(day);
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("foxshunt-zone-day-" + std::to_string(getpid()) + "-" + std::to_string(seed) + ".txt");
  std::ofstream(path) << day;
  Scenario(path).run();
  std::filesystem::remove(path);
}

class ZoneLossDays : public testing::TestWithParam<unsigned> {};

// Guards against a zone that stays cut off, or `returning`, for machines that are deleted or have failed.
TEST_P(ZoneLossDays, AJobBoundToTheZoneRuns) { play(GetParam()); }

// For tests/long-days.sh.
TEST(ManyZoneLossDays, DISABLED_AJobBoundToTheZoneRuns) {
  for (unsigned seed = kFirstSeedOfMany; seed <= kLastSeedOfMany && !testing::Test::HasFailure(); ++seed) play(seed);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ZoneLossDays, testing::Range(0U, kDays));

}  // namespace
}  // namespace foxshunt::standins
