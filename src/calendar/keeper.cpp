#include "calendar/keeper.h"

#define XXH_INLINE_ALL
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "config/constants.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::calendar {
namespace {

using catalog::CalendarDef;

std::int64_t ms_of(double seconds) { return static_cast<std::int64_t>(seconds * 1000); }

bool takes(const CalendarDef& entry, const wire::JobSpec& spec) {
  return std::ranges::any_of(entry.jobs, [&spec](const catalog::JobMatch& match) { return match.matches(spec); });
}

// The catalog took it back, not an operator.
bool taken_back(const Occurrence& one) { return one.state == State::waived && !one.waived; }

std::string joined(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += (all.empty() ? "" : "; ") + text;
  return all;
}

}  // namespace

void warm(const catalog::Set& set) {
  for (const CalendarDef& entry : set.calendar) {
    try {
      (void)dues(entry, 0, 1);
    } catch (const Unknown&) {  // told when the entry is reckoned
    }
  }
}

DeadlineController::DeadlineController(InForce in_force, Limits limits)
    : in_force_(std::move(in_force)), limits_(limits) {}

const DeadlineController::Index& DeadlineController::index() const {
  std::shared_ptr<const catalog::Set> set = in_force_();
  if (set == index_.set) return index_;
  index_ = Index{.set = std::move(set), .by_name = {}, .by_class = {}, .any_class = {}};
  for (const CalendarDef& entry : index_.set->calendar) {
    index_.by_name.emplace(entry.name, &entry);
    std::set<std::string> classes;
    bool any = false;
    for (const catalog::JobMatch& match : entry.jobs) {
      any = any || match.job_classes.empty();
      classes.insert(match.job_classes.begin(), match.job_classes.end());
    }
    if (any) {
      index_.any_class.push_back(&entry);
    } else {
      for (const std::string& one : classes) index_.by_class[one].push_back(&entry);
    }
  }
  return index_;
}

std::vector<std::string> DeadlineController::entries_for(const wire::JobSpec& spec) const {
  const Index& all = index();
  std::vector<std::string> names;
  const auto add = [&](const std::vector<const CalendarDef*>& entries) {
    for (const CalendarDef* entry : entries) {
      if (takes(*entry, spec)) names.push_back(entry->name);
    }
  };
  add(all.any_class);
  if (const auto found = all.by_class.find(spec.job_class); found != all.by_class.end()) add(found->second);
  return names;
}

// ---- what records tell ----

void DeadlineController::on_change(const std::string& key, const wire::Value* data, Revision revision) {
  if (key.starts_with(kPrefix)) return on_occurrence(key, data, revision);
  const bool live = key.starts_with(state::kActiveJobPrefix);
  if (!live && !key.starts_with(state::kFinishedJobPrefix)) return;
  const auto job = state::job_of_key(key);
  if (!job) return;
  if (live) return on_live(*job, data);
  if (data == nullptr) return;
  const bool listed = listed_.contains(*job);
  if (!listed && !heard_.contains(*job)) return;
  on_read(key, {.status = kv::Status::ok, .entry = {.key = key, .data = *data, .revision = revision}});
}

void DeadlineController::unlist(const std::string& key) {
  const auto known = known_.find(key);
  if (known == known_.end()) return;
  for (const Counted& job : known->second.seen.jobs) {
    const auto listing = listed_.find(job.job);
    if (listing == listed_.end()) continue;
    listing->second.erase(key);
    if (listing->second.empty()) listed_.erase(listing);
  }
}

void DeadlineController::on_occurrence(const std::string& key, const wire::Value* data, Revision revision) {
  const auto awaited = awaited_.find(key);
  if (awaited != awaited_.end() && revision >= awaited->second) awaited_.erase(awaited);
  unlist(key);
  strange_.erase(key);
  std::optional<Occurrence> next;
  if (data != nullptr) {
    std::string why = "its form is newer than this program";
    try {
      next = occurrence_from(*data);
    } catch (const wire::Malformed& error) {
      why = error.what();
    }
    if (!next) {
      strange_.emplace(key, revision);
      if (counts_.unreadable++ == 0) spdlog::error("calendar: key={} is kept as it is: {}", key, why);
    }
  }
  const auto known = known_.find(key);
  if (!next) {
    if (known != known_.end()) known_.erase(known);
    look_at_.erase(key);
    said_.erase(key);
    unsaid_.erase(key);
    return;
  }
  if (known != known_.end()) {
    // An open job that is not listed any more does not count any more, but may again. One that had ended was folded.
    for (const Counted& job : known->second.seen.jobs) {
      if (job.end != End::open) continue;
      if (std::ranges::any_of(next->jobs, [&job](const Counted& other) { return other.job == job.job; })) continue;
      if (const auto heard = heard_.find(job.job); heard != heard_.end()) heard->second.listed.erase(key);
    }
  }
  for (const Counted& job : next->jobs) {
    if (const auto heard = heard_.find(job.job); heard != heard_.end()) heard->second.listed.insert(key);
    if (closed(next->state) || job.end != End::open) continue;
    listed_[job.job].insert_or_assign(
        key, Listing{.step = job.step.value_or(constants::kMaxCalendarSteps), .deadline_ms = job.deadline_ms});
  }
  if (closed(next->state)) {
    look_at_.erase(key);
    touch_entry(next->entry);  // what counted for it may count for another one now
  } else {
    touch(key);
  }
  unsaid_.insert(key);
  known_.insert_or_assign(key, Known{.seen = std::move(*next), .revision = revision});
}

std::optional<int> DeadlineController::slack_step(const JobId& job) const {
  const auto listings = listed_.find(job);
  if (listings == listed_.end()) return std::nullopt;
  int least = constants::kMaxCalendarSteps;
  for (const auto& [unused, listing] : listings->second) least = std::min(least, listing.step);
  return least;
}

std::optional<std::int64_t> DeadlineController::deadline_ms(const JobId& job) const {
  const auto listings = listed_.find(job);
  if (listings == listed_.end()) return std::nullopt;
  std::int64_t least = listings->second.begin()->second.deadline_ms;
  for (const auto& [unused, listing] : listings->second) least = std::min(least, listing.deadline_ms);
  return least;
}

std::vector<JobId> DeadlineController::listed() const {
  std::vector<JobId> jobs;
  jobs.reserve(listed_.size());
  for (const auto& [job, unused] : listed_) jobs.push_back(job);
  return jobs;
}

std::uint64_t DeadlineController::digest() const {
  std::uint64_t sum = 0;
  const auto add = [&sum](const std::string& key, Revision revision) {
    sum += XXH3_64bits_withSeed(key.data(), key.size(), revision.number());
  };
  for (const auto& [key, known] : known_) add(key, known.revision);
  for (const auto& [key, revision] : strange_) add(key, revision);
  return sum;
}

// ---- what is heard of jobs ----

void DeadlineController::on_live(const JobId& job, const wire::Value* data) {
  if (data == nullptr) {
    others_.erase(job);
    return;
  }
  const catalog::Set& set = in_force();
  if (set.calendar.empty()) return;
  const std::pair now_in_force(set.version, set.revision);
  if (others_of_ != now_in_force) {
    others_.clear();
    others_of_ = now_in_force;
  }
  if (others_.contains(job) || heard_.contains(job)) return;
  try {
    hear(job, wire::job_spec_from((*data)["spec"]), static_cast<std::int64_t>(data->count("at")));
  } catch (const wire::Malformed&) {
    others_.insert(job);  // told by the jobs' own reader
  }
}

void DeadlineController::hear(const JobId& job, const wire::JobSpec& spec, std::int64_t submitted_ms) {
  std::vector<std::string> entries = entries_for(spec);
  const auto known = heard_.find(job);
  if (known == heard_.end() && entries.empty()) {
    others_.insert(job);
    return;
  }
  Heard& heard = heard_[job];
  for (const std::string& entry : heard.entries) {
    by_entry_[entry].erase({heard.submitted_ms, job});
    touch_entry(entry);
  }
  heard.submitted_ms = submitted_ms;
  if (spec.deadline_s) heard.own_deadline_ms = submitted_ms + ms_of(*spec.deadline_s);
  heard.tasks = spec.tasks;
  heard.estimate_ms = ms_of(spec.estimate_s);
  heard.entries = std::move(entries);
  if (const auto listings = listed_.find(job); listings != listed_.end()) {
    for (const auto& [key, unused] : listings->second) heard.listed.insert(key);
  }
  for (const std::string& entry : heard.entries) {
    by_entry_[entry].emplace(submitted_ms, job);
    touch_entry(entry);
  }
}

void DeadlineController::forget(const JobId& job) {
  const auto heard = heard_.find(job);
  if (heard == heard_.end()) return;
  for (const std::string& entry : heard->second.entries) by_entry_[entry].erase({heard->second.submitted_ms, job});
  heard_.erase(heard);
}

void DeadlineController::touch_entry(const std::string& entry) {
  const std::string begin = entry_prefix(entry);
  for (auto at = look_at_.lower_bound(begin); at != look_at_.end() && at->first.starts_with(begin); ++at) {
    at->second = 0;
  }
}

void DeadlineController::touch_all() {
  for (auto& [unused, from] : look_at_) from = 0;
}

void DeadlineController::stamp(std::int64_t now_ms) {
  for (const JobId& job : unstamped_) {
    const auto heard = heard_.find(job);
    if (heard == heard_.end()) continue;
    heard->second.seen_ms = now_ms;
    for (const std::string& entry : heard->second.entries) touch_entry(entry);
    for (const std::string& key : heard->second.listed) {
      if (look_at_.contains(key)) touch(key);
    }
  }
  unstamped_.clear();
}

void DeadlineController::look(record_cache::Moment now) {
  stamp(now.wall_ms);
  if (now.wall_ms - pruned_ms_ < constants::kCalendarRescan.count()) return;
  pruned_ms_ = now.wall_ms;
  std::vector<JobId> old;
  const bool full = heard_.size() > constants::kMaxCalendarTracked;
  for (const auto& [job, heard] : heard_) {
    if (heard.end == End::open || listed_.contains(job)) continue;
    if (full || now.wall_ms - heard.seen_ms > constants::kCalendarTrackedKeep.count()) old.push_back(job);
  }
  for (const JobId& job : old) forget(job);
}

void DeadlineController::cold_read() {
  heard_.clear();
  by_entry_.clear();
  others_.clear();
  unstamped_.clear();
  awaited_.clear();
  matched_.reset();
}

void DeadlineController::rescan(const record_cache::Jobs& jobs) {
  const catalog::Set& set = in_force();
  const std::pair now_in_force(set.version, set.revision);
  const bool again = matched_ != now_in_force;
  if (again) {
    others_.clear();
    others_of_ = now_in_force;
    touch_all();
  }
  for (const auto& [job, known] : jobs.all()) {
    if (known.cancelled || (!again && (heard_.contains(job) || others_.contains(job)))) continue;
    hear(job, known.spec, known.submitted_wall_ms);
  }
  matched_ = now_in_force;
}

// ---- reads ----

std::optional<std::string> DeadlineController::next_read() {
  if (to_read_.empty()) return std::nullopt;
  auto next = to_read_.upper_bound(last_read_);
  if (next == to_read_.end()) next = to_read_.begin();
  last_read_ = next->first;
  return state::finished_job_key(next->first);
}

void DeadlineController::on_read(const std::string& key, const kv::GetResult& result) {
  const auto job = state::job_of_key(key);
  if (!job) return;
  End end = End::unknown;
  if (result.status == kv::Status::ok) {
    try {
      const wire::JobStatus status = state::finished_job_from(*job, result.entry.data);
      end = status.state == wire::JobState::done ? End::done : End::cancelled;
    } catch (const wire::Malformed&) {  // it is over, and nobody can tell how
    }
  } else if (result.status != kv::Status::not_found) {
    return;
  }
  to_read_.erase(*job);
  Heard& heard = heard_[*job];
  if (heard.end != End::open) return;
  if (const auto listings = listed_.find(*job); listings != listed_.end()) {
    for (const auto& [occurrence, unused] : listings->second) heard.listed.insert(occurrence);
  }
  heard.end = end;
  unstamped_.push_back(*job);
}

// ---- what the leader decides ----

void DeadlineController::planned(std::map<JobId, Plan> plans) {
  planned_ = std::move(plans);
  for (const auto& [unused, listings] : listed_) {
    for (const auto& [key, listing] : listings) touch(key);
  }
}

const CalendarDef* DeadlineController::entry_of(const std::string& name) const {
  const Index& all = index();
  const auto found = all.by_name.find(name);
  return found == all.by_name.end() ? nullptr : found->second;
}

Occurrence DeadlineController::plain(const CalendarDef& entry, const Due& due) const {
  return {.entry = entry.name,
          .local = due.local,
          .zone = entry.time_zone,
          .due_ms = due.due_ms,
          .opens_ms = due.due_ms - ms_of(entry.opens_before_s),
          .tell_ms = due.due_ms - ms_of(entry.lead_s),
          .expected_jobs = entry.expected_jobs,
          .expected_tasks = entry.expected_tasks,
          .version = in_force().version};
}

void DeadlineController::reckon(std::int64_t now_ms) {
  const catalog::Set& set = in_force();
  const std::pair now_in_force(set.version, set.revision);
  const std::int64_t since = now_ms - reckoned_ms_;
  if (reckoned_ == now_in_force && since >= 0 && since < constants::kCalendarDueTimesInterval.count()) return;
  if (reckoned_ != now_in_force) unknown_said_.clear();
  reckoned_ = now_in_force;
  reckoned_ms_ = now_ms;
  dues_.clear();
  openings_.clear();
  counts_.unknown_entries = 0;
  const std::int64_t late_ms = constants::kCalendarLateOpen.count();
  const std::int64_t ahead_ms = constants::kMaxCalendarAhead.count();
  for (const CalendarDef& entry : set.calendar) {
    Dues& dues = dues_[entry.name];
    try {
      // The day beyond covers the time until it is reckoned again.
      std::vector<std::string> sunless;
      dues.all = calendar::dues(entry, now_ms - late_ms, now_ms + ahead_ms + 24 * 3'600'000, &sunless);
      // Told once, also as days go by: what is told is the first of these in a row.
      if (sunless.empty()) {
        sunless_said_.erase(entry.name);
      } else if (sunless_said_.insert(entry.name).second) {
        spdlog::warn("calendar: entry=\"{}\" is not due from {} on: the sun does not rise there", entry.name,
                     sunless.front());
      }
      dues.reckoned = true;
    } catch (const Unknown& error) {
      ++counts_.unknown_entries;
      if (unknown_said_.insert(entry.name).second) {
        spdlog::error("calendar: entry=\"{}\" is passed over on this machine: {}", entry.name, error.what());
      }
      continue;
    }
    const std::int64_t before = std::max(ms_of(entry.opens_before_s), ms_of(entry.lead_s));
    for (const Due& due : dues.all) {
      if (due.due_ms <= set.wall_ms) continue;  // it passed before anything was declared
      const std::int64_t from = due.due_ms - std::min(before + constants::kCalendarOpenAhead.count(), ahead_ms);
      openings_.push_back({.from_ms = from, .entry = entry.name, .due = due});
    }
  }
  std::ranges::sort(openings_, {},
                    [](const Opening& one) { return std::tuple(one.from_ms, one.entry, one.due.due_ms); });
  touch_all();
}

std::optional<std::string> DeadlineController::out_of_catalog(const Occurrence& one, std::int64_t now_ms) const {
  if (one.due_ms <= now_ms) return std::nullopt;  // what was due is told as it was
  const std::string version = std::to_string(in_force().version.number());
  if (entry_of(one.entry) == nullptr) return "entry removed in catalog version " + version;
  const auto dues = dues_.find(one.entry);
  // A machine that can't reckon the entry leaves its occurrences as they are.
  if (dues == dues_.end() || !dues->second.reckoned) return std::nullopt;
  const auto next = std::ranges::find_if(dues->second.all, [now_ms](const Due& due) { return due.due_ms > now_ms; });
  if (std::ranges::any_of(dues->second.all, [&one](const Due& due) { return due.due_ms == one.due_ms; })) {
    return std::nullopt;
  }
  return "due time changed in catalog version " + version + "; " +
         (next == dues->second.all.end() ? "not due again for now" : "now due at " + utc_text(next->due_ms));
}

void DeadlineController::follow_entry(Occurrence& one) const {
  const CalendarDef* entry = entry_of(one.entry);
  if (entry == nullptr) return;
  const Occurrence now = plain(*entry, {.due_ms = one.due_ms, .local = one.local});
  const Occurrence before = one;
  one.opens_ms = now.opens_ms;
  one.tell_ms = now.tell_ms;
  one.expected_jobs = now.expected_jobs;
  one.expected_tasks = now.expected_tasks;
  std::erase_if(one.jobs, [&](const Counted& job) {
    const auto heard = heard_.find(job.job);
    if (job.end != End::open || heard == heard_.end() || heard->second.end != End::open) return false;
    return std::ranges::find(heard->second.entries, one.entry) == heard->second.entries.end();
  });
  if (one != before) one.version = now.version;
}

std::vector<Counted> DeadlineController::fresh_for(const Occurrence& one, const std::string& key,
                                                   const record_cache::Jobs& jobs) const {
  std::vector<Counted> fresh;
  const auto waiting = by_entry_.find(one.entry);
  if (waiting == by_entry_.end()) return fresh;
  // A job counts for the first occurrence that is due after its submission.
  std::vector<std::pair<std::int64_t, std::int64_t>> earlier;
  const std::string begin = entry_prefix(one.entry);
  for (auto at = known_.lower_bound(begin); at != known_.end() && at->first.starts_with(begin); ++at) {
    const Occurrence& other = at->second.seen;
    if (other.due_ms < one.due_ms && !taken_back(other)) earlier.emplace_back(other.opens_ms, other.due_ms);
  }
  const auto first = waiting->second.lower_bound({one.opens_ms, JobId()});
  for (auto at = first; at != waiting->second.end() && at->first < one.due_ms; ++at) {
    const auto& [submitted_ms, job] = *at;
    const Heard& heard = heard_.at(job);
    if (heard.listed.contains(key) || heard.end == End::cancelled || heard.end == End::unknown) continue;
    if (heard.end == End::done && heard.seen_ms == 0) continue;
    const record_cache::CachedJob* live = jobs.find(job);
    if (heard.end == End::open && (live == nullptr || live->cancelled)) continue;
    if (std::ranges::any_of(earlier, [submitted = submitted_ms](const auto& window) {
          return submitted >= window.first && submitted < window.second;
        })) {
      continue;
    }
    fresh.push_back({.job = job,
                     .submitted_ms = submitted_ms,
                     .deadline_ms = std::min(one.due_ms, heard.own_deadline_ms.value_or(one.due_ms)),
                     .tasks = heard.tasks,
                     .end = heard.end,
                     .seen_ms = heard.seen_ms,
                     .step = {}});
    if (fresh.size() > constants::kMaxCalendarJobs + constants::kMaxCalendarBeyond) break;
  }
  return fresh;
}

void DeadlineController::take_over(std::vector<Counted>& fresh, const Occurrence& one, std::int64_t now_ms) const {
  const std::string begin = entry_prefix(one.entry);
  for (auto at = known_.lower_bound(begin); at != known_.end() && at->first.starts_with(begin); ++at) {
    const Occurrence& old = at->second.seen;
    const bool just_taken_back = taken_back(old) && old.version == one.version;
    if (!just_taken_back && (closed(old.state) || !out_of_catalog(old, now_ms))) continue;
    for (Counted job : old.jobs) {
      if (job.end == End::open || job.submitted_ms < one.opens_ms || job.submitted_ms >= one.due_ms) continue;
      if (std::ranges::find(fresh, job.job, &Counted::job) != fresh.end()) continue;
      if (std::ranges::find(one.jobs, job.job, &Counted::job) != one.jobs.end()) continue;
      job.deadline_ms = std::min(one.due_ms, job.deadline_ms);
      job.step.reset();
      fresh.push_back(std::move(job));
    }
  }
}

EvaluationContext DeadlineController::outlook(const record_cache::Jobs& jobs, record_cache::Moment now) const {
  const std::size_t spare = limits_.value_bytes - std::min(limits_.value_bytes, constants::kCalendarFrameBytes);
  return {.now_ms = now.wall_ms,
          .skew_ms = limits_.skew_ms,
          .jobs_most = std::clamp<std::size_t>(spare / constants::kCalendarJobBytes, 4, constants::kMaxCalendarJobs),
          .job = [this, &jobs, now](const JobId& job) -> std::optional<JobNow> {
            const auto heard = heard_.find(job);
            if (heard != heard_.end() && heard->second.end != End::open && heard->second.seen_ms > 0) {
              return JobNow{.end = heard->second.end, .seen_ms = heard->second.seen_ms};
            }
            if (const record_cache::CachedJob* live = jobs.find(job); live != nullptr) {
              if (live->cancelled) return JobNow{.end = End::cancelled, .seen_ms = now.wall_ms};
              const auto plan = planned_.find(job);
              JobNow known{.best_end_ms = now.wall_ms};
              if (plan != planned_.end()) {
                known.planned_end_ms = plan->second.end_ms;
                known.need = plan->second.need;
              }
              // What runs already is nearer to its end than the estimate tells.
              if (live->placed == 0) known.best_end_ms += ms_of(live->spec.estimate_s);
              return known;
            }
            const auto asked = to_read_.find(job);
            if (asked != to_read_.end() && now.steady - asked->second > constants::kCalendarReadWait) {
              return JobNow{.end = End::unknown, .seen_ms = now.wall_ms};
            }
            return std::nullopt;
          }};
}

void DeadlineController::propose_openings(std::vector<Proposal>& proposals, const record_cache::Jobs& jobs,
                                          const EvaluationContext& outlook) {
  unopened_.clear();
  std::vector<Opening> kept;
  std::size_t at = 0;
  for (; at < openings_.size() && openings_[at].from_ms <= outlook.now_ms + outlook.skew_ms; ++at) {
    Opening& opening = openings_[at];
    const std::string key = key_of(opening.entry, opening.due.due_ms);
    if (strange_.contains(key)) continue;
    const auto known = known_.find(key);
    // What the catalog took back is open again when it declares it again in time; nothing else is opened twice.
    const bool again = known != known_.end() && taken_back(known->second.seen) &&
                       known->second.seen.version < in_force().version && opening.due.due_ms > outlook.now_ms;
    if (known != known_.end() && !again) continue;
    unopened_.insert(opening.entry);
    if (!busy(key)) {
      Occurrence one = plain(*entry_of(opening.entry), opening.due);
      if (again) {
        one.jobs = known->second.seen.jobs;
        one.folded = known->second.seen.folded;
        one.noted = known->second.seen.noted;
      }
      one.opened_ms = outlook.now_ms;
      std::vector<Counted> fresh = fresh_for(one, key, jobs);
      take_over(fresh, one, outlook.now_ms);
      Proposal proposal{.key = key,
                        .next = evaluate(one, fresh, outlook).next,
                        .revision = again ? known->second.revision : Revision{}};
      // The queue's order can wait, but an occurrence that is due soon can't.
      proposal.order = opening.due.due_ms - outlook.now_ms < constants::kCalendarOpenAhead.count() ? 0 : 2;
      proposals.push_back(std::move(proposal));
    }
    kept.push_back(std::move(opening));
  }
  kept.insert(kept.end(), std::make_move_iterator(openings_.begin() + static_cast<std::ptrdiff_t>(at)),
              std::make_move_iterator(openings_.end()));
  openings_ = std::move(kept);
}

void DeadlineController::propose_changes(std::vector<Proposal>& proposals, const record_cache::Jobs& jobs,
                                         const EvaluationContext& outlook, std::chrono::steady_clock::time_point now) {
  std::set<JobId> wanted;
  for (auto& [key, from_ms] : look_at_) {
    if (from_ms > outlook.now_ms || busy(key)) continue;
    const Known& known = known_.at(key);
    Occurrence base = known.seen;
    if (const auto reason = out_of_catalog(base, outlook.now_ms)) {
      base.state = State::waived;
      base.version = in_force().version;
      base.closed_ms = outlook.now_ms;
      base.reasons = {*reason};
      proposals.push_back({.key = key, .next = std::move(base), .revision = known.revision, .order = 1});
      continue;
    }
    follow_entry(base);
    const bool redefined = base != known.seen;
    // Jobs may belong to an earlier occurrence that has still to be opened.
    const auto fresh = unopened_.contains(base.entry) ? std::vector<Counted>{} : fresh_for(base, key, jobs);
    Verdict verdict = evaluate(base, fresh, outlook);
    for (const JobId& job : verdict.to_read) to_read_.emplace(job, now);
    wanted.insert(verdict.to_read.begin(), verdict.to_read.end());
    if (verdict.changed || redefined) {
      proposals.push_back(
          {.key = key, .next = std::move(verdict.next), .revision = known.revision, .order = verdict.urgent ? 0 : 2});
    } else {
      from_ms = verdict.again_ms;
    }
  }
  // Of occurrences that are closed meanwhile nothing has to be read any more.
  std::erase_if(to_read_,
                [&](const auto& read) { return !wanted.contains(read.first) && !listed_.contains(read.first); });
}

void DeadlineController::propose_removals(std::vector<Proposal>& proposals, std::int64_t now_ms) const {
  if (!proposals.empty()) return;
  for (const auto& [key, known] : known_) {
    const Occurrence& one = known.seen;
    // By both times: one that was waived long before it was due is not opened again.
    const std::int64_t since = std::max(one.closed_ms, one.due_ms);
    if (!closed(one.state) || now_ms - since < constants::kCalendarKeep.count() || busy(key)) continue;
    proposals.push_back({.key = key, .revision = known.revision, .order = 3, .remove = true});
    if (proposals.size() >= constants::kMaxCalendarChanges) return;
  }
}

kv::Txn DeadlineController::txn_of(std::vector<Proposal> proposals, std::size_t changes_most) {
  std::ranges::sort(proposals, {}, [](const Proposal& one) { return std::tuple(one.order, one.next.due_ms, one.key); });
  kv::Txn txn;
  std::size_t bytes = 0;
  for (const Proposal& proposal : proposals) {
    if (txn.changes.size() >= std::min(changes_most, constants::kMaxCalendarChanges)) break;
    kv::Change change{.key = proposal.key, .data = {}, .lease = {}};
    if (!proposal.remove) {
      change.data = to_value(proposal.next);
      bytes += wire::json_length(*change.data);
      if (!txn.changes.empty() && bytes > constants::kCalendarTxnBytes) break;
    }
    txn.preconditions.push_back({.key = proposal.key, .revision = proposal.revision});
    txn.changes.push_back(std::move(change));
    pending_.insert(proposal.key);
  }
  return txn;
}

std::optional<kv::Txn> DeadlineController::next_write(const record_cache::Jobs& jobs, record_cache::Moment now,
                                                      std::size_t changes_most) {
  stamp(now.wall_ms);
  if (!pending_.empty() || changes_most == 0) return std::nullopt;
  if (decided_ && now.steady - *decided_ < constants::kCalendarWriteInterval) return std::nullopt;
  decided_ = now.steady;
  say_all(now.wall_ms);
  const catalog::Set& set = in_force();
  if (set.calendar.empty() && known_.empty()) return std::nullopt;
  if (matched_ != std::pair(set.version, set.revision) || !rescanned_ ||
      now.steady - *rescanned_ > constants::kCalendarRescan) {
    rescan(jobs);
    rescanned_ = now.steady;
  }
  reckon(now.wall_ms);
  std::vector<Proposal> proposals;
  const EvaluationContext view = outlook(jobs, now);
  propose_openings(proposals, jobs, view);
  propose_changes(proposals, jobs, view, now.steady);
  propose_removals(proposals, now.wall_ms);
  if (proposals.empty()) return std::nullopt;
  return txn_of(std::move(proposals), changes_most);
}

void DeadlineController::on_written(const kv::Txn& txn, const kv::TxnResult& result) {
  for (const kv::Change& change : txn.changes) {
    pending_.erase(change.key);
    if (result.status != kv::Status::ok) continue;
    // Until the watch tells of it, what is known is older than what was written.
    const auto known = known_.find(change.key);
    const bool heard = known != known_.end() ? known->second.revision >= result.revision && change.data.has_value()
                                             : !change.data.has_value();
    if (!heard) awaited_.insert_or_assign(change.key, result.revision);
  }
}

// ---- who is told ----

void DeadlineController::say_all(std::int64_t now_ms) {
  for (const std::string& key : unsaid_) {
    const auto known = known_.find(key);
    if (known != known_.end()) say(key, known->second.seen, now_ms);
  }
  unsaid_.clear();
}

void DeadlineController::say(const std::string& key, const Occurrence& one, std::int64_t now_ms) {
  const auto said = said_.find(key);
  const bool same_state = said != said_.end() && said->second.first == one.state;
  if (same_state && (one.state != State::at_risk || said->second.second == one.reasons)) return;
  said_.insert_or_assign(key, std::pair(one.state, one.reasons));
  if (closed(one.state) && now_ms - one.closed_ms > constants::kCalendarSayAfter.count()) return;
  std::string who;
  if (const CalendarDef* entry = entry_of(one.entry)) who = joined(entry->tell);
  const auto line = [&](spdlog::level::level_enum level) {
    spdlog::log(level, "calendar: entry=\"{}\" due={} local=\"{}\" state=\"{}\" reasons=\"{}\" tell=\"{}\"", one.entry,
                utc_text(one.due_ms), one.local, name_of(one.state), joined(one.reasons), who);
  };
  switch (one.state) {
    case State::expected:
    case State::gathering: break;
    case State::at_risk:
      if (!same_state) ++counts_.at_risk;
      if (!same_state && one.of_plan > 0) ++counts_.cannot_hold;
      return line(spdlog::level::warn);
    case State::met: ++counts_.met; return line(spdlog::level::info);
    case State::missed: ++counts_.missed; return line(spdlog::level::warn);
    case State::waived: ++counts_.waived; return line(spdlog::level::info);
  }
}

}  // namespace foxshunt::calendar
