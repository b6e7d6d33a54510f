// Bursts on cold, half-warm and warm pools, random days with pools, and days without: the real Controller in several controllers.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <random>

#include "standins/world.h"

namespace foxshunt::standins {
namespace {

config::Settings settings_of() {
  config::Settings settings;
  settings.nodes = 3;
  settings.heartbeat_interval_s = 1;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.gang_wait_s = 45;
  settings.gang_peer_s = 4;
  settings.state_txn_ops = 12;
  settings.state_rps = 250;
  settings.state_write_rps = 50;
  settings.state_value_kb = 8;
  settings.cloud_rps = 2;
  settings.cloud_list_delay_s = 5;
  settings.skew_ms = 50;
  settings.zones = {"a", "b", "c"};
  settings.teams = {{.name = "red", .cpus = 96, .cpus_max = 96}, {.name = "blue", .cpus = 32, .cpus_max = 64}};
  return settings;
}

std::vector<Supply> supplies_of() {
  Supply big;
  big.type = {.name = "big",
              .cpus = 8,
              .ram_gb = 64,
              .cache_gb = 100,
              .fetch_gb_per_s = 0.5,
              .price = 1,
              .spot_price = 0.3,
              .boot_s = 15,
              .zones = {"a", "b", "c"}};
  big.each_zone = 8;
  return {big};
}

catalog::PoolDef pool_of(std::uint32_t least) {
  catalog::PoolDef pool{.name = "dawn", .images = {{.image = "weights", .gb = 20}}, .least = least, .most = least};
  pool.payer = "red";
  pool.warming = catalog::JobMatch{.job_classes = {"warm"}};
  return pool;
}

Submission job_of(const std::string& id, std::uint32_t tasks, const std::string& job_class, double run_s) {
  Submission job{.spec = {.id = JobId(id), .job_class = job_class, .team = "red", .tasks = tasks, .cpus = 8}};
  job.spec.ram_gb = 1;
  job.spec.image = "weights";
  job.spec.image_gb = 20;
  job.spec.estimate_s = run_s;
  job.run_s = run_s;
  return job;
}

// What goes wrong in a burst.
enum class Trouble { none, leader, leader_before, all };

struct Burst {
  double first_s = 0;  // waits of its first six tasks
  double mean_s = 0;
  double last_s = 0;
  std::uint64_t in_use_s = 0;  // machine time of the pool's users, with what they fetch
  std::uint64_t idle_s = 0;    // of the pool, and what warming takes
  std::uint64_t micros = 0;    // all that the pool is charged
};

constexpr double kBurst = 200;  // when it is submitted
constexpr std::uint32_t kFirst = 6;

// Six machines are held in any case, so that all machines in use cost the same; so many of them are warm.
Burst burst(std::uint32_t warm, Trouble trouble) {
  World world(settings_of(), supplies_of(), 3, 5);
  catalog::PoolDef pool = pool_of(kFirst);
  pool.windows.push_back({.time_zone = "UTC"});
  world.declare_pools({pool});
  if (warm > 0) world.at(60, [&world, warm] { world.submit(job_of("j-000001", warm, "warm", 1)); });
  // A leader is lost in the burst, when its tasks are on their way, or just before it; or all controllers are.
  if (trouble == Trouble::leader || trouble == Trouble::leader_before) {
    world.at(trouble == Trouble::leader ? kBurst + 0.2 : kBurst - 3,
             [&world] { world.crash(world.leader().value_or(0), 20); });
  }
  if (trouble == Trouble::all) {
    world.at(kBurst - 3, [&world] {
      for (std::size_t node = 0; node < 3; ++node) world.crash(node, 2);
    });
  }
  world.at(kBurst, [&world] { world.submit(job_of("j-000002", kFirst, "work", 30)); });
  std::vector<double> waits(kFirst, 200);
  for (double now = kBurst; now < kBurst + 200; now += 0.5) {
    world.run_until(now);
    for (std::uint32_t task = 0; task < kFirst; ++task) {
      if (world.starts_of({JobId("j-000002"), task}) > 0) waits[task] = std::min(waits[task], now - kBurst);
    }
  }
  // The window closes, and all is charged up to then.
  world.open_windows(false);
  world.run_until(kBurst + 240);
  EXPECT_TRUE(world.digests_equal());
  for (const std::string& broken : world.broken()) ADD_FAILURE() << broken;
  Burst seen{.first_s = std::ranges::min(waits), .last_s = std::ranges::max(waits)};
  seen.mean_s = std::accumulate(waits.begin(), waits.end(), 0.0) / kFirst;
  const auto leader = world.leader();
  EXPECT_TRUE(leader);
  if (!leader) return seen;
  for (const pools::AccountView& day : world.pools(*leader)->accounts()) {
    seen.micros += day.account.total().micros;
    for (const auto& [of, line] : day.account.lines) {
      (of.second == accounts::MachineUse::own ? seen.in_use_s : seen.idle_s) += line.machine_ms / 1000;
    }
  }
  return seen;
}

// The table of docs/design/pools.md. The new leader knows by the records what each machine holds; what an election takes,
// it takes of cold and warm alike.
TEST(PoolBurst, WaitsAFifthOfColdOnAWarmPoolAtMost) {
  spdlog::set_level(spdlog::level::off);
  for (const Trouble trouble : {Trouble::none, Trouble::leader, Trouble::leader_before, Trouble::all}) {
    const char* const name = trouble == Trouble::none            ? "none"
                             : trouble == Trouble::leader        ? "leader lost in the burst"
                             : trouble == Trouble::leader_before ? "leader lost 3 s before"
                                                                 : "all lost 3 s before";
    SCOPED_TRACE(name);
    std::map<std::uint32_t, Burst> by_warm;
    for (const std::uint32_t warm : {0U, 3U, kFirst}) {
      const Burst& seen = by_warm[warm] = burst(warm, trouble);
      std::printf("| %s | %u of %u | %.1f | %.1f | %.1f | %llu | %llu | %.2f |\n", name, warm, kFirst, seen.first_s,
                  seen.mean_s, seen.last_s, static_cast<unsigned long long>(seen.in_use_s),
                  static_cast<unsigned long long>(seen.idle_s), static_cast<double>(seen.micros) / 1e6);
    }
    const Burst& cold = by_warm.at(0);
    const Burst& half = by_warm.at(3);
    const Burst& warm = by_warm.at(kFirst);
    EXPECT_GE(cold.first_s, 40) << "the fetch alone";
    EXPECT_LE(half.last_s, cold.last_s + 5);
    EXPECT_LT(half.mean_s, cold.mean_s);
    EXPECT_LE(warm.first_s * 5, cold.first_s);
    EXPECT_LE(warm.mean_s * 5, cold.mean_s);
    EXPECT_LE(warm.last_s * 5, cold.last_s);
    EXPECT_LE(warm.last_s + 35, cold.last_s) << "the fetch, whatever an election takes";
    EXPECT_LT(warm.in_use_s, cold.in_use_s) << "machines that fetch are in use, too";
  }
}

class PoolDays : public testing::TestWithParam<unsigned> {};

// Whatever happens, no rule is broken, nothing waits without end, and all nodes say the same.
TEST_P(PoolDays, BreakNoRule) {
  spdlog::set_level(spdlog::level::off);
  std::mt19937 random(GetParam());
  const auto below = [&random](unsigned most) { return random() % most; };
  config::Settings settings = settings_of();
  settings.operators.zone_watch = settings.operators.zone_lease_delegation = below(2) == 0;
  World world(settings, supplies_of(), 3, GetParam());
  catalog::PoolDef pool = pool_of(4);
  pool.lends = below(2) == 0;
  pool.gives_way_s = below(2) == 0 ? 15 : 0;
  pool.windows.push_back({.time_zone = "UTC"});
  world.declare_pools({pool});
  std::vector<JobId> jobs;
  for (int at = 0; at < 30; ++at) {
    Submission job = job_of("j-0000" + std::to_string(10 + at), 1 + below(8), below(4) == 0 ? "warm" : "work",
                            1 + static_cast<double>(below(30)));
    job.spec.cpus = 1 + below(8);
    if (below(2) == 0) {
      job.spec.image = "other-" + std::to_string(below(4));
      job.spec.image_gb = 1 + below(60);
      job.spec.team = "blue";
    }
    if (below(5) == 0) job.spec.kind = wire::JobKind::gang;
    world.at(1 + below(400), [&world, job] { world.submit(job); });
    jobs.push_back(job.spec.id);
  }
  for (int at = 0; at < 8; ++at) {
    const double when = 10 + below(400);
    switch (below(6)) {
      case 0: world.at(when, [&world] { world.crash(world.leader().value_or(0), 5); }); break;
      case 1: world.at(when, [&world] { world.state_outage(8); }); break;
      case 2: world.at(when, [&world] { world.cut_zone("b", 20, true); }); break;
      case 3: world.at(when, [&world, open = below(2) == 0] { world.open_windows(open); }); break;
      case 4: world.at(when, [&world] { world.cloud_outage(15); }); break;
      default:
        world.at(when, [&world, pick = below(1000)] {
          const std::vector<MachineId> names = world.machine_names();
          if (!names.empty()) world.die(names[pick % names.size()]);
        });
    }
  }
  world.run_until(1400);
  for (const std::string& broken : world.broken()) ADD_FAILURE() << broken;
  for (const JobId& id : jobs) {
    const auto status = world.ask(id);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, wire::JobState::done) << id.text() << " waits without end";
  }
  EXPECT_TRUE(world.digests_equal());
}

INSTANTIATE_TEST_SUITE_P(Seeds, PoolDays, testing::Range(1U, 21U));

}  // namespace
}  // namespace foxshunt::standins
