#include "explorer/search.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <unordered_set>

namespace foxshunt::explorer {

namespace {

std::string rule_of(const std::string& breach) { return breach.substr(0, breach.find(':')); }

bool lasts(Kind kind) {
  return kind == Kind::freeze || kind == Kind::refuse || kind == Kind::stall || kind == Kind::outage ||
         kind == Kind::part || kind == Kind::cut || kind == Kind::hang || kind == Kind::deaf;
}

// How often a walk chooses the kind, against others: time has to pass, and troubles to strike, but not all at once.
double weight(const Action& action, const std::set<Action>& struck) {
  if (struck.contains(action)) return 5;  // its end
  switch (action.kind) {
    case Kind::pass: return action.a < 2 ? 12 : action.a < 4 ? 5 : 2;
    case Kind::turn: return 0.5;
    case Kind::stall: return 0.3;
    case Kind::heartbeat: return 1;
    case Kind::submit: return 0.8;
    case Kind::cancel: return 0.25;
    case Kind::ask: return 0.5;
    case Kind::crash: return 0.5;
    case Kind::arrive: return 5;
    case Kind::capture: return 0.3;
    case Kind::freeze:
    case Kind::refuse: return 0.8;
    default: return 0.5;
  }
}

}  // namespace

Outcome breadth_first(const Setup& setup, const Limits& limits) {
  struct Step {
    std::size_t parent = 0;
    Action action;
  };
  struct Waiting {
    std::size_t number = 0;
    std::unique_ptr<Model> model;
  };
  Outcome outcome;
  std::vector<Step> steps(1);  // how each state was first reached
  std::unordered_set<std::size_t> seen;
  std::deque<Waiting> level;
  level.push_back({0, std::make_unique<Model>(setup)});
  seen.insert(std::hash<std::string>{}(level.front().model->digest()));
  const auto order_to = [&](std::size_t number) {
    std::vector<Action> order;
    for (; number != 0; number = steps[number].parent) order.push_back(steps[number].action);
    std::ranges::reverse(order);
    return order;
  };
  while (!level.empty() && outcome.depth < limits.depth_most) {
    std::deque<Waiting> next;
    const bool last = outcome.depth + 1 == limits.depth_most;
    for (; !level.empty(); level.pop_front()) {
      const Waiting& from = level.front();
      for (const Action& action : from.model->choices(false)) {
        auto model = std::make_unique<Model>(*from.model);
        ++outcome.steps;
        if (!model->apply(action)) continue;
        const auto breach = model->breach();
        if (!breach && !seen.insert(std::hash<std::string>{}(model->digest())).second) continue;
        steps.push_back({from.number, action});
        outcome.states = seen.size();
        if (breach) {
          ++outcome.depth;
          outcome.found = Found{*breach, order_to(steps.size() - 1)};
          return outcome;
        }
        if (!last) next.push_back({steps.size() - 1, std::move(model)});
        if (seen.size() >= limits.states_most) return outcome;
      }
    }
    level = std::move(next);
    ++outcome.depth;
  }
  outcome.whole = true;
  return outcome;
}

WalkOutcome walk(const Setup& setup, const WalkLimits& limits) {
  WalkOutcome outcome;
  for (std::uint32_t seed = limits.seed; seed != limits.seed + limits.walks; ++seed) {
    std::mt19937 random(seed);
    Model model(setup);
    std::vector<Action> order;
    std::set<Action> struck;  // that last until they are chosen again
    ++outcome.walks;
    for (std::size_t step = 0; step < limits.length; ++step) {
      const std::vector<Action> choices = model.choices(true);
      std::vector<double> weights;
      weights.reserve(choices.size());
      for (const Action& action : choices) weights.push_back(weight(action, struck));
      const Action& action = choices[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
      order.push_back(action);
      if (lasts(action.kind) && struck.erase(action) == 0) struck.insert(action);
      ++outcome.steps;
      (void)model.apply(action);
      if (const auto breach = model.breach()) {
        outcome.seed = seed;
        outcome.found = Found{*breach, order};
        return outcome;
      }
    }
    outcome.starts += model.starts();
  }
  return outcome;
}

std::optional<std::string> play(const Setup& setup, const std::vector<Action>& order) {
  Model model(setup);
  for (const Action& action : order) {
    (void)model.apply(action);
    if (auto breach = model.breach()) return breach;
  }
  return std::nullopt;
}

Found shrink(const Setup& setup, const Found& found) {
  Found least = found;
  const auto still = [&](const std::vector<Action>& order) {
    const auto breach = play(setup, order);
    if (!breach || rule_of(*breach) != rule_of(found.breach)) return false;
    least = {*breach, order};
    return true;
  };
  for (std::size_t size = std::max<std::size_t>(1, least.order.size() / 2); size > 0;) {
    bool shorter = false;
    for (std::size_t at = 0; at + size <= least.order.size();) {
      std::vector<Action> order = least.order;
      order.erase(order.begin() + static_cast<std::ptrdiff_t>(at),
                  order.begin() + static_cast<std::ptrdiff_t>(at + size));
      if (still(order)) {
        shorter = true;
      } else {
        ++at;
      }
    }
    if (!shorter) size /= 2;
  }
  return least;
}

std::string told(const Setup& setup, const Found& found) {
  std::string text = "setup " + setup.name + ": " + found.breach + "\n";
  for (const Action& action : setup.begins) text += "  (" + explorer::text(action) + ")\n";
  for (const Action& action : found.order) text += "  " + explorer::text(action) + "\n";
  return text;
}

}  // namespace foxshunt::explorer
