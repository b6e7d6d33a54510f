// Durations that follow from the deploy file.
#pragma once

#include "config/constants.h"
#include "config/settings.h"
#include "plan/usage_vector.h"
#include "zone/delegation.h"

namespace foxshunt::control {

inline plan::Millis from_seconds(double seconds) {
  return std::chrono::ceil<plan::Millis>(std::chrono::duration<double>(seconds));
}

inline double to_seconds(plan::Millis span) { return std::chrono::duration<double>(span).count(); }

// How long a worker's lease certainly lasts at most, by this node's clock.
inline plan::Millis lease_span(const config::Settings& settings) {
  return from_seconds(settings.lease_s * (1 + 2 * constants::kClockDrift)) + constants::kExpiryMargin;
}

// How long after the last moment whose changes it knows a leader may go on renewing workers' leases, so that
// all of them have ended `cancel_s` after that moment.
inline plan::Millis fence_span(const config::Settings& settings) {
  const double span_s = (settings.cancel_s - settings.lease_s) * (1 - 2 * constants::kClockDrift);
  return std::max(plan::Millis(0), from_seconds(span_s) - constants::kFenceMargin);
}

// A machine that has reported is a suspect when it was not heard for so long.
inline plan::Millis silence_span(const config::Settings& settings) {
  return std::max(from_seconds(settings.heartbeat_interval_s * 2.5), from_seconds(settings.heartbeat_interval_s + 2));
}

// A worker that can't reach the leader, or does not know it yet, is heard through another node within it.
inline plan::Millis detour_span(const config::Settings& settings) {
  return constants::kHeartbeatTimeout + constants::kRelayDetectionWindow +
         from_seconds(settings.heartbeat_interval_s * 1.25);
}

// A grant to answer a zone's workers lasts as long as the fence would. The giver's clock may run slow meanwhile, and the
// holder's fast: by that much it counts it as longer.
inline zone::DelegationTimeouts delegation_spans(const config::Settings& settings) {
  const plan::Millis delegation = fence_span(settings);
  return {.delegation = delegation,
          .bound =
              delegation + std::chrono::ceil<plan::Millis>(delegation * (4 * constants::kClockDrift)) + plan::Millis(1),
          .lease = lease_span(settings)};
}

}  // namespace foxshunt::control
