// The state service refuses the leading controller alone, another controller confirms cancellations, and then the state
// service is down for all, for longer than `cancel_s`: the tasks of those jobs are gone by then all the same.
//
// All moments are of one clock, the stand-in's: when the user had the answer, when a report was sent whose answer renewed a
// lease, and up to when a task was on its machine. A lease counts from when the report was sent, which was before any
// controller looked at its clock, and a worker's lease is kept by the stand-in itself: a busy machine delays both sides or
// ends tasks sooner, and can't make one stay longer. Faults that a busy machine kept from coinciding are tried again.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

#include "config/settings.h"
#include "control/times.h"
#include "smoke/processes.h"
#include "state/keys.h"
#include "state/leadership_records.h"
#include "wire/messages.h"

namespace foxshunt::smoke {
namespace {

using cluster::LocalCluster;
using plan::Instant;
using plan::Millis;
using standins::HttpCloud;

constexpr cluster::Surroundings kAround{.heartbeat_interval_s = 0.25, .lease_s = 3, .cancel_s = 9, .links = true};
constexpr Millis kCancel{9'000};
constexpr Millis kTurn{10};
constexpr std::size_t kNodes = 3;
constexpr std::size_t kLeader = 0;  // it is started first
constexpr int kTries = 3;           // of faults that do not coincide
const JobId kFirst("j-000001");     // cancelled at once
const JobId kSecond("j-000002");    // cancelled a moment later
const JobId kShort("j-000003");     // ends when it is told to
constexpr std::size_t kTasks = 5;   // of them all

Instant now() { return std::chrono::floor<Millis>(net::Clock::now()); }

bool wait_for(const std::function<bool()>& what, Millis most = Millis(60'000)) {
  for (const Instant until = now() + most; !what();) {
    if (now() > until) return false;
    std::this_thread::sleep_for(kTurn);
  }
  return true;
}

void sleep_until(Instant when) { std::this_thread::sleep_until(when); }

constexpr const char* kGrants = "<zone-grants>true</zone-grants>";

bool by_leader(std::size_t node) { return node == kLeader; }
bool by_others(std::size_t node) { return node != kLeader; }

class SmokeRefusal : public ::testing::Test {
 protected:
  // A fresh cluster in which node 0 leads and all jobs run.
  void begin(const std::string& operators = "") {
    cluster_.reset();
    cluster_ = std::make_unique<LocalCluster>(
        kNodes, true, cluster::NodeSize{}, [] { return ::testing::Test::HasFailure(); }, kAround);
    if (!operators.empty()) cluster_->set_operators("<foxshunt>" + operators + "</foxshunt>");
    fence_ = control::fencing_timeout(config::load_settings((cluster_->folder() / "node-0.json").string()));
    cluster_->start(kLeader);
    ASSERT_TRUE(cluster_->wait_until_up(kLeader));
    ASSERT_TRUE(wait_for([&] { return leader().leader == NodeName("node-0"); }));
    for (std::size_t node = 1; node < kNodes; ++node) cluster_->start(node);
    for (std::size_t node = 1; node < kNodes; ++node) ASSERT_TRUE(cluster_->wait_until_up(node));
    submit(kFirst, 2);
    submit(kSecond, 2);
    submit(kShort, 1);
    ASSERT_TRUE(wait_for([&] { return there(kFirst) + there(kSecond) + there(kShort) == kTasks; }));
    term_ = leader().term;
  }

  void submit(const JobId& id, std::uint32_t tasks, double run_s = 1000) {
    wire::JobSpec spec;
    spec.id = id;
    spec.job_class = "work";
    spec.team = "red";
    spec.tasks = tasks;
    spec.cpus = 2;
    spec.ram_gb = 20;  // one fits a machine
    spec.image = "img";
    spec.image_gb = 0.1;
    spec.estimate_s = 60;
    cluster_->cloud().upload(spec, run_s);
    ASSERT_TRUE(wait_for([&] {
      const int status = ask(1, "POST", "/api/jobs", wire::encode(wire::to_value(spec))).status;
      return status == 201 || status == 200;
    }));
  }

  [[nodiscard]] net::HttpResponse ask(std::size_t node, const std::string& method, const std::string& path,
                                      const std::string& body = "") const {
    net::HttpClient client(cluster_->address(node), Millis(500));
    return client.call({.method = method, .path = path, .body = body}, net::Clock::now() + Millis(5'000))
        .value_or(net::HttpResponse{.status = 0, .body = {}, .retry_after_s = {}});
  }

  // What the state service says, asked at the address that is nobody's.
  [[nodiscard]] state::TermRecord leader() const {
    net::HttpClient client(cluster_->state().address(), Millis(500));
    const auto answer =
        client.call({.method = "GET", .path = std::string("/kv/") + state::kTermKey, .body = {}, .query = {}},
                    net::Clock::now() + Millis(5'000));
    return answer && answer->status == 200 ? state::term_record_from(wire::decode(answer->body)["data"])
                                           : state::TermRecord{};
  }

  [[nodiscard]] std::size_t there(const JobId& job) const {
    const auto stays = cluster_->cloud().stays(job);
    return static_cast<std::size_t>(
        std::ranges::count_if(stays, [](const HttpCloud::Stay& stay) { return !stay.until; }));
  }

  // Both others may answer workers by themselves.
  [[nodiscard]] bool granted() const {
    return wait_for([this] {
      for (std::size_t node = 1; node < kNodes; ++node) {
        const Ran ran = run("zones --to " + cluster_->address(node).text());
        if (ran.out.find("may answer a by itself") == std::string::npos) return false;
      }
      return true;
    });
  }

  // Its user was told so at the returned moment.
  Instant cancel(const JobId& job, std::size_t node) {
    EXPECT_TRUE(wait_for([&] {
      const net::HttpResponse answer = ask(node, "POST", "/api/jobs/" + job.text() + "/abort");
      return answer.status == 200 &&
             wire::job_status_from(wire::decode(answer.body)).state == wire::JobState::cancelled;
    }));
    return now();
  }

  // The leader's lease and what it has read are confirmed just now, so that its fence is known to a tenth of a second.
  void learn_all_now() {
    renewed_ = false;
    cluster_->state().set_between([this](const net::HttpRequest& request, const net::HttpServer::Handler& stand_in) {
      net::HttpResponse answer = stand_in(request);
      if (request.path.ends_with("/touch")) renewed_ = true;
      return answer;
    });
    EXPECT_TRUE(wait_for([&] { return renewed_.load(); }));
    cluster_->state().set_between({});
    cluster_->state().end_holds();
    sleep_until(now() + Millis(100));  // a watch that is opened only now
    cluster_->state().end_holds();
  }

  // The leader is refused, two jobs are cancelled through another node, and then nobody is answered any more.
  void refuse_cancel_and_lose() {
    cluster_->state().refuse(kLeader, true);
    cancel_and_lose();
  }
  void cancel_and_lose() {
    served_ = cluster_->state().served(kLeader);
    told_[kFirst] = cancel(kFirst, 1);
    sleep_until(now() + Millis(300));
    told_[kSecond] = cancel(kSecond, 2);
    in_term_ = leader().term == term_;
    cluster_->state().set_out(true);
  }

  // How often nodes of that kind renewed leases of cancelled jobs' machines after their users had been told.
  [[nodiscard]] std::size_t renewed_after_told(const std::function<bool(std::size_t node)>& kind) const {
    std::size_t count = 0;
    for (const HttpCloud::Renewal& renewal : cluster_->cloud().renewals()) {
      if (!kind(renewal.node)) continue;
      for (const auto& [job, told] : told_) {
        const auto stays = cluster_->cloud().stays(job);
        if (renewal.sent > told &&
            std::ranges::find(stays, renewal.machine, &HttpCloud::Stay::machine) != stays.end()) {
          ++count;
        }
      }
    }
    return count;
  }

  // The rule itself, and that nobody answered workers in the leader's term beyond its fence.
  void expect_gone_in_time() {
    const Instant last = std::max(told_.at(kFirst), told_.at(kSecond)) + kCancel;
    sleep_until(last + Millis(500));
    for (const auto& [job, told] : told_) {
      for (const HttpCloud::Stay& stay : cluster_->cloud().stays(job)) {
        EXPECT_TRUE(stay.until && *stay.until <= told + kCancel)
            << stay.task.text() << " is on " << stay.machine.text() << " "
            << (stay.until.value_or(now()) - told).count() << " ms after its user was told"
            << (stay.until ? "" : ", and still");
        EXPECT_LE(stay.from, told + kCancel) << stay.task.text() << " was started";
      }
    }
    if (in_term_) {
      for (const HttpCloud::Renewal& renewal : cluster_->cloud().renewals()) {
        EXPECT_LE(renewal.sent, served_ + fence_)
            << "node " << renewal.node << " answered " << renewal.machine.text() << " "
            << (renewal.sent - served_ - fence_).count() << " ms beyond the fence";
      }
    }
    EXPECT_EQ(cluster_->cloud().ran_twice(), 0);
  }

  // Once all is over every node says what was told, and new work runs.
  void expect_whole_again() {
    cluster_->cut_from_nodes(kLeader, false);
    cluster_->cloud().cut(kLeader, false);
    cluster_->state().refuse(kLeader, false);
    cluster_->state().set_out(false);
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (const auto& [job, unused] : told_) {
        net::HttpResponse answer;
        ASSERT_TRUE(wait_for([&, &id = job] {
          answer = ask(node, "GET", "/api/jobs/" + id.text());
          return answer.status == 200;
        }));
        EXPECT_EQ(wire::job_status_from(wire::decode(answer.body)).state, wire::JobState::cancelled)
            << job.text() << " at node " << node;
      }
    }
    submit(JobId("j-000009"), 2, 0.5);
    const Ran ran = run("status --wait --to " + cluster_->address(1).text() + " j-000009");
    EXPECT_NE(ran.out.find("j-000009 done done 2"), std::string::npos) << ran.out;
    EXPECT_EQ(cluster_->cloud().ran_twice(), 0);
  }

  // Brings the faults about, again if a busy machine kept them from coinciding; then judges what came of it.
  void expect_rules_hold(const std::string& operators, const std::function<bool()>& faults_coincide) {
    for (int tried = 1; tried <= kTries; ++tried) {
      told_.clear();
      ASSERT_NO_FATAL_FAILURE(begin(operators));
      const bool met = faults_coincide();
      expect_gone_in_time();
      if (met) return expect_whole_again();
      if (HasFailure()) return;
      std::cout << "the faults did not coincide\n";
    }
    FAIL() << "the faults did not coincide in " << kTries << " tries";
  }

  std::atomic<bool> renewed_{false};  // what the stand-in's hooks tell; they live as long as the cluster
  std::atomic<bool> armed_{false};
  std::atomic<bool> frozen_{false};
  std::unique_ptr<LocalCluster> cluster_;
  Millis fence_{};
  Term term_;
  bool in_term_ = false;  // nobody else led before the outage
  Instant served_;        // when the leader last heard of the state service
  std::map<JobId, Instant> told_;
};

TEST_F(SmokeRefusal, TasksCancelledMeanwhileEndThoughTheLeaderGoesOnAnswering) {
  expect_rules_hold("", [this] {
    refuse_cancel_and_lose();
    return wait_for([this] { return renewed_after_told(by_leader) >= 4; }, fence_);
  });
}

// The leader's process ends and is back while nobody can take its place: others answer by what it had granted.
TEST_F(SmokeRefusal, TheLeaderRestartsMeanwhile) {
  expect_rules_hold(kGrants, [this] {
    if (!granted()) return false;
    refuse_cancel_and_lose();
    cluster_->kill(kLeader);
    cluster_->start(kLeader);
    return wait_for([this] { return renewed_after_told(by_others) >= 4; }, fence_);
  });
}

// Its workers and a holder are cut off from the leader, which goes on beside them.
TEST_F(SmokeRefusal, AHolderAnswersInACut) {
  expect_rules_hold(kGrants, [this] {
    if (!granted()) return false;
    cluster_->state().refuse(kLeader, true);
    cluster_->cut_from_nodes(kLeader, true);
    cluster_->cloud().cut(kLeader, true);
    cancel_and_lose();
    return wait_for([this] { return renewed_after_told(by_others) >= 4; }, fence_);
  });
}

// Its workers reach the leader through other nodes alone.
TEST_F(SmokeRefusal, OthersPassReportsOn) {
  expect_rules_hold("", [this] {
    cluster_->cloud().cut(kLeader, true);
    refuse_cancel_and_lose();
    return wait_for([this] { return renewed_after_told(by_others) >= 4; }, fence_);
  });
}

// The leader stands still over the end of its fence, with reports that it has taken and not answered.
TEST_F(SmokeRefusal, TheLeaderFreezesOverItsFence) {
  expect_rules_hold("", [this] {
    learn_all_now();
    refuse_cancel_and_lose();
    const Instant over = served_ + fence_;
    // A report of a task's end waits for its record, which can't be written.
    sleep_until(over - Millis(800));
    cluster_->cloud().finish(kShort);
    sleep_until(over - Millis(400));
    cluster_->freeze(kLeader);
    const std::size_t taken = cluster_->cloud().under_way(kLeader);
    sleep_until(over + Millis(800));
    cluster_->go_on(kLeader);
    return taken > 0 && renewed_after_told(by_leader) >= 4;
  });
}

// The leader stands still with the last answers of the state service in its sockets: they tell of when it asked.
TEST_F(SmokeRefusal, TheLeaderFreezesBeforeItReadsTheLastAnswers) {
  expect_rules_hold("", [this] {
    cluster_->state().set_between([this](const net::HttpRequest& request, const net::HttpServer::Handler& stand_in) {
      net::HttpResponse answer = stand_in(request);
      if (request.path.ends_with("/touch") && armed_.exchange(false)) {  // the leader alone has a lease
        cluster_->freeze(kLeader);
        frozen_ = true;
      }
      return answer;
    });
    frozen_ = false;
    armed_ = true;
    const bool met = wait_for([this] { return frozen_.load(); });
    const Instant began = now();
    cluster_->state().end_holds();
    cluster_->state().refuse(kLeader, true);
    cancel_and_lose();
    sleep_until(began + Millis(1'500));  // the answers are still in time
    cluster_->go_on(kLeader);
    cluster_->state().set_between({});
    return wait_for([this] { return renewed_after_told(by_leader) >= 1; }, fence_) && met;
  });
}

// Whoever asks the refused node is told why nothing comes, and has the answer when it can be given.
TEST_F(SmokeRefusal, ACommandSaysWhyItWaits) {
  ASSERT_NO_FATAL_FAILURE(begin());
  cluster_->state().refuse(kLeader, true);
  std::atomic<bool> done{false};
  Ran ran;
  std::jthread user([&] {
    ran = run("status --to " + cluster_->address(kLeader).text() + " j-000001");
    done = true;
  });
  sleep_until(now() + Millis(9'000));  // some words come after 5 s
  EXPECT_FALSE(done);
  cluster_->state().refuse(kLeader, false);
  user.join();
  const std::string waits = " can't take it yet: the state service can't be reached; it is asked again for a minute\n";
  EXPECT_NE(ran.out.find(waits), std::string::npos) << ran.out;
  EXPECT_EQ(ran.out.find(waits), ran.out.rfind(waits)) << ran.out;
  EXPECT_NE(ran.out.find("\nj-000001 running done 0 running 2\n"), std::string::npos) << ran.out;
  EXPECT_EQ(ran.code, 0);
}

// A cancellation is carried out and its answer lost, another one is carried out late, after a newer one: no node answers
// anything older than what any node has told.
TEST_F(SmokeRefusal, NoNodeAnswersOlderWhenACancellationsAnswerIsLost) {
  ASSERT_NO_FATAL_FAILURE(begin());
  std::map<JobId, int> seen;  // transactions that end the job; asked under the stand-in's lock
  cluster_->state().set_fate(
      [&seen](const net::HttpRequest& request) {
        for (const JobId& job : {kFirst, kSecond}) {
          if (request.body.find(state::finished_job_key(job)) == std::string::npos) continue;
          if (seen[job]++ == 0) return job == kFirst ? standins::Fate::lost : standins::Fate::late;
        }
        return standins::Fate::answered;
      },
      Millis(3'000));
  struct Told {
    Instant asked;
    Instant had;
    JobId job;
    int status = 0;
    wire::JobState state{};
  };
  std::mutex mutex;
  std::vector<Told> all;
  const auto look = [&](std::size_t node, const JobId& job, const char* method, const std::string& what) {
    Told told{.asked = now(), .had = {}, .job = job};
    const net::HttpResponse answer = ask(node, method, "/api/jobs/" + job.text() + what);
    told.had = now();
    told.status = answer.status;
    if (answer.status == 200) told.state = wire::job_status_from(wire::decode(answer.body)).state;
    const std::lock_guard lock(mutex);
    all.push_back(told);
    return told;
  };
  {
    std::vector<std::jthread> users;
    std::atomic<std::size_t> known{0};  // looks that said withdrawn
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (const JobId& job : {kFirst, kSecond}) {
        users.emplace_back([&, node, job](const std::stop_token& stop) {
          bool before = false;
          while (!stop.stop_requested()) {
            const Told told = look(node, job, "GET", "");
            const bool cancelled = told.status == 200 && told.state == wire::JobState::cancelled;
            if (cancelled && !before) ++known;
            before = before || cancelled;
            std::this_thread::sleep_for(Millis(50));
          }
        });
      }
    }
    for (const JobId& job : {kFirst, kSecond}) {
      users.emplace_back([&, job](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
          if (const Told told = look(1, job, "POST", "/abort"); told.status == 200) {
            EXPECT_EQ(told.state, wire::JobState::cancelled) << job.text();
            return;
          }
          std::this_thread::sleep_for(Millis(100));
        }
      });
    }
    EXPECT_TRUE(wait_for([&] { return known == 2 * kNodes; }));
    sleep_until(now() + Millis(4'000));  // what is late has come
  }
  cluster_->state().set_fate({});
  EXPECT_GE(seen[kFirst], 1);
  EXPECT_GE(seen[kSecond], 1);
  for (const JobId& job : {kFirst, kSecond}) {
    std::optional<Instant> first;
    for (const Told& told : all) {
      if (told.job != job || told.status != 200 || told.state != wire::JobState::cancelled) continue;
      first = std::min(first.value_or(told.had), told.had);
    }
    ASSERT_TRUE(first);
    for (const Told& told : all) {
      if (told.job != job) continue;
      EXPECT_NE(told.status, 404) << job.text() << " was accepted";
      if (told.asked <= *first || told.status != 200) continue;
      EXPECT_EQ(told.state, wire::JobState::cancelled)
          << job.text() << ": asked " << (told.asked - *first).count() << " ms after the first was told";
    }
    for (const HttpCloud::Stay& stay : cluster_->cloud().stays(job)) {
      EXPECT_TRUE(stay.until && *stay.until <= *first + kCancel) << stay.task.text();
    }
  }
  EXPECT_EQ(cluster_->cloud().ran_twice(), 0);
}

}  // namespace
}  // namespace foxshunt::smoke
