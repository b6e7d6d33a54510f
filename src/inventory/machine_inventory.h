// The machine inventory: every machine that this leader knows from heartbeats, cloud listings, rentals or stored
// records, the state of each, and the ids of machines that were returned to the cloud. The controller decides when to
// drain or return a machine. The inventory does no I/O and reads no clock: callers pass the time in. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "plan/planner.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::jobs {
class JobTable;
}

namespace foxshunt::inventory {

using plan::Instant;
using plan::Millis;

enum class MachineState : std::uint8_t { booting, up, draining, returning };

// State of a machine as told by another scheduler node, for a machine that has not reported to this leader yet.
// Planning may use it; placements, leases and zone grants may not.
enum class PeerHint : std::uint8_t { none, booting, up };

// The tasks that are placed on a machine and not confirmed terminated. Only the job table modifies this set, in the
// same call that changes the task's allocation, so that the two stay consistent.
class MachineAllocations {
 public:
  [[nodiscard]] auto begin() const { return keys_.begin(); }
  [[nodiscard]] auto end() const { return keys_.end(); }
  [[nodiscard]] bool empty() const { return keys_.empty(); }
  [[nodiscard]] std::size_t size() const { return keys_.size(); }
  [[nodiscard]] bool contains(const TaskKey& key) const { return keys_.contains(key); }
  // A snapshot for callers that confirm terminations while they iterate.
  [[nodiscard]] std::set<TaskKey> copy() const { return keys_; }

 private:
  friend class jobs::JobTable;
  void insert(const TaskKey& key) { keys_.insert(key); }
  void erase(const TaskKey& key) { keys_.erase(key); }

  std::set<TaskKey> keys_;
};

// The start commands of the latest answers to an agent, of which a copy may still be carried out. The agent ignores a
// repeated start only until the ended task is cleared.
class SentStarts {
 public:
  // Records that an answer made at `now` starts the task.
  void add(const TaskKey& task, AttemptNumber attempt, Instant now);
  // Whether a copy of the start may still reach the agent.
  [[nodiscard]] bool may_be_repeated(const TaskKey& task, AttemptNumber attempt, Instant now) const;
  // Drops the starts that can't be repeated any more.
  void drop_expired(Instant now);

 private:
  std::map<std::pair<TaskKey, AttemptNumber>, Instant> repeated_until_;
};

// State of a machine according to the cloud provider's machine lists.
struct CloudListing {
  bool running = false;  // the latest list shows the machine as booted
  bool failed = false;
  bool deleted = false;  // a list that describes a time after the machine's creation does not contain it
  Instant last;          // when a list last contained the machine; initially when it was added
  Instant created_by;    // the machine was created at this time or before
};

// A start that the machine's agent refused because too few resources were free. The agent has the last word on that,
// whatever this leader counts.
struct RefusedStart {
  plan::ResourceAmounts amounts;  // of the refused task
  Instant until;                  // until then, no task that needs as much is placed on the machine
};

struct Machine {
  MachineId id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Instant since;              // rental time, or when the machine was first known
  Instant ready;              // while booting: the expected end of the boot
  bool has_reported = false;  // a heartbeat has reached this leader
  PeerHint peer_hint = PeerHint::none;
  bool has_seen_term = false;  // its worker has seen this leader's term: no older leader can renew its lease
  AgentIncarnation incarnation;
  std::uint64_t sequence = 0;
  Instant last_heartbeat;
  bool expired = false;  // the lease of the worker's last known session has certainly ended
  MachineAllocations allocations;
  bool stopping = false;                      // some of the allocations may have to be stopped
  bool has_unknown_tasks = false;             // the latest heartbeat lists tasks that this leader did not place there
  SentStarts sent_starts;                     // by this leader; the agent refuses copies of an older leader's
  std::optional<RefusedStart> refused_start;  // the latest one, until a task ends there
  std::set<std::string> images;
  int errors = 0;
  std::optional<Instant> idle_since;
  Instant first_seen;  // when this leader added the machine
  CloudListing listed;
  std::string release_reason;                       // why the machine is drained or returned
  const plan::PlannedMachine* plan_node = nullptr;  // the planner's node; null until the machine type is known

  // The zone, or an empty string while it is known only from a peer hint. Zone grants and placements need the true
  // zone, and a hint may be wrong.
  [[nodiscard]] std::string confirmed_zone() const { return peer_hint == PeerHint::none ? zone : std::string(); }
  // Whether the agent has lately refused a task that needed no more than `amounts`.
  [[nodiscard]] bool would_refuse(const plan::ResourceAmounts& amounts, Instant now) const {
    return refused_start && now < refused_start->until && refused_start->amounts.fits_in(amounts);
  }
};

// Timeouts that decide whether a machine counts as silent and when its lease has ended. Derived from the settings.
struct MachineTimeouts {
  Millis lease{};    // a worker's lease ends no later than this after its last renewal
  Millis silence{};  // a machine that has reported counts as silent after this time without a heartbeat
  Millis reroute{};  // within this time a worker reaches the leader by another route or finds a new leader
};

using MachineKind = std::tuple<std::string, std::string, bool>;  // type, zone, spot

class MachineInventory {
 public:
  MachineInventory() = default;
  explicit MachineInventory(const MachineTimeouts& timeouts) : timeouts_(timeouts) {}

  // ---- Lookup ----
  struct FindOrAddResult {
    Machine& machine;
    bool is_new;  // added by this call
  };
  // Returns the machine, and adds it as booting when it is not known yet.
  FindOrAddResult find_or_add(const MachineId& id, Instant now);
  [[nodiscard]] auto begin() { return machines_.begin(); }
  [[nodiscard]] auto end() { return machines_.end(); }
  [[nodiscard]] auto begin() const { return machines_.begin(); }
  [[nodiscard]] auto end() const { return machines_.end(); }
  [[nodiscard]] auto find(const MachineId& id) { return machines_.find(id); }
  [[nodiscard]] auto find(const MachineId& id) const { return machines_.find(id); }
  [[nodiscard]] Machine& at(const MachineId& id) { return machines_.at(id); }
  [[nodiscard]] const Machine& at(const MachineId& id) const { return machines_.at(id); }
  [[nodiscard]] bool contains(const MachineId& id) const { return machines_.contains(id); }
  [[nodiscard]] const std::map<MachineId, Machine>& all() const { return machines_; }

  // ---- Updates ----
  // False for a delayed heartbeat: the machine's return has been confirmed, or the heartbeat is not newer than the last
  // applied one.
  [[nodiscard]] bool should_accept(const wire::Heartbeat& heartbeat) const;
  // Applies a heartbeat for which should_accept() is true. `term` is the term of this leader. Returns true when the
  // machine was booting until now.
  static bool apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, Term term, Instant now);
  // Whether the heartbeat is the last one that was applied for its machine.
  [[nodiscard]] bool is_latest(const wire::Heartbeat& heartbeat) const;
  // Applies an entry of a cloud listing. Returns nullopt for a machine whose return has been confirmed: the list is
  // outdated. `boot` is the boot duration of the machine type.
  std::optional<FindOrAddResult> apply_listing(const wire::ListedMachine& entry, Millis boot, Instant now);
  // Marks the machines that a complete listing proves to be deleted: it does not contain them, and describes a time no
  // earlier than `as_of`, when they had been created. A later heartbeat or list entry takes the mark back.
  void mark_deleted(const std::vector<wire::ListedMachine>& listing, Instant as_of);
  // Records that the cloud has confirmed the return of the machine. Later heartbeats and list entries for it are
  // outdated and are rejected.
  void on_scaled_in(const MachineId& id) { returned_ids_.insert(id); }
  [[nodiscard]] bool is_returned(const MachineId& id) const { return returned_ids_.contains(id); }
  // Removes the machine. Returns false, and keeps the machine, while tasks are allocated to it. Returns true for an
  // unknown machine.
  bool remove(const MachineId& id);

  // ---- Queries ----
  // Whether heartbeats are overdue: for `silence` since the last one, or for `reroute` since the machine was added if
  // it has not reported to this leader yet.
  [[nodiscard]] bool is_silent(const Machine& machine, Instant now) const;
  // Whether the state of the machine itself allows new tasks; zones and settings are checked elsewhere. Silent machines
  // get no tasks even before they are declared lost.
  [[nodiscard]] bool can_accept_tasks(const Machine& machine, Instant now) const;
  // The latest time until which tasks on the machine may keep running if no further heartbeat arrives.
  // `older_leaders_until`: until when leaders of earlier terms may renew leases. `delegated_until`: until when the
  // holder of a grant for the machine's zone may renew them.
  [[nodiscard]] Instant lease_end(const Machine& machine, Instant older_leaders_until, Instant delegated_until) const;
  // Whether lease_end() has passed. First compares with the lease that the last heartbeat renewed, which needs no
  // computation of lease_end().
  [[nodiscard]] bool is_lease_expired(const Machine& machine, Instant older_leaders_until, Instant delegated_until,
                                      Instant now) const;
  // The number of machines that have reported and whose lease may still be valid, if none of them has sent a heartbeat
  // within `reroute`; otherwise 0.
  [[nodiscard]] std::size_t count_if_all_unheard(Instant now) const;
  // The number of machines of each kind, without those that the cloud lists as failed.
  [[nodiscard]] std::map<MachineKind, std::size_t> count_by_kind() const;

 private:
  MachineTimeouts timeouts_;
  std::map<MachineId, Machine> machines_;
  std::set<MachineId> returned_ids_;  // machines whose return the cloud has confirmed
};

}  // namespace foxshunt::inventory
