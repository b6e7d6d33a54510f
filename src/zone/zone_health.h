// Whether zones are there, as the leader sees them: twenty machines that fall silent together are one event, and what
// follows from it is decided for the zone. Pure.
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

// whole: as usual. doubtful: many of its machines fell silent at once. cut: nobody in it is heard, though its tasks may
// run on. lost: nothing can run there any more. returning: heard again, not yet trusted.
enum class ZoneState : std::uint8_t { whole, doubtful, cut, lost, returning };
[[nodiscard]] std::string_view name_of(ZoneState state);

// What a look at the machines of a zone found.
struct ZoneObservation {
  std::size_t heard = 0;                 // machines that report
  std::size_t silent = 0;                // that should, and may run tasks
  std::size_t ended = 0;                 // that should, and whose leases have certainly ended
  std::size_t tasks = 0;                 // placed on those that are silent
  bool own = false;                      // the zone of the node that looks
  bool sibling = false;                  // another controller stands there
  std::optional<Millis> sibling_silent;  // since it was last heard of; nothing if it never was
  friend bool operator==(const ZoneObservation&, const ZoneObservation&) = default;
};

struct ZoneChange {
  std::string zone;
  ZoneState from;
  ZoneState to;
  ZoneObservation seen;
};

class ZoneHealthMonitor {
 public:
  // Takes a look at all zones in which there are machines or controllers; what changed by it.
  std::vector<ZoneChange> update(const std::map<std::string, ZoneObservation>& zones, Instant now);

  [[nodiscard]] ZoneState state_of(const std::string& zone) const;
  // Whether machines may be rented there, and those that boot are counted on.
  [[nodiscard]] bool is_healthy(const std::string& zone) const { return state_of(zone) == ZoneState::whole; }
  // Whether a machine of it that reports may get new work.
  [[nodiscard]] bool accepts_tasks(const std::string& zone) const { return state_of(zone) != ZoneState::returning; }
  // Whether work there is to be made room for elsewhere. A zone that comes and goes is left at most once in a settling time.
  [[nodiscard]] bool should_evacuate(const std::string& zone) const;
  // Whether its silent machines are kept for its return rather than given back.
  [[nodiscard]] bool retains_silent_machines(const std::string& zone, Instant now) const;

  struct Standing {
    ZoneState state = ZoneState::whole;
    Instant since;
    Millis settle_interval{};  // how long it will be watched when it returns
    bool evacuating = false;
    ZoneObservation seen;
  };
  [[nodiscard]] const std::map<std::string, Standing>& standings() const { return zones_; }

 private:
  static ZoneState next_state(const Standing& zone, const ZoneObservation& seen, Instant now);
  static void shorten_settling_if_steady(Standing& zone, Instant now);
  void move_to(ZoneState to, const std::string& name, Standing& zone, Instant now);

  std::map<std::string, Standing> zones_;
  std::map<std::string, Instant> evacuated_at_;  // when its work was last made room for elsewhere
};

}  // namespace foxshunt::zone
