#include "cluster/local_cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <system_error>

namespace foxshunt::cluster {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kLinkConnectLimit{500};
constexpr std::chrono::milliseconds kLinkLimit{3000};  // longer than any node waits for another

// A port of the kernel's choice. The socket is bound but doesn't listen, so a process may listen there as often as it
// is started, and no connection or other test gets the port meanwhile. One run in 32 side by side failed by that.
net::Socket hold_port() {
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (!socket.open() || ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0) {
    throw std::system_error(errno, std::generic_category(), "bind on loopback");
  }
  return socket;
}

// In a child: it ends with its parent, also if that ended just now, and may be interrupted.
void end_with(pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(126);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
}

}  // namespace

LocalCluster::LocalCluster(std::size_t nodes, bool outside, const NodeSize& size, std::function<bool()> logs_wanted,
                           const Surroundings& around)
    : logs_wanted_(std::move(logs_wanted)), state_(1000, nodes), pids_(nodes, 0), cut_(nodes) {
  std::string pattern = (std::filesystem::temp_directory_path() / "foxshunt-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  for (std::size_t node = 0; node < nodes; ++node) {
    ports_.push_back(hold_port());
    addresses_.push_back(net::local_address(ports_.back()));
    ports_.push_back(hold_port());
    peers_.push_back(net::local_address(ports_.back()));
  }
  ports_.push_back(hold_port());
  const std::string nobody = net::local_address(ports_.back()).text();
  cloud_ = std::make_unique<standins::HttpCloud>(addresses_, around.heartbeat_interval_s, around.lease_s);
  for (std::size_t node = 0; node < nodes; ++node) {
    json siblings = json::array();
    for (std::size_t other = 0; other < nodes; ++other) {
      if (other == node) continue;
      const net::Address endpoint = around.links ? link(node, other) : peers_[other];
      siblings.push_back(
          {{"host_name", "node-" + std::to_string(other)}, {"zone", "a"}, {"endpoint", endpoint.text()}});
    }
    const json deploy = {
        {"host_name", "node-" + std::to_string(node)},
        {"zone", "a"},
        {"bind", addresses_[node].text()},
        {"peer_listen", peers_[node].text()},
        {"siblings", siblings},
        {"outside",
         {{"cloud", outside ? cloud_->address().text() : nobody},
          {"state", outside ? state_.address_of(node).text() : nobody}}},
        {"params",
         {{"nodes", nodes},
          {"zones", {"a"}},
          {"teams", {{{"name", "red"}, {"cpus", 8.0}, {"cpus_max", 16.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}}},
          {"objectives", json::array()},
          {"workers",
           {{"report_s", around.heartbeat_interval_s},
            {"lease_s", around.lease_s},
            {"gang_wait_s", 10.0},
            {"gang_peer_s", 2.0},
            {"cancel_s", around.cancel_s}}},
          {"state", {{"rps", 400.0}, {"write_rps", 100.0}, {"value_kb", 8.0}, {"txn_ops", 24}}},
          {"cloud", {{"rps", 20.0}, {"list_lag_s", 0.0}}},
          {"limits", {{"cpu", 1.0}, {"ram_mb", size.ram_mb}, {"max_connections", size.sockets}}},
          {"skew_ms", 5.0}}}};
    std::ofstream(folder_ / ("node-" + std::to_string(node) + ".json")) << deploy.dump(2);
  }
}

LocalCluster::~LocalCluster() {
  for (std::size_t node = 0; node < pids_.size(); ++node) kill(node);
  const bool logs = logs_wanted_ && logs_wanted_();
  for (std::size_t node = 0; logs && node < pids_.size(); ++node) {
    const std::string name = "node-" + std::to_string(node) + ".log";
    std::cout << "---- " << name << "\n" << std::ifstream(folder_ / name).rdbuf() << "\n";
  }
  std::filesystem::remove_all(folder_);
}

net::Address LocalCluster::link(std::size_t from, std::size_t to) {
  auto& server = links_[from * pids_.size() + to];
  server = std::make_unique<net::HttpServer>(
      net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 100}, [this, from, to](const auto& request) {
        std::optional<net::HttpResponse> answer;
        if (!cut_[from] && !cut_[to]) {
          net::HttpClient client(peers_[to], kLinkConnectLimit);
          answer = client.call(request, net::Clock::now() + kLinkLimit);
        }
        if (cut_[from] || cut_[to]) answer.reset();
        return answer.value_or(net::HttpResponse{.status = 504, .body = {}, .retry_after_s = {}});
      });
  return server->address();
}

void LocalCluster::cut_from_nodes(std::size_t node, bool is_cut) { cut_[node] = is_cut; }

void LocalCluster::set_operators(const std::string& xml) { std::ofstream(folder_ / "operators.xml") << xml; }

void LocalCluster::start(std::size_t node) {
  const std::string config = (folder_ / ("node-" + std::to_string(node) + ".json")).string();
  const std::string log = (folder_ / ("node-" + std::to_string(node) + ".log")).string();
  const std::string settings = (folder_ / "operators.xml").string();
  const bool set = std::filesystem::exists(settings);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    end_with(parent);
    // Nothing of the test's own is left open in it: whoever reads the test's output would wait for it.
    for (std::FILE* const stream : {stdout, stderr}) {
      if (std::freopen(log.c_str(), "a", stream) == nullptr) ::_exit(126);
    }
    ::execl(FOXSHUNT_PROGRAM, FOXSHUNT_PROGRAM, "serve", "--config", config.c_str(), set ? "--settings" : nullptr,
            settings.c_str(), nullptr);
    ::_exit(127);
  }
  pids_[node] = child;
}

void LocalCluster::kill(std::size_t node) {
  if (pids_[node] == 0) return;
  ::kill(pids_[node], SIGKILL);
  ::waitpid(pids_[node], nullptr, 0);
  pids_[node] = 0;
}

void LocalCluster::freeze(std::size_t node) const {
  ::kill(pids_[node], SIGSTOP);
  siginfo_t stopped{};
  ::waitid(P_PID, static_cast<id_t>(pids_[node]), &stopped, WSTOPPED | WEXITED | WNOWAIT);
}

void LocalCluster::go_on(std::size_t node) const { ::kill(pids_[node], SIGCONT); }

bool LocalCluster::up(std::size_t node) const {
  net::HttpClient client(addresses_[node], std::chrono::milliseconds(500));
  const auto answer =
      client.call({.method = "GET", .path = "/up", .body = {}}, net::Clock::now() + std::chrono::seconds(2));
  return answer && answer->status == 200;
}

bool LocalCluster::wait_until_up(std::size_t node) const {
  for (int tries = 0; tries < 600; ++tries) {
    if (up(node)) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::string program() { return FOXSHUNT_PROGRAM; }

Ran run(const std::string& arguments) { return run_program(program(), arguments); }

Ran run_program(const std::string& program, const std::string& arguments) {
  Ran ran;
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) return ran;
  const net::Socket from(ends[0]);
  net::Socket into(ends[1]);
  const std::string command = "exec " + program + " " + arguments;
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    end_with(parent);
    ::dup2(into.fd(), STDOUT_FILENO);
    ::dup2(into.fd(), STDERR_FILENO);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  into = net::Socket();
  std::array<char, 512> part{};
  for (ssize_t got = 0; child > 0; ran.out.append(part.data(), static_cast<std::size_t>(got))) {
    got = ::read(from.fd(), part.data(), part.size());
    if (got < 0 && errno == EINTR)
      got = 0;
    else if (got <= 0)
      break;
  }
  int status = 0;
  if (child > 0 && ::waitpid(child, &status, 0) == child && WIFEXITED(status)) ran.code = WEXITSTATUS(status);
  return ran;
}

}  // namespace foxshunt::cluster
