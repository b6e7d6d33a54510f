// A deployment in which nothing happens by itself: each message, transaction, duty and trouble, and each step of time, is
// an action that a search chooses. Controller, grants and records are the program's own; what src/node does between them is
// mirrored here, as standins/world.cpp does it. Copies go on apart from each other. docs/design/explorer.md has the bounds.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/controller.h"
#include "standins/history.h"
#include "standins/rules.h"
#include "standins/state_store.h"
#include "standins/worker.h"
#include "state/job_records.h"
#include "state/leadership_records.h"
#include "zone/delegated_lease.h"

namespace foxshunt::explorer {

using plan::Instant;
using plan::Millis;

enum class Kind : std::uint8_t {
  pass,       // a: of kSpans; b: the order of each round
  turn,       // a: node, b: of kDuties; no time passes
  heartbeat,  // a: machine, whose report need not be due
  submit,     // a: job, b: node
  cancel,     // a: job, b: node
  ask,        // a: job, b: node
  crash,      // a: node; it begins anew at once
  freeze,     // a: node; and again: it goes on
  refuse,     // a: node, by the state service alone; and again: it is served
  stall,      // a: node, b: of kDuties, which does nothing and hears no answer, as others have the processor; and again
  outage,     // of the state service; and again: its end
  part,       // siblings hear nothing of each other; and again: they do
  cut,        // a: machine, b: node; and again: mended
  hang,       // a: machine; and again: it goes on
  deaf,       // a: machine; and again: it hears
  capture,    // a: of Sort, b: node or machine, c: of Fate; the next such message
  arrive,     // a: of the captured messages, the oldest is 0
};

// What can be captured; `b` of a capture is the machine for report, answer and halt, and the node for the others.
enum class Sort : std::uint8_t { lead, write, user, heartbeat, answer, halt, ask, delegation };
enum class Fate : std::uint8_t {
  late,  // no answer now; carried out whenever it arrives, and once more
  lost,  // carried out now, no answer
  slow,  // carried out now, answered when it arrives
  held,  // neither, until it arrives
};
enum class Duty : std::uint8_t { lead, watch, plan, write, ask };
inline constexpr std::array kSpans{Millis(1000), Millis(2000), Millis(5000), Millis(9000), Millis(19'000)};

struct Action {
  Kind kind = Kind::pass;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
  std::uint8_t c = 0;
  friend auto operator<=>(const Action&, const Action&) = default;
};
[[nodiscard]] std::string text(const Action& action);

inline constexpr double kMachineCpus = 4;  // of each machine

struct Setup {
  std::string name;
  std::size_t nodes = 2;
  std::vector<std::string> machines;  // the zone of each
  std::vector<wire::JobSpec> jobs;
  double run_s = 1000;
  double team_cpus_most = 0;  // 0: no limit
  bool delegations = false;
  std::set<Kind> kinds;           // that a breadth-first search chooses from
  std::vector<Action> begins;     // what has happened before it
  std::set<Sort> captures;        // likewise
  std::size_t captured_most = 2;  // at a time
};
[[nodiscard]] const std::vector<Setup>& setups();
[[nodiscard]] const Setup& setup_named(const std::string& name);  // throws std::out_of_range

class Model {
 public:
  explicit Model(const Setup& setup);
  Model(const Model& other);
  Model& operator=(const Model&) = delete;
  Model(Model&&) = delete;
  Model& operator=(Model&&) = delete;
  ~Model() = default;

  // False if there is nothing to do so: then nothing has changed.
  bool apply(const Action& action);
  // All that may be chosen now; `all`: of every kind, not only the setup's.
  [[nodiscard]] std::vector<Action> choices(bool all) const;
  // All that matters of the state, with times as they lie from now.
  [[nodiscard]] std::string digest() const;
  // The first broken rule.
  [[nodiscard]] std::optional<std::string> breach() const;
  [[nodiscard]] std::size_t starts() const { return rules_.starts(); }

 private:
  struct Node {
    explicit Node(control::Controller made) : controller(std::move(made)) {}
    Node(const Node& other);
    Node(Node&&) = default;
    Node& operator=(const Node&) = delete;
    Node& operator=(Node&&) = default;
    ~Node() = default;

    control::Controller controller;
    std::uint64_t life = 1;
    bool frozen = false;
    bool refused = false;
    std::set<Duty> stalled;
    kv::LeaseId lease;
    struct Taking {  // the lead is taken, the records are not read yet
      Term term;
      Revision revision;
      std::int64_t until_wall_ms = 0;
      Instant asked;
    };
    std::optional<Taking> taking;
    Revision watch_from;
    NodeName leader_seen;
    Term term_seen;
    zone::DelegatedLease holder;
    std::optional<Instant> leader_answered;
    bool writing = false;
    std::map<JobId, wire::JobStatus> ended;  // that the front remembers
    // As the controller was told, for the digest.
    Instant lease_at;
    Instant read_at;
    Instant older_leaders_until;
  };
  struct Machine {
    standins::Worker worker;
    std::string zone;
    std::size_t node = 0;  // that it reports to
    bool deaf = false;
    bool changed = true;
    Instant lease_from;  // as the worker's own, for the digest
    Instant next_heartbeat;
    std::optional<Instant> waits_until;  // for an answer
  };
  struct Message {
    Sort sort = Sort::write;
    Fate fate = Fate::late;
    std::size_t node = 0;
    std::uint64_t life = 0;
    std::size_t machine = 0;
    Instant sent;
    int left = 1;  // times that it arrives
    kv::Txn txn;
    std::optional<jobs::WriteBatch> batch;
    std::optional<kv::TxnResult> result;
    std::optional<Node::Taking> taking;
    std::optional<JobId> creates;
    wire::Heartbeat heartbeat;
    std::optional<std::vector<wire::Command>> commands;
    Term term;
    AgentIncarnation incarnation;
    zone::DelegationRequest ask;
    zone::LeaseDelegation delegation;
  };
  // What workers ask of whichever copy is being played.
  struct Stage final : standins::Surroundings {
    Model* model = nullptr;
    const wire::JobSpec* job(const JobId& id) override;
    Millis run_left(const TaskKey& task) override;
    bool is_done(const TaskKey& task) override { return model->done_.contains(task); }
    void keep_progress(const TaskKey&, Millis) override {}
    void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) override;
    void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) override;
  };

  [[nodiscard]] config::Settings settings_of(std::size_t node) const;
  void add_machine(const std::string& zone);
  [[nodiscard]] Node new_node(std::size_t node, std::uint64_t life) const;
  [[nodiscard]] std::int64_t wall_ms() const;
  [[nodiscard]] bool served(std::size_t node) const {
    return !outage_ && !nodes_[node].refused && !nodes_[node].frozen;
  }
  [[nodiscard]] std::optional<std::size_t> node_of(const NodeName& name) const;
  // The fate that the next message of this sort was given, which is thereby used up.
  [[nodiscard]] std::optional<Fate> fate(Sort sort, std::size_t who);
  [[nodiscard]] bool cut(std::size_t machine, std::size_t node) const { return cuts_.contains({machine, node}); }

  bool apply_choice(const Action& action);
  void pass(Millis span, bool reversed);
  void round(bool reversed);
  void give_up_calls();
  void advance();
  void turn(std::size_t node, Duty duty);
  void lead_turn(std::size_t node);
  void acquire_leadership(std::size_t node, const state::LeadershipView& view);
  void read_records(std::size_t node);
  void follow_turn(std::size_t node);
  void plan_turn(std::size_t node);
  void write_turn(std::size_t node);
  void ask_turn(std::size_t node);
  void on_delegation_request(const Message& message);
  void report_turn(std::size_t machine);
  void deliver_heartbeat(std::size_t machine, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node);
  bool answer_by_delegation(std::size_t machine, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                            bool tried);
  void take_heartbeat(std::size_t machine, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                      std::size_t via);
  void end_answer(const Message& message);
  void deliver_answer(std::size_t machine, const std::optional<std::vector<wire::Command>>& commands, Term term,
                      AgentIncarnation incarnation, Instant sent);
  void turn_to(std::size_t machine, std::size_t node, Millis pause);
  void submit(const wire::JobSpec& spec, std::size_t node);
  void cancel(const JobId& job, std::size_t node);
  void ask(const JobId& job, std::size_t node);
  struct Seen {
    std::optional<wire::JobStatus> status;
    std::optional<state::JobRecord> live;
    Revision revision;
  };
  [[nodiscard]] Seen look(std::size_t node, const JobId& job);
  kv::TxnResult carry_out(const kv::Txn& txn, const std::optional<JobId>& creates);
  // One of the captured messages comes.
  bool arrive(std::size_t number);
  void capture(Message message);

  const Setup* setup_;
  std::shared_ptr<Stage> stage_;
  Instant now_;
  standins::StateStore store_;
  std::vector<Node> nodes_;
  std::vector<Machine> machines_;
  std::vector<Message> captured_;
  std::map<std::pair<Sort, std::size_t>, Fate> armed_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;  // machine, node
  std::map<std::uint64_t, Instant> leases_;             // ends of the state service's, for the digest
  bool outage_ = false;
  bool parted_ = false;
  std::set<TaskKey> done_;
  std::map<JobId, wire::JobState> told_;  // last, for the digest
  std::map<JobId, Instant> withdrawn_;    // since its user was told
  standins::Rules rules_;
  standins::History history_;
  std::optional<std::string> fault_;  // of the job table
};

}  // namespace foxshunt::explorer
