// Planning of when and on which machines tasks run (PAPER section 5). Tracks the resource usage of the fleet, of each
// machine and of each team over time, and finds intervals in which the resources of a task are free for its whole
// estimated duration. Machines are ranked by weight. Has no clock, no I/O and no thread.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::plan {

// CPUs, GPUs and memory, in this order.
inline constexpr std::size_t kResourceCount = 3;

// An amount of each resource: CPUs, GPUs and gigabytes of memory.
struct ResourceAmounts {
  std::array<AmountUnits, kResourceCount> values{};

  // Takes decimal numbers of whole CPUs, GPUs and gigabytes; see to_amount_units().
  static ResourceAmounts from(double cpus, double gpus, double ram_gb);
  ResourceAmounts& operator+=(const ResourceAmounts& other);
  ResourceAmounts& operator-=(const ResourceAmounts& other);
  [[nodiscard]] ResourceAmounts times(std::int64_t count) const;
  // Whether no resource exceeds that of `room`.
  [[nodiscard]] bool fits_in(const ResourceAmounts& room) const;
  // How many times these amounts fit into `room` at once; the largest 32-bit integer if they are all zero.
  [[nodiscard]] std::int64_t count_fitting_in(const ResourceAmounts& room) const;
  // The amounts in whole CPUs, GPUs and gigabytes; see to_whole().
  [[nodiscard]] std::array<double, kResourceCount> to_whole_amounts() const;
  friend bool operator==(const ResourceAmounts&, const ResourceAmounts&) = default;
};

// The half-open interval [start, stop).
struct TimeInterval {
  Instant start;
  Instant stop;
  friend bool operator==(const TimeInterval&, const TimeInterval&) = default;
};
using TimeIntervals = std::vector<TimeInterval>;

// Capacity and usage over time of all resources, with one UsageVector for each (sRS, nRS and usdRS in the paper).
class ResourceUsage {
 public:
  ResourceUsage() = default;
  explicit ResourceUsage(const ResourceAmounts& capacity);

  void set_capacity(const ResourceAmounts& capacity);
  [[nodiscard]] ResourceAmounts capacity() const;
  // Adds the amounts to the usage in [start, stop).
  void book(const ResourceAmounts& amounts, Instant start, Instant stop);
  // Reverses book() with the same arguments.
  void revoke(const ResourceAmounts& amounts, Instant start, Instant stop);
  [[nodiscard]] const UsageVector& usage_of(std::size_t resource) const { return vectors_[resource]; }
  UsageVector& usage_of(std::size_t resource) { return vectors_[resource]; }
  // The longest intervals within [from, to) in which all of the amounts are free and which last at least `duration`.
  [[nodiscard]] TimeIntervals free_intervals(const ResourceAmounts& amounts, Millis duration, Instant from,
                                             Instant to) const;
  // The amounts that are free throughout [from, to). Negative where the usage exceeds the capacity.
  [[nodiscard]] ResourceAmounts free(Instant from, Instant to) const;
  // Drops the usage that ends at or before `when`.
  void forget_before(Instant when);

 private:
  std::array<UsageVector, kResourceCount> vectors_;
};

// A machine as the planner's caller describes it.
struct MachineSpec {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  ResourceAmounts capacity;
  Instant ready_at;                    // no task can start earlier
  Instant available_until = kForever;  // the machine goes away then; no task can run longer
  int priority = 0;                    // the node's prio in the paper; machines with a higher value are used later
};

// The limits on what all tasks of a team use at the same time. An unset limit means unlimited.
struct TeamLimit {
  std::optional<AmountUnits> cpus;
  std::optional<AmountUnits> gpus;
};

// Resources of one machine that are set aside for tasks of a team in [start, stop).
struct Booking {
  MachineId machine;
  std::string team;
  ResourceAmounts amounts;
  Instant start;
  Instant stop;
};

using BookingId = std::uint64_t;

// A machine that the planner knows, with its usage. Pointers to it stay valid until the machine is removed.
struct PlannedMachine {
  MachineSpec spec;
  ResourceUsage usage;
  std::size_t zone_index = 0;                           // index of spec.zone in the planner's list of zones
  std::array<double, kResourceCount> whole_capacity{};  // spec.capacity in whole units
};

// A machine on which the tasks of a request may run.
struct EligibleMachine {
  const PlannedMachine* machine = nullptr;
  Millis setup_time{};     // time that the machine needs before a task runs (image fetch)
  bool preferred = false;  // gangs use preferred machines before all others, regardless of weight
};

// Tasks of one job that are to be planned.
struct PlacementRequest {
  std::string team;
  ResourceAmounts per_task;
  std::uint32_t count = 0;                       // number of tasks
  Millis duration{};                             // estimated run time of a task, without setup
  Instant earliest_start;                        // earliest start of the setup
  Instant latest_start = kForever;               // latest start of the setup
  bool is_gang = false;                          // all tasks start at the same time, or none does
  bool one_zone = false;                         // all tasks run in the same zone
  std::string required_zone;                     // zone that other tasks of a one-zone job already use; empty if none
  std::optional<std::uint32_t> zone_task_limit;  // maximum number of tasks of the job in one zone (spread)
  std::map<std::string, std::uint32_t> tasks_by_zone;  // number of tasks already placed in each zone
  ResourceAmounts keep_free;  // part of the fleet that this request must leave to others (FreePool in the paper)
  std::vector<EligibleMachine> machines;  // sorted by machine id
};

// A number of tasks that can run on a machine in [start, stop). The interval includes the setup.
struct Placement {
  MachineId machine;
  Instant start;
  Instant stop;
  std::uint32_t count = 0;  // number of tasks
};

class Planner {
 public:
  void set_team_limit(const std::string& team, const TeamLimit& limit);

  // Adds the machine or updates the one with this id.
  void set_machine(const MachineSpec& machine);
  // Requires that all bookings of the machine have been revoked.
  void remove_machine(const MachineId& machine_id);
  // Returns null if the planner does not know the machine.
  [[nodiscard]] const PlannedMachine* find_machine(const MachineId& machine_id) const;
  [[nodiscard]] const std::map<MachineId, PlannedMachine>& machines() const { return machines_; }
  // Capacity and usage of all machines together.
  [[nodiscard]] const ResourceUsage& fleet() const { return fleet_; }
  // Capacity of all machines together, in whole CPUs, GPUs and gigabytes; see to_whole().
  [[nodiscard]] const std::array<double, kResourceCount>& whole_fleet_capacity() const { return whole_fleet_capacity_; }

  // Finds machines and start times for the tasks without booking them. Returns placements for fewer tasks than
  // requested if there is no free interval for the others. A gang is placed as a whole or not at all.
  [[nodiscard]] std::vector<Placement> plan(const PlacementRequest& request) const;

  // Counts the booking against the fleet, the team and the machine. The machine may be added later.
  BookingId book(const Booking& booking);
  // Has no effect if there is no such booking.
  void revoke(BookingId id);
  // Moves the end of the booking to `stop`. Has no effect if the booking does not exist or ends later already.
  void extend(BookingId id, Instant stop);
  // Returns null if there is no such booking.
  [[nodiscard]] const Booking* find_booking(BookingId id) const;
  [[nodiscard]] std::size_t booking_count() const { return bookings_.size(); }
  // Drops usage that ends at or before `when`. The bookings themselves are kept.
  void forget_before(Instant when);

 private:
  struct Candidate;  // an eligible machine with its free intervals and weight
  // The fleet's usage as it limits a team, for each resource that a task needs (uRS in the paper).
  using UsageView = std::array<std::optional<UsageVector>, kResourceCount>;

  [[nodiscard]] UsageView make_usage_view(const PlacementRequest& request) const;
  // Machines with a lower weight are used first.
  [[nodiscard]] double weight(const PlannedMachine& machine) const;
  struct Progress;  // usage and limits including the tasks that plan_independent_tasks() has placed so far
  // Where and when the next task starts.
  struct Choice {
    Candidate* candidate = nullptr;
    Instant start;
  };
  // The candidate on which one more task would run earliest, or nothing if no candidate has room.
  // `free`: intervals in which the fleet and the team's limit have room for a task.
  [[nodiscard]] static std::optional<Choice> find_earliest_start(const PlacementRequest& request,
                                                                 std::vector<Candidate>& candidates,
                                                                 const TimeIntervals& free, const Progress& progress);
  // How many of the remaining tasks can start together at the chosen time on the chosen machine; 0 if the machine or
  // its zone has no room. `usage`: usage of the chosen machine.
  [[nodiscard]] static std::int64_t count_startable_tasks(const PlacementRequest& request, const Choice& choice,
                                                          std::uint32_t remaining, const Progress& progress,
                                                          const ResourceUsage& usage);
  // Plans tasks that may start at different times.
  [[nodiscard]] std::vector<Placement> plan_independent_tasks(const PlacementRequest& request,
                                                              std::vector<Candidate> candidates) const;
  [[nodiscard]] std::vector<Placement> plan_gang(const PlacementRequest& request,
                                                 const std::vector<Candidate>& candidates) const;
  // Places all tasks of a gang at `start`, on the machines in the given order. Returns nothing if they do not all
  // fit.
  [[nodiscard]] static std::vector<Placement> place_gang_at(const PlacementRequest& request, Instant start,
                                                            const std::vector<const Candidate*>& ranked,
                                                            std::vector<std::uint32_t> tasks_in_zone);
  // Sorts the candidates of a gang: preferred machines first, then by weight and setup time.
  [[nodiscard]] static std::vector<const Candidate*> rank_candidates(const std::vector<Candidate>& candidates);
  // The times at which a gang may fit although it did not fit earlier: the starts of the free intervals of the fleet
  // and of the candidates.
  [[nodiscard]] static std::vector<Instant> list_possible_starts(const TimeIntervals& free,
                                                                 const std::vector<Candidate>& candidates);
  // Zone indexes in the order of the zones' names.
  [[nodiscard]] std::vector<std::size_t> sort_zones_by_name() const;
  // The number of the job's placed tasks, by zone index.
  [[nodiscard]] std::vector<std::uint32_t> count_tasks_by_zone(const PlacementRequest& request) const;
  void set_fleet_capacity(const ResourceAmounts& total);
  // Returns the index of the zone. Adds the zone if it is new.
  [[nodiscard]] std::size_t find_or_add_zone(const std::string& zone);

  ResourceUsage fleet_;
  std::array<double, kResourceCount> whole_fleet_capacity_{};  // the fleet's capacity in whole units
  std::map<MachineId, PlannedMachine> machines_;
  std::vector<std::string> zones_;
  std::map<std::string, TeamLimit> team_limits_;
  std::map<std::string, ResourceUsage> usage_by_team_;
  std::unordered_map<BookingId, Booking> bookings_;
  // Bookings of machines that set_machine() has not added yet.
  std::map<MachineId, std::vector<BookingId>> bookings_without_machine_;
  BookingId next_booking_ = 1;
};

}  // namespace foxshunt::plan
