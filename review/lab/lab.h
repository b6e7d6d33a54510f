// Stand-ins for the cases in review/: state service, cloud with its workers, controllers as processes, a user.
// Everything listens on 127.0.0.1, with ports of the kernel's choice. Where a page is silent they behave like sound ones.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/http.h"
#include "standins/worker.h"
#include "wire/messages.h"
#include "wire/value.h"

namespace lab {

using namespace foxshunt;
using standins::Instant;
using standins::Millis;
using wire::Value;

Instant now();
double since_start(Instant at);
// One line of record.txt, with the time since the start.
void note(const std::string& line);
void open_record(const std::string& path);
// The length of the value as JSON, which is how PROTOCOL counts sizes.
std::size_t json_size(const Value& value);
std::string json_text(const Value& value);
// Whether the disruption is on; TROUBLE=0 switches it off.
bool trouble();
void sleep_ms(int ms);

struct Limits {
  double value_kb = 8;
  std::size_t txn_ops = 24;
};

// The state service, at one address for each controller.
class StateService {
 public:
  // What becomes of a request that has been received: how long it is held before it is carried out (0: at once), and
  // whether its answer is sent.
  struct Fate {
    Millis before{0};
    bool answered = true;
    bool executed = true;
  };
  using Judge = std::function<Fate(std::size_t controller, const net::HttpRequest&)>;

  StateService(std::size_t controllers, Limits limits);
  ~StateService();
  [[nodiscard]] net::Address address(std::size_t controller) const { return doors_[controller].server->address(); }
  void set_judge(Judge judge);
  // 503 to this controller alone; its open watches wait.
  void refuse(std::size_t controller, bool refused);
  // An outage: 503 to all; at its end all leases have their full time again.
  void set_out(bool out);
  [[nodiscard]] std::size_t oversized() const { return oversized_; }
  std::optional<Value> get(const std::string& key);

 private:
  struct Item {
    Value data;
    std::uint64_t mark = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::optional<Value> data;
    std::uint64_t mark = 0;
  };
  struct Lease {
    Millis ttl{};
    Instant until;
  };
  struct Door {
    bool refused = false;
    std::unique_ptr<net::HttpServer> server;
  };
  net::HttpResponse receive(std::size_t controller, const net::HttpRequest& request);
  net::HttpResponse handle(std::size_t controller, const net::HttpRequest& request);
  net::HttpResponse follow(std::size_t controller, const std::map<std::string, std::string>& query);
  net::HttpResponse txn(const Value& body);
  void change(const std::string& key, std::optional<Value> data, std::uint64_t lease);
  void end_lease(std::uint64_t number);
  bool refused(std::size_t controller) const { return out_ || doors_[controller].refused; }

  Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Judge judge_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t tally_ = 0;
  std::uint64_t next_lease_ = 0;
  std::uint64_t oldest_ = 0;  // changes up to this one are kept no more
  bool out_ = false;
  bool closing_ = false;
  std::atomic<std::size_t> oversized_{0};
  std::deque<Door> doors_;
  std::jthread expiry_;
};

struct FleetSettings {
  std::vector<wire::MachineType> types;
  double report_s = 1;
  double lease_s = 10;
  double gang_wait_s = 45;
  Millis boot{1500};
  double list_lag_s = 0;
  std::size_t zone_capacity = 1000;  // machines of each type that a zone has
  std::map<std::string, std::size_t> type_capacity{};  // the same in all zones together
};

// The cloud and its workers; each worker has a thread of its own and an address for /commands.
class Fleet final : public standins::Surroundings {
 public:
  Fleet(std::vector<net::Address> nodes, FleetSettings settings);
  ~Fleet() override;
  [[nodiscard]] net::Address address() const { return server_->address(); }
  // Users upload the job's description themselves.
  void upload(const wire::JobSpec& spec, double run_s);

  struct Stay {
    TaskKey task;
    AttemptNumber attempt;
    MachineId machine;
    Instant from;
    std::optional<Instant> until;
    bool done = false;
  };
  std::vector<Stay> stays();
  std::vector<Stay> stays(const JobId& job);
  std::size_t done(const JobId& job);
  // Where a job's task could start: machines that report and have this much room.
  std::size_t machines_with_room(double cpus, double gpus, double ram_gb);
  [[nodiscard]] std::size_t ran_twice() const { return ran_twice_; }
  std::size_t killed_by_lease();
  // How many starts of the job's tasks were refused for want of room.
  std::size_t refused(const JobId& job);
  // Reports that were answered with this status.
  std::size_t reports(int status);
  [[nodiscard]] std::size_t largest_report() const { return largest_report_; }
  [[nodiscard]] std::size_t largest_answer() const { return largest_answer_; }
  // No message passes between these machines and this node (reports hang).
  void cut(std::size_t node, bool is_cut);
  // Called for each change of what is on machines, with the lock held.
  std::function<void()> on_change;
  double use_cpus(const std::string& team);
  std::set<std::string> never_run;  // jobs whose starts are recorded only

  const wire::JobSpec* job(const JobId& id) override;
  Millis run_left(const TaskKey& task) override;
  bool is_done(const TaskKey& task) override { return done_.contains(task); }
  void keep_progress(const TaskKey&, Millis) override {}
  void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) override;
  void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) override;

 private:
  struct Machine {
    wire::MachineType type;
    std::string zone;
    bool spot = false;
    Instant rented;
    Instant up;
    bool gone = false;
    bool changed = false;
    std::unique_ptr<standins::Worker> worker;
    std::unique_ptr<net::HttpServer> commands;
    std::jthread thread;
  };
  net::HttpResponse handle(const net::HttpRequest& request);
  net::HttpResponse command(const MachineId& id, const net::HttpRequest& request);
  void live(const std::stop_token& stop, const MachineId& id);
  bool ready(const JobId& job, AttemptNumber attempt);

  std::vector<net::Address> nodes_;
  FleetSettings settings_;
  std::recursive_mutex mutex_;
  std::map<MachineId, Machine> machines_;
  std::map<std::string, std::vector<MachineId>> rentals_;
  std::map<JobId, std::pair<wire::JobSpec, double>> jobs_;
  std::set<TaskKey> done_;
  std::map<TaskKey, std::set<MachineId>> on_;
  std::map<std::string, double> use_;
  std::vector<Stay> stays_;
  std::map<int, std::size_t> answers_;
  std::map<JobId, std::set<std::pair<TaskKey, AttemptNumber>>> refused_;
  std::set<std::size_t> cut_;
  std::atomic<std::size_t> ran_twice_{0};
  std::atomic<std::size_t> largest_report_{0};
  std::atomic<std::size_t> largest_answer_{0};
  std::unique_ptr<net::HttpServer> server_;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Deployment {
  std::vector<std::string> zones{"emajogi", "parnu", "narva"};
  std::vector<Team> teams;
  double report_s = 1, lease_s = 10, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 40;
  double rps = 250, write_rps = 50, value_kb = 8;
  std::size_t txn_ops = 24;
  double cloud_rps = 1.5, list_lag_s = 10;
  double cpu = 0.08, ram_mb = 56;
  int max_connections = 700;
  double skew_ms = 250;
};

// Holds loopback ports, so that processes can listen there as often as they are started.
class Ports {
 public:
  net::Address hold();

 private:
  std::vector<net::Socket> held_;
};

// The controllers, started by the command of the deploy file in the repository's root.
class Controllers {
 public:
  Controllers(const Deployment& deployment, std::vector<net::Address> binds, std::vector<net::Address> peers,
              const std::function<net::Address(std::size_t)>& state, net::Address cloud);
  ~Controllers();
  void start(std::size_t node);
  void kill(std::size_t node);
  void signal(std::size_t node, int what) const;
  bool wait_until_up(std::size_t node) const;
  // Whether the process ended by itself; tells how.
  std::optional<std::string> ended(std::size_t node);
  [[nodiscard]] const net::Address& bind(std::size_t node) const { return binds_[node]; }
  [[nodiscard]] std::size_t size() const { return binds_.size(); }
  // What all logs hold with this text in it, at most so many lines.
  std::vector<std::string> log_lines(const std::string& text, std::size_t most) const;

 private:
  std::string folder_;
  std::vector<net::Address> binds_;
  std::vector<pid_t> pids_;
};

// One user with a connection to one controller.
struct Answer {
  int status = 0;  // 0: none
  std::string scent;
  std::string text;
};
Answer submit(const net::Address& node, const Value& job);
Answer poll(const net::Address& node, const std::string& id);
Answer cancel(const net::Address& node, const std::string& id);
// Repeats as PROTOCOL says, for 60 s at most, over the nodes in turn.
Answer submit_until(const Controllers& nodes, const Value& job);

// What a job of the usual kind looks like.
wire::JobSpec job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus, double ram_gb);

// The whole surroundings of a case.
struct World {
  World(const Deployment& deployment, const FleetSettings& fleet_settings, std::size_t nodes = 3);
  Ports ports;
  std::vector<net::Address> binds;
  std::vector<net::Address> peers;
  StateService state;
  Fleet fleet;
  Controllers nodes;
  bool start();  // all controllers; false if one did not come up
};

}  // namespace lab
