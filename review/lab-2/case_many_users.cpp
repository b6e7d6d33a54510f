// Users keep their connections, as PROTOCOL has it, and poll every 5 s. Fewer than a single node may have sockets for, and yet
// whoever comes later is refused for as long as the others stay.
#include "rig.h"

#include <algorithm>

#include "control/times.h"

using namespace rig;

namespace {

constexpr int kJobs = 60;
constexpr double kForgottenS = 90;

// As PROTOCOL's load balancer, while all nodes are healthy: the node with the fewest open user connections.
class Balancer {
 public:
  explicit Balancer(std::size_t nodes) : open_(nodes, 0) {}
  std::size_t choose() {
    const std::lock_guard lock(mutex_);
    const auto least = std::ranges::min_element(open_);
    ++*least;
    return static_cast<std::size_t>(least - open_.begin());
  }
  void closed(std::size_t node) {
    const std::lock_guard lock(mutex_);
    --open_[node];
  }
  std::vector<int> open() {
    const std::lock_guard lock(mutex_);
    return open_;
  }

 private:
  std::mutex mutex_;
  std::vector<int> open_;
};

// One user with one connection, kept until a node closes it or does not answer.
class User {
 public:
  User(Rig& rig, Balancer& balancer) : rig_(rig), balancer_(balancer) {}
  ~User() { close(); }
  int poll(const std::string& job) {
    if (!client_) {
      node_ = balancer_.choose();
      client_.emplace(rig_.addresses[node_], Millis(500));
    }
    const auto answer =
        client_->call({.method = "GET", .path = "/api/jobs/" + job, .body = {}}, net::Clock::now() + Millis(2000));
    // A refusal at the door comes with `Connection: close`.
    if (!answer || answer->status == 503) close();
    return answer ? answer->status : 0;
  }
  void close() {
    if (!client_) return;
    client_.reset();
    balancer_.closed(node_);
  }

 private:
  Rig& rig_;
  Balancer& balancer_;
  std::size_t node_ = 0;
  std::optional<net::HttpClient> client_;
};

int play(Record& record) {
  Deploy deploy;
  deploy.types = {{.name = "kaldakivi",
                   .cpus = 32,
                   .gpus = 0,
                   .ram_gb = 64,
                   .cache_gb = 60,
                   .fetch_gb_per_s = 0.5,
                   .price = 1.66,
                   .spot_price = 0.39,
                   .boot_s = 2,
                   .zones = deploy.zones}};
  Rig rig(deploy, record);
  rig.platform->most_machines = 4;
  rig.start_all();
  if (!rig.wait_up(15)) return 2;
  std::vector<std::string> jobs;
  for (int i = 1; i <= kJobs; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "j-%06d", i);
    const int status = rig.submit(array_job(id, "lukuvahid", 1, 1, 1, 300), 300);
    if (status != 200 && status != 201) return 2;
    jobs.emplace_back(id);
  }
  // All three nodes together may have 2100 sockets, each of them 700.
  const std::size_t others = trouble() ? 640 : 300;
  Balancer balancer(3);
  std::atomic<bool> over{false};
  std::atomic<std::uint64_t> asked{0}, answered{0};
  std::vector<std::jthread> crowd;
  for (std::size_t i = 0; i < others; ++i) {
    crowd.emplace_back([&, i] {
      User user(rig, balancer);
      rest(static_cast<double>(i) * 5 / static_cast<double>(others));
      while (!over) {
        ++asked;
        if (user.poll(jobs[i % (kJobs - 10)]) == 200) ++answered;
        for (int part = 0; part < 50 && !over; ++part) rest(0.1);
      }
    });
  }
  rest(7);
  record.say("%zu users have come; open connections by node: %d %d %d", others, balancer.open()[0], balancer.open()[1],
             balancer.open()[2]);
  // Ten more users, each of an accepted job of its own.
  const std::uint64_t asked_before = asked, answered_before = answered;
  const Instant began = now();
  std::map<std::string, std::pair<int, int>> mine;  // polls, answered
  std::vector<std::unique_ptr<User>> late;
  for (int i = 0; i < 10; ++i) late.push_back(std::make_unique<User>(rig, balancer));
  while (now() - began < control::from_seconds(kForgottenS + 1)) {
    for (int i = 0; i < 10; ++i) {
      const std::string& job = jobs[static_cast<std::size_t>(kJobs - 10 + i)];
      const int status = late[static_cast<std::size_t>(i)]->poll(job);
      auto& [polls, good] = mine[job];
      ++polls;
      if (status == 200) ++good;
      record.say("late user: GET /api/jobs/%s: %d", job.c_str(), status);
    }
    rest(5);
  }
  over = true;
  const std::uint64_t all = asked - asked_before, good_all = answered - answered_before;
  crowd.clear();
  int forgotten = 0;
  for (const auto& [job, counts] : mine) {
    record.say("%s: %d of %d polls in %.0f s were answered", job.c_str(), counts.second, counts.first, kForgottenS);
    if (counts.second == 0) ++forgotten;
  }
  record.say("the others: %llu of %llu polls answered", static_cast<unsigned long long>(good_all),
             static_cast<unsigned long long>(all));
  if (good_all * 2 <= all) return 2;  // "while most others are answered"
  return forgotten > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
