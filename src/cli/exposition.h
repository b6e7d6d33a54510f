// A node's counters in Prometheus' text exposition. Made by the command line: the node's memory does not pay for it.
#pragma once

#include <string>

#include "wire/value.h"

namespace foxshunt::cli {

// `counters` is the map of GET /counters. Each figure is a metric `foxshunt_<name>` with the label `node`: yes is 1, no is
// 0, and what is told in words is a label `is` of a metric that is 1. Throws wire::Malformed if it is no map.
[[nodiscard]] std::string exposition(const wire::Value& counters);

}  // namespace foxshunt::cli
