// The health of zones as the leader sees it. When many machines of a zone fall silent together, that is one event, and
// the reaction is decided for the zone as a whole. No I/O and no clock: callers pass the time in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plan/usage_vector.h"

namespace foxshunt::zone {

using plan::Instant;
using plan::Millis;

// whole: healthy. doubtful: many machines of the zone fell silent at once. cut: nothing in the zone is heard, but its
// tasks may still run. lost: no task can run there any more. returning: heard again, but still in its settling
// interval.
enum class ZoneState : std::uint8_t { whole, doubtful, cut, lost, returning };
[[nodiscard]] std::string_view name_of(ZoneState state);

// One observation of the machines and controllers of a zone.
struct ZoneObservation {
  std::size_t heard = 0;                 // machines that send heartbeats
  std::size_t silent = 0;                // machines with overdue heartbeats that may still run tasks
  std::size_t ended = 0;                 // machines with overdue heartbeats whose leases have certainly ended
  std::size_t tasks = 0;                 // tasks placed on the silent machines
  bool own = false;                      // the zone of the observing node
  bool sibling = false;                  // another controller runs in the zone
  std::optional<Millis> sibling_silent;  // time since that controller was last heard; nullopt if never
  friend bool operator==(const ZoneObservation&, const ZoneObservation&) = default;
};

// A state transition of a zone, with the observation that caused it.
struct ZoneChange {
  std::string zone;
  ZoneState from;
  ZoneState to;
  ZoneObservation seen;
};

// Tracks the state of every zone over successive observations.
class ZoneHealthMonitor {
 public:
  // Applies one observation of every zone that has machines or controllers. Returns the state transitions.
  std::vector<ZoneChange> update(const std::map<std::string, ZoneObservation>& zones, Instant now);

  // `whole` for an unknown zone.
  [[nodiscard]] ZoneState state_of(const std::string& zone) const;
  // Whether machines may be rented in the zone, and booting machines count as future capacity.
  [[nodiscard]] bool is_healthy(const std::string& zone) const { return state_of(zone) == ZoneState::whole; }
  // Whether machines of the zone that send heartbeats may get new tasks.
  [[nodiscard]] bool accepts_tasks(const std::string& zone) const { return state_of(zone) != ZoneState::returning; }
  // Whether capacity for the zone's tasks is needed in other zones. A flapping zone is evacuated at most once per
  // settling interval.
  [[nodiscard]] bool should_evacuate(const std::string& zone) const;
  // Whether silent machines of the zone are kept for its return instead of being returned to the cloud.
  [[nodiscard]] bool retains_silent_machines(const std::string& zone, Instant now) const;

  // State of one zone.
  struct Standing {
    ZoneState state = ZoneState::whole;
    Instant since;
    Millis settle_interval{};  // how long the zone stays `returning` before it can become `whole`
    bool evacuating = false;
    ZoneObservation seen;
  };
  [[nodiscard]] const std::map<std::string, Standing>& standings() const { return zones_; }

 private:
  static ZoneState next_state(const Standing& zone, const ZoneObservation& seen, Instant now);
  static void shorten_settling_if_steady(Standing& zone, Instant now);
  void move_to(ZoneState to, const std::string& name, Standing& zone, Instant now);

  std::map<std::string, Standing> zones_;
  std::map<std::string, Instant> evacuated_at_;  // start of the last evacuation of each zone
};

}  // namespace foxshunt::zone
