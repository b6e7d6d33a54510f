// Searches over the orders of a model: breadth first, with states that were seen before cut off, and random walks; and the
// shortest order that still breaks the rule.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "explorer/model.h"

namespace foxshunt::explorer {

struct Limits {
  std::size_t depth_most = 5;
  std::size_t states_most = 100'000;  // a bound on memory and time: some 40 KB each while they wait
};

struct Found {
  std::string breach;
  std::vector<Action> order;  // after the setup's beginning
};

struct Outcome {
  std::size_t states = 0;  // different ones
  std::size_t steps = 0;   // actions that were played
  std::size_t depth = 0;   // up to which all orders were played, or at which the breach was found
  bool whole = false;      // not cut short by states_most
  std::optional<Found> found;
};

[[nodiscard]] Outcome breadth_first(const Setup& setup, const Limits& limits);

struct WalkLimits {
  std::size_t walks = 100;
  std::size_t length = 60;
  std::uint32_t seed = 1;  // of the first; the next has the next
};
struct WalkOutcome {
  std::size_t walks = 0;
  std::size_t steps = 0;
  std::size_t starts = 0;  // of tasks
  std::uint32_t seed = 0;  // of the walk that found it
  std::optional<Found> found;
};
[[nodiscard]] WalkOutcome walk(const Setup& setup, const WalkLimits& limits);

// What breaks when the order is played; nothing if nothing does.
[[nodiscard]] std::optional<std::string> play(const Setup& setup, const std::vector<Action>& order);
// The same rule is broken by what is left, and by nothing that lacks one more action.
[[nodiscard]] Found shrink(const Setup& setup, const Found& found);
[[nodiscard]] std::string told(const Setup& setup, const Found& found);

}  // namespace foxshunt::explorer
