// What a controller holds of the leader's soft state, and how its last takeover went.
#pragma once

#include <string>

#include "cli/client.h"

namespace foxshunt::cli {

[[nodiscard]] Exit standby(const std::string& to, bool as_json);

}  // namespace foxshunt::cli
