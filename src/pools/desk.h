// What stands between the pools and the leader's mind: the controller asks it before it places, returns and rents, and tells
// it what became of that. Pure. With no pools it says yes to everything and remembers nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "accounts/account.h"
#include "catalog/model.h"
#include "pools/cache.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::pools {

using Millis = std::chrono::milliseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Millis>;

// ---- what the keeper says ----

struct PoolOrder {
  catalog::PoolDef pool;
  bool filling = false;  // machines of it are yet to come
};

struct PoolDirectives {
  std::vector<PoolOrder> pools;  // none: there is nothing to steer
  std::map<MachineId, std::size_t> members;
  std::map<MachineId, std::vector<CachedImage>> holds;
  std::vector<wire::ScaleOutRequest> asks;  // of records: may be sent, again and again, until they are answered
};

// ---- what the controller says ----

struct MachineObservation {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool leaving = false;  // it is drained, returned or has failed
  bool spare = false;    // it is up and nothing is placed or booked on it
  accounts::MachineUse use = accounts::MachineUse::idle;
  std::string team;                   // of the work that the use is about
  std::vector<std::size_t> users_of;  // pools whose users' work is on it
  std::vector<CachedImage> images;    // if any of them is a pool's; newest first
};

struct RentAnswer {
  wire::ScaleOutRequest request;
  std::vector<MachineId> machines;  // fewer than asked: the cloud had no more
};

struct FleetObservation {
  std::vector<MachineObservation> machines;
  std::set<MachineId> gone;   // of the pools' machines, those whose return was confirmed
  bool settled = false;       // what is not among `machines` is not there
  bool can_scale_out = true;  // by the operators' settings
  std::vector<RentAnswer> answers;
  std::map<std::string, accounts::StartCounts> starts;  // by pool, since the last sighting
  std::vector<wire::MachineType> types;
  std::set<std::string> left_zones;  // where nothing is rented
};

class PoolAdmission {
 public:
  // ---- the keeper's side ----
  void take(PoolDirectives directives);
  [[nodiscard]] bool on() const { return !directives_.pools.empty(); }
  // The answers stay until the keeper no longer asks; starts are handed over once.
  [[nodiscard]] const std::vector<RentAnswer>& answers() const { return answers_; }
  [[nodiscard]] std::map<std::string, accounts::StartCounts> take_starts();
  // Fills in what the machine is used for; `spec` is of a task on it.
  void look(MachineObservation& observation, const wire::JobSpec& spec) const;
  [[nodiscard]] bool of_interest(const Cache& cache) const;
  [[nodiscard]] const std::map<MachineId, std::size_t>& members() const { return directives_.members; }

  // ---- the controller's side ----
  // A new lead begins: what is believed of caches is what the records say.
  void become_leader(Instant now);
  // Whether it has lasted for long enough that each machine there is was listed or heard.
  [[nodiscard]] bool settled(Instant now) const;
  // The first word of a machine, with what is believed to be there already; what it holds from then on. Nothing when its
  // cache is known, or there are no pools.
  [[nodiscard]] std::optional<std::set<std::string>> first_seen(const MachineId& machine, double cache_gb,
                                                                const std::set<std::string>& images);
  [[nodiscard]] const Cache* cache(const MachineId& machine) const;
  void forget(const MachineId& machine) { caches_.erase(machine); }
  // A task has its image there; what had to go for it.
  std::vector<std::string> used(const MachineId& machine, const wire::JobSpec& spec);
  // It is fetched there, so it was not there.
  void was_missing(const MachineId& machine, const std::string& image);

  // Whether an idle machine is held.
  [[nodiscard]] bool keeps(const MachineId& machine) const { return directives_.members.contains(machine); }
  // Whether a task may be placed on it, as far as pools go. `stuck`: none of the job's tasks runs, for so long.
  [[nodiscard]] bool allows(const wire::JobSpec& spec, Millis estimate, Millis stuck, const MachineId& machine) const;
  // The pool that the job's tasks are to warm, one to a machine that lacks the image, while that is of use.
  [[nodiscard]] std::optional<std::size_t> warms(const wire::JobSpec& spec, Millis waited) const;
  [[nodiscard]] bool lacks(std::size_t pool, const MachineId& machine, const std::string& image) const;
  // Of two machines without the image, a pool's that wants it is better.
  [[nodiscard]] bool wants(const MachineId& machine, const std::string& image) const;

  [[nodiscard]] std::optional<wire::ScaleOutRequest> next_request() const;
  [[nodiscard]] bool asks(const wire::ScaleOutRequest& request) const;
  void answered(const wire::ScaleOutRequest& request, const std::vector<MachineId>& machines);

  void placed(const TaskKey& task, const wire::JobSpec& spec, bool found);
  void began(const TaskKey& task, const wire::JobSpec& spec, Millis wait);
  void ended(const TaskKey& task) { placed_.erase(task); }

 private:
  [[nodiscard]] bool uses(std::size_t pool, const wire::JobSpec& spec) const;
  [[nodiscard]] const std::vector<std::size_t>* pools_of(const std::string& image) const;

  PoolDirectives directives_;
  Instant led_since_;
  std::unordered_map<std::string, std::vector<std::size_t>> by_image_;
  std::map<MachineId, Cache> caches_;
  std::vector<RentAnswer> answers_;
  std::map<TaskKey, bool> placed_;  // of pools' users, whether the image was believed to be there
  std::map<std::string, accounts::StartCounts> starts_;
};

}  // namespace foxshunt::pools
