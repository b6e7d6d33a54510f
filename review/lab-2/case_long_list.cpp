// A job whose list of allowed machine types is long is accepted; with its tasks' places the record is beyond `value_kb`.
#include "rig.h"

#include "control/times.h"

using namespace rig;

namespace {

constexpr int kTypes = 120;
constexpr double kWaitS = 90;  // "no job is left waiting for 90 s while a machine that fits has room"

std::string type_name(int number) {
  char name[64];
  std::snprintf(name, sizeof name, "kaldakivi.32cpu.64gb.nvme-2x1900.net-25g.gen-%03d", number);
  return name;
}

int play(Record& record) {
  Deploy deploy;
  for (int i = 0; i < kTypes; ++i) {
    // As kaldakivi of the site; up within two seconds, as the page has it "at times".
    deploy.types.push_back({.name = type_name(i),
                            .cpus = 32,
                            .gpus = 0,
                            .ram_gb = 64,
                            .cache_gb = 60,
                            .fetch_gb_per_s = 0.5,
                            .price = 1.66,
                            .spot_price = 0.39,
                            .boot_s = 2,
                            .zones = deploy.zones});
  }
  Rig rig(deploy, record);
  rig.start_all();
  if (!rig.wait_up(15)) return 2;
  // A first job shows that the deployment works, and brings a machine.
  if (rig.submit(array_job("j-000001", "lukuvahid", 2, 4, 4, 2), 2) > 201) return 2;
  const Instant first_until = now() + Millis(25'000);
  while (rig.poll("j-000001").second != "done") {
    if (now() > first_until) return 2;
    rest(1);
  }
  // 128 tasks that fill one machine: 32 CPUs, far below its team's limit of 1840.
  wire::JobSpec large = array_job("j-000002", "lukuvahid", 128, 0.25, 0.5, 5);
  for (int i = 0; i < (trouble() ? kTypes : 1); ++i) large.types.push_back(type_name(i));
  const wire::Value spec = wire::to_value(large);
  record.say("j-000002: %zu bytes in JSON, %zu types in burrows", json_size(spec), large.types.size());
  if (rig.submit(large, 5) > 201) return 2;
  const int other = rig.submit(array_job("j-000003", "broneering", 2, 4, 4, 5), 5);
  const Instant accepted = now();
  if (other > 201) return 2;
  bool large_done = false;
  bool other_done = false;
  while (now() - accepted < control::from_seconds(kWaitS) && !(large_done && other_done)) {
    rest(5);
    large_done = rig.poll("j-000002").second == "done";
    other_done = rig.poll("j-000003").second == "done";
  }
  const std::size_t large_starts = rig.platform->stays("j-000002").size();
  const std::size_t other_starts = rig.platform->stays("j-000003").size();
  record.say(
      "after %.0f s: j-000002 done=%d starts=%zu; j-000003 done=%d starts=%zu; machines up=%zu; writes refused=%zu",
      control::to_seconds(now() - accepted), large_done, large_starts, other_done, other_starts,
      rig.platform->machines_up(), rig.over_limit_writes);
  if (large_done && other_done) return 0;
  // Broken: an accepted job had no task started for 90 s while machines were up, or could be rented at once.
  return (large_starts == 0 || other_starts == 0) && rig.platform->machines_up() > 0 ? 1 : 2;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
