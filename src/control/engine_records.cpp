// Leadership and records: what is durable, and what of it is on its way.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

Engine::Engine(config::Settings settings)
    : settings_(std::move(settings)),
      machines_(
          {.lease = lease_span(settings_), .silence = silence_span(settings_), .detour = detour_span(settings_)}) {}

Engine Engine::copy() const {
  Engine made = *this;
  for (auto& [id, machine] : made.machines_) {
    if (machine.planned != nullptr) machine.planned = made.planner_.node(id);
  }
  return made;
}

// ---- leadership ----

void Engine::lead(const Takeover& takeover, Instant now) {
  const std::vector<wire::MachineType> types = std::move(types_);
  const Supply supply = supply_.refusals();
  pools::Desk pools = std::move(pools_);
  classes::Ranking ranking = std::move(ranking_);
  *this = Engine(std::move(settings_));
  types_ = types;
  supply_ = supply;
  pools_ = std::move(pools);
  pools_.lead(now);
  ranking_ = std::move(ranking);
  ranking_.tell_time(takeover.wall_ms, now);
  leading_ = true;
  term_ = takeover.term;
  term_mark_ = takeover.term_mark;
  led_ = lease_confirmed_ = read_confirmed_ = now;
  others_until_ = kept(Guard::others_counted) ? takeover.others_until : now;
  grants_ = zone::Book(settings_.siblings, grant_spans(settings_));
  for (const config::Team& team : settings_.teams) {
    const auto limit = [](double most) {
      return most > 0 ? std::optional<plan::Items>(Amounts::from(most, 0, 0).of[0]) : std::nullopt;
    };
    planner_.set_team(team.name, {.cpus = limit(team.cpus_max), .gpus = limit(team.gpus_max)});
  }
  const auto load = [&](const kv::Entry& entry, bool withdrawn) {
    try {
      Job& job = add_job(state::job_from(entry.data), entry.mark, takeover.wall_ms, now);
      if (withdrawn) job.withdrawn = true;
    } catch (const wire::Malformed& error) {
      spdlog::error("record {} cannot be read: {}", entry.key, error.what());
    }
  };
  // What lingers is read last, and a job that its user withdraws meanwhile is in both: taken in twice its tasks would
  // count twice for the team's limit, and once more than they can be proved gone.
  for (const kv::Entry& entry : takeover.linger) load(entry, true);
  for (const kv::Entry& entry : takeover.live) {
    const auto id = state::job_of_key(entry.key);
    if (kept(Guard::adopted_once) && id && jobs_.find(*id) != jobs_.end()) continue;
    load(entry, false);
  }
  for (const kv::Entry& entry : takeover.parts) {
    const auto id = state::job_of_key(entry.key);
    const auto number = state::part_of_key(entry.key);
    const auto known = id ? jobs_.find(*id) : jobs_.end();
    if (known == jobs_.end() || !number || *number >= known->second.parts.size()) continue;
    Job& job = known->second;
    try {
      job.parts[*number].mark = entry.mark;
      job.parts[*number].recorded = true;
      jobs_.adopt_part(job, *number, state::part_from(entry.data, state::part_size(job.spec.tasks, *number)), machines_,
                       now);
      book_adopted(job, *number, now);
    } catch (const wire::Malformed& error) {
      spdlog::error("record {} cannot be read: {}", entry.key, error.what());
    }
  }
  std::vector<JobId> withdrawn;
  std::size_t runs = 0;
  for (auto& [id, job] : jobs_) {
    runs += job.runs_count;
    // That a gang lost a task and gathers, or that the rest is to be halted, only the earlier leader knew: unless another
    // task joins them, those that wait would keep their places until they give up by themselves.
    if (job.spec.kind == wire::JobKind::gang && job.runs_count > 0 && job.pending() > 0) gather(job, now);
    if (job.withdrawn) withdrawn.push_back(id);
  }
  for (const JobId& id : withdrawn) {
    Job& job = jobs_.at(id);
    job.had_runs = true;
    withdraw(job, now);
  }
  plan_wanted_ = true;
  spdlog::info("leading in term {}: {} jobs, {} placed tasks", term_.number(), jobs_.size(), runs);
}

void Engine::resign(const std::string& why) {
  if (!leading_) return;
  leading_ = false;
  spdlog::info("no longer leading in term {}: {}", term_.number(), why);
}

void Engine::on_term_conflict(Revision term_mark) {
  if (kept(Guard::write_earlier_lead) && term_mark != term_mark_) return;
  resign("another leader has a higher term");
}

void Engine::hear_of(Term term) {
  if (kept(Guard::higher_term) && leading_ && term > term_)
    resign("a sibling knows of term " + std::to_string(term.number()));
}

void Engine::confirm_lease(Instant when) { lease_confirmed_ = std::max(lease_confirmed_, when); }

void Engine::confirm_reading(Instant when) {
  // Of a removal that came while a write was under way it is not known yet whose it was: a cancellation, perhaps, that
  // nothing was halted for. Until the record is read again, what is known goes no further.
  if (kept(Guard::reading_settled) && jobs_.has_unread()) return;
  read_confirmed_ = std::max(read_confirmed_, when);
}

bool Engine::may_answer(Instant now) const {
  // A cancellation that this leader can't read may have been told to a user just after the last moment whose
  // changes it knows. The workers' leases that it renews must have ended `cancel_s` after that.
  const Instant known = kept(Guard::fence_reading) ? std::min(lease_confirmed_, read_confirmed_) : lease_confirmed_;
  return leading_ && (!kept(Guard::fence) || now < known + fence_span(settings_));
}

bool Engine::may_start(Instant now) const {
  return leading_ &&
         (!kept(Guard::start_confirmed) || now < std::min(lease_confirmed_, read_confirmed_) + constants::kLeaderLease);
}

// ---- records ----

Job& Engine::add_job(const state::JobRecord& record, Revision mark, std::int64_t wall_ms, Instant now) {
  Job& job = jobs_.add(record, mark, wall_ms, machines_, now);
  demand_.learn(job.spec, job.each, job.submitted);
  if (record.whole) book_adopted(job, 0, now);
  plan_wanted_ = true;
  return job;
}

void Engine::book_adopted(Job& job, std::uint32_t number, Instant now) {
  for (auto& [unused, run] : job.parts[number].runs) {
    know_cache(machines_.at(run.machine));
    run.booking = planner_.book({.machine = run.machine,
                                 .team = job.spec.team,
                                 .amounts = job.each,
                                 .start = now,
                                 .stop = now + estimate(job)});
  }
}

void Engine::on_job_record(const JobId& id, const wire::Value& record, Revision mark, std::int64_t wall_ms,
                           Instant now) {
  if (!leading_) return;
  ranking_.tell_time(wall_ms, now);
  if (!jobs_.on_record(id, mark)) return;
  try {
    const Job& job = add_job(state::job_from(record), mark, wall_ms, now);
    spdlog::info("job {} of team {}: {} tasks of class {}", id.text(), job.spec.team, job.spec.tasks,
                 job.spec.job_class);
  } catch (const wire::Malformed& error) {
    spdlog::error("record of job {} cannot be read: {}", id.text(), error.what());
  }
}

void Engine::on_reloaded(const jobs::Reload& reload, std::optional<Revision> mark, Instant now) {
  if (!leading_) return;
  Job* job = jobs_.on_reloaded(reload, mark);
  if (job == nullptr) return;
  spdlog::info("job {}: its record is gone, {} tasks to stop", reload.job.text(), job->runs_count);
  withdraw(*job, now);
}

void Engine::on_job_removed(const JobId& id, Instant now) {
  if (!leading_) return;
  Job* job = jobs_.on_removed(id);
  if (job == nullptr) return;
  spdlog::info("job {}: withdrawn, {} tasks to stop", id.text(), job->runs_count);
  withdraw(*job, now);
}

bool Engine::on_job_list(Term read_in, const std::vector<kv::Entry>& live, std::int64_t wall_ms, Instant now) {
  // Read in an earlier lead, it lacks what was accepted since, which would be taken for withdrawn and never run.
  if (!leading_ || (kept(Guard::list_term) && read_in != term_)) return false;
  std::set<JobId> there;
  for (const kv::Entry& entry : live) {
    const auto id = state::job_of_key(entry.key);
    if (!id) continue;
    there.insert(*id);
    on_job_record(*id, entry.data, entry.mark, wall_ms, now);
  }
  std::vector<JobId> removed;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.withdrawn && !there.contains(id)) removed.push_back(id);
  }
  for (const JobId& id : removed) on_job_removed(id, now);
  return true;
}

void Engine::withdraw(Job& job, Instant now) {
  for (const plan::BookingId booking : job.booked) planner_.revoke(booking);
  job.booked.clear();
  for (Part& part : job.parts) {
    for (auto& [unused, run] : part.runs) {
      run.halting = true;
      run.grace_s = 0;
      know_halting(run.machine);
    }
  }
  for (const std::uint32_t index : jobs_.withdraw(job)) prove_gone(job, index, "never started", now);
  plan_wanted_ = true;
}

std::optional<WriteBatch> Engine::begin_write(Instant now) {
  if (!may_start(now)) return std::nullopt;
  return jobs_.begin_write(term_mark_, settings_.state_txn_ops, now);
}

void Engine::end_write(const WriteBatch& batch, const kv::TxnResult& result, Instant now) {
  // The answer to an earlier lead's write tells nothing of this one: that its condition on the term failed is no reason to
  // give this lead up, and the job table that it was built from is gone.
  if (!leading_ || (kept(Guard::write_earlier_lead) && batch.term_mark != term_mark_)) return;
  ++counters_.writes;
  if (result.answer != kv::Answer::ok) ++counters_.writes_failed;
  if (result.answer == kv::Answer::conflict &&
      std::ranges::find(result.failed, state::kTermKey) != result.failed.end()) {
    on_term_conflict(batch.term_mark);
    return;
  }
  for (const Job& job : jobs_.end_write(batch, result, now)) {
    for (const plan::BookingId booking : job.booked) planner_.revoke(booking);
  }
}

}  // namespace foxshunt::control
