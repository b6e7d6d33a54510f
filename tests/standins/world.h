// A whole deployment in virtual time: the real Controller in several controllers, with stand-ins for the state
// service, the cloud, workers and users, and for the network between them. The same seed gives the same day.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "calendar/keeper.h"
#include "classes/queue.h"
#include "control/controller.h"
#include "control/times.h"
#include "control/relay_policy.h"
#include "ledger/jobs.h"
#include "ledger/ledger.h"
#include "pools/keeper.h"
#include "standby/listener.h"
#include "standby/teller.h"
#include "standins/balancer.h"
#include "standins/history.h"
#include "standins/rules.h"
#include "standins/served.h"
#include "standins/state_store.h"
#include "standins/traffic_recorder.h"
#include "standins/worker.h"
#include "state/leadership_records.h"
#include "user_api/request.h"
#include "zone/delegated_lease.h"

namespace foxshunt::standins {

struct Supply {
  wire::MachineType type;
  std::size_t each_zone = 0;  // ordinary machines that a zone has
  std::size_t spot_each_zone = 0;
};

struct Submission {
  wire::JobSpec spec;
  double run_s = 0;  // what its tasks really take
};

// A controller's duties, as far as each may come to its turn late.
enum class Duty : std::uint8_t { lease, records, writes, planning, cloud, direct_stops, heartbeats, users, asks };
inline constexpr std::array kDutyNames{"lease", "records", "writes", "planning", "cloud",
                                       "halts", "reports", "users",  "asks"};

// What a node may be in the middle of when it ends: the lead is asked for, the records are on their way to the new
// leader, or the write, grant or rental is carried out and nobody has heard of it.
enum class Moment : std::uint8_t { lead, records, write, delegation, rental };
inline constexpr std::array kMomentNames{"lead", "records", "write", "grant", "rental"};

class World final : public Surroundings {
 public:
  World(config::Settings settings, std::vector<Supply> supplies, std::size_t nodes, unsigned seed);

  // What may be said at any time before or during a day.
  void at(double when_s, std::function<void()> what);
  // The pools in force from now on; before the first word of them no node follows the ledger.
  void declare_pools(const std::vector<catalog::PoolDef>& pools);
  void open_windows(bool open) { windows_open_ = open; }
  // The cloud lists the type no more. There must be no machine of it.
  void withdraw_type(const std::string& type);
  void start_up(const std::string& type, const std::string& zone, std::size_t count);
  void submit(const Submission& submission);
  // At that node; or at any one each time that it is tried.
  void cancel(const JobId& job, std::optional<std::size_t> at = {});
  // Of workers that begin from now on: true seconds that pass while their steady clocks count one.
  void drift_workers(double rate) { worker_rate_ = rate; }
  void crash(std::size_t node, double for_s);
  // The next node that comes to the moment ends in it.
  void crash_during(Moment moment, double for_s) { crashes_during_.emplace(moment, for_s); }
  [[nodiscard]] std::size_t crashes_left() const { return crashes_during_.size(); }
  // From now on some of what was carried out is carried out again up to two minutes later, whoever lives then:
  // transactions, reports, rentals, returns, asks, direct halts, submissions and cancellations. No answers of reports:
  // a worker takes one for each, and a second `run` after its `clear` would begin the attempt again.
  void late_copies(bool on) { late_copies_ = on; }
  // Images that a machine fetches at the same time share its rate. To be said before the day.
  void let_fetches_share() { fetches_share_ = true; }
  // Steady clocks of nodes and machines run fast or slow by that share, as it falls out. To be said before the day.
  void let_clocks_drift(double share);
  void state_outage(double for_s);
  void cloud_outage(double for_s);
  // `hold`: what is sent meanwhile arrives afterwards, rather than never.
  void cut_node_from_state(std::size_t node, double for_s, bool hold);
  void cut_node_from_workers(std::size_t node, double for_s);
  // Siblings hear nothing of each other.
  void cut_siblings(double for_s);
  // Nothing goes in or out; controllers and workers inside hear each other. `hold` as above.
  void cut_zone(const std::string& zone, double for_s, bool hold);
  // Its machines are gone for good, its controllers for a while.
  void lose_zone(const std::string& zone, double for_s);
  // What the duty has asked is answered, but it hears of nothing and does nothing until then: others had the processor.
  void delay_duty(std::size_t node, Duty duty, double for_s);
  void cut_worker(const MachineId& machine, double for_s, bool hold);
  void hang(const MachineId& machine, double for_s);
  void die(const MachineId& machine);
  void notice(const MachineId& machine, double notice_s);
  void make_faulty(const MachineId& machine);
  // The state service refuses this node alone: 503 at once, while its open watches wait and its lease runs out.
  void refuse_state(std::size_t node, double for_s);
  // That share of transactions gets no answer and is carried out 2 to 12 s later; or at once, the answer being lost.
  void late_writes(double share, double for_s, bool at_once);
  // Of that share of reports a copy comes to every controller again, after 2 s to over two leases; or is kept until a
  // new leader begins, and comes to all at that moment.
  void late_reports(double share, double for_s, bool for_next);
  // That share of direct commands is held up on its way, unanswered, and carried out once, 2 to 16 s late, if token and
  // session still match.
  void late_commands(double share, double for_s);
  // Calls of the state service and their answers take up to 2.4 s; callers give up after two.
  void slow_state(double for_s);
  // What controllers and workers send each other takes 0.1 to 2.5 s on its way.
  void slow_links(double for_s);
  // Its reports arrive; answers and direct commands to it are lost.
  void make_deaf(const MachineId& machine, double for_s);
  // It opens no connection to a controller; direct commands reach it.
  void make_mute(const MachineId& machine, double for_s);
  // So many of the running jobs, those first that have longest to go, are called off within a fifth of a second; up to
  // eight of their machines hang for so long.
  void cancel_now(std::size_t count, double hang_s);
  // That share of the jobs whose last task completes is called off at that moment.
  void cancel_at_end(double share, double for_s);
  // Neither hears siblings nor is heard by them.
  void cut_node_from_siblings(std::size_t node, double for_s);
  // Direct commands and answers of reports arrive there when it is over; a worker has then given up most reports.
  void hold_commands(const MachineId& machine, double for_s);
  // Machines that are rented meanwhile are up in under two seconds.
  void quick_boots(double for_s);
  // Users repeat submissions of unfinished jobs, also without a field, cancel jobs that are done, and submit jobs that
  // can never run or lack a field.
  void odd_requests(double for_s);
  // Users ask at all nodes, again and again within milliseconds, and repeat the submission, once a job was accepted,
  // has ended or was confirmed as cancelled.
  void close_looks(double for_s);
  // That share of the machines that are up, and those of a zone.
  [[nodiscard]] std::vector<MachineId> some_machines(double share);
  [[nodiscard]] std::vector<MachineId> machines_in(const std::string& zone) const;
  // How often a trouble has struck so far, by the name of its command in scenarios.
  [[nodiscard]] const std::map<std::string, std::size_t>& struck() const { return struck_; }
  // How far the fastest steady clock is ahead of the slowest.
  [[nodiscard]] double clocks_apart_s() const;
  [[nodiscard]] std::size_t struck(const std::string& trouble) const;
  // In force from now on; all controllers follow the records from then on.
  void declare(const catalog::Set& set);

  void run_until(double when_s);
  // The time of day at that time of the day.
  [[nodiscard]] static std::int64_t wall_ms_at(double when_s);
  [[nodiscard]] double now_s() const { return control_seconds(now_); }

  // What a user would be told now by some node that is in reach; nothing when there is none.
  [[nodiscard]] std::optional<wire::JobStatus> ask(const JobId& job);
  [[nodiscard]] Rules& rules() { return rules_; }
  [[nodiscard]] std::vector<std::string> broken() const;  // of rules and of what users were told
  [[nodiscard]] std::vector<Served::Share> shares() const { return served_.shares(now_); }
  [[nodiscard]] std::vector<std::string> served_verdicts() const { return served_.verdicts(now_); }
  // Decides whether a node that is alive and in reach answers GET /up with 200; by default whether it has heard of the
  // state service lately.
  std::function<bool(std::size_t)> up = [this](std::size_t node) { return hears_state(node); };
  [[nodiscard]] bool hears_state(std::size_t node) const;
  [[nodiscard]] std::optional<std::size_t> leader() const;
  // The order of waiting jobs as a node ranks them by the records that it follows; nothing while it does not know them.
  struct Queue {
    std::pair<Revision, classes::TimeStep> basis;
    std::string digest;
    std::vector<JobId> jobs;
  };
  [[nodiscard]] std::optional<Queue> queue(std::size_t node);
  // Of a node that is alive and follows the records; nothing without a calendar.
  [[nodiscard]] const calendar::DeadlineController* calendar(std::size_t node) const;
  // Whether nodes at the same revision (and time step) say the same of queue, calendar and slack.
  [[nodiscard]] bool alike();
  [[nodiscard]] std::size_t compared() const { return compared_; }  // pairs of these, so far
  // What was written of each occurrence.
  struct Told {
    calendar::State state = calendar::State::expected;
    std::size_t openings = 0;
    std::size_t closings = 0;
  };
  [[nodiscard]] const std::map<std::string, Told>& occurrences() const { return occurrences_; }
  [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }
  [[nodiscard]] std::size_t answered_by_delegation() const { return answered_by_grant_; }
  [[nodiscard]] std::size_t hints_taken() const { return hints_taken_; }  // by new leaders
  [[nodiscard]] std::size_t words_refused() const { return words_refused_; }
  [[nodiscard]] std::size_t rented() const { return rented_; }  // machines, by whoever led
  [[nodiscard]] std::size_t killed_by_lease() const;
  [[nodiscard]] control::Controller& controller(std::size_t node) { return *nodes_.at(node).controller; }
  // Of a node that is alive.
  [[nodiscard]] const pools::WarmPoolController* pools(std::size_t node) const;
  [[nodiscard]] bool digests_equal() const;
  [[nodiscard]] std::size_t pool_rentals() const;
  [[nodiscard]] std::size_t machines_up() const;
  [[nodiscard]] std::vector<MachineId> machine_names() const;
  [[nodiscard]] std::optional<double> first_start_s(const JobId& job) const;
  [[nodiscard]] std::vector<MachineId> where(const TaskKey& task) const;
  [[nodiscard]] std::size_t starts_of(const TaskKey& task) const;
  [[nodiscard]] const std::vector<JobId>& accepted() const { return accepted_; }

  // Surroundings
  const wire::JobSpec* job(const JobId& id) override;
  Millis run_left(const TaskKey& task) override;
  bool is_done(const TaskKey& task) override { return done_.contains(task); }
  void keep_progress(const TaskKey& task, Millis progress) override { progress_[task] += progress; }
  void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) override;
  void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) override;

 private:
  struct PoolSide {
    explicit PoolSide(const World& world);
    record_cache::RecordCache record_cache;
    record_cache::Jobs jobs;
    pools::WarmPoolController keeper;
    bool read = false;
    bool following = false;
    bool writing = false;
    Instant next_look;
    Instant next_follow;
  };
  struct Node {
    std::unique_ptr<control::Controller> controller;
    std::unique_ptr<user_api::FinalStates> finals;
    std::uint64_t life = 0;  // grows with each restart; what an earlier life asked is not answered
    bool alive = true;
    bool cut_from_state = false;
    bool state_holds = false;
    bool cut_from_workers = false;
    Instant refused_from;  // by the state service
    Instant refused_until;
    Instant alone_until;  // without siblings
    double drift = 0;
    kv::LeaseId lease;
    Revision watch_from;
    NodeName leader_seen;
    Term term_seen;
    control::RelayPolicy relay_policy;
    std::string zone;
    zone::DelegatedLease holder;
    std::optional<Instant> leader_answered;
    Instant next_request;
    bool asking = false;
    std::optional<Instant> state_heard;
    bool calling_lead = false;
    bool taking_lead = false;  // from the transaction that takes the lead until the records are read
    bool calling_follow = false;
    bool calling_write = false;
    bool calling_cloud = false;
    std::array<Instant, kDutyNames.size()> late_until{};
    Instant next_list;
    Instant next_peers;
    std::unique_ptr<PoolSide> pools;
    std::unique_ptr<record_cache::RecordCache> record_cache;  // once a catalog is declared
    std::unique_ptr<record_cache::Jobs> known_jobs;
    std::unique_ptr<calendar::DeadlineController> calendar;  // if it has a calendar
    bool calling_ledger = false;
    bool calling_calendar = false;
    Instant next_calendar;
    classes::StepClock steps;
    std::unique_ptr<standby::Publisher> publisher;
    std::unique_ptr<standby::Subscriber> subscriber;
    Instant next_standby;
    bool asking_standby = false;
    std::optional<Instant> hints_wanted_until;
  };
  struct Rented {
    std::unique_ptr<Worker> worker;  // once it is up
    std::string type;
    std::string zone;
    bool spot = false;
    Instant rented;
    std::optional<Instant> gone;  // returned or taken
    bool failed = false;
    bool cut = false;
    bool holds = false;
    std::size_t node = 0;  // that it reports to
    bool reporting = false;
    Instant next_heartbeat;
    bool changed = false;
    Instant deaf_until;
    Instant mute_until;
    Instant held_until;  // what is sent to it
    double drift = 0;
  };
  struct LateWrites {
    double share = 0;
    Instant until;
    bool at_once = false;
  };
  struct CancelsAtEnd {
    double share = 0;
    Instant until;
  };
  struct LateReports {
    double share = 0;
    Instant until;
    bool for_next = false;
  };
  struct LateCommands {
    double share = 0;
    Instant until;
  };
  // What a new leader has read so far.
  struct RecordsRead {
    control::FailoverSnapshot failover;
    std::int64_t older_leaders_until_wall_ms = 0;
    Instant began;    // when the lead was asked for
    Instant renewed;  // when the last answered renewal of the lease was
    Revision from;    // of the first page
  };
  // What becomes of a transaction.
  enum class Fate : std::uint8_t { answered, unanswered, late };

  static constexpr Millis kStep{50};      // of duties and workers
  static constexpr Millis kWordDelay{4};  // of siblings' words; fixed, so that they change no other day's luck

  static double control_seconds(Instant when);
  // What a steady clock shows that goes so much faster.
  [[nodiscard]] static Instant by_clock(double drift, Instant when);
  [[nodiscard]] Instant time_of(std::size_t node) const { return by_clock(nodes_[node].drift, now_); }
  [[nodiscard]] Instant time_of(const Rented& machine) const { return by_clock(machine.drift, now_); }
  [[nodiscard]] static Instant time_of(const Rented& machine, Instant when) { return by_clock(machine.drift, when); }
  // Again and again until it is true.
  void repeat(Millis span, std::function<bool()> what);
  void after(Millis span, std::function<void()> what);
  [[nodiscard]] Millis delay();
  void trouble(double for_s) {
    rules_.on_trouble(now_ + control::from_seconds(for_s));
    history_.on_trouble(now_);
  }
  [[nodiscard]] std::vector<Rules::Machine> machines_for_rules() const;
  // The node is in the middle of it, and may end here.
  void reached(Moment moment, std::size_t node);
  // Perhaps, if there are late copies.
  void copy_late(std::function<void()> what);
  // A call to the state service: its answer, late or never, reaches the node if that life of it still runs.
  template <typename Result>
  void call_state(std::size_t node, Duty duty, std::function<Result(StateStore&)> what,
                  std::function<void(const Result&)> then, bool copied = true, Millis hold = Millis(0));
  [[nodiscard]] bool refused(std::size_t node) const { return now_ < nodes_[node].refused_until; }
  [[nodiscard]] bool lucky(double share);  // from the troubles' own luck
  [[nodiscard]] double between(double low, double high);
  [[nodiscard]] Fate fate();
  // How long a direct command is held up; nothing if it is not.
  [[nodiscard]] std::optional<Millis> late_command();
  [[nodiscard]] Millis slow_state();  // of a call and its answer, beyond the usual
  [[nodiscard]] Millis slow_link();   // of a message, beyond the usual
  // After newer ones, and not during an outage.
  void carry_out_late(std::function<void(StateStore&)> what);
  // A copy of a report that was sent long ago.
  void hear_copy(std::size_t node, const wire::Heartbeat& heartbeat);
  void copy_report(const wire::Heartbeat& heartbeat);
  void on_new_leader();
  // When the job's running tasks end; nothing if none runs.
  [[nodiscard]] std::optional<Instant> runs_until(const JobId& job) const;
  [[nodiscard]] bool all_done(const JobId& job) const;
  [[nodiscard]] bool late(std::size_t node, Duty duty) const;
  void peer_duty(std::size_t node);
  void ask_duty(std::size_t node);
  void standby_duty(std::size_t node);
  // What it tells a sibling, as bytes; nothing if it has nothing to tell.
  [[nodiscard]] std::optional<std::string> standby_word(std::size_t node, const standby::SnapshotRequest& ask);
  [[nodiscard]] config::Settings settings_of(std::size_t node) const;
  void begin_life(std::size_t node);
  [[nodiscard]] bool parted(const std::string& one, const std::string& other) const;
  // Of nodes.
  [[nodiscard]] bool apart(std::size_t one, std::size_t other) const;
  [[nodiscard]] bool hears(std::size_t node, std::size_t sibling) const;
  // With what the node itself was granted; false if that is nothing.
  bool answer_by_delegation(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                            bool leader_tried);
  void duties(std::size_t node, std::uint64_t life);
  void lead_duty(std::size_t node);
  void acquire_leadership(std::size_t node, const state::LeadershipView& view);
  // Reads the page of records with this prefix, by its number, that begins after the key `from`, and goes on to the next.
  void read_records(std::size_t node, const std::shared_ptr<RecordsRead>& read, std::size_t prefix,
                    const std::string& from);
  void become_leader(std::size_t node, const RecordsRead& read);
  void follow_duty(std::size_t node);
  void ledger_duty(std::size_t node);
  void calendar_duty(std::size_t node);
  void note_occurrences(const kv::Txn& txn);
  [[nodiscard]] std::map<JobId, int> slack(const Node& node) const;
  void write_duty(std::size_t node);
  void cloud_duty(std::size_t node);
  // Nothing if there is no capacity.
  std::vector<MachineId> rent(const wire::ScaleOutRequest& request);
  void give_back(const std::vector<MachineId>& names);
  void halt_duty(std::size_t node);
  void pool_duty(std::size_t node);
  void pool_write(std::size_t node);
  void worker_step(const MachineId& id);
  void answer_report(const MachineId& id, const wire::Heartbeat& heartbeat,
                     std::optional<std::vector<wire::Command>> commands, Instant sent, Instant came, std::size_t node,
                     std::uint64_t life, std::size_t via);
  // To the node that the worker reports to, and `via` it to another one.
  void deliver_heartbeat(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node);
  void take_heartbeat(const MachineId& id, const wire::Heartbeat& heartbeat, Instant sent, std::size_t node,
                      std::size_t via);
  [[nodiscard]] std::optional<std::size_t> node_of(const NodeName& name) const;
  [[nodiscard]] bool reaches(std::size_t node, const Rented& machine) const;
  // What a node sends to it, be it an answer or a command.
  [[nodiscard]] bool is_heard(std::size_t node, const Rented& machine);
  [[nodiscard]] bool is_held(const Rented& machine);
  // Whether the worker waits no longer for the node's answer to what it sent then.
  [[nodiscard]] bool gave_up(const Rented& machine, Instant sent, std::size_t node) const;
  void hear_answer(Rented& machine, const std::optional<std::vector<wire::Command>>& commands, Term term,
                   AgentIncarnation incarnation, Instant sent, double jitter);
  // Perhaps, if there are late copies: the answer reaches the agent a second time.
  void copy_answer(const MachineId& id, const std::vector<wire::Command>& commands, Term term,
                   AgentIncarnation incarnation, Instant sent);
  void hear_copy(const MachineId& id, const std::vector<wire::Command>& commands, Term term,
                 AgentIncarnation incarnation, Instant sent);
  MachineId add_machine(const std::string& type, const std::string& zone, bool spot, Millis boot);
  [[nodiscard]] std::vector<wire::MachineType> types() const;
  [[nodiscard]] std::vector<wire::ListedMachine> listing() const;
  // As src/node/front.cpp does. Nothing comes back if the node ends, or its answer comes too late for its user.
  using Heard = std::function<void(const user_api::Reply&)>;
  struct Asked {
    History::Request request;
    JobId job;
  };
  // The user's history tells of it. What the node answers within the limit, and while users reach it, is heard.
  void serve(std::size_t node, const Asked& asked, std::shared_ptr<user_api::Request> request, Millis limit,
             Heard then);
  [[nodiscard]] static History::Answer told_by(const user_api::Reply& reply);
  [[nodiscard]] user_api::Known known(std::size_t node);
  [[nodiscard]] std::shared_ptr<user_api::Request> submission(std::size_t node, const wire::Value& body);
  // A request whose answer is held against the rules only if it can't have been overtaken by another one.
  void request(std::size_t node, const Asked& asked, std::shared_ptr<user_api::Request> made);
  void odd_request();
  [[nodiscard]] wire::Value without_a_field(wire::JobSpec spec);
  void submit_oddly(std::size_t node, wire::JobSpec spec);
  void look_closely(const JobId& job);
  [[nodiscard]] bool is_accepted(const JobId& job) const {
    return std::ranges::find(accepted_, job) != accepted_.end();
  }
  // Whether users' connections reach the node.
  [[nodiscard]] bool in_users_reach(std::size_t node) const;
  // ---- what the recorder is told (world_traffic.cpp) ----
  void record_state_call(std::size_t node, Duty duty);
  void record_state_answer(std::size_t node, Duty duty, kv::Status answer);
  void record_report(const wire::Heartbeat& heartbeat, std::size_t node);
  // Without commands the worker is sent to another node.
  void record_report_answer(const MachineId& machine, std::size_t node, Term term,
                            const std::optional<std::vector<wire::Command>>& commands);
  void record_direct_commands(std::size_t node, const control::DirectStop& direct_stop);
  void record_rental(std::size_t node, const wire::ScaleOutRequest& request, const std::vector<MachineId>& rented);
  void record_returns(std::size_t node, const std::vector<MachineId>& machines);
  void record_listing(std::size_t node, const std::vector<wire::ListedMachine>& listed);
  void record_user_request(std::size_t node, const Asked& asked);
  void record_user_reply(std::size_t node, const Asked& asked, const user_api::Reply& reply);
  // What a user is told who asks how the job is doing; nothing: that there is none.
  void record_poll_answer(std::size_t node, const JobId& job, const std::optional<wire::JobStatus>& status);
  void record_operator_reply(std::size_t node, std::string_view path, const wire::Value& body);
  void record_forwarded_report(std::size_t node, std::size_t leader, const wire::Heartbeat& heartbeat);
  void record_term_notice(std::size_t node, std::size_t sibling, Term term);
  void record_grant_request(std::size_t node, std::size_t leader, const zone::DelegationRequest& ask);
  void record_grant(std::size_t leader, const std::optional<zone::LeaseDelegation>& delegation);
  void record_standby_request(std::size_t node, std::size_t sibling, const standby::SnapshotRequest& ask);
  void record_standby_answer(std::size_t node, const std::optional<std::string>& bytes);

  void probe_nodes();
  void poll_users();
  [[nodiscard]] std::int64_t wall_ms() const;

  config::Settings settings_;
  std::vector<Supply> supplies_;
  std::mt19937 random_;
  std::mt19937 users_luck_;  // of their own, so that they change no day's other luck
  std::mt19937 copies_luck_;
  std::mt19937 words_luck_;
  std::mt19937 troubles_luck_;
  TrafficRecorder* traffic_ = TrafficRecorder::installed();
  Instant now_;
  std::multimap<Instant, std::function<void()>> agenda_;
  StateStore store_;
  std::shared_ptr<const catalog::Set> catalog_;
  std::map<std::string, Told> occurrences_;
  std::size_t compared_ = 0;
  bool state_out_ = false;
  bool cloud_out_ = false;
  bool siblings_cut_ = false;
  std::map<std::string, bool> cut_zones_;  // whether what is sent meanwhile is held
  std::size_t answered_by_grant_ = 0;
  std::size_t hints_taken_ = 0;
  std::size_t words_refused_ = 0;
  std::size_t rented_ = 0;
  bool fetches_share_ = false;
  bool late_copies_ = false;
  double drift_ = 0;
  LateWrites late_writes_;
  LateReports late_reports_;
  LateCommands late_commands_;
  Instant write_lost_until_;  // a call that luck left without an answer is given up by then
  Instant slow_state_until_;
  Instant slow_links_until_;
  CancelsAtEnd cancels_at_end_;
  Instant quick_boots_until_;
  Instant odd_requests_until_;
  Instant close_looks_until_;
  std::size_t odd_jobs_ = 0;
  std::vector<wire::Heartbeat> reports_for_next_;  // copies that wait for the next leader
  std::map<std::string, std::size_t> struck_;
  std::multimap<Moment, double> crashes_during_;
  Balancer balancer_;
  std::uint64_t polls_ = 0;
  Millis worker_step_;
  double worker_rate_ = 1;
  std::size_t places_per_step_;
  std::vector<Node> nodes_;
  std::map<MachineId, Rented> machines_;
  std::map<std::string, std::vector<MachineId>> rentals_;
  std::map<JobId, Submission> submissions_;
  std::map<TaskKey, Millis> progress_;
  std::set<TaskKey> done_;
  std::map<JobId, Instant> submitted_at_;
  std::map<JobId, Instant> first_start_;
  std::set<std::tuple<TaskKey, AttemptNumber, MachineId, AgentIncarnation>> started_attempts_;
  std::vector<std::string> started_again_;
  std::map<TaskKey, std::size_t> task_starts_;
  std::map<TaskKey, std::set<MachineId>> where_;
  std::vector<JobId> accepted_;
  std::set<JobId> cancelled_;
  Rules rules_;
  History history_;
  Served served_;
  std::size_t next_machine_ = 0;
  catalog::Set set_;
  bool windows_open_ = true;
};

}  // namespace foxshunt::standins
