// A job whose list of allowed machine types is long, but within all limits, is accepted; then nothing starts any more.
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
  // An ordinary job first: the deployment works, and machines are there.
  const wire::JobSpec first = job("j-000101", "broneering", 8, 8, 4);
  world.fleet.upload(first, 3);
  if (submit_until(world.nodes, wire::to_value(first)).status / 100 != 2) return 2;
  for (int tries = 0; tries < 150 && world.fleet.done(first.id) < first.tasks; ++tries) sleep_ms(100);
  if (world.fleet.done(first.id) < first.tasks) {
    note("the first job did not run");
    return 2;
  }
  wire::JobSpec listed = job("j-000102", "broneering", 100, 1, 0.5);
  listed.types = {"kaldakivi"};
  if (trouble()) {
    // The types that this user may use, here and elsewhere.
    for (int number = 1; number <= 440; ++number) {
      char name[32];
      std::snprintf(name, sizeof name, "paadikuur-%03d", number);
      listed.types.emplace_back(name);
    }
  }
  world.fleet.upload(listed, 5);
  const Answer accepted = submit_until(world.nodes, wire::to_value(listed));
  if (const auto kept = world.state.get("live/j-000102"))
    note("its record when it was accepted: " + std::to_string(json_size(*kept)) + " bytes as JSON, of 8192");
  sleep_ms(3000);
  const wire::JobSpec later = job("j-000103", "lukuvahid", 4, 4, 2);
  world.fleet.upload(later, 3);
  const Answer second = submit_until(world.nodes, wire::to_value(later));
  if (accepted.status / 100 != 2 || second.status / 100 != 2) {
    note("not accepted: nothing to judge");
    return 2;
  }
  // PROTOCOL's sequel: no job is left waiting for 90 s while a machine that fits has room and its team is below its limit.
  const Instant asked = now();
  Instant room_since = now();
  int turn = 0;
  while (now() - asked < Millis(95'000)) {
    sleep_ms(100);
    if (world.fleet.machines_with_room(4, 0, 2) == 0) room_since = now();
    if (++turn % 50 == 0) poll(world.nodes.bind(static_cast<std::size_t>(turn / 50) % 3), "j-000103");
    if (world.fleet.done(later.id) == later.tasks && world.fleet.done(listed.id) == listed.tasks) break;
    if (now() - room_since >= Millis(90'500) && world.fleet.stays(later.id).empty()) break;
  }
  note("transactions refused for a value above the limit: " + std::to_string(world.state.oversized()));
  for (const std::string& line : world.nodes.log_lines("store_request_failed", 3)) note(line);
  const bool waited = world.fleet.stays(later.id).empty() && now() - room_since >= Millis(90'000);
  note("tasks started: j-000102 " + std::to_string(world.fleet.stays(listed.id).size()) + " of 100, j-000103 " +
       std::to_string(world.fleet.stays(later.id).size()) + " of 4; a machine had room for j-000103 for " +
       std::to_string((now() - room_since).count() / 1000) + " s");
  if (waited) {
    note("BROKEN: j-000103 has waited for 90 s while a machine had room and its team was below its limit");
    return 1;
  }
  const bool over = world.fleet.done(later.id) == later.tasks && world.fleet.done(listed.id) == listed.tasks;
  note(over ? "HELD: both jobs ran" : "HELD: no wait of 90 s beside room");
  return 0;
}
