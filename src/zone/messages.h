// The words that siblings exchange about zones, as CBOR. Both directions throw wire::Malformed, naming the field.
#pragma once

#include "wire/value.h"
#include "zone/delegation.h"

namespace foxshunt::zone {

[[nodiscard]] wire::Value to_value(const Ask& ask);
[[nodiscard]] Ask ask_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Grant& grant);
[[nodiscard]] Grant grant_from(const wire::Value& value);

}  // namespace foxshunt::zone
