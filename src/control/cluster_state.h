// The state of the cluster that the modules of `control` share: the job table, the machine inventory, the planner, machine
// types, settings, and what is known of zones and of leases that others may renew.
//
// Owns all of these. Modules read and change them through a reference that they are given; each member says itself what it
// guarantees (JobTable, MachineInventory, Planner). The helpers here are those that more than one module needs.
// Never decides anything: it places, stops and returns nothing. Pure, with the time passed in; not thread-safe.
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
  // After a copy: points the machines at the nodes of this planner instead of the original's.
  void rebind_planned_nodes();

  // ---- machines ----
  // The machine of that name, added if it is not known yet.
  Machine& know_machine(const MachineId& id, Instant now);
  // Gives the pools the first word of the machine's image cache, and takes back what they believe it to hold.
  void know_cache(Machine& machine);
  // A task of the job has its image there.
  void know_image(Machine& machine, const wire::JobSpec& spec);
  // Tells the planner of the machine, once its type is known, and of changes of the time at which it is ready.
  void refresh_plan_machine(Machine& machine);
  // Forgets a machine everywhere, unless something may still run on it.
  void forget_machine(const MachineId& id);
  // Whether it can take work now: it is known to be well, and its zone is in service.
  [[nodiscard]] bool usable(const Machine& machine, Instant now) const;
  // Up to when its tasks may run on, if nothing more is heard of it.
  [[nodiscard]] Instant lease_end(const Machine& machine) const;
  // Whether that time has certainly passed; it may be known sooner.
  [[nodiscard]] bool is_lease_expired(const Machine& machine, Instant now) const;

  // ---- machine types and zones ----
  // Null if the cloud has told of no such type.
  [[nodiscard]] const wire::MachineType* type(const std::string& name) const;
  // How long a machine of the type takes to fetch the job's image; zero if that is not known.
  [[nodiscard]] Millis fetch_time(const wire::JobSpec& spec, const std::string& machine_type) const;
  // How long a machine of the type takes to boot; zero if that is not known.
  [[nodiscard]] Millis boot_time(const std::string& type_name) const;
  // Whether machines may be rented in the zone.
  [[nodiscard]] bool counted_on(const std::string& zone) const;

  config::Settings settings;
  jobs::JobTable jobs;
  inventory::MachineInventory machines;
  plan::Planner planner;
  std::vector<wire::MachineType> types;
  pools::PoolAdmission pools;
  zone::ZoneHealthMonitor zones;
  zone::DelegationTable delegations;  // of the right to renew agents' leases, to the other controllers
  Instant older_leaders_until;        // until then leaders of earlier terms may still renew agents' leases
  bool plan_wanted = false;           // something has happened since the latest planning pass began
  Counters counters;
};

// Whether the plan has anything for the machine, of what is placed there or is to be.
[[nodiscard]] bool has_bookings(const Machine& machine);

}  // namespace foxshunt::control
