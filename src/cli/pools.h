// Warm pools and their accounts, for operators.
#pragma once

#include <string>

#include "cli/client.h"

namespace foxshunt::cli {

// Each pool: wanted, held, warm, used, lent, why it is less, and what it costs. Any node answers.
[[nodiscard]] Exit pools(const std::string& to, bool as_json);
// What each pool cost by day, team and use, and what it saved.
[[nodiscard]] Exit accounts(const std::string& to, bool as_json, bool as_csv);

}  // namespace foxshunt::cli
