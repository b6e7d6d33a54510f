// Tasks of 150 MiB: one more than the machine has room for is sent there again and again, beside a machine with room.
#include <cstdio>

#include "lab.h"

using namespace lab;

int main(int, char** argv) {
  net::tune_process_for_threads();
  open_record(argv[1]);
  Deployment deployment;
  deployment.teams = {{.name = "broneering", .cpus = 304, .cpus_max = 616}, {.name = "lukuvahid", .cpus = 456, .cpus_max = 1840}};
  FleetSettings fleet;
  fleet.types = {{.name = "kaldakivi", .cpus = 32, .ram_gb = 64, .cache_gb = 50, .fetch_gb_per_s = 1, .price = 1.66,
                  .spot_price = 0.39, .boot_s = 20, .zones = {"emajogi", "parnu", "narva"}}};
  fleet.report_s = deployment.report_s;
  fleet.lease_s = deployment.lease_s;
  World world(deployment, fleet);
  if (!world.start()) {
    note("the controllers did not come up");
    return 2;
  }
  const auto run = [&](const wire::JobSpec& spec, double run_s) {
    world.fleet.upload(spec, run_s);
    return submit_until(world.nodes, wire::to_value(spec)).status / 100 == 2;
  };
  const auto started = [&](const wire::JobSpec& spec) {
    for (int tries = 0; tries < 200 && world.fleet.stays(spec.id).size() < spec.tasks; ++tries) sleep_ms(50);
    return world.fleet.stays(spec.id).size() >= spec.tasks;
  };
  // Two long tasks of 40 GB, which take a machine of 64 GB each and leave 24 GB there.
  const wire::JobSpec large = job("j-000401", "broneering", 2, 10, 40);
  if (!run(large, 300) || !started(large)) {
    note("the first job did not start");
    return 2;
  }
  // 163 tasks of 150 MiB take 24,450 of the 24,576 MiB that are left on one of them.
  const double size = trouble() ? 150.0 / 1024 : 0.147;
  const wire::JobSpec many = job("j-000402", "broneering", 163, 0.1, size);
  if (!run(many, 300) || !started(many)) {
    note("the second job did not start");
    return 2;
  }
  const wire::JobSpec later = job("j-000403", "lukuvahid", 1, 0.1, size);
  if (!run(later, 2)) return 2;
  const Instant asked = now();
  Instant room_since = now();
  for (int turn = 1; now() - asked < Millis(95'000) && world.fleet.done(later.id) == 0; ++turn) {
    sleep_ms(100);
    if (world.fleet.machines_with_room(0.1, 0, size) == 0) room_since = now();
    if (turn % 50 == 0) poll(world.nodes.bind(static_cast<std::size_t>(turn / 50) % 3), "j-000403");
    if (now() - room_since >= Millis(90'500) && world.fleet.stays(later.id).empty()) break;
  }
  note("starts of j-000403 that its machine refused with no_room: " + std::to_string(world.fleet.refused(later.id)) +
       "; a machine had room for it for " + std::to_string((now() - room_since).count() / 1000) + " s");
  if (world.fleet.stays(later.id).empty() && now() - room_since >= Millis(90'000)) {
    note("BROKEN: j-000403 has waited for 90 s while a machine that fits had room and its team was below its limit");
    return 1;
  }
  note(world.fleet.done(later.id) == 1 ? "HELD: j-000403 ran" : "HELD");
  return 0;
}
