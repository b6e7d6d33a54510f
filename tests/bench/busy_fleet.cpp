#include "bench/busy_fleet.h"

#include <array>

#include "config/constants.h"

namespace foxshunt::bench {
namespace {

config::Settings settings() {
  config::Settings settings;
  settings.name = NodeName("node-0");
  settings.zones = {"a", "b", "c"};
  settings.nodes = 3;
  settings.teams = {{.name = "red", .cpus = 3000, .cpus_max = 7000, .gpus = 120, .gpus_max = 500},
                    {.name = "blue", .cpus = 3000, .cpus_max = 9000, .gpus = 120, .gpus_max = 350}};
  settings.objectives = {{.kind = "wait", .job_class = "gang", .within_s = 15, .share = 0.85}};
  settings.heartbeat_interval_s = 5;
  settings.lease_s = 27;
  settings.gang_wait_s = 45;
  settings.gang_peer_s = 4;
  settings.cancel_s = 57;
  settings.state_rps = 120;
  settings.state_write_rps = 20;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 12;
  settings.cloud_rps = 5;
  settings.cloud_list_delay_s = 3;
  settings.skew_ms = 250;
  return settings;
}

std::string numbered(const char* prefix, std::size_t number) {
  const std::string text = std::to_string(number);
  return prefix + std::string(6 - text.size(), '0') + text;
}

constexpr std::array<const char*, 3> kZones{"a", "b", "c"};

}  // namespace

BusyFleet::BusyFleet(std::size_t machines, std::size_t gangs, std::size_t arrays) : controller_(settings()) {
  controller_.on_machine_types({{.name = "plain",
                                 .cpus = 32,
                                 .ram_gb = 256,
                                 .cache_gb = 60,
                                 .fetch_gb_per_s = 0.5,
                                 .price = 2.8,
                                 .spot_price = 1.3,
                                 .boot_s = 20,
                                 .zones = {"a", "b", "c"}},
                                {.name = "gpu",
                                 .cpus = 48,
                                 .gpus = 8,
                                 .ram_gb = 288,
                                 .cache_gb = 60,
                                 .fetch_gb_per_s = 0.3,
                                 .price = 29,
                                 .spot_price = 13,
                                 .boot_s = 40,
                                 .zones = {"a", "b", "c"}}});
  control::FailoverSnapshot failover;
  failover.term = Term(1);
  failover.term_revision = Revision(1);
  failover.older_leaders_until = now_;
  controller_.become_leader(failover, now_);
  for (std::size_t i = 0; i < machines; ++i) machines_.emplace_back(numbered("m-", i));
  heartbeat_all();
  for (std::size_t i = 0; i < std::max(gangs, arrays); ++i) {
    if (i < gangs) add_job(true);
    if (i < arrays) add_job(false);
  }
}

void BusyFleet::add_job(bool gang) {
  wire::JobSpec spec;
  spec.id = JobId(numbered("j-", jobs_));
  spec.job_class = gang ? "gang" : "array";
  spec.team = jobs_ % 3 == 0 ? "blue" : "red";
  spec.kind = gang ? wire::JobKind::gang : wire::JobKind::array;
  constexpr std::array<std::uint32_t, 4> kGangs{1, 3, 8, 16};
  spec.tasks = gang ? kGangs[jobs_ / 2 % 4] : static_cast<std::uint32_t>(8 + jobs_ * 7 % 60);
  spec.cpus = gang ? 30 : 5;
  spec.gpus = gang ? 0 : 1;
  spec.ram_gb = gang ? 200 : 27;
  spec.image = "img-" + std::to_string(jobs_ % 6);
  spec.image_gb = gang ? 1.5 : 3.5;
  spec.one_zone = gang;
  spec.spot = !gang;
  spec.estimate_s = static_cast<double>(60 + jobs_ * 37 % 240);
  spec.checkpoint_s = gang ? 45 : 0;
  spec.save_s = gang ? 5 : 0;
  ++jobs_;
  controller_.on_job_record(spec.id, state::to_value(state::new_job(spec, 0)), Revision(++revision_), 0, now_);
}

wire::Heartbeat BusyFleet::heartbeat_of(const MachineId& machine) {
  const auto number = static_cast<std::size_t>(std::stoul(machine.text().substr(2)));
  wire::Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "10.1.0.1:9000";
  heartbeat.type = number % 3 == 0 ? "gpu" : "plain";
  heartbeat.zone = kZones[number / 3 % 3];
  heartbeat.incarnation = AgentIncarnation(1);
  heartbeat.sequence = ++sequences_[machine];
  heartbeat.term = controller_.term();
  const auto known = controller_.machines().find(machine);
  if (known == controller_.machines().end()) return heartbeat;
  for (const TaskKey& task : known->second.allocations) {
    const control::Job& job = controller_.jobs().at(task.job);
    const auto& runs = job.shards[task.index / constants::kTasksPerShard].allocations;
    const bool over = ended_.contains(task);
    heartbeat.tasks.push_back({.task = task,
                               .attempt = runs.at(task.index).attempt,
                               .state = over ? wire::TaskState::ended : wire::TaskState::running,
                               .reason = over ? wire::EndReason::done : wire::EndReason::none,
                               .saved = false});
  }
  return heartbeat;
}

void BusyFleet::heartbeat_all() {
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  for (const MachineId& machine : machines_) (void)controller_.on_heartbeat(heartbeat_of(machine), now_);
}

void BusyFleet::write_all() {
  while (auto batch = controller_.begin_write(now_)) {
    controller_.end_write(*batch, {.status = kv::Status::ok, .revision = Revision(++revision_), .failed_keys = {}},
                          now_);
  }
}

void BusyFleet::pass() {
  controller_.on_leader_lease_renewed(now_);
  controller_.on_records_confirmed(now_);
  controller_.plan_pass(now_);
  write_all();
}

void BusyFleet::end_one() {
  for (const auto& [id, job] : controller_.jobs()) {
    if (job.cancelled || job.allocation_count == 0) continue;
    std::set<MachineId> on;
    for (const control::JobShard& shard : job.shards) {
      for (const auto& [index, run] : shard.allocations) {
        ended_.insert({id, index});
        on.insert(run.machine);
      }
    }
    for (const MachineId& machine : on) (void)controller_.on_heartbeat(heartbeat_of(machine), now_);
    write_all();
    return;
  }
}

}  // namespace foxshunt::bench
