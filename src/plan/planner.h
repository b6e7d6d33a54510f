// Plans when and where tasks run (PAPER section 5): time-sorted use of the fleet, of each machine and of each
// team; slots that are free for the whole estimate; a mapper that ranks machines by weight. Pure: no clock, no
// I/O, no thread.
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

inline constexpr std::size_t kResourceCount = 3;

// CPUs, GPUs and memory, in thousandths.
struct ResourceAmounts {
  std::array<MilliUnits, kResourceCount> values{};

  static ResourceAmounts from(double cpus, double gpus, double ram_gb);
  ResourceAmounts& operator+=(const ResourceAmounts& other);
  ResourceAmounts& operator-=(const ResourceAmounts& other);
  [[nodiscard]] ResourceAmounts times(std::int64_t count) const;
  [[nodiscard]] bool fits_in(const ResourceAmounts& room) const;
  // How many of these fit the room.
  [[nodiscard]] std::int64_t count_fitting_in(const ResourceAmounts& room) const;
  friend bool operator==(const ResourceAmounts&, const ResourceAmounts&) = default;
};

// [start, stop)
struct TimeInterval {
  Instant start;
  Instant stop;
  friend bool operator==(const TimeInterval&, const TimeInterval&) = default;
};
using TimeIntervals = std::vector<TimeInterval>;

// One UsageVector a resource (the paper's sRS, nRS and usdRS).
class ResourceUsage {
 public:
  ResourceUsage() = default;
  explicit ResourceUsage(const ResourceAmounts& capacity);

  void set_capacity(const ResourceAmounts& capacity);
  [[nodiscard]] ResourceAmounts capacity() const;
  void book(const ResourceAmounts& amounts, Instant start, Instant stop);
  void revoke(const ResourceAmounts& amounts, Instant start, Instant stop);
  [[nodiscard]] const UsageVector& usage_of(std::size_t resource) const { return vectors_[resource]; }
  UsageVector& usage_of(std::size_t resource) { return vectors_[resource]; }
  // Intervals in which the amounts are free for the duration (the intersection over the resources).
  [[nodiscard]] TimeIntervals free_intervals(const ResourceAmounts& amounts, Millis duration, Instant from,
                                             Instant to) const;
  [[nodiscard]] ResourceAmounts free(Instant from, Instant to) const;
  void forget_before(Instant when);

 private:
  std::array<UsageVector, kResourceCount> vectors_;
};

struct MachineSpec {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  ResourceAmounts capacity;
  Instant ready_at;                    // before that it can't start anything
  Instant available_until = kForever;  // from then on it is gone
  int priority = 0;                    // the paper's prio of a node: higher is used later
};

// A team's limit; nothing: none.
struct TeamLimit {
  std::optional<MilliUnits> cpus;
  std::optional<MilliUnits> gpus;
};

struct Booking {
  MachineId machine;
  std::string team;
  ResourceAmounts amounts;
  Instant start;
  Instant stop;
};

using BookingId = std::uint64_t;

// A machine as the planner has it, and its use. A pointer to it holds until the machine is removed.
struct PlannedMachine {
  MachineSpec spec;
  ResourceUsage usage;
  std::size_t zone_index = 0;  // the planner's number of info.zone
};

// Where a job may run, and what it has to do there before it runs (image fetch).
struct EligibleMachine {
  const PlannedMachine* machine = nullptr;
  Millis setup_time{};
  bool preferred = false;  // for gangs: taken before all machines that are not, whatever they weigh
};

struct PlacementRequest {
  std::string team;
  ResourceAmounts per_task;  // of one task
  std::uint32_t count = 0;
  Millis duration{};  // estimate
  Instant earliest_start;
  Instant latest_start = kForever;  // starts after it are of no use
  bool is_gang = false;             // a gang: all at the same time or none
  bool one_zone = false;
  std::string required_zone;                           // where the job's other tasks are, when they must share it
  std::optional<std::uint32_t> zone_task_limit;        // of the job's tasks in one zone (spread)
  std::map<std::string, std::uint32_t> tasks_by_zone;  // tasks of the job that have their place already
  ResourceAmounts keep_free;                           // of the fleet, for others (the paper's FreePool)
  std::vector<EligibleMachine> machines;               // in the order of the machines' names
};

struct Placement {
  MachineId machine;
  Instant start;  // of the booking
  Instant stop;
  std::uint32_t count = 0;
};

class Planner {
 public:
  void set_team_limit(const std::string& team, const TeamLimit& limit);

  void set_machine(const MachineSpec& machine);      // new or changed
  void remove_machine(const MachineId& machine_id);  // its bookings must have been revoked
  // Nothing if there is no such machine.
  [[nodiscard]] const PlannedMachine* find_machine(const MachineId& machine_id) const;
  [[nodiscard]] const std::map<MachineId, PlannedMachine>& machines() const { return machines_; }
  [[nodiscard]] const ResourceUsage& fleet() const { return fleet_; }

  // Where and when the tasks could run; fewer than asked when the rest has no slot. Books nothing.
  [[nodiscard]] std::vector<Placement> plan(const PlacementRequest& request) const;

  BookingId book(const Booking& booking);
  void revoke(BookingId id);
  void extend(BookingId id, Instant stop);
  [[nodiscard]] const Booking* find_booking(BookingId id) const;
  [[nodiscard]] std::size_t booking_count() const { return bookings_.size(); }
  void forget_before(Instant when);

 private:
  struct Candidate;
  // What is used of the fleet as a team sees it, for the resources that a task takes (the paper's uRS).
  using UsageView = std::array<std::optional<UsageVector>, kResourceCount>;

  [[nodiscard]] UsageView make_usage_view(const PlacementRequest& request) const;
  [[nodiscard]] double weight(const PlannedMachine& machine) const;
  struct Progress;
  struct Choice {
    Candidate* candidate = nullptr;
    Instant start;
  };
  // The machine on which a task would run soonest; nothing if it can't any more.
  [[nodiscard]] static std::optional<Choice> find_earliest_start(const PlacementRequest& request,
                                                                 std::vector<Candidate>& candidates,
                                                                 const TimeIntervals& free, const Progress& progress);
  // How many of the tasks left start there together; none if the machine or its zone has no room. `use`: of the machine.
  [[nodiscard]] static std::int64_t count_startable_tasks(const PlacementRequest& request, const Choice& choice,
                                                          std::uint32_t remaining, const Progress& progress,
                                                          const ResourceUsage& usage);
  [[nodiscard]] std::vector<Placement> plan_independent_tasks(const PlacementRequest& request,
                                                              std::vector<Candidate> candidates) const;
  [[nodiscard]] std::vector<Placement> plan_gang(const PlacementRequest& request,
                                                 const std::vector<Candidate>& candidates) const;
  [[nodiscard]] static std::vector<Placement> place_gang_at(const PlacementRequest& request, Instant start,
                                                            const std::vector<const Candidate*>& ranked,
                                                            std::vector<std::uint32_t> tasks_in_zone);
  [[nodiscard]] static std::vector<const Candidate*> rank_candidates(const std::vector<Candidate>& candidates);
  [[nodiscard]] static std::vector<Instant> list_possible_starts(const TimeIntervals& free,
                                                                 const std::vector<Candidate>& candidates);
  [[nodiscard]] std::vector<std::size_t> sort_zones_by_name() const;
  // Of the job's tasks, how many each zone has already.
  [[nodiscard]] std::vector<std::uint32_t> count_tasks_by_zone(const PlacementRequest& request) const;
  [[nodiscard]] std::size_t find_or_add_zone(const std::string& zone);

  ResourceUsage fleet_;
  std::map<MachineId, PlannedMachine> machines_;
  std::vector<std::string> zones_;
  std::map<std::string, TeamLimit> team_limits_;
  std::map<std::string, ResourceUsage> usage_by_team_;
  std::unordered_map<BookingId, Booking> bookings_;
  std::map<MachineId, std::vector<BookingId>> bookings_without_machine_;  // booked before their machine was known
  BookingId next_booking_ = 1;
};

}  // namespace foxshunt::plan
