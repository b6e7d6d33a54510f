// The words that siblings exchange about zones, as CBOR. Both directions throw wire::Malformed, naming the field.
#pragma once

#include "wire/value.h"
#include "zone/delegation.h"

namespace foxshunt::zone {

[[nodiscard]] wire::Value to_value(const DelegationRequest& request);
[[nodiscard]] DelegationRequest delegation_request_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const LeaseDelegation& delegation);
[[nodiscard]] LeaseDelegation delegation_from(const wire::Value& value);

}  // namespace foxshunt::zone
