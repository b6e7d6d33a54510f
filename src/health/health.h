// The node's health check: what GET /up answers. A node that alone has lost the state service is unhealthy, as its siblings
// serve users better. An outage that all nodes share takes none of them out: with every node unhealthy users would find no
// node for up to a minute after it, as the balancer's pauses grow with each removal. Pure: the time is passed in.
#pragma once

#include <map>
#include <optional>

#include "plan/usage_vector.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::health {

using plan::Instant;
using plan::Millis;

// A node's contact with the state service as of when it is told. Spans, as nodes have no common clock.
struct StoreContact {
  Millis silent{};  // since the state service last answered
  Millis steady{};  // for which it answered without a break before that; counts on until the next one
  friend bool operator==(const StoreContact&, const StoreContact&) = default;
};

enum class Verdict {
  served,   // the state service answered lately
  shared,   // it is silent, and not less so to the siblings
  unheard,  // it is silent, and no sibling says how it fares
  alone,    // it is silent here and serves a sibling
  cut_off,  // it and every sibling have been silent for long
};
[[nodiscard]] constexpr bool is_healthy(Verdict verdict) { return verdict < Verdict::alone; }
[[nodiscard]] const char* name_of(Verdict verdict);

// Not thread-safe: whoever shares it between threads guards it by a mutex.
class HealthCheck {
 public:
  // `siblings`: how many other nodes there are to hear from.
  HealthCheck(Instant started_at, std::size_t siblings) : started_at_(started_at), siblings_(siblings) {}

  // The state service has answered.
  void on_store_response(Instant at);
  // What a sibling answered to a question sent at `asked_at`; nothing: its program does not tell.
  void on_peer_contact(const NodeName& sibling, const std::optional<StoreContact>& contact, Instant asked_at);

  [[nodiscard]] Verdict assess(Instant at) const;
  [[nodiscard]] StoreContact store_contact(Instant at) const;
  [[nodiscard]] Millis store_silence(Instant at) const;  // since the start, if it was never heard

 private:
  struct PeerContact {
    StoreContact contact;
    Instant asked_at;
  };

  Instant started_at_;
  std::size_t siblings_;
  std::optional<Instant> last_response_;           // when the state service last answered
  Instant responding_since_{};                     // since then without a break; with heard_
  std::map<NodeName, PeerContact> peer_contacts_;  // the last of each sibling
};

// What is told of it beside other things: `state_silent_ms` and `state_steady_ms`. Throws Malformed; nothing when the
// value has no such fields.
void write_contact(wire::Value::Map& map, const StoreContact& contact);
[[nodiscard]] std::optional<StoreContact> contact_from(const wire::Value& value);

}  // namespace foxshunt::health
