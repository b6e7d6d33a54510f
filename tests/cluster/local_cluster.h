// Controllers as real processes on loopback, with stand-ins around them. All end with this process.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/http_world.h"

namespace foxshunt::cluster {

struct NodeSize {
  double ram_mb = 42;
  int sockets = 700;
};

struct Surroundings {
  double heartbeat_interval_s = 0.5;
  double lease_s = 5;
  double cancel_s = 20;
  bool links = false;  // whether nodes reach each other through stand-ins, so that they can be cut from each other
};

class LocalCluster {
 public:
  // Without `outside`, nobody listens where the cloud and the state service should be. Asked at the end whether the nodes'
  // logs are to be shown on standard output; they are removed with the folder.
  LocalCluster(std::size_t nodes, bool outside, const NodeSize& size, std::function<bool()> logs_wanted,
               const Surroundings& around = {});
  ~LocalCluster();
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  // Nodes started from now on get these settings of the operators.
  void set_operators(const std::string& xml);
  void start(std::size_t node);
  void kill(std::size_t node);
  // The process stands still until it is let go on.
  void freeze(std::size_t node) const;
  void go_on(std::size_t node) const;
  // With links: no other node reaches this one, nor it any other.
  void cut_from_nodes(std::size_t node, bool is_cut);
  [[nodiscard]] pid_t pid(std::size_t node) const { return pids_[node]; }
  [[nodiscard]] const net::Address& address(std::size_t node) const { return addresses_[node]; }
  [[nodiscard]] bool wait_until_up(std::size_t node) const;
  [[nodiscard]] bool up(std::size_t node) const;
  [[nodiscard]] standins::HttpCloud& cloud() { return *cloud_; }
  // Each node asks it at its own address.
  [[nodiscard]] standins::HttpState& state() { return state_; }
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

 private:
  // Where `from` finds `to`.
  net::Address link(std::size_t from, std::size_t to);

  std::function<bool()> logs_wanted_;
  std::filesystem::path folder_;
  standins::HttpState state_;
  std::vector<net::Socket> ports_;  // held for the nodes
  std::vector<net::Address> addresses_;
  std::vector<pid_t> pids_;
  std::vector<net::Address> peers_;
  std::vector<std::atomic<bool>> cut_;                             // by node
  std::map<std::size_t, std::unique_ptr<net::HttpServer>> links_;  // by from * nodes + to
  std::unique_ptr<standins::HttpCloud> cloud_;
};

struct Ran {
  int code = -1;
  std::string out;
};
// The path of foxshunt.
[[nodiscard]] std::string program();
// Runs the program with these arguments, quoted as a shell has them; standard error is included in what it said.
[[nodiscard]] Ran run(const std::string& arguments);
// The same with another program.
[[nodiscard]] Ran run_program(const std::string& program, const std::string& arguments);

}  // namespace foxshunt::cluster
