// The cloud offers a machine type in one zone more; all controllers are restarted one after the other. A job for that zone can
// run, and the leader takes it, but the other controllers answer 422.
#include "rig.h"

#include "control/times.h"

using namespace rig;

namespace {

wire::MachineType kaldakivi(const std::vector<std::string>& zones) {
  return {.name = "kaldakivi",
          .cpus = 32,
          .gpus = 0,
          .ram_gb = 64,
          .cache_gb = 60,
          .fetch_gb_per_s = 0.5,
          .price = 1.66,
          .spot_price = 0.39,
          .boot_s = 2,
          .zones = zones};
}

wire::MachineType soolikas(const std::vector<std::string>& zones) {
  return {.name = "soolikas",
          .cpus = 16,
          .gpus = 2,
          .ram_gb = 64,
          .cache_gb = 100,
          .fetch_gb_per_s = 0.5,
          .price = 4.59,
          .spot_price = 1.21,
          .boot_s = 2,
          .zones = zones};
}

int play(Record& record) {
  Deploy deploy;
  const std::vector<wire::MachineType> grown{kaldakivi(deploy.zones),
                                             soolikas({"emajogi", "parnu", "tallinn", "narva"})};
  deploy.types = trouble() ? std::vector{kaldakivi(deploy.zones), soolikas({"emajogi", "parnu", "tallinn"})} : grown;
  Rig rig(deploy, record);
  rig.start_all();
  if (!rig.wait_up(15)) return 2;
  if (rig.submit(array_job("j-000001", "lukuvahid", 2, 4, 4, 2), 2) > 201) return 2;
  const Instant first_until = now() + Millis(25'000);
  while (rig.poll("j-000001").second != "done") {
    if (now() > first_until) return 2;
    rest(1);
  }
  if (trouble()) {
    record.say("cloud: soolikas is offered in narva as well");
    rig.platform->set_types(grown);
  }
  // "all controllers are restarted one after the other": each is back 6 s after its end.
  for (std::size_t node = 0; node < 3; ++node) {
    rig.kill(node);
    rest(6);
    rig.start(node);
    rest(4);
  }
  if (!rig.wait_up(15)) return 2;
  rest(10);
  record.say("leader: %s", rig.leader().c_str());
  // The same job, under six ids, two at each controller.
  int accepted = 0, refused = 0;
  std::vector<std::string> ids;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "j-00010" + std::to_string(i);
    wire::JobSpec spec = array_job(id, "broneering", 1, 6, 24, 3);
    spec.gpus = 1;
    spec.zone = "narva";
    const int status = rig.submit(spec, 3);
    if (status == 200 || status == 201) ++accepted;
    if (status == 422) ++refused;
    if (status == 200 || status == 201) ids.push_back(id);
  }
  std::size_t done = 0;
  const Instant until = now() + Millis(30'000);
  for (const std::string& id : ids) {
    while (rig.poll(id).second != "done" && now() < until) rest(1);
    if (rig.poll(id).second == "done") ++done;
  }
  record.say("accepted=%d, of which done=%zu; answered 422=%d", accepted, done, refused);
  if (accepted == 0 || done == 0) return 2;  // it has to be seen that such a job can run
  return refused > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
