// A team's limit and tasks whose share of a CPU has more than three decimals.
#include <cmath>
#include <cstdio>

#include "lab.h"

using namespace lab;

int main(int, char** argv) {
  net::tune_process_for_threads();
  open_record(argv[1]);
  Deployment deployment;
  deployment.teams = {{.name = "broneering", .cpus = 8, .cpus_max = 16}, {.name = "lukuvahid", .cpus = 456, .cpus_max = 1840}};
  FleetSettings fleet;
  fleet.types = {{.name = "kaldakivi", .cpus = 32, .ram_gb = 64, .cache_gb = 50, .fetch_gb_per_s = 1, .price = 1.66,
                  .spot_price = 0.39, .boot_s = 20, .zones = {"emajogi", "parnu", "narva"}}};
  fleet.report_s = deployment.report_s;
  fleet.lease_s = deployment.lease_s;
  World world(deployment, fleet);
  if (!world.start()) return 2;
  const double cpus = trouble() ? 0.03125 : 0.032;
  const wire::JobSpec many = job("j-000201", "broneering", 1200, cpus, 0.01);
  world.fleet.upload(many, 15);
  if (submit_until(world.nodes, wire::to_value(many)).status / 100 != 2) return 2;
  double most = 0;
  const Instant from = now();
  while (now() - from < Millis(60'000)) {
    sleep_ms(20);
    const double use = world.fleet.use_cpus("broneering");
    if (use > most) {
      most = use;
      char line[80];
      std::snprintf(line, sizeof line, "team broneering uses %.5f CPUs", use);
      if (use > 15.5) note(line);
    }
    if (world.fleet.done(many.id) == many.tasks) break;
  }
  note("reports refused for lack of room etc: largest report " + std::to_string(world.fleet.largest_report()));
  char line[120];
  std::snprintf(line, sizeof line, "most in use at once: %.5f CPUs, limit 16; tasks done %zu of %u", most,
                world.fleet.done(many.id), many.tasks);
  note(line);
  if (most > 16 + 1e-9) {
    note("BROKEN: quota: the team's tasks use more than its limit");
    return 1;
  }
  if (world.fleet.stays(many.id).empty()) return 2;
  note("HELD");
  return 0;
}
