// The leader's mind: jobs, tasks, machines, leases, placements and the size of the fleet. Pure: it is told
// events and the time, and says what to do; threads and sockets are src/node's.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "classes/ranking.h"
#include "config/settings.h"
#include "control/demand.h"
#include "control/gang_reservation.h"
#include "control/supply.h"
#include "foresight/foresight.h"
#include "aging/aging.h"
#include "plan/planner.h"
#include "pools/desk.h"
#include "preempt/preempt.h"
#include "inventory/machine_inventory.h"
#include "standby/picture.h"
#include "kv/client.h"
#include "state/job_records.h"
#include "wire/messages.h"
#include "jobs/job_table.h"
#include "zone/delegation_table.h"
#include "zone/zone_health.h"

namespace foxshunt::control {

using plan::Amounts;
using plan::Instant;
using plan::Millis;

using inventory::Machine;
using inventory::MachineState;
using jobs::Job;
using jobs::Part;
using jobs::Run;
using jobs::WriteBatch;

struct DirectHalt {
  Term term;  // in which it was decided: its token, whoever leads when it is sent
  MachineId machine;
  std::string address;
  SessionNo session;
  std::vector<wire::Command> commands;
};

struct Takeover {
  Term term;
  Revision term_mark;
  Instant others_until;  // until then older leaders may still renew workers' leases
  std::vector<kv::Entry> live;
  std::vector<kv::Entry> linger;
  std::vector<kv::Entry> parts;
  std::int64_t wall_ms = 0;  // now, by the time of day
};

// What this leader has done so far, for operators and tests.
struct Counters {
  std::uint64_t reports = 0;
  std::uint64_t passes = 0;
  std::uint64_t portions = 0;      // of the passes
  std::uint64_t jobs_planned = 0;  // in them
  std::uint64_t places_seen = 0;   // machines looked at for these jobs
  std::uint64_t placed = 0;        // tasks
  std::uint64_t writes = 0;        // transactions
  std::uint64_t writes_failed = 0;
};

// What there is now.
struct Census {
  std::uint64_t jobs = 0;
  std::uint64_t tasks_waiting = 0;
  std::uint64_t tasks_placed = 0;
  std::uint64_t machines_up = 0;
  std::uint64_t machines_booting = 0;
  std::uint64_t machines_leaving = 0;
  std::uint64_t unwritten = 0;  // records that memory is ahead of
  Millis unwritten_oldest{};    // for so long
  Millis fence_left{};          // until workers' reports may no longer be answered
};

class Engine {
 public:
  explicit Engine(config::Settings settings);
  // Another one that goes on from the same moment, for tests that try several orders.
  [[nodiscard]] Engine copy() const;

  // ---- leadership ----
  void lead(const Takeover& takeover, Instant now);
  void resign(const std::string& why);
  // A write failed by its condition on this revision of the term's record: ends the lead that the write was of, and no other.
  void on_term_conflict(Revision term_mark);
  [[nodiscard]] bool leading() const { return leading_; }
  // Whether it left the lead to others so recently that they go first.
  [[nodiscard]] bool gives_way(Instant now) const { return now < gives_way_until_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] Revision term_mark() const { return term_mark_; }
  // Word of a term from a sibling: a higher one ends this lead.
  void hear_of(Term term);
  // The lease was confirmed / all changes of records were known at that moment.
  void confirm_lease(Instant when);
  void confirm_reading(Instant when);
  // Whether workers' reports may be answered with 200, and whether anything may be started.
  [[nodiscard]] bool may_answer(Instant now) const;
  [[nodiscard]] bool may_start(Instant now) const;

  // ---- records ----
  void on_job_record(const JobId& job, const wire::Value& record, Revision mark, std::int64_t wall_ms, Instant now);
  void on_job_removed(const JobId& job, Instant now);
  // All of live/, as a read found it that began in that term. False if this lead is another one: it knows better.
  [[nodiscard]] bool on_job_list(Term read_in, const std::vector<kv::Entry>& live, std::int64_t wall_ms, Instant now);
  [[nodiscard]] std::optional<jobs::Reload> next_reload() const { return jobs_.next_reload(); }
  // What a fresh read of the record found.
  void on_reloaded(const jobs::Reload& reload, std::optional<Revision> mark, Instant now);
  [[nodiscard]] std::optional<WriteBatch> begin_write(Instant now);
  void end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now);

  // ---- catalog ----
  // The set in force, and the time of day.
  void on_catalog(const catalog::Set& set, std::int64_t wall_ms, Instant now);
  // What the calendar's records ask of jobs.
  void on_dues(foresight::Dues dues);
  // What becomes of these by the plan, and what lacks.
  [[nodiscard]] std::map<JobId, foresight::Prospect> prospects(Instant now) const;
  // When the plan says that other jobs end; those without a booking are left out.
  [[nodiscard]] std::map<JobId, Instant> planned_ends() const;
  // The order of the latest pass; empty without classes.
  [[nodiscard]] const classes::Ranking& ranking() const { return ranking_; }

  // ---- workers ----
  // The commands to answer with; nothing when this engine may not act for the controllers.
  [[nodiscard]] std::optional<std::vector<wire::Command>> on_report(const wire::Report& report, Instant now);
  // Whether all that the report told is durable and planned, so that nothing better can be answered by waiting.
  [[nodiscard]] bool settled(const wire::Report& report) const;
  // What may be answered to the same report later on, besides what it was answered with.
  [[nodiscard]] std::optional<std::vector<wire::Command>> later_commands(const wire::Report& report, Instant now);
  [[nodiscard]] std::vector<DirectHalt> due_halts(Instant now);

  // ---- zones ----
  // What a sibling that asks is granted; nothing when it is no sibling, its word is stale, or nothing can be granted now.
  [[nodiscard]] std::optional<zone::Grant> on_ask(const zone::Ask& ask, Instant now);
  [[nodiscard]] const zone::Book& grants() const { return grants_; }
  [[nodiscard]] const zone::View& zones() const { return zones_; }

  // ---- cloud ----
  void on_types(const std::vector<wire::MachineType>& types);
  [[nodiscard]] const std::vector<wire::MachineType>& types() const { return types_; }
  void on_machine_list(const std::vector<wire::ListedMachine>& machines, Instant now);
  [[nodiscard]] std::optional<wire::RentRequest> next_rental(Instant now);
  void on_rented(const wire::RentRequest& request, const std::vector<MachineId>& machines, Instant now);
  void on_rent_refused(const wire::RentRequest& request, Instant now);
  [[nodiscard]] std::vector<MachineId> next_returns(Instant now);
  void on_returned(const std::vector<MachineId>& machines, Instant now);

  // ---- pools ----
  // What the pools want of it, at any time; and what it sees, for them.
  void steer(pools::Steer steer);
  [[nodiscard]] pools::Sighting sight_pools(Instant now);

  // ---- standby (engine_standby.cpp) ----
  // What no record tells, for siblings.
  [[nodiscard]] standby::Picture soft_state(Instant now) const;
  // What an earlier term's leader knew: steers plans and renting, and is taken back by what is seen. It proves nothing,
  // and makes no machine usable. Comes at any time of a lead.
  void hint(const standby::Picture& picture, Instant now);

  // ---- time ----
  // Housekeeping: expiries, overdue allocations, idle machines; ends a lead that no worker reaches.
  void tick(Instant now);
  // Plans what is pending and places what may start now, a portion of it: events are taken between portions. At least
  // one job is planned, and no more once this many places were looked at. True when the pass has ended.
  bool plan_some(Instant now, std::size_t places_most);
  // A whole pass.
  void plan_pass(Instant now);
  [[nodiscard]] bool plan_wanted() const { return plan_wanted_ || pass_; }
  // Whether a pass is under way: what it has not come to has no booking.
  [[nodiscard]] bool planning() const { return pass_.has_value(); }
  // Whether there is something to rent or to return.
  [[nodiscard]] bool cloud_wanted() const;
  [[nodiscard]] bool writes_wanted() const { return jobs_.writes_wanted(); }

  [[nodiscard]] Census census(Instant now) const;
  // Why the job's tasks wait and when the next is planned to start, in words; nothing if no such job is known.
  [[nodiscard]] std::optional<std::string> explain(const JobId& job, Instant now) const;
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return jobs_.all(); }
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return machines_.all(); }
  // Whether jobs, runs and machines agree, for tests: what does not, in words.
  [[nodiscard]] std::optional<std::string> disagreement() const { return jobs_.disagreement(machines_); }

 private:
  struct Offer {
    Supply::Kind key;
    double price = 0;       // an hour, for each of the tasks that would run on it
    double full_price = 0;  // the same if it were full
    std::int64_t fit = 0;
  };
  // records
  Job& add_job(const state::JobRecord& record, Revision mark, std::int64_t wall_ms, Instant now);
  // What a record places there is believed to run for its estimate from now on.
  void book_adopted(Job& job, std::uint32_t part, Instant now);
  void withdraw(Job& job, Instant now);
  // runs
  void prove_gone(Job& job, std::uint32_t index, const char* why, Instant now);
  void halt(Job& job, std::uint32_t index, double grace_s);
  void know_halting(const MachineId& id);
  void finish_task(Job& job, std::uint32_t index, Instant now);
  void on_task_ended(Job& job, Machine& machine, const wire::TaskReport& task, Instant now);
  void end_gang(Job& job, Instant now);
  // A task of the gang is gone together with its machine: another one joins the rest if they have not begun.
  void lost_from_gang(Job& job, bool had_run, Instant now);
  void gather(Job& job, Instant now);
  [[nodiscard]] Millis gather_span() const;
  // Whether all that is left of a gang's attempt is known to wait for the others.
  [[nodiscard]] bool gathers(const Job& job) const;
  [[nodiscard]] bool startable(const Job& job, const Run& run, Instant now) const;
  void learn_running(Job& job, Machine& machine, Run& run, std::uint32_t index, wire::TaskState state, Instant now);
  [[nodiscard]] double save_grace(const Job& job) const;
  // machines
  [[nodiscard]] bool unheard(Instant now) const;
  Machine& know_machine(const MachineId& id, Instant now);
  // A task of the job has its image there.
  void know_image(Machine& machine, const wire::JobSpec& spec);
  void know_cache(Machine& machine);
  [[nodiscard]] const wire::MachineType* type(const std::string& name) const;
  void refresh_plan_machine(Machine& machine);
  void drain(Machine& machine, const std::string& why, Instant now);
  void forget_machine(const MachineId& id);
  [[nodiscard]] bool usable(const Machine& machine, Instant now) const;
  // Up to when a holder of a grant may renew its lease.
  [[nodiscard]] Instant granted_until(const Machine& machine) const;
  // Up to when its tasks may run on, if nothing more is heard of it.
  [[nodiscard]] Instant lease_end(const Machine& machine) const;
  // The same, but sooner known.
  [[nodiscard]] bool lease_over(const Machine& machine, Instant now) const;
  // zones
  void look_at_zones(Instant now);
  [[nodiscard]] std::vector<MachineId> not_granted(const std::string& zone, Instant now) const;
  // Stops work that has to give way to the job, if that makes room for it.
  void make_room(Job& job, std::uint32_t tasks_most, const std::vector<plan::Place>& places, Instant now);
  // Replicas are moved out of zones that are out of service, one machine after the other; all other work runs out.
  void move_replicas(Instant now);
  void find_stranded();
  std::size_t plan_stranded(Job& job, Instant now);
  [[nodiscard]] bool counted_on(const std::string& zone) const;
  // planning
  [[nodiscard]] bool allows(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                            bool spot) const;
  [[nodiscard]] Millis fetch_time(const wire::JobSpec& spec, const std::string& machine_type) const;
  [[nodiscard]] Millis estimate(const Job& job) const;
  // What a machine of the kind has for the job: work without GPUs leaves room for those that have use for them.
  [[nodiscard]] Amounts offered(const wire::JobSpec& spec, const wire::MachineType& kind) const;
  void learn_gpu_demand(Instant now);
  // How much later than it was submitted a job counts as submitted: the more it takes, the later,
  // and later still once it has missed what its class is hoped to wait at most.
  [[nodiscard]] Millis lag(const Job& job, Instant now) const;
  [[nodiscard]] aging::WaitingJob waiting_job(const Job& job, Instant now) const;
  // When the job counts as submitted, in the planning order.
  [[nodiscard]] Instant effective_submission(const Job& job, Instant now) const;
  // Gangs that have waited long enough for a backfill reservation and that their team's limit does not hold back.
  [[nodiscard]] std::vector<GangReservation::Candidate> reservation_candidates(Instant now) const;
  [[nodiscard]] std::vector<Job*> planning_order(Instant now);
  // The same jobs in the order of their classes.
  void order_by_class(std::vector<Job*>& jobs, Instant now);
  // Whether the room that running work would make is not the asking job's: the work would be ranked before it when it
  // waits again, or what is ranked before it would take the room without being entitled to.
  [[nodiscard]] bool kept_by_rank(const Job& runs, const preempt::Victim& victim, const Job& asks) const;
  void begin_pass(Instant now);
  // How many places it looked at.
  std::size_t plan_job(Job& job, Instant now);
  [[nodiscard]] std::vector<plan::Place> places_for(const Job& job, Instant now) const;
  // Whether pools leave the machine to the job. `warms`: the pool that its tasks are to warm.
  [[nodiscard]] bool left_to(const Job& job, std::optional<std::size_t> warms, const Machine& machine,
                             Instant now) const;
  // For tasks that start later; revoked by the next pass.
  void book_ahead(Job& job, const plan::Placing& placing);
  // Plans the gang that holds the reservation: in the zone and on the machines that are kept for it.
  [[nodiscard]] std::vector<plan::Placing> plan_reserved(plan::Request request) const;
  // Books the span from which each of the gang's machines is free until its planned start.
  void keep_machines_free(Job& job, const std::vector<plan::Placing>& placings, Instant now);
  bool place_due(Job& job, const std::vector<plan::Placing>& placings, Instant now);
  // Of a gang's tasks those that are to be placed now; the others' places are booked, see docs/design/gathering.md.
  std::vector<plan::Placing> due_of_gang(Job& job, const std::vector<plan::Placing>& placings, Instant now);
  // How long until the machine has the job's image, if the task is placed there now.
  [[nodiscard]] Millis image_wait(const Job& job, const Machine& machine) const;
  // How long until the placed task has its image, by the machine type's rate and by what was reported; never nothing
  // while it is known to fetch.
  [[nodiscard]] Millis image_left(const Job& job, const Run& run, Instant now) const;
  // Whether the placed tasks of a gang fetch still, and not for longer than is to be believed.
  [[nodiscard]] bool fetches(const Job& job, Instant now) const;
  [[nodiscard]] bool room_for(const Job& job, const Machine& machine, std::uint32_t count) const;
  [[nodiscard]] bool quota_for(const Job& job, std::uint32_t count) const;
  [[nodiscard]] bool place_allowed(const Job& job, const Machine& machine, std::uint32_t count) const;
  void place(Job& job, std::uint32_t index, AttemptNo attempt, Machine& machine, Instant now);
  [[nodiscard]] Millis rental_delay(const Job& job, Instant now) const;
  // standby
  void hint_machine(const std::string& name, const standby::Machine& told, Instant now);
  void hint_task(const standby::Key& key, const standby::Task& told, Instant now);
  // calendar deadlines
  [[nodiscard]] std::optional<Instant> planned_end(const Job& job) const;
  [[nodiscard]] foresight::Work work_of(const Job& job, Instant by, const Supply::Held& have) const;
  // How many of the tasks are planned to end too late, if machines rented now would keep the deadline.
  [[nodiscard]] std::uint32_t overdue(const Job& job, const std::vector<plan::Placing>& placings,
                                      const std::vector<plan::Place>& places, Instant now) const;
  // How long a machine may take until it runs tasks of the job, for its calendar deadline.
  [[nodiscard]] Millis time_to_rent(const Job& job, Instant now) const;
  // fleet size
  // Whether a class has an aim that leaves no time for a boot.
  [[nodiscard]] bool urgent_class(const std::string& job_class, const wire::JobSpec& sample) const;
  [[nodiscard]] bool serves_urgent(const Machine& machine) const;
  [[nodiscard]] double boot_cover_s(const wire::JobSpec& spec) const;
  [[nodiscard]] Millis boot_awaited(const wire::JobSpec& spec) const;
  [[nodiscard]] Millis boot_left(const Machine& machine, Instant now) const;
  [[nodiscard]] Millis idle_most(const Machine& machine) const;
  [[nodiscard]] std::optional<Offer> cheapest(const wire::JobSpec& spec, std::int64_t tasks, double ratio_most,
                                              const std::map<Supply::Kind, std::size_t>& have, Instant now,
                                              Millis ready_most = Millis::max()) const;
  // An hour of the cheapest kind for one task of the job, whether there is one to rent or not.
  [[nodiscard]] double least_price(const wire::JobSpec& spec) const;
  [[nodiscard]] std::int64_t spare_for(const wire::JobSpec& spec, std::int64_t reserve, Instant now);
  [[nodiscard]] std::int64_t reserve_for(const std::string& job_class, const wire::JobSpec& sample, Instant now);
  void size_fleet(Instant now);
  void note_refusal(const wire::RentRequest& request, Instant now);

  config::Settings settings_;
  bool leading_ = false;
  Term term_;
  Revision term_mark_;
  Instant lease_confirmed_;
  Instant read_confirmed_;
  Instant others_until_;
  Instant gives_way_until_;
  zone::Book grants_;
  zone::View zones_;
  pools::Desk pools_;
  jobs::JobTable jobs_;
  inventory::MachineInventory machines_;
  std::vector<wire::MachineType> types_;
  plan::Planner planner_;
  Supply supply_;
  Demand demand_;
  GangReservation reservation_;
  std::set<MachineId> reserve_;            // idle, but kept for what may come
  bool plan_wanted_ = false;               // something has happened since the latest pass began
  std::optional<std::deque<JobId>> pass_;  // what the pass under way has left to plan
  Instant planned_;                        // when the latest pass began
  classes::Ranking ranking_;
  foresight::Dues dues_;
  Instant led_;  // since when
  Counters counters_;
};

}  // namespace foxshunt::control
