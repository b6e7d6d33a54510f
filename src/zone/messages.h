// CBOR encoding of the delegation messages between nodes. The decoding functions throw wire::Malformed with the name of
// the invalid field.
#pragma once

#include "wire/value.h"
#include "zone/delegation.h"

namespace foxshunt::zone {

[[nodiscard]] wire::Value to_value(const DelegationRequest& request);
[[nodiscard]] DelegationRequest delegation_request_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const LeaseDelegation& delegation);
[[nodiscard]] LeaseDelegation delegation_from(const wire::Value& value);

}  // namespace foxshunt::zone
