// The machine inventory: the machines that this leader has heard of by reports, lists, rentals and records, what is known of
// each, and which were returned. What becomes of a machine the controller decides. Pure: the time is passed in; not thread-safe.
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

// What only a sibling's word says of a machine that has not reported to this leader: plans may count on it, no more.
enum class PeerHint : std::uint8_t { none, booting, up };

// The tasks that are placed on a machine and not proved gone. Only the job table changes it, together with the runs
// themselves, so that the two can't part.
class MachineAllocations {
 public:
  [[nodiscard]] auto begin() const { return keys_.begin(); }
  [[nodiscard]] auto end() const { return keys_.end(); }
  [[nodiscard]] bool empty() const { return keys_.empty(); }
  [[nodiscard]] std::size_t size() const { return keys_.size(); }
  [[nodiscard]] bool contains(const TaskKey& key) const { return keys_.contains(key); }
  // For those that prove runs gone while they look at them.
  [[nodiscard]] std::set<TaskKey> copy() const { return keys_; }

 private:
  friend class jobs::JobTable;
  void insert(const TaskKey& key) { keys_.insert(key); }
  void erase(const TaskKey& key) { keys_.erase(key); }

  std::set<TaskKey> keys_;
};

// What the cloud's lists say of a machine.
struct CloudListing {
  bool running = false;  // the newest list says that it has booted
  bool failed = false;
  Instant last;
};

struct Machine {
  MachineId id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Instant since;              // rented or first heard of
  Instant ready;              // while booting: when it is expected
  bool has_reported = false;  // to this leader
  PeerHint peer_hint = PeerHint::none;
  bool has_seen_term = false;  // its worker has seen our term: only we can renew its lease
  AgentIncarnation incarnation;
  std::uint64_t sequence = 0;
  Instant last_heartbeat;
  bool expired = false;  // its last known session has certainly ended
  MachineAllocations allocations;
  bool stopping = false;           // some of them may have to be stopped
  bool has_unknown_tasks = false;  // its newest report has tasks that we didn't place there
  std::set<std::string> images;
  int errors = 0;
  std::optional<Instant> idle_since;
  Instant first_seen;  // first heard of by this leader
  CloudListing listed;
  std::string release_reason;                 // it is drained or returned
  const plan::PlanNode* plan_node = nullptr;  // of the planner, once its type is known

  // Empty while only a sibling's word tells it: what grants and placements may not be wrong about is not taken from that.
  [[nodiscard]] std::string confirmed_zone() const { return peer_hint == PeerHint::none ? zone : std::string(); }
};

// MachineTimeouts that what is known of machines hangs on, by the settings' figures.
struct MachineTimeouts {
  Millis lease{};    // a worker's lease certainly ends within it
  Millis silence{};  // one that has reported is a suspect when it was not heard for so long
  Millis reroute{};  // a worker that can't reach the leader, or does not know it yet, is heard by then
};

using MachineKind = std::tuple<std::string, std::string, bool>;  // type, zone, spot

class MachineInventory {
 public:
  MachineInventory() = default;
  explicit MachineInventory(const MachineTimeouts& timeouts) : timeouts_(timeouts) {}

  // ---- who is known ----
  struct FindOrAddResult {
    Machine& machine;
    bool is_new;  // heard of for the first time
  };
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

  // ---- words of it ----
  // Whether the report teaches anything: one of a machine whose return was confirmed, or that is not newer than the last
  // that was taken, was held up on its way.
  [[nodiscard]] bool should_accept(const wire::Heartbeat& heartbeat) const;
  // Takes a report that is news. True when the machine was not known to be up until now.
  bool apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, Term term, Instant now);
  // Whether the report is the newest that was taken.
  [[nodiscard]] bool is_latest(const wire::Heartbeat& heartbeat) const;
  // Takes an entry of the cloud's list; nothing when it is of an old list. `boot`: how long its type takes.
  std::optional<FindOrAddResult> apply_listing(const wire::ListedMachine& entry, Millis boot, Instant now);
  // The cloud has confirmed that it was returned: an old list or report may still show it.
  void on_scaled_in(const MachineId& id) { returned_ids_.insert(id); }
  [[nodiscard]] bool is_returned(const MachineId& id) const { return returned_ids_.contains(id); }
  // Never one that something may run on: false, and then it stays.
  bool remove(const MachineId& id);

  // ---- questions ----
  [[nodiscard]] bool is_silent(const Machine& machine, Instant now) const;
  // Whether it can take work, as far as it is known itself: suspects get none before they are lost.
  [[nodiscard]] bool can_accept_tasks(const Machine& machine, Instant now) const;
  // Up to when its tasks may run on, if nothing more is heard of it: nobody can renew its lease for longer.
  // `older_leaders_until`: older leaders may renew leases until then; `delegated_until`: the same of who holds a grant.
  [[nodiscard]] Instant lease_end(const Machine& machine, Instant older_leaders_until, Instant delegated_until) const;
  // The same, but sooner known.
  [[nodiscard]] bool is_lease_expired(const Machine& machine, Instant older_leaders_until, Instant delegated_until,
                                      Instant now) const;
  // How many have reported and whose lease may not have ended, if none of them was heard within the detour's span.
  [[nodiscard]] std::size_t count_if_all_unheard(Instant now) const;
  [[nodiscard]] std::map<MachineKind, std::size_t> count_by_kind() const;

 private:
  MachineTimeouts timeouts_;
  std::map<MachineId, Machine> machines_;
  std::set<MachineId> returned_ids_;  // returned
};

}  // namespace foxshunt::inventory
