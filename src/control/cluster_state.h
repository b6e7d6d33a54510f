// Cluster state shared by the modules of `control`: the job table, the machine inventory, the planner, machine types,
// settings, zone health, and the leases that other controllers may renew.
//
// ClusterState owns these members. Modules read and change them by reference. The invariants of each member are
// documented in its own class (JobTable, MachineInventory, Planner). The functions here are helpers that several
// modules need. ClusterState makes no scheduling decisions: it places and stops no tasks and returns no machines. It
// does no I/O, and callers pass in the current time. Not thread-safe.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#include "control/counters.h"
#include "inventory/machine_inventory.h"
#include "jobs/job_table.h"
#include "plan/planner.h"
#include "pools/desk.h"
#include "wire/messages.h"
#include "zone/delegated_lease.h"
#include "zone/delegation_table.h"
#include "zone/zone_health.h"

namespace foxshunt::control {

using plan::Instant;
using plan::Millis;
using plan::ResourceAmounts;

using inventory::Machine;
using inventory::MachineState;
using jobs::Allocation;
using jobs::Job;
using jobs::JobShard;
using jobs::WriteBatch;

struct ClusterState {
  explicit ClusterState(config::Settings settings);
  // Must be called after copying: makes the machines point to this object's planner entries instead of the original's.
  void rebind_planned_nodes();

  // ---- machines ----
  // Returns the machine with this id, and adds it to the inventory if it is not known yet.
  Machine& find_or_add_machine(const MachineId& id, Instant now);
  // Registers the machine's image cache with the warm pools, and adds the images that the pools expect in the cache to
  // the machine's images. If the machine is registered already, only sets its cache size if that was unknown. Has no
  // effect if no pools are configured.
  void register_image_cache(Machine& machine);
  // Records that the job's image is in the machine's cache, and removes the images that were evicted for it.
  void record_cached_image(Machine& machine, const wire::JobSpec& spec);
  // Adds the machine to the planner, or updates the time at which it is ready. Does nothing while its type is unknown.
  void update_planner_machine(Machine& machine);
  // Removes the machine from the inventory, the pools and the planner, unless tasks may still run on it.
  void forget_machine(const MachineId& id);
  // Returns whether tasks can be placed on the machine now: the machine is usable, its zone is in service, and the zone
  // health monitor allows work there.
  [[nodiscard]] bool is_schedulable(const Machine& machine, Instant now) const;
  // Returns whether tasks can be planned on the machine: it is schedulable, or it boots in a zone where machines may be
  // rented.
  [[nodiscard]] bool is_plannable(const Machine& machine, Instant now) const;
  // Returns the latest time until which the machine's tasks may keep running if it sends no more heartbeats.
  [[nodiscard]] Instant lease_end(const Machine& machine) const;
  // Returns whether the machine's lease has certainly expired. This may be known before lease_end().
  [[nodiscard]] bool is_lease_expired(const Machine& machine, Instant now) const;

  // ---- machine types and zones ----
  // Returns null if the cloud has listed no machine type with this name.
  [[nodiscard]] const wire::MachineType* find_machine_type(const std::string& name) const;
  // Returns the expected time that a machine of this type needs to fetch the job's image; zero if unknown.
  [[nodiscard]] Millis image_fetch_duration(const wire::JobSpec& spec, const std::string& machine_type) const;
  // Returns the expected boot time of a machine of this type; zero if unknown.
  [[nodiscard]] Millis boot_duration(const std::string& type_name) const;
  // Returns whether machines may be rented in the zone: it is in service, and the zone health monitor considers
  // it healthy.
  [[nodiscard]] bool can_rent_in_zone(const std::string& zone) const;

  config::Settings settings;
  jobs::JobTable jobs;
  inventory::MachineInventory machines;
  plan::Planner planner;
  std::vector<wire::MachineType> machine_types;
  pools::PoolAdmission pools;
  zone::ZoneHealthMonitor zone_health;
  zone::DelegationTable delegations;  // agent lease renewal delegated to other controllers
  Instant older_leaders_until;        // until then, leaders of earlier terms may still renew agent leases
  bool needs_planning = false;        // state has changed since the latest planning pass began
  Counters counters;
};

// Returns whether the planner has bookings on the machine, for placed or for planned tasks.
[[nodiscard]] bool has_bookings(const Machine& machine);

}  // namespace foxshunt::control
