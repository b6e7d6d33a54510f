// A bounded part of what `explore` does: no order within it breaks a rule, and it is the part that it claims to be.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <ostream>

#include "explorer/search.h"

namespace foxshunt::explorer {
namespace {

struct Part {
  std::string setup;
  std::size_t states = 0;  // that orders of three actions come to; a model that does less has fewer
  std::size_t starts = 0;  // of tasks in the walks
};

void PrintTo(const Part& part, std::ostream* out) { *out << part.setup; }

class Explorer : public testing::TestWithParam<Part> {
 protected:
  Explorer() { spdlog::set_level(spdlog::level::off); }
  ~Explorer() override { spdlog::set_level(spdlog::level::info); }
};

TEST_P(Explorer, NoOrderOfThreeActionsBreaksARule) {
  const explorer::Setup& setup = setup_named(GetParam().setup);
  const Outcome outcome = breadth_first(setup, {.depth_most = 3, .states_most = 100'000});
  EXPECT_FALSE(outcome.found) << told(setup, *outcome.found);
  EXPECT_TRUE(outcome.whole);
  EXPECT_GE(outcome.states, GetParam().states);
}

TEST_P(Explorer, NoWalkBreaksARule) {
  const explorer::Setup& setup = setup_named(GetParam().setup);
  const WalkOutcome outcome = walk(setup, {.walks = 500, .length = 100, .seed = 1});
  EXPECT_FALSE(outcome.found) << told(setup, *outcome.found);
  EXPECT_EQ(outcome.walks, 500U);
  EXPECT_GE(outcome.starts, GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(Setups, Explorer,
                         testing::Values(Part{.setup = "one", .states = 12337, .starts = 970},
                                         Part{.setup = "fresh", .states = 3088, .starts = 625},
                                         Part{.setup = "two", .states = 8135, .starts = 997},
                                         Part{.setup = "start", .states = 3890, .starts = 590},
                                         Part{.setup = "ends", .states = 4603, .starts = 507},
                                         Part{.setup = "limit", .states = 7006, .starts = 1160},
                                         Part{.setup = "spread", .states = 999, .starts = 997},
                                         Part{.setup = "gang", .states = 14790, .starts = 1336},
                                         Part{.setup = "zones", .states = 7344, .starts = 1011},
                                         Part{.setup = "three", .states = 11787, .starts = 1107}),
                         [](const auto& part) { return part.param.setup; });

}  // namespace
}  // namespace foxshunt::explorer
