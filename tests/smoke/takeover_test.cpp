// How a node comes to lead, against the stand-in of the state service over HTTP.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "node/leader_elector.h"
#include "standins/http_world.h"

namespace foxshunt::smoke {
namespace {

// A day's records may take longer to read than the lease lasts: it is renewed between any two pages.
TEST(Smoke, ATakeoverRenewsItsLeaseBetweenPages) {
  standins::HttpState state(2);
  constexpr std::size_t kJobs = 5;
  for (std::size_t i = 0; i < kJobs; ++i) {
    wire::JobSpec spec;
    spec.id = JobId("j-00000" + std::to_string(i));
    spec.job_class = "work";
    spec.team = "red";
    spec.tasks = 1;
    spec.cpus = 1;
    spec.image = "img";
    spec.estimate_s = 5;
    state.put(state::active_job_key(spec.id), state::to_value(state::new_job(spec, 0)));
  }
  config::Settings settings;
  settings.name = NodeName("node-0");
  settings.state = state.address().text();
  settings.cloud = "127.0.0.1:1";
  settings.state_rps = 1000;
  settings.state_write_rps = 1000;
  settings.teams = {{.name = "red", .cpus = 8, .cpus_max = 16, .gpus = 0, .gpus_max = 0}};
  node::Context context(settings);
  node::LeaderElector duty(context);
  const std::jthread thread([&](const std::stop_token& stop) { duty.run(stop); });
  ASSERT_TRUE(context.wait_until_leader({}));
  {
    const std::lock_guard lock(context.control_state.mutex.handle(node::LockPriority::metrics));
    EXPECT_EQ(context.control_state.controller.jobs().size(), kJobs);
  }
  const std::vector<std::string> asked = state.asked();
  const auto list = [](const std::string& what) { return what.starts_with("list "); };
  auto at = std::ranges::find_if(asked, list);
  EXPECT_EQ(std::ranges::count(asked, "list live/"), 3);
  for (std::size_t pages = 1; pages < 5; ++pages) {
    ASSERT_NE(at, asked.end());
    const auto next = std::find_if(at + 1, asked.end(), list);
    ASSERT_NE(next, asked.end());
    EXPECT_EQ(std::count_if(at, next, [](const std::string& what) { return what.ends_with("/touch"); }), 1);
    at = next;
  }
}

// The answer to a take-over is lost, and the record says that this node leads in the term it asked for: an earlier life
// took it just before it ended. Its lease is renewed by nobody, so that another node will lead soon.
TEST(Smoke, AnEarlierLifesTakeoverIsNotItsOwn) {
  standins::HttpState state;
  std::atomic<bool> lost{false};
  state.set_between([&](const net::HttpRequest& request, const net::HttpServer::Handler& stand_in) {
    if (request.path != "/txn" || lost.exchange(true)) return stand_in(request);
    const kv::Txn earlier = state::acquire_leadership_txn({}, NodeName("node-0"), kv::LeaseId{999}, 0);
    for (const kv::Change& change : earlier.changes) state.put(change.key, *change.data);
    return net::HttpResponse{.status = 500, .body = {}, .retry_after_s = {}};
  });
  config::Settings settings;
  settings.name = NodeName("node-0");
  settings.state = state.address().text();
  settings.cloud = "127.0.0.1:1";
  settings.state_rps = 1000;
  settings.state_write_rps = 1000;
  node::Context context(settings);
  node::LeaderElector duty(context);
  const std::jthread thread([&](const std::stop_token& stop) { duty.run(stop); });
  ASSERT_TRUE(context.wait_until_leader({}));
  const std::lock_guard lock(context.control_state.mutex.handle(node::LockPriority::metrics));
  EXPECT_EQ(context.control_state.controller.term(), Term(2));
}

}  // namespace
}  // namespace foxshunt::smoke
