// An array of small tasks: so many fit a machine that its report is beyond 64 KiB, and the controllers refuse it. Its lease
// runs out, and everything on the machine is killed, again and again.
#include "rig.h"

#include "control/times.h"

using namespace rig;

namespace {

constexpr double kWaitS = 90;

int play(Record& record) {
  Deploy deploy;
  deploy.types = {{.name = "kaldakivi",
                   .cpus = 32,
                   .gpus = 0,
                   .ram_gb = 64,
                   .cache_gb = 60,
                   .fetch_gb_per_s = 0.5,
                   .price = 1.66,
                   .spot_price = 0.39,
                   .boot_s = 2,
                   .zones = deploy.zones}};
  Rig rig(deploy, record);
  rig.start_all();
  if (!rig.wait_up(15)) return 2;
  // Another team's task, which needs a minute. It runs when the array comes.
  if (rig.submit(array_job("j-000001", "broneering", 1, 2, 2, 60), 60) > 201) return 2;
  const Instant first_until = now() + Millis(20'000);
  while (rig.platform->on_machines("j-000001") == 0) {
    if (now() > first_until) return 2;
    rest(0.2);
  }
  // 30 CPUs in all either way: what is left of one machine, far below the team's limit of 1840.
  const std::uint32_t tasks = trouble() ? 3000 : 300;
  if (rig.submit(array_job("j-000002", "lukuvahid", tasks, 30.0 / tasks, 30.0 / tasks, 20), 20) > 201) return 2;
  const Instant accepted = now();
  bool done = false;
  bool other_done = false;
  while (!(done && other_done) && now() - accepted < control::from_seconds(kWaitS)) {
    rest(5);
    other_done = rig.poll("j-000001").second == "done";
    done = rig.poll("j-000002").second == "done";
    record.say(
        "j-000002: completed=%zu on machines=%zu; longest report=%zu bytes, longest answer=%zu bytes, reports "
        "refused=%zu, leases expired=%zu; j-000001: starts=%zu",
        rig.platform->done_tasks("j-000002"), rig.platform->on_machines("j-000002"), rig.platform->longest_report(),
        rig.platform->longest_answer(), rig.platform->refused_reports(), rig.platform->expired_sessions(),
        rig.platform->stays("j-000001").size());
  }
  record.say("after %.0f s: j-000002 done=%d of %u tasks, starts=%zu, completed=%zu; j-000001 done=%d, starts=%zu",
             control::to_seconds(now() - accepted), done, tasks, rig.platform->stays("j-000002").size(),
             rig.platform->done_tasks("j-000002"), other_done, rig.platform->stays("j-000001").size());
  if (done && other_done) return 0;
  // Broken: nobody disturbed the machines, and yet their leases ran out, because no controller took their reports.
  return rig.platform->refused_reports() > 0 && rig.platform->expired_sessions() > 0 ? 1 : 2;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
