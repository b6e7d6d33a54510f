#include "health/health.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::health {

const char* name_of(Verdict verdict) {
  switch (verdict) {
    case Verdict::served: return "served";
    case Verdict::shared: return "shared";
    case Verdict::unheard: return "unheard";
    case Verdict::alone: return "alone";
    case Verdict::cut_off: return "cut_off";
  }
  return "";
}

void HealthCheck::on_store_response(Instant at) {
  if (!last_response_ || at - *last_response_ >= constants::kPeerSilenceTimeout) responding_since_ = at;
  last_response_ = std::max(at, last_response_.value_or(at));
}

void HealthCheck::on_peer_contact(const NodeName& sibling, const std::optional<StoreContact>& contact,
                                  Instant asked_at) {
  if (contact) peer_contacts_.insert_or_assign(sibling, PeerContact{.contact = *contact, .asked_at = asked_at});
}

Millis HealthCheck::store_silence(Instant at) const {
  return std::max(Millis(0), at - last_response_.value_or(started_at_));
}

StoreContact HealthCheck::store_contact(Instant at) const {
  return {.silent = store_silence(at), .steady = last_response_ ? *last_response_ - responding_since_ : Millis(0)};
}

Verdict HealthCheck::assess(Instant at) const {
  const Millis silent = store_silence(at);
  if (silent < constants::kStoreSilenceTimeout) return Verdict::served;
  bool has_recent_contact = false;
  for (const auto& [unused, peer] : peer_contacts_) {
    const Millis age = at - peer.asked_at;
    if (age >= constants::kPeerStatusTtl) continue;
    has_recent_contact = true;
    // A sibling whose contact has only just resumed may be the first node to notice the end of a shared outage.
    if (peer.contact.silent + age < constants::kPeerSilenceTimeout &&
        peer.contact.steady >= constants::kPeerServedInterval) {
      return Verdict::alone;
    }
  }
  if (has_recent_contact) return Verdict::shared;
  return siblings_ > 0 && silent >= constants::kIsolationTimeout ? Verdict::cut_off : Verdict::unheard;
}

void write_contact(wire::Value::Map& map, const StoreContact& contact) {
  map.emplace_back("state_silent_ms", static_cast<std::uint64_t>(contact.silent.count()));
  map.emplace_back("state_steady_ms", static_cast<std::uint64_t>(contact.steady.count()));
}

std::optional<StoreContact> contact_from(const wire::Value& value) {
  if (value["state_silent_ms"].is_null()) return std::nullopt;
  const auto span = [&](const char* field) {
    const auto max_ms =
        static_cast<std::uint64_t>(constants::kUnboundedWait.count());  // prevents overflow in sums of durations
    return Millis(static_cast<std::int64_t>(std::min(value.count(field), max_ms)));
  };
  return StoreContact{.silent = span("state_silent_ms"), .steady = span("state_steady_ms")};
}

}  // namespace foxshunt::health
