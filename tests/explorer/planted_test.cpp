// The explorer is worth something only if it finds faults: with a guard taken out it has to find an order that breaks a rule,
// and one that still does when played again, and does not once the guard stands. In a build with FOXSHUNT_SEAMS only.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "config/guards.h"
#include "explorer/search.h"

namespace foxshunt::explorer {
namespace {

struct Planted {
  std::string guard;
  std::string setup;
  std::size_t depth = 0;  // breadth first; 0: by walks
};

class Finds : public testing::TestWithParam<Planted> {
 protected:
  Finds() { spdlog::set_level(spdlog::level::off); }
  ~Finds() override {
    guards::take_out(std::nullopt);
    spdlog::set_level(spdlog::level::info);
  }
};

TEST_P(Finds, ThePlantedFault) {
  const Planted& planted = GetParam();
  const explorer::Setup& setup = setup_named(planted.setup);
  const auto guard = guards::guard_named(planted.guard);
  ASSERT_TRUE(guard);
  guards::take_out(guard);
  const auto found = planted.depth > 0
                         ? breadth_first(setup, {.depth_most = planted.depth, .states_most = 200'000}).found
                         : walk(setup, {.walks = 4000, .length = 100, .seed = 1}).found;
  ASSERT_TRUE(found);
  const Found least = shrink(setup, *found);
  EXPECT_LE(least.order.size(), found->order.size());
  EXPECT_TRUE(play(setup, least.order));
  guards::take_out(std::nullopt);
  EXPECT_FALSE(play(setup, least.order)) << told(setup, least);
}

INSTANTIATE_TEST_SUITE_P(Guards, Finds,
                         testing::Values(Planted{.guard = "fence", .setup = "one", .depth = 3},
                                         Planted{.guard = "fence-reading", .setup = "one", .depth = 3},
                                         Planted{.guard = "accept-once", .setup = "one", .depth = 1},
                                         Planted{.guard = "lease-last-report", .setup = "two", .depth = 3},
                                         Planted{.guard = "lease-older-leaders", .setup = "two", .depth = 3},
                                         Planted{.guard = "lease-grants", .setup = "zones", .depth = 3},
                                         Planted{.guard = "others-counted", .setup = "two", .depth = 3},
                                         Planted{.guard = "grant-counted", .setup = "zones", .depth = 3},
                                         Planted{.guard = "holder-clock", .setup = "zones", .depth = 4},
                                         Planted{.guard = "write-job", .setup = "fresh"},
                                         Planted{.guard = "report-order", .setup = "two"},
                                         Planted{.guard = "start-durable", .setup = "limit"}),
                         [](const auto& planted) {
                           std::string name = planted.param.guard;
                           std::ranges::replace(name, '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace foxshunt::explorer
