// Fixture with a small cluster state for tests of the modules of `control`: one team, two zones, one machine type with
// 16 CPUs.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "control/cluster_state.h"

namespace foxshunt::control {

class ClusterFixture : public testing::Test {
 protected:
  ClusterFixture() : cluster_(settings()) {
    cluster_.machine_types = {
        {.name = "plain", .cpus = 16, .ram_gb = 64, .price = 1, .boot_s = 10, .zones = {"a", "b"}}};
  }

  static config::Settings settings() {
    config::Settings settings;
    settings.zones = {"a", "b"};
    settings.teams = {{.name = "red", .cpus = 8, .cpus_max = 32, .gpus = 0, .gpus_max = 0}};
    settings.heartbeat_interval_s = 1;
    settings.lease_s = 10;
    settings.cancel_s = 40;
    settings.gang_wait_s = 60;
    settings.operators.can_scale_out = true;
    settings.operators.can_scale_in = true;
    return settings;
  }

  static wire::JobSpec spec_of(const std::string& id, std::uint32_t tasks, wire::JobKind kind = wire::JobKind::array) {
    wire::JobSpec spec;
    spec.id = JobId(id);
    spec.kind = kind;
    spec.job_class = "work";
    spec.team = "red";
    spec.tasks = tasks;
    spec.cpus = 4;
    spec.image = "img";
    spec.estimate_s = 60;
    return spec;
  }

  Job& add_job(const wire::JobSpec& spec) {
    return cluster_.jobs.add(state::new_job(spec, 0), Revision(2), 0, cluster_.machines, now_);
  }

  // Completes all pending writes of the job table successfully, which makes all placements durable.
  void write_records() {
    constexpr std::size_t kMaxOperations = 24;
    while (const auto batch = cluster_.jobs.begin_write(Revision(1), kMaxOperations, now_)) {
      const kv::TxnResult written{.status = kv::Status::ok, .revision = Revision(++store_revision_), .failed_keys = {}};
      (void)cluster_.jobs.end_write(*batch, written, now_);
    }
  }

  // Adds a machine that is up and has just sent a heartbeat.
  Machine& add_machine(const std::string& id, const std::string& zone = "a") {
    Machine& machine = cluster_.find_or_add_machine(MachineId(id), now_);
    machine.type = "plain";
    machine.zone = zone;
    machine.state = MachineState::up;
    machine.has_reported = true;
    machine.last_heartbeat = now_;
    machine.ready = now_;
    machine.images.insert("img");
    cluster_.update_planner_machine(machine);
    return machine;
  }

  // Adds a machine that the cloud lists as running for a minute and that has not reported to this leader.
  Machine& add_listed_machine(const std::string& id, const std::string& zone = "a", const std::string& type = "plain") {
    const wire::ListedMachine entry{.id = MachineId(id),
                                    .address = "127.0.0.1:2",
                                    .type = type,
                                    .zone = zone,
                                    .state = wire::ListedState::running,
                                    .age_s = 60};
    Machine& machine = cluster_.machines.apply_listing(entry, Millis(0), now_)->machine;
    cluster_.update_planner_machine(machine);
    return machine;
  }

  jobs::Allocation& place(Job& job, std::uint32_t index, Machine& machine) {
    return cluster_.jobs.place_task(job, index, AttemptNumber(1), machine, now_);
  }

  ClusterState cluster_;
  Instant now_{Millis(1'000'000)};
  std::uint64_t store_revision_ = 2;  // revision of the simulated store
};

}  // namespace foxshunt::control
