// A bounded part of what `explore` does: no order within it breaks a rule, and it is the part that it claims to be.
#include "explorer/search.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

namespace foxshunt::explorer {
namespace {

class Explorer : public testing::TestWithParam<std::string> {
 protected:
  Explorer() { spdlog::set_level(spdlog::level::off); }
  ~Explorer() override { spdlog::set_level(spdlog::level::info); }
};

TEST_P(Explorer, NoOrderOfTwoActionsBreaksARule) {
  const Setup& setup = setup_named(GetParam());
  const Outcome outcome = breadth_first(setup, {.depth_most = 2, .states_most = 100'000});
  EXPECT_FALSE(outcome.found) << told(setup, *outcome.found);
  EXPECT_TRUE(outcome.whole);
}

TEST_P(Explorer, NoWalkBreaksARule) {
  const Setup& setup = setup_named(GetParam());
  const WalkOutcome outcome = walk(setup, {.walks = 100, .length = 80, .seed = 1});
  EXPECT_FALSE(outcome.found) << told(setup, *outcome.found);
  EXPECT_EQ(outcome.walks, 100);
}

INSTANTIATE_TEST_SUITE_P(Setups, Explorer, testing::ValuesIn([] {
                           std::vector<std::string> names;
                           for (const Setup& setup : setups()) names.push_back(setup.name);
                           return names;
                         }()),
                         [](const auto& name) { return name.param; });

}  // namespace
}  // namespace foxshunt::explorer
