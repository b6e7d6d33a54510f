// Timeouts that are derived from the deploy file's settings.
#pragma once

#include "config/constants.h"
#include "config/settings.h"
#include "plan/usage_vector.h"
#include "zone/delegation.h"

namespace foxshunt::control {

// Rounds up to whole milliseconds.
inline plan::Millis from_seconds(double seconds) {
  return std::chrono::ceil<plan::Millis>(std::chrono::duration<double>(seconds));
}

inline double to_seconds(plan::Millis span) { return std::chrono::duration<double>(span).count(); }

// The time by this node's clock after which an agent's lease has certainly ended: `lease_s` with allowance for clock
// drift and for an agent that notices the expiry late.
inline plan::Millis agent_lease_timeout(const config::Settings& settings) {
  return from_seconds(settings.lease_s * (1 + 2 * constants::kClockDrift)) + constants::kExpiryMargin;
}

// How long a leader may go on renewing agents' leases after the last moment up to which it knows all changes of the
// records. All leases have then ended `cancel_s` after that moment.
inline plan::Millis fencing_timeout(const config::Settings& settings) {
  const double span_s = (settings.cancel_s - settings.lease_s) * (1 - 2 * constants::kClockDrift);
  return std::max(plan::Millis(0), from_seconds(span_s) - constants::kFenceMargin);
}

// A machine that has reported before is suspected to have failed when no heartbeat of it arrives for this time.
inline plan::Millis heartbeat_silence_timeout(const config::Settings& settings) {
  return std::max(from_seconds(settings.heartbeat_interval_s * 2.5), from_seconds(settings.heartbeat_interval_s + 2));
}

// The time within which an agent that cannot reach the leader, or does not know it yet, is heard through another node.
inline plan::Millis heartbeat_reroute_timeout(const config::Settings& settings) {
  return constants::kHeartbeatTimeout + constants::kRelayDetectionWindow +
         from_seconds(settings.heartbeat_interval_s * 1.25);
}

// A list of the cloud describes a time no earlier than this before the list was requested.
inline plan::Millis max_cloud_list_delay(const config::Settings& settings) {
  return from_seconds(settings.cloud_list_delay_s * constants::kMaxCloudListDelayFactor) +
         constants::kCloudListDelayMargin;
}

// A delegation of the right to renew a zone's agent leases lasts for the fencing timeout by the holder's clock. The
// leader counts it as longer, because the two clocks may drift apart meanwhile.
inline zone::DelegationTimeouts delegation_spans(const config::Settings& settings) {
  const plan::Millis delegation = fencing_timeout(settings);
  return {.delegation = delegation,
          .bound =
              delegation + std::chrono::ceil<plan::Millis>(delegation * (4 * constants::kClockDrift)) + plan::Millis(1),
          .lease = agent_lease_timeout(settings)};
}

}  // namespace foxshunt::control
