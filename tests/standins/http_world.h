// The stand-ins behind real sockets on loopback, for tests that drive the program itself.
#pragma once

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
#include "standins/state_store.h"
#include "standins/worker.h"

namespace foxshunt::standins {

// Stands between whoever asks and a stand-in: may answer by itself, or hold a request or its answer up.
using Between = std::function<net::HttpResponse(const net::HttpRequest&, const net::HttpServer::Handler& stand_in)>;

// What becomes of a transaction: answered, carried out without an answer, or carried out late without one.
enum class Fate : std::uint8_t { answered, lost, late };

class HttpState {
 public:
  // Listings come in pages of this many items. Each controller may have an address of its own.
  explicit HttpState(std::size_t page = 1000, std::size_t controllers = 0);
  ~HttpState();
  HttpState(const HttpState&) = delete;
  HttpState& operator=(const HttpState&) = delete;

  void set_between(Between between);
  [[nodiscard]] net::Address address() const { return doors_.front().server->address(); }
  // The same service at another address, for a controller that alone may lose it.
  [[nodiscard]] net::Address address_of(std::size_t controller) const { return door(controller).server->address(); }
  void put(const std::string& key, const wire::Value& data);
  // An outage: whatever is asked gets 503, open watches stay open, and no lease ends. At its end all have their full time
  // again.
  void set_out(bool out);
  // The same for this controller alone, and its leases run out, as they do when nobody renews them.
  void refuse(std::size_t controller, bool refused);
  void set_side_out(bool out) { refuse(0, out); }
  // When this controller was last answered otherwise than with 503: it can know of nothing that came later.
  [[nodiscard]] Instant served(std::size_t controller);
  // All open watches are answered as though their time were over; comes back when they were. While nobody is refused.
  void end_holds();
  // Judges each transaction from now on; late ones are carried out after that span.
  void set_fate(std::function<Fate(const net::HttpRequest&)> fate, Millis late_by = {});
  // What was asked so far, as `METHOD PATH` or `list PREFIX`.
  [[nodiscard]] std::vector<std::string> asked();

 private:
  struct Door {
    bool refused = false;
    Instant served;
    std::unique_ptr<net::HttpServer> server;
  };
  [[nodiscard]] const Door& door(std::size_t controller) const { return doors_.at(controller + 1); }
  [[nodiscard]] bool out(const Door& door) const { return out_ || door.refused; }
  net::HttpResponse receive(const net::HttpRequest& request, Door& door);
  net::HttpResponse judge(const net::HttpRequest& request, Door& door);
  net::HttpResponse handle(const net::HttpRequest& request, Door& door);
  net::HttpResponse watch(const std::map<std::string, std::string>& query, Door& door);
  void end_leases(const std::stop_token& stop);

  std::mutex mutex_;
  std::condition_variable changed_;
  Between between_;
  std::function<Fate(const net::HttpRequest&)> fate_;
  Millis late_by_{};
  StateStore store_;
  std::size_t page_;
  bool out_ = false;
  bool closing_ = false;
  std::uint64_t holds_ended_ = 0;
  std::map<std::uint64_t, std::size_t> watches_;  // open, by how often holds had been ended when they began
  std::vector<std::string> asked_;
  std::deque<Door> doors_;  // the first is anybody's
  std::jthread expiry_;
};

// Rents workers that live in this process, each with a thread that reports to the nodes.
class HttpCloud final : public Surroundings {
 public:
  HttpCloud(std::vector<net::Address> nodes, double heartbeat_interval_s, double lease_s);
  ~HttpCloud() override;

  [[nodiscard]] net::Address address() const { return server_->address(); }
  void set_between(Between between);
  void upload(const wire::JobSpec& spec, double run_s);
  [[nodiscard]] int ran_twice() const { return ran_twice_; }
  [[nodiscard]] std::size_t starts();
  // While cut, no worker reaches this node, and no answer of it reaches a worker.
  void cut(std::size_t node, bool is_cut);
  // The job's tasks that run end now.
  void finish(const JobId& job);
  // A task's time on a machine, by the stand-in's clock. What is still there ends with the worker's lease, whether the
  // stand-in has come to end it or not.
  struct Stay {
    TaskKey task;
    AttemptNumber attempt;
    MachineId machine;
    Instant from;
    std::optional<Instant> until;  // nothing: there now
  };
  [[nodiscard]] std::vector<Stay> stays(const JobId& job);
  // Answers that renewed a worker's lease.
  struct Renewal {
    MachineId machine;
    std::size_t node = 0;  // that answered
    Term term;
    Instant sent;  // of the report, from which the lease counts
  };
  [[nodiscard]] std::vector<Renewal> renewals();
  // Reports that wait for this node's answer.
  [[nodiscard]] std::size_t under_way(std::size_t node);

  const wire::JobSpec* job(const JobId& id) override;
  Millis run_left(const TaskKey& task) override;
  bool is_done(const TaskKey& task) override { return done_.contains(task); }
  void keep_progress(const TaskKey&, Millis) override {}
  void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) override;
  void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) override;

 private:
  struct Machine {
    std::string zone;
    bool spot = false;
    Instant rented;
    bool gone = false;
    std::unique_ptr<Worker> worker;
    Instant lease_from;    // as the worker reckons
    bool changed = false;  // since its last report
    std::optional<std::size_t> asks;
    std::jthread thread;
  };
  net::HttpResponse receive(const net::HttpRequest& request);
  net::HttpResponse handle(const net::HttpRequest& request);
  [[nodiscard]] bool ready(const JobId& job, AttemptNumber attempt);  // all tasks of the gang are there
  void live(const std::stop_token& stop, const MachineId& id);
  // Lets time pass for all workers, also while their reports wait for answers.
  void pass_time(const std::stop_token& stop);
  void advance(Machine& machine, Instant at);
  // What the worker is told to do when it is sent to another node.
  [[nodiscard]] std::optional<std::size_t> node_named(const net::HttpResponse& answer) const;

  std::vector<net::Address> nodes_;
  double report_s_;
  Millis lease_;
  wire::MachineType type_;
  Between between_;
  std::recursive_mutex mutex_;  // workers call back while they are advanced
  std::map<MachineId, Machine> machines_;
  std::map<std::string, std::vector<MachineId>> rentals_;
  std::map<JobId, std::pair<wire::JobSpec, double>> jobs_;
  std::set<TaskKey> done_;
  std::map<TaskKey, std::set<MachineId>> on_;
  std::vector<Stay> stays_;
  std::vector<Renewal> renewals_;
  std::set<std::size_t> cut_;
  Instant passing_;  // the moment at which workers are being told something
  int ran_twice_ = 0;
  std::size_t starts_ = 0;
  std::unique_ptr<net::HttpServer> server_;
  std::jthread clock_;
};

}  // namespace foxshunt::standins
