// The surroundings of a case: controllers as real processes, started with the command of the deploy file, on loopback; the
// project's stand-in of the state service, held to PROTOCOL's limits; a cloud whose machines report and take commands.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <filesystem>
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
#include "standins/http_world.h"
#include "standins/worker.h"
#include "wire/messages.h"

namespace rig {

using namespace foxshunt;
using foxshunt::standins::Instant;
using foxshunt::standins::Millis;

// Whether the case plays its disruption (TROUBLE is not 0).
bool trouble();
Instant now();
void rest(double seconds);

// record.txt: what was sent, answered and run, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void say(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Instant began_ = now();
};

// Length in JSON, in which PROTOCOL counts sizes: shortest numbers, no blanks.
std::size_t json_size(const wire::Value& value);

struct Team {
  std::string name;
  double cpus = 304, cpus_max = 616, gpus = 0, gpus_max = 0;
};

// Settings as of a small deployment (BRIEF, kanaliteenus-foxshunt).
struct Deploy {
  std::vector<std::string> node_zones{"emajogi", "parnu", "narva"};
  std::vector<std::string> zones{"emajogi", "narva", "parnu", "tallinn"};
  std::vector<Team> teams{{"broneering", 304, 616}, {"lukuvahid", 456, 1840}};
  double report_s = 1, lease_s = 10, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 40;
  double rps = 250, write_rps = 50, value_kb = 8;
  std::size_t txn_ops = 24;
  double cloud_rps = 1.5, list_lag_s = 10;
  double cpu = 0.08, ram_mb = 56;
  int max_connections = 700;
  double skew_ms = 250;
  std::vector<wire::MachineType> types;  // of the cloud; empty: those of the site
};

// A cloud and its machines. Each machine has an address of its own at which it takes commands.
class Platform final : public standins::Surroundings {
 public:
  Platform(const Deploy& deploy, std::vector<net::Address> nodes, std::vector<std::string> names, Record& record);
  ~Platform() override;
  net::Address address() const { return server_->address(); }
  void upload(const wire::JobSpec& spec, double run_s);
  // What the cloud offers from now on.
  void set_types(std::vector<wire::MachineType> types);
  // Machines that the cloud was asked to return, and those that are there.
  std::size_t returned() const { return returned_; }
  std::size_t there();

  struct Stay {
    TaskKey task;
    AttemptNumber attempt;
    MachineId machine;
    Instant from;
    std::optional<Instant> until;
    bool done = false;
  };
  std::vector<Stay> stays(const std::string& job);
  std::size_t done_tasks(const std::string& job);
  std::size_t on_machines(const std::string& job);
  int ran_twice();
  // The longest report and the longest answer to one, in JSON bytes.
  std::size_t longest_report() const { return longest_report_; }
  std::size_t longest_answer() const { return longest_answer_; }
  std::size_t refused_reports() const { return refused_reports_; }
  std::size_t expired_sessions();
  std::size_t machines_up();
  // The cloud rents no more at a time.
  std::size_t most_machines = 60;

  const wire::JobSpec* job(const JobId& id) override;
  Millis run_left(const TaskKey& task) override;
  bool is_done(const TaskKey& task) override { return done_.contains(task); }
  void keep_progress(const TaskKey& task, Millis progress) override { progress_[task] += progress; }
  void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) override;
  void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) override;

 private:
  struct Machine {
    wire::MachineType type;
    std::string zone;
    bool spot = false;
    Instant rented, up_at, up_since, gone_at;
    bool gone = false, up = false;
    std::unique_ptr<standins::Worker> worker;
    bool changed = false;
    net::Address address;
    std::unique_ptr<net::HttpServer> door;
    std::jthread thread;
  };
  net::HttpResponse cloud(const net::HttpRequest& request);
  net::HttpResponse commands(const MachineId& id, const net::HttpRequest& request);
  wire::Heartbeat report_of(Machine& machine);
  bool gang_ready(const JobId& job, AttemptNumber attempt);
  std::size_t alive_count() const;
  void live(const std::stop_token& stop, const MachineId& id);

  Deploy deploy_;
  std::vector<net::Address> nodes_;
  std::vector<std::string> names_;
  Record& record_;
  std::recursive_mutex mutex_;
  std::map<MachineId, Machine> machines_;
  std::map<std::string, std::vector<MachineId>> rentals_;
  std::map<JobId, std::pair<wire::JobSpec, double>> jobs_;
  std::set<TaskKey> done_;
  std::map<TaskKey, Millis> progress_;
  std::map<TaskKey, std::set<MachineId>> on_;
  std::vector<Stay> stays_;
  int ran_twice_ = 0;
  std::atomic<std::size_t> longest_report_{0}, longest_answer_{0}, refused_reports_{0}, returned_{0};
  std::unique_ptr<net::HttpServer> server_;
};

class Rig {
 public:
  Rig(const Deploy& deploy, Record& record);
  ~Rig();
  void start(std::size_t node);
  void start_all();
  void kill(std::size_t node);  // at once, as a crash
  void signal(std::size_t node, int number) const;
  // Whether the process has ended by itself, and how.
  std::optional<std::string> ended(std::size_t node);
  bool up(std::size_t node) const;
  bool wait_up(double seconds) const;
  std::string leader();  // as the state service has it
  double resident_mb(std::size_t node) const;
  net::HttpResponse ask(std::size_t node, const std::string& method, const std::string& path,
                        const std::string& body = {}, Millis limit = Millis(5000)) const;
  // As a user: by any healthy node, again after 1 s for up to 60 s. The last status.
  int submit(const wire::JobSpec& spec, double run_s);
  int submit_body(const std::string& id, const std::string& body, double limit_s = 60);
  // A poll: status, and the job's state if that is 200. A node that does not answer in 2 s counts as 0.
  std::pair<int, std::string> poll(const std::string& id);
  std::pair<int, std::string> abort(const std::string& id, double limit_s = 60);

  Deploy deploy;
  Record& record;
  std::filesystem::path folder;
  std::unique_ptr<standins::HttpState> state;
  std::unique_ptr<Platform> platform;
  std::vector<net::Address> addresses;
  std::vector<pid_t> pids;
  std::size_t over_limit_writes = 0;  // transactions that the state service refused for PROTOCOL's limits

 private:
  net::HttpResponse between_state(const net::HttpRequest& request, const net::HttpServer::Handler& stand_in);
  std::vector<net::Socket> ports_;
  std::vector<net::Address> peers_;
  std::atomic<std::size_t> next_{0};
};

wire::JobSpec array_job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus, double ram_gb,
                        double run_s);

// Runs the case: 0 held, 1 broken, 2 could not run.
int run_case(int argc, char** argv, const std::function<int(Record&)>& body);

}  // namespace rig
