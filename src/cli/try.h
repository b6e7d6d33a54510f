// `foxshunt try`: a first look at foxshunt, on this machine alone.
#pragma once

#include "cli/client.h"

namespace foxshunt::cli {

// Becomes `foxshunt-try`, which stands beside this program when the tests are built. Returns only if it is not there.
[[nodiscard]] Exit try_out(bool keep);

}  // namespace foxshunt::cli
