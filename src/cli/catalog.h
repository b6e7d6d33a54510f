// Operators' side of the catalog: apply, get, export, history.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cli/client.h"

namespace foxshunt::cli {

struct ApplyOptions {
  std::string to;
  std::string file;                   // empty with `back`
  std::optional<std::uint64_t> back;  // a former set instead of a file: that many before the one in force
  std::string author;                 // empty: the user's name
  bool dry_run = false;
};

// Judges the file here and at the node, prints the difference, and puts the set in force. Exit::usage for a file that is
// no good, Exit::failed for a set that lost against another or whose outcome is not known; which of the two is said.
[[nodiscard]] Exit apply(const ApplyOptions& given);
// Kind: class, calendar or pool. Without a name all of the kind, one a line.
[[nodiscard]] Exit get(const std::string& to, const std::string& kind, const std::string& name, bool as_json);
// The set in force as a file that `apply` takes.
[[nodiscard]] Exit export_set(const std::string& to, bool as_json);
[[nodiscard]] Exit history(const std::string& to, bool as_json);

}  // namespace foxshunt::cli
