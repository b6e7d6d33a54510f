// Catalog files: reads and judges what an operator wrote, and prints a set so that reading it gives the same.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/model.h"

namespace foxshunt::catalog {

// What a file is judged against. A client knows nothing of a deployment; a node knows its settings.
struct Known {
  using Names = std::optional<std::set<std::string>>;  // nothing: not known, any is taken
  Names teams;
  Names zones;
  Names types;
  std::size_t record_bytes_most = 0;                  // of the state service's values; 0: not known
  std::function<bool(const std::string&)> time_zone;  // whether there is one of that name; empty: not known
};

struct Fault {
  std::size_t line = 0;  // from 1
  std::string element;   // such as class "lock forecast", or takes
  std::string reason;
  friend bool operator==(const Fault&, const Fault&) = default;
};

struct Reading {
  Set set;                    // content alone, sorted; of use only without faults
  std::vector<Fault> faults;  // by line, at most kMaxCatalogFaults
  bool more_faults = false;
};

[[nodiscard]] Reading read_xml(const std::string& text, const Known& known);
[[nodiscard]] std::string write_xml(const Set& set);
// FILE:LINE: ELEMENT: REASON
[[nodiscard]] std::string text_of(const std::string& file, const Fault& fault);

// 1 to kMaxCatalogName letters, digits, spaces and - _ . ; no space at either end or beside another.
[[nodiscard]] bool is_name(std::string_view text);

}  // namespace foxshunt::catalog
