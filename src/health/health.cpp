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

void HealthCheck::on_state(Instant at) {
  if (!heard_ || at - *heard_ >= constants::kPeerSilenceTimeout) steady_since_ = at;
  heard_ = std::max(at, heard_.value_or(at));
}

void HealthCheck::on_contact(const NodeName& sibling, const std::optional<StateContact>& contact, Instant asked) {
  if (contact) contacts_.insert_or_assign(sibling, Heard{.contact = *contact, .asked = asked});
}

Millis HealthCheck::silent_for(Instant at) const { return std::max(Millis(0), at - heard_.value_or(began_)); }

StateContact HealthCheck::contact(Instant at) const {
  return {.silent = silent_for(at), .steady = heard_ ? *heard_ - steady_since_ : Millis(0)};
}

Verdict HealthCheck::assess(Instant at) const {
  const Millis silent = silent_for(at);
  if (silent < constants::kStoreSilenceTimeout) return Verdict::served;
  bool any = false;
  for (const auto& [unused, heard] : contacts_) {
    const Millis age = at - heard.asked;
    if (age >= constants::kPeerStatusTtl) continue;
    any = true;
    // One that is served again only since a moment ago may just be the first to notice that an outage is over.
    if (heard.contact.silent + age < constants::kPeerSilenceTimeout &&
        heard.contact.steady >= constants::kPeerServedInterval) {
      return Verdict::alone;
    }
  }
  if (any) return Verdict::shared;
  return siblings_ > 0 && silent >= constants::kIsolationTimeout ? Verdict::cut_off : Verdict::unheard;
}

void write_contact(wire::Value::Map& map, const StateContact& contact) {
  map.emplace_back("state_silent_ms", static_cast<std::uint64_t>(contact.silent.count()));
  map.emplace_back("state_steady_ms", static_cast<std::uint64_t>(contact.steady.count()));
}

std::optional<StateContact> contact_from(const wire::Value& value) {
  if (value["state_silent_ms"].is_null()) return std::nullopt;
  const auto span = [&](const char* field) {
    const auto most = static_cast<std::uint64_t>(constants::kUnboundedWait.count());  // so that sums stay small
    return Millis(static_cast<std::int64_t>(std::min(value.count(field), most)));
  };
  return StateContact{.silent = span("state_silent_ms"), .steady = span("state_steady_ms")};
}

}  // namespace foxshunt::health
