// Controllers that are killed and back within a fraction of a second, in the middle of what they do.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <ostream>
#include <thread>

#include "smoke/processes.h"
#include "state/keys.h"
#include "state/leadership_records.h"
#include "wire/messages.h"

namespace foxshunt::smoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string log_of(const Cluster& cluster, std::size_t node) {
  std::ifstream log(cluster.folder() / ("node-" + std::to_string(node) + ".log"));
  return {std::istreambuf_iterator<char>(log), {}};
}

// An earlier life may hold the port for a moment longer.
TEST(Restart, APortThatIsStillHeldIsWaitedFor) {
  Cluster cluster(1);
  net::Socket holder = net::listen_on(cluster.address(0));
  cluster.start(0);
  for (int tries = 0; tries < 6000 && log_of(cluster, 0).find("can't be had yet") == std::string::npos; ++tries) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  holder.close();
  EXPECT_TRUE(cluster.wait_until_up(0));
}

// One request of a kind, held up before or after it was carried out until it is let go.
class Moment {
 public:
  using Kind = std::function<bool(const net::HttpRequest&)>;

  void await(Kind kind, bool carried_out) {
    const std::lock_guard lock(mutex_);
    kind_ = std::move(kind);
    carried_out_ = carried_out;
    reached_ = gone_ = false;
  }
  [[nodiscard]] bool reached(seconds most = seconds(60)) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, most, [this] { return reached_; });
  }
  void let_go() {
    const std::lock_guard lock(mutex_);
    kind_ = nullptr;
    gone_ = true;
    changed_.notify_all();
  }
  net::HttpResponse pass(const net::HttpRequest& request, const net::HttpServer::Handler& stand_in) {
    bool meant = false;
    bool carried_out = false;
    {
      const std::lock_guard lock(mutex_);
      meant = kind_ && kind_(request);
      if (meant) kind_ = nullptr;
      carried_out = carried_out_;
    }
    if (!meant) return stand_in(request);
    net::HttpResponse answer;
    if (carried_out) answer = stand_in(request);
    {
      std::unique_lock lock(mutex_);
      reached_ = true;
      changed_.notify_all();
      changed_.wait_for(lock, seconds(60), [this] { return gone_; });
    }
    return carried_out ? answer : stand_in(request);  // late, when its sender has ended
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  Kind kind_;
  bool carried_out_ = false;
  bool reached_ = false;
  bool gone_ = true;
};

net::HttpResponse post_until_taken(const Cluster& cluster, const wire::JobSpec& spec) {
  const net::HttpRequest request{
      .method = "POST", .path = "/api/jobs", .body = wire::encode(wire::to_value(spec)), .query = {}};
  for (int tries = 0; tries < 600; ++tries) {
    for (std::size_t node = 0; node < 3; ++node) {
      net::HttpClient client(cluster.address(node), milliseconds(500));
      const auto answer = client.call(request, net::Clock::now() + seconds(3));
      if (answer && (answer->status == 200 || answer->status == 201)) return *answer;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return {.status = 0, .body = {}, .retry_after_s = {}};
}

enum class Held { failover, reading, write, rental };

struct Where {
  const char* name;
  Held held;
  bool shared_records;
  std::size_t from = 0;  // rounds: the leader carried out and late, all nodes carried out and late
  std::size_t to = 4;
};

void PrintTo(const Where& where, std::ostream* out) { *out << where.name; }

class QuickRestarts : public ::testing::TestWithParam<Where> {
 protected:
  QuickRestarts() {
    cluster_.set_operators(std::string("<foxshunt><zone-grants>true</zone-grants><shared-records>") +
                           (GetParam().shared_records ? "true" : "false") + "</shared-records></foxshunt>");
    const auto between = [this](const net::HttpRequest& request, const net::HttpServer::Handler& stand_in) {
      return moment_.pass(request, stand_in);
    };
    cluster_.state().set_between(between);
    cluster_.cloud().set_between(between);
  }
  void TearDown() override { moment_.let_go(); }

  static Moment::Kind kind_of(Held held, const JobId& job) {
    switch (held) {
      case Held::failover:
        return [](const net::HttpRequest& request) {
          return request.path == "/txn" && request.body.find(state::kLeaderKey) != std::string::npos;
        };
      case Held::reading:
        return [](const net::HttpRequest& request) {
          return request.path == "/kv" && request.query.at("starts") == state::kJobShardPrefix;
        };
      case Held::write:  // the job's placement
        return [key = state::active_job_key(job)](const net::HttpRequest& request) {
          return request.path == "/txn" && request.body.find(state::kTermKey) != std::string::npos &&
                 request.body.find(key) != std::string::npos;
        };
      case Held::rental: break;
    }
    return [](const net::HttpRequest& request) { return request.method == "POST" && request.path == "/machines"; };
  }
  // The node that led last: when it comes back first, it leads without waiting for its earlier life's lease to end.
  [[nodiscard]] std::vector<std::size_t> leader_first(bool all) {
    net::HttpClient client(cluster_.state().address(), seconds(5));
    const auto answer =
        client.call({.method = "GET", .path = std::string("/kv/") + state::kTermKey, .body = {}, .query = {}},
                    net::Clock::now() + seconds(5));
    std::size_t leader = 0;
    if (answer && answer->status == 200) {
      const NodeName name = state::term_record_from(wire::decode(answer->body)["data"]).leader;
      while (leader < 2 && name != NodeName("node-" + std::to_string(leader))) ++leader;
    }
    if (!all) return {leader};
    return {leader, (leader + 1) % 3, (leader + 2) % 3};
  }
  void kill(const std::vector<std::size_t>& nodes) {
    for (const std::size_t node : nodes) cluster_.kill(node);
  }
  void start(const std::vector<std::size_t>& nodes) {
    for (const std::size_t node : nodes) cluster_.start(node);
  }

  Moment moment_;  // outlives the stand-ins that pass it
  Cluster cluster_{3};
};

// What the first round wants may be rented twice, as the next life does not know of it: the second wants more than that.
constexpr std::array<std::uint32_t, 2> kRenting{1, 3};

// The leader alone and all nodes end in the middle of something and are back within 50 to 300 ms. What was held up is
// carried out before that, or late: after the next life has begun.
TEST_P(QuickRestarts, LoseNothingAndRunNothingTwice) {
  const Held held = GetParam().held;
  start({0, 1, 2});
  for (std::size_t round = GetParam().from; round < GetParam().to; ++round) {
    const bool carried_out = round % 2 == 0;
    const bool all = round / 2 == 1;
    for (std::size_t node = 0; node < 3; ++node) ASSERT_TRUE(cluster_.wait_until_up(node)) << round;
    wire::JobSpec spec;
    spec.id = JobId("j-" + std::to_string(100'000 + round));
    spec.job_class = "work";
    spec.team = "red";
    spec.kind = all || held == Held::rental ? wire::JobKind::gang : wire::JobKind::array;
    spec.tasks = held == Held::rental ? kRenting.at(round % 2) : 1 + static_cast<std::uint32_t>(round);
    spec.cpus = 1;
    spec.ram_gb = 20;  // one fits a machine
    spec.image = "img";
    spec.image_gb = 0.1;
    spec.estimate_s = 1;
    cluster_.cloud().upload(spec, 1);
    const bool by_itself = held == Held::write || held == Held::rental;
    if (by_itself) moment_.await(kind_of(held, spec.id), carried_out);
    const std::size_t starts = cluster_.cloud().starts();
    ASSERT_NE(post_until_taken(cluster_, spec).status, 0) << round;
    if (!by_itself) {  // the new leader finds running tasks
      for (int tries = 0; tries < 6000 && cluster_.cloud().starts() == starts; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
      }
      const std::vector<std::size_t> nodes = leader_first(all);
      moment_.await(kind_of(held, spec.id), carried_out);
      kill(nodes);
      start(nodes);
    }
    ASSERT_TRUE(moment_.reached()) << round;
    const std::vector<std::size_t> nodes = leader_first(all);
    kill(nodes);
    std::this_thread::sleep_for(milliseconds(50 + 80 * round));
    start(nodes);
    if (!carried_out)
      std::this_thread::sleep_for(milliseconds(100 * round));  // in the middle of its beginning, or after
    moment_.let_go();
    for (std::size_t node = 0; node < 3; ++node) ASSERT_TRUE(cluster_.wait_until_up(node)) << round;
    const Ran ran = run("status --wait --to " + cluster_.address(round % 3).text() + " " + spec.id.text());
    EXPECT_EQ(ran.code, 0) << ran.out;
    const std::string done = spec.id.text() + " done done " + std::to_string(spec.tasks);
    EXPECT_NE(ran.out.find(done), std::string::npos) << ran.out;
  }
  EXPECT_EQ(cluster_.cloud().ran_twice(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Restart, QuickRestarts,
    ::testing::Values(Where{"Takeover", Held::failover, false}, Where{"TakeoverShared", Held::failover, true},
                      Where{"Reading", Held::reading, false}, Where{"ReadingShared", Held::reading, true},
                      Where{"Write", Held::write, false}, Where{"WriteShared", Held::write, true},
                      Where{"RentalOfOne", Held::rental, false, 0, 2}, Where{"RentalOfAll", Held::rental, false, 2, 4},
                      Where{"RentalOfOneShared", Held::rental, true, 0, 2},
                      Where{"RentalOfAllShared", Held::rental, true, 2, 4}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace foxshunt::smoke
