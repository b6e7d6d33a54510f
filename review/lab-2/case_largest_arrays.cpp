// Arrays of the most tasks that PROTOCOL allows: the leader's memory grows by each, beyond `limits.ram_mb`. The platform ends
// a controller that holds more, and starts it again (DEPLOY).
#include "rig.h"

#include "control/times.h"

using namespace rig;

namespace {

constexpr int kJobs = 400;
constexpr double kRestartS = 6;  // restart_delay_s of the site

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
  rig.platform->most_machines = 10;
  rig.start_all();
  if (!rig.wait_up(15)) return 2;
  std::atomic<int> next{1}, accepted{0};
  std::atomic<bool> over{false};
  const std::uint32_t tasks = trouble() ? 100'000 : 28;  // the most there may be; the class's largest
  std::vector<std::jthread> users;
  for (int user = 0; user < 6; ++user) {
    users.emplace_back([&] {
      while (!over) {
        const int number = next++;
        if (number > kJobs) return;
        char id[16];
        std::snprintf(id, sizeof id, "j-%06d", number);
        const int status = rig.submit(array_job(id, number % 2 ? "lukuvahid" : "broneering", tasks, 6, 24, 90), 90);
        if (status == 200 || status == 201) ++accepted;
        rest(0.2);  // some 30 a second of all users: less than the state service may be asked to write
      }
    });
  }
  int ended = 0;
  std::map<std::size_t, Instant> back;
  double most_mb = 0;
  const Instant until = now() + Millis(75'000);
  Instant next_line = now();
  while (now() < until) {
    rest(0.1);
    for (std::size_t node = 0; node < 3; ++node) {
      if (const auto due = back.find(node); due != back.end()) {
        if (now() < due->second) continue;
        back.erase(due);
        rig.start(node);
      }
      if (rig.ended(node)) back[node] = now() + control::from_seconds(kRestartS);
      if (rig.pids[node] == 0) continue;
      const double mb = rig.resident_mb(node);
      most_mb = std::max(most_mb, mb);
      if (mb <= deploy.ram_mb) continue;
      record.say("warren-%zu holds %.1f MB of %.0f with %d jobs accepted: the platform ends it", node, mb,
                 deploy.ram_mb, accepted.load());
      rig.kill(node);
      ++ended;
      back[node] = now() + control::from_seconds(kRestartS);
    }
    if (now() >= next_line) {
      next_line = now() + Millis(5'000);
      record.say("accepted=%d, most memory so far %.1f MB, ended for memory %d times, leader=%s", accepted.load(),
                 most_mb, ended, rig.leader().c_str());
    }
    if (!trouble() && accepted == kJobs && now() > until - Millis(40'000)) break;
  }
  over = true;
  users.clear();
  record.say("accepted=%d jobs of %u tasks; most memory %.1f MB of %.0f; controllers ended for memory: %d",
             accepted.load(), tasks, most_mb, deploy.ram_mb, ended);
  if (accepted < kJobs / 4) return 2;
  return ended > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
