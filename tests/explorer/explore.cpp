// Explores orders for as long as it is told, and prints the shortest one that breaks a rule.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "config/guards.h"
#include "explorer/search.h"

namespace foxshunt::explorer {
namespace {

bool explore(const Setup& setup, const Limits& limits, const WalkLimits& walks) {
  const auto began = std::chrono::steady_clock::now();
  const auto lap = [&] { return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(); };
  const auto tell = [&](const Found& found) {
    std::printf("%s", told(setup, shrink(setup, found)).c_str());
    std::fflush(stdout);
  };
  if (limits.depth_most > 0) {
    const Outcome outcome = breadth_first(setup, limits);
    std::printf("%s: breadth first: %s depth %zu%s, %zu states, %zu steps, %.1f s\n", setup.name.c_str(),
                outcome.found ? "BREACH at" : "no breach to", outcome.depth,
                outcome.found || outcome.whole ? "" : " (the next one in part)", outcome.states, outcome.steps, lap());
    std::fflush(stdout);
    if (outcome.found) return tell(*outcome.found), true;
  }
  if (walks.walks > 0) {
    const WalkOutcome outcome = walk(setup, walks);
    std::printf("%s: walks: %s, %zu walks, %zu steps, %zu starts, %.1f s\n", setup.name.c_str(),
                outcome.found ? ("BREACH with seed " + std::to_string(outcome.seed)).c_str() : "no breach",
                outcome.walks, outcome.steps, outcome.starts, lap());
    std::fflush(stdout);
    if (outcome.found) return tell(*outcome.found), true;
  }
  return false;
}

}  // namespace
}  // namespace foxshunt::explorer

int main(int argc, char** argv) {
  using namespace foxshunt;
  CLI::App app("Explores orders of messages, duties and troubles");
  std::vector<std::string> names;
  std::string without;
  explorer::Limits limits;
  explorer::WalkLimits walks;
  bool all = false;
  app.add_option("--setup", names, "one or several; all if there is none");
  app.add_option("--without", without, "a guard that is taken out; in a build with FOXSHUNT_SEAMS");
  app.add_option("--depth", limits.depth_most, "breadth first; 0: not at all");
  app.add_option("--states", limits.states_most);
  app.add_option("--walks", walks.walks);
  app.add_option("--length", walks.length);
  app.add_option("--seed", walks.seed, "of the first walk");
  app.add_flag("--all", all, "go on after a breach");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  if (!without.empty()) {
#ifdef FOXSHUNT_SEAMS
    const auto guard = guards::guard_named(without);
    if (!guard) return std::fprintf(stderr, "no such guard: %s\n", without.c_str()), 2;
    guards::take_out(*guard);
#else
    return std::fprintf(stderr, "--without needs a build with FOXSHUNT_SEAMS\n"), 2;
#endif
  }
  bool breach = false;
  for (const explorer::Setup& setup : explorer::setups()) {
    if (!names.empty() && std::ranges::find(names, setup.name) == names.end()) continue;
    breach = explorer::explore(setup, limits, walks) || breach;
    if (breach && !all) break;
  }
  return breach ? 1 : 0;
}
