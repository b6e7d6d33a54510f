// The health check of a node, which decides the answer to GET /up. A node is unhealthy if it has lost the state service
// while a sibling still reaches it, because the sibling serves users better. An outage that all nodes share makes none
// of them unhealthy: if all were, users would find no node for up to a minute after the outage, because the load
// balancer's pauses grow with each removal. The check does no I/O and reads no clock: callers pass the time in.
#pragma once

#include <map>
#include <optional>

#include "plan/usage_vector.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::health {

using plan::Instant;
using plan::Millis;

// A node's contact with the state service at the moment of the message that carries it. Both values are durations,
// because the nodes have no common clock.
struct StoreContact {
  Millis silent{};  // since the last answer of the state service
  Millis steady{};  // length of the unbroken run of answers that ended with the last one
  friend bool operator==(const StoreContact&, const StoreContact&) = default;
};

enum class Verdict {
  served,   // the state service has answered recently
  shared,   // the state service is silent, and no sibling is known to reach it
  unheard,  // the state service is silent, and no sibling has told its contact recently
  alone,    // the state service is silent here but answers a sibling
  cut_off,  // as unheard, for at least kIsolationTimeout, and the node has siblings
};
// Whether GET /up succeeds. Relies on the order of the enumerators: `alone` and all after it are unhealthy.
[[nodiscard]] constexpr bool is_healthy(Verdict verdict) { return verdict < Verdict::alone; }
[[nodiscard]] const char* name_of(Verdict verdict);

// Combines the answers of the state service with what siblings tell about theirs. Not thread-safe: threads that share
// one need a mutex.
class HealthCheck {
 public:
  // `siblings` is the number of other nodes.
  HealthCheck(Instant started_at, std::size_t siblings) : started_at_(started_at), siblings_(siblings) {}

  // Records an answer of the state service.
  void on_store_response(Instant at);
  // Records a sibling's answer to a request sent at `asked_at`. `contact` is nullopt if the sibling runs a release that
  // does not send it.
  void on_peer_contact(const NodeName& sibling, const std::optional<StoreContact>& contact, Instant asked_at);

  [[nodiscard]] Verdict assess(Instant at) const;
  [[nodiscard]] StoreContact store_contact(Instant at) const;
  // Time since the last answer of the state service, or since the start of the process if there was none.
  [[nodiscard]] Millis store_silence(Instant at) const;

 private:
  struct PeerContact {
    StoreContact contact;
    Instant asked_at;
  };

  Instant started_at_;
  std::size_t siblings_;
  std::optional<Instant> last_response_;  // when the state service last answered
  Instant responding_since_{};            // start of the unbroken run of answers; valid if last_response_ is set
  std::map<NodeName, PeerContact> peer_contacts_;  // the latest contact of each sibling
};

// Add and read the fields `state_silent_ms` and `state_steady_ms` of a message that also has other fields.
// contact_from() returns nullopt if `state_silent_ms` is missing, and throws wire::Malformed if a field is not a valid
// count.
void write_contact(wire::Value::Map& map, const StoreContact& contact);
[[nodiscard]] std::optional<StoreContact> contact_from(const wire::Value& value);

}  // namespace foxshunt::health
