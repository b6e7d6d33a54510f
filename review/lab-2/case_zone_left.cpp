// The leader returns the idle machines of a zone, and crashes; with FREEZE=1 it stands still for 28 s instead. The cloud's list,
// which lags, still shows the machines to the next leader. It takes the zone for cut off, waits for machines that are gone, and
// rents none there. The zone is tallinn, which has no controller; with FREEZE=1 it is the leader's own.
#include "rig.h"

#include <csignal>

#include "control/times.h"

using namespace rig;

namespace {

// How the leader sees the zone, by its own page of zones.
std::string state_of(const std::string& name, Rig& rig, Record& record) {
  const std::string leads = rig.leader();
  if (leads.empty()) return {};
  const auto answer = rig.ask(static_cast<std::size_t>(leads.back() - '0'), "GET", "/zones", {}, Millis(1000));
  if (answer.status != 200) return {};
  const wire::Value body = wire::decode(answer.body);
  const wire::Value::List* zones = body["zones"].as_list();
  if (zones == nullptr) return {};
  for (const wire::Value& zone : *zones) {
    if (zone.text("zone") != name) continue;
    record.say("leader %s sees %s: %s for %.0f s, machines heard=%llu silent=%llu; machines of the cloud=%zu",
               leads.c_str(), name.c_str(), zone.text("state").c_str(),
               static_cast<double>(zone.count("for_ms")) / 1000, static_cast<unsigned long long>(zone.count("heard")),
               static_cast<unsigned long long>(zone.count("silent")), rig.platform->there());
    return zone.text("state");
  }
  return {};
}

int play(Record& record) {
  const Instant began = now();
  const bool freeze = std::getenv("FREEZE") != nullptr;
  const double span_s = std::getenv("SPAN") != nullptr ? std::atof(std::getenv("SPAN")) : 115;
  Deploy deploy;
  deploy.types = {{.name = "kaldakivi",
                   .cpus = 32,
                   .gpus = 0,
                   .ram_gb = 64,
                   .cache_gb = 60,
                   .fetch_gb_per_s = 0.5,
                   .price = 1.66,
                   .spot_price = 0.39,
                   .boot_s = 1,
                   .zones = deploy.zones}};
  Rig rig(deploy, record);
  rig.start_all();
  if (!rig.wait_up(10)) return 2;
  while (rig.leader().empty()) {
    if (now() - began > Millis(10'000)) return 2;
    rest(0.1);
  }
  const std::string zone = freeze ? deploy.node_zones[static_cast<std::size_t>(rig.leader().back() - '0')] : "tallinn";
  // Four tasks, each as large as a machine, bound to that zone.
  wire::JobSpec first = array_job("j-000001", "lukuvahid", 4, 30, 51, 1);
  first.zone = zone;
  first.image_gb = 0.1;
  if (rig.submit(first, 0.5) > 201) return 2;
  // The job ends, the machines are idle, and after 20 s the leader returns them.
  while (rig.platform->returned() < 4 || rig.platform->there() > 0) {
    if (now() - began > Millis(45'000)) return 2;
    rest(0.05);
  }
  const std::string leader = rig.leader();
  if (leader.empty()) return 2;
  const std::size_t node = static_cast<std::size_t>(leader.back() - '0');
  const Instant crash = now();
  if (trouble() && freeze) {
    record.say("controller warren-%zu stands still", node);
    rig.signal(node, SIGSTOP);
  } else if (trouble()) {
    rig.kill(node);
  }
  bool back = !trouble();
  const auto bring_back = [&] {
    if (back || now() - crash < Millis(freeze ? 28'000 : 6'000)) return;
    back = true;
    if (!freeze) return rig.start(node);
    record.say("controller warren-%zu goes on", node);
    rig.signal(node, SIGCONT);
  };
  // Some seconds later a user submits a job for the zone.
  while (now() - crash < Millis(16'000)) {
    rest(0.5);
    bring_back();
    if (state_of(zone, rig, record) == "cut off") break;
  }
  wire::JobSpec second = first;
  second.id = JobId("j-000002");
  if (rig.submit(second, 0.5) > 201) return 2;
  const Instant accepted = now();
  bool done = false;
  while (!done && now() - began < control::from_seconds(span_s)) {
    for (int part = 0; part < 50 && now() - began < control::from_seconds(span_s); ++part) {
      rest(0.1);
      bring_back();
    }
    done = rig.poll("j-000002").second == "done";
    (void)state_of(zone, rig, record);
  }
  const std::size_t starts = rig.platform->stays("j-000002").size();
  record.say("%.0f s after its acceptance: j-000002 done=%d, starts=%zu", control::to_seconds(now() - accepted), done,
             starts);
  if (done) return 0;
  return starts == 0 ? 1 : 2;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
