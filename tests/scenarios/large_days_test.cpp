// Days of a fleet of 1,260 machines with bursts, crashes of a tenth of a second and lost machines. One short day is
// played here, a tenth as large under sanitizers; tests/long-days.sh plays longer ones and prints their figures.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "standins/world.h"

namespace foxshunt::standins {
namespace {

#ifdef FOXSHUNT_SMALL_DAYS
constexpr int kParts = 10;
#else
constexpr int kParts = 1;
#endif

config::Settings fleet_settings() {
  config::Settings settings;
  settings.zones = {"a", "b", "c"};
  settings.nodes = 3;
  settings.teams = {{.name = "red", .cpus = 10'000, .cpus_max = 26'000, .gpus = 0, .gpus_max = 0},
                    {.name = "blue", .cpus = 7000, .cpus_max = 15'000, .gpus = 300, .gpus_max = 700}};
  settings.objectives = {{.kind = "wait", .job_class = "gangs", .within_s = 40, .share = 0.9}};
  settings.heartbeat_interval_s = 4;
  settings.lease_s = 22;
  settings.cancel_s = 52;
  settings.gang_wait_s = 60;
  settings.gang_peer_s = 5;
  settings.state_rps = 900;
  settings.state_write_rps = 180;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 24;
  settings.cloud_rps = 3;
  settings.cloud_list_delay_s = 10;
  settings.max_connections = 2200;
  settings.skew_ms = 50;
  return settings;
}

std::vector<Supply> fleet_supplies() {
  Supply plain{.type = {.name = "plain",
                        .cpus = 32,
                        .ram_gb = 64,
                        .cache_gb = 50,
                        .fetch_gb_per_s = 0.5,
                        .price = 1.7,
                        .spot_price = 0.4,
                        .boot_s = 20,
                        .zones = {"a", "b", "c"}},
               .each_zone = 200 / kParts,
               .spot_each_zone = 100 / kParts};
  Supply gpu = plain;
  gpu.type.name = "gpu";
  gpu.type.cpus = 16;
  gpu.type.gpus = 2;
  gpu.type.price = 4.6;
  gpu.type.spot_price = 1.2;
  gpu.each_zone = 80 / kParts;
  gpu.spot_each_zone = 40 / kParts;
  return {plain, gpu};
}

Submission fleet_job(unsigned number, bool array, const std::function<int(int, int)>& pick) {
  Submission submission;
  wire::JobSpec& spec = submission.spec;
  const std::string digits = std::to_string(number);
  spec.id = JobId("j-" + std::string(6 - digits.size(), '0') + digits);
  spec.kind = array ? wire::JobKind::array : wire::JobKind::gang;
  spec.team = array ? "blue" : "red";
  spec.job_class = array ? "arrays" : "gangs";
  spec.priority = array ? wire::Priority::standard : wire::Priority::high;
  spec.tasks = array ? static_cast<std::uint32_t>(pick(10, 120) / kParts + 1)
                     : std::vector{1U, 3U, 4U, 6U}[static_cast<std::size_t>(pick(0, 3))];
  spec.cpus = array ? 6 : 30;
  spec.gpus = array ? 1 : 0;
  spec.ram_gb = array ? 24 : 51;
  spec.image = array ? "photos" : "forecast";
  spec.image_gb = array ? 6 : 1.2;
  spec.one_zone = !array;
  spec.spot = true;
  submission.run_s = pick(20, 120);
  spec.estimate_s = std::max(1.0, submission.run_s * pick(5, 18) / 10.0);
  spec.checkpoint_s = array ? 15 : 60;
  spec.save_s = 2;
  return submission;
}

// Jobs and troubles come for so long.
void play(unsigned seed, int for_s) {
  spdlog::set_level(spdlog::level::off);
  std::mt19937 random(seed);
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  World world(fleet_settings(), fleet_supplies(), 3, seed);
  for (const char* zone : {"a", "b", "c"}) {
    world.start_up("plain", zone, 100 / kParts);
    world.start_up("gpu", zone, 40 / kParts);
  }
  unsigned number = 0;
  const auto arrive = [&](double when_s, bool array) {
    world.at(when_s, [&world, made = fleet_job(number++, array, pick)] { world.submit(made); });
    if (pick(0, 30) == 0) {
      world.at(
          when_s + pick(1, 60),
          [&world, id = fleet_job(number - 1, array, [](int low, int) { return low; }).spec.id] { world.cancel(id); });
    }
  };
  // A burst at first, and another one now and then.
  for (int second = 0; second < for_s; ++second) {
    const int many = second % 300 == 0 ? 300 : 2;
    for (int i = many / kParts; i > 0; --i) arrive(second, false);
    if (second % 300 == 0 || second % 10 == 0) arrive(second, true);
  }
  world.at(0, [&world] { world.late_copies(true); });
  for (int i = for_s / 30; i > 0; --i) {
    const double when_s = pick(5, for_s);
    const auto node = static_cast<std::size_t>(pick(0, 2));
    switch (pick(0, 5)) {
      case 0:
        for (int left = 10; left > 0; --left) world.at(when_s + left, [&world, node] { world.crash(node, 0.1); });
        break;
      case 1:
        for (std::size_t all = 0; all < 3; ++all) world.at(when_s, [&world, all] { world.crash(all, 0.2); });
        break;
      case 2: world.at(when_s, [&world] { world.state_outage(12); }); break;
      case 3:
        world.at(when_s, [&world, moment = static_cast<Moment>(pick(0, 4))] { world.crash_during(moment, 0.3); });
        break;
      default:
        world.at(when_s, [&world, random]() mutable {
          for (const MachineId& id : world.machine_names()) {
            const int luck = std::uniform_int_distribution<int>(0, 99)(random);
            if (luck == 0) world.die(id);
            if (luck == 1) world.hang(id, 15);
            if (luck == 2) world.cut_worker(id, 30, true);
          }
        });
    }
  }
  std::size_t most_up = 0;
  for (int second = 0; second < for_s + 150; second += 10) {
    world.run_until(second);
    most_up = std::max(most_up, world.machines_up());
  }
  for (const std::string& broken : world.broken()) ADD_FAILURE() << broken;
  EXPECT_EQ(world.accepted().size(), number);
  std::printf("seed %u, %d s: up to %zu machines, %zu starts\n", seed, for_s, most_up, world.rules().starts());
  for (const Served::Share& share : world.shares()) {
    std::printf("  %s\n", share.text().c_str());
    EXPECT_GE(share.share(), 0.95) << share.text();
  }
}

TEST(LargeDays, KeepTheRules) { play(1, 150); }

// DAYS="FIRST LAST SECONDS"
TEST(LargeDays, DISABLED_Long) {
  const char* asked = std::getenv("DAYS");
  std::istringstream words(asked == nullptr ? "1 10 900" : asked);
  unsigned first = 0;
  unsigned last = 0;
  int for_s = 0;
  ASSERT_TRUE(words >> first >> last >> for_s && first <= last);
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    play(seed, for_s);
  }
}

}  // namespace
}  // namespace foxshunt::standins
