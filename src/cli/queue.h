// The order of waiting jobs, for operators.
#pragma once

#include <string>

#include "cli/client.h"

namespace foxshunt::cli {

struct QueueOptions {
  std::string to;
  std::string class_name;  // empty: all
  std::string team;        // empty: all
  std::size_t from = 1;    // place
  bool as_json = false;
};

// Any node answers; equal revisions and steps give equal digests.
[[nodiscard]] Exit queue(const QueueOptions& options);

}  // namespace foxshunt::cli
