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

inline constexpr std::size_t kResources = 3;

// CPUs, GPUs and memory, in thousandths.
struct Amounts {
  std::array<Items, kResources> of{};

  static Amounts from(double cpus, double gpus, double ram_gb);
  Amounts& operator+=(const Amounts& other);
  Amounts& operator-=(const Amounts& other);
  [[nodiscard]] Amounts times(std::int64_t count) const;
  [[nodiscard]] bool fits(const Amounts& room) const;
  // How many of these fit the room.
  [[nodiscard]] std::int64_t count_in(const Amounts& room) const;
  friend bool operator==(const Amounts&, const Amounts&) = default;
};

// [start, stop)
struct Span {
  Instant start;
  Instant stop;
  friend bool operator==(const Span&, const Span&) = default;
};
using Spans = std::vector<Span>;

// One UsageVector a resource (the paper's sRS, nRS and usdRS).
class ResourceSet {
 public:
  ResourceSet() = default;
  explicit ResourceSet(const Amounts& capacity);

  void set_capacity(const Amounts& capacity);
  [[nodiscard]] Amounts capacity() const;
  void book(const Amounts& amounts, Instant start, Instant stop);
  void revoke(const Amounts& amounts, Instant start, Instant stop);
  [[nodiscard]] const UsageVector& of(std::size_t resource) const { return vectors_[resource]; }
  UsageVector& of(std::size_t resource) { return vectors_[resource]; }
  // Intervals in which the amounts are free for the duration (the intersection over the resources).
  [[nodiscard]] Spans free_spans(const Amounts& amounts, Millis duration, Instant from, Instant to) const;
  [[nodiscard]] Amounts free(Instant from, Instant to) const;
  void forget_before(Instant when);

 private:
  std::array<UsageVector, kResources> vectors_;
};

struct PlanMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  Amounts capacity;
  Instant ready;             // before that it can't start anything
  Instant until = kForever;  // from then on it is gone
  int priority = 0;          // the paper's prio of a node: higher is used later
};

// A team's limit; nothing: none.
struct TeamLimit {
  std::optional<Items> cpus;
  std::optional<Items> gpus;
};

struct Booking {
  MachineId machine;
  std::string team;
  Amounts amounts;
  Instant start;
  Instant stop;
};

using BookingId = std::uint64_t;

// A machine as the planner has it, and its use. A pointer to it holds until the machine is removed.
struct PlanNode {
  PlanMachine info;
  ResourceSet use;
  std::size_t zone = 0;  // the planner's number of info.zone
};

// Where a job may run, and what it has to do there before it runs (image fetch).
struct Place {
  const PlanNode* node = nullptr;
  Millis before{};
  bool preferred = false;  // for gangs: taken before all machines that are not, whatever they weigh
};

struct Request {
  std::string team;
  Amounts each;  // of one task
  std::uint32_t count = 0;
  Millis duration{};  // estimate
  Instant from;
  Instant to = kForever;  // starts after it are of no use
  bool together = false;  // a gang: all at the same time or none
  bool one_zone = false;
  std::string zone_bound;                           // where the job's other tasks are, when they must share it
  std::optional<std::uint32_t> zone_most;           // of the job's tasks in one zone (spread)
  std::map<std::string, std::uint32_t> zone_taken;  // tasks of the job that have their place already
  Amounts keep_free;                                // of the fleet, for others (the paper's FreePool)
  std::vector<Place> places;                        // in the order of the machines' names
};

struct Placing {
  MachineId machine;
  Instant start;  // of the booking
  Instant stop;
  std::uint32_t count = 0;
};

class Planner {
 public:
  void set_team(const std::string& team, const TeamLimit& limit);

  void set_machine(const PlanMachine& machine);   // new or changed
  void remove_machine(const MachineId& machine);  // its bookings must have been revoked
  // Nothing if there is no such machine.
  [[nodiscard]] const PlanNode* node(const MachineId& machine) const;
  [[nodiscard]] const std::map<MachineId, PlanNode>& nodes() const { return nodes_; }
  [[nodiscard]] const ResourceSet& fleet() const { return fleet_; }

  // Where and when the tasks could run; fewer than asked when the rest has no slot. Books nothing.
  [[nodiscard]] std::vector<Placing> plan(const Request& request) const;

  BookingId book(const Booking& booking);
  void revoke(BookingId id);
  void extend(BookingId id, Instant stop);
  [[nodiscard]] const Booking* booking(BookingId id) const;
  [[nodiscard]] std::size_t bookings() const { return bookings_.size(); }
  void forget_before(Instant when);

 private:
  struct Candidate;
  // What is used of the fleet as a team sees it, for the resources that a task takes (the paper's uRS).
  using View = std::array<std::optional<UsageVector>, kResources>;

  [[nodiscard]] View view_of(const Request& request) const;
  [[nodiscard]] double weight(const PlanNode& node) const;
  struct Progress;
  struct Choice {
    Candidate* candidate = nullptr;
    Instant start;
  };
  // The machine on which a task would run soonest; nothing if it can't any more.
  [[nodiscard]] static std::optional<Choice> earliest_start(const Request& request, std::vector<Candidate>& candidates,
                                                            const Spans& free, const Progress& progress);
  // How many of the tasks left start there together; none if the machine or its zone has no room. `use`: of the machine.
  [[nodiscard]] static std::int64_t tasks_at(const Request& request, const Choice& choice, std::uint32_t left,
                                             const Progress& progress, const ResourceSet& use);
  [[nodiscard]] std::vector<Placing> plan_apart(const Request& request, std::vector<Candidate> candidates) const;
  [[nodiscard]] std::vector<Placing> plan_together(const Request& request,
                                                   const std::vector<Candidate>& candidates) const;
  [[nodiscard]] static std::vector<Placing> map_at(const Request& request, Instant start,
                                                   const std::vector<const Candidate*>& ranked,
                                                   std::vector<std::uint32_t> in_zone);
  [[nodiscard]] static std::vector<const Candidate*> rank(const std::vector<Candidate>& candidates);
  [[nodiscard]] static std::vector<Instant> possible_starts(const Spans& free,
                                                            const std::vector<Candidate>& candidates);
  [[nodiscard]] std::vector<std::size_t> zones_by_name() const;
  // Of the job's tasks, how many each zone has already.
  [[nodiscard]] std::vector<std::uint32_t> taken_by_zone(const Request& request) const;
  [[nodiscard]] std::size_t zone_number(const std::string& zone);

  ResourceSet fleet_;
  std::map<MachineId, PlanNode> nodes_;
  std::vector<std::string> zones_;
  std::map<std::string, TeamLimit> limits_;
  std::map<std::string, ResourceSet> teams_;
  std::unordered_map<BookingId, Booking> bookings_;
  std::map<MachineId, std::vector<BookingId>> homeless_;  // booked before their machine was known
  BookingId next_booking_ = 1;
};

}  // namespace foxshunt::plan
