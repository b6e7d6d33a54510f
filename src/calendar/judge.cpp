#include "calendar/judge.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::calendar {
namespace {

std::string plural(std::uint64_t count, const char* noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

// An ended job gives its place in a full list to one that is open: its end is known for good and needs no name.
bool fold_one(Occurrence& one, std::int64_t skew_ms) {
  const auto ended = std::ranges::find_if(one.jobs, [](const Counted& job) { return job.end != End::open; });
  if (ended == one.jobs.end()) return false;
  if (ended->end == End::cancelled) {
    ++one.folded.cancelled;
  } else if (ended->end == End::done && ended->seen_ms + skew_ms <= one.due_ms) {
    ++one.folded.in_time;
    one.folded.tasks_in_time += ended->tasks;
  } else {
    ++one.folded.late;
  }
  one.jobs.erase(ended);
  return true;
}

void attach(Occurrence& one, const std::vector<Counted>& fresh, const EvaluationContext& outlook) {
  one.beyond = 0;
  for (const Counted& job : fresh) {
    if (one.jobs.size() >= outlook.jobs_most && !fold_one(one, outlook.skew_ms)) {
      if (job.end == End::open && one.beyond < constants::kMaxCalendarBeyond) ++one.beyond;
      continue;
    }
    const auto place = std::ranges::upper_bound(one.jobs, job, [](const Counted& left, const Counted& right) {
      return std::pair(left.submitted_ms, left.job) < std::pair(right.submitted_ms, right.job);
    });
    one.jobs.insert(place, job);
  }
}

// What the job lacks; as far as the plan doesn't say, that it is late.
foresight::Shortfall need_of(const Counted& job, const JobNow& now, bool first) {
  foresight::Shortfall need = now.need.value_or(foresight::Shortfall{});
  const bool best = !now.planned_end_ms || *now.planned_end_ms <= now.best_end_ms;
  if (first || (!now.need && best)) need.shortfall_reason = foresight::ShortfallReason::not_enough_time;
  need.job = job.job.text();
  need.jobs = 1;
  return need;
}

// Jobs that lack the same are told of together.
void add_need(std::vector<foresight::Shortfall>& needs, foresight::Shortfall need) {
  const auto same = std::ranges::find_if(needs, [&need](const foresight::Shortfall& one) {
    return one.shortfall_reason == need.shortfall_reason && one.kind == need.kind;
  });
  if (same == needs.end()) return needs.push_back(std::move(need));
  ++same->jobs;
  same->tasks += need.tasks;
  same->machines += need.machines;
  same->up_by_ms = std::min(same->up_by_ms, need.up_by_ms);
}

std::vector<std::string> told_of(const std::vector<foresight::Shortfall>& needs, const std::vector<std::string>& told) {
  std::vector<std::string> reasons;
  std::uint64_t more = 0;
  for (const foresight::Shortfall& need : needs) {
    if (reasons.size() + 1 < constants::kMaxCalendarReasons / 2) {
      reasons.push_back(foresight::describe_shortfall(need, told));
    } else {
      more += need.jobs;
    }
  }
  if (more > 0) reasons.push_back(plural(more, "more job") + " planned to end after the deadline, for other reasons");
  return reasons;
}

bool met(const Occurrence& one, const Tally& tally) {
  if (tally.in_time == 0 || tally.tasks_in_time < one.expected_tasks) return false;
  if (one.expected_jobs > 0) return tally.in_time >= one.expected_jobs;
  return tally.open == 0 && tally.late == 0;
}

std::vector<std::string> lacks(const Tally& tally) {
  std::vector<std::string> reasons;
  if (tally.missing_jobs > 0) reasons.push_back(plural(tally.missing_jobs, "job") + " missing");
  if (tally.missing_tasks > 0) reasons.push_back(plural(tally.missing_tasks, "task") + " missing");
  if (tally.late > 0) reasons.push_back(plural(tally.late, "job") + " ended too late, or nobody saw it end in time");
  return reasons;
}

void bound(std::vector<std::string>& reasons) {
  for (std::string& reason : reasons) reason.resize(std::min(reason.size(), constants::kCalendarReasonBytes));
}

}  // namespace

Verdict evaluate(const Occurrence& seen, const std::vector<Counted>& fresh, const EvaluationContext& outlook) {
  Verdict verdict{.next = seen};
  Occurrence& one = verdict.next;
  const std::int64_t now = outlook.now_ms;
  const std::int64_t skew = outlook.skew_ms;
  attach(one, fresh, outlook);

  const std::vector<std::string> told(
      seen.reasons.end() - static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(seen.of_plan, seen.reasons.size())),
      seen.reasons.end());
  std::vector<foresight::Shortfall> needs;
  bool as_told = false;
  const bool may_step = now - seen.stepped_ms >= constants::kCalendarStepInterval.count();
  for (Counted& job : one.jobs) {
    if (job.end != End::open) continue;
    const auto known = outlook.job(job.job);
    if (!known) {
      verdict.to_read.push_back(job.job);
      continue;
    }
    if (known->end != End::open) {
      job.end = known->end;
      job.seen_ms = known->seen_ms;
      continue;
    }
    // A plan that ends before the work could is out of date.
    std::int64_t end = std::max(known->planned_end_ms.value_or(known->best_end_ms), known->best_end_ms);
    // The plan that there is was made before its record could raise it: what that leaves is told by the next.
    const bool first = !job.step;
    if (first) end = known->best_end_ms;
    int step = step_of(job.deadline_ms - skew - end, job.step);
    // Without a booking this is the best that may become of it: it can make a step fall, not rise. So a new leader, which
    // has not planned yet, keeps the steps and risks that are recorded.
    if (!known->planned_end_ms && job.step) step = std::min(step, *job.step);
    // The plan has no place for it in time and knows none: not to be told only when its last chance has passed.
    const bool hopeless = !first && known->need && !known->planned_end_ms && job.deadline_ms >= one.due_ms;
    if (hopeless) step = 0;
    const bool was_last = job.step == 0;
    // What lies between two steps waits for its turn; the first one and the last are told at once.
    if (!job.step || step == 0 || may_step) job.step = step;
    if (*job.step > 0) continue;
    if (end > one.due_ms - skew || hopeless) {
      add_need(needs, need_of(job, *known, first));
    } else if (was_last) {
      // Not planned yet by a new leader, or so little better that it would soon be told again.
      as_told = true;
    }
  }

  const Tally tally = tally_of(one, skew);
  const std::int64_t close_at = one.due_ms + skew + constants::kCalendarCloseGrace.count();
  const bool early = one.expected_jobs > 0 && met(one, tally);
  if (early || (now >= close_at && verdict.to_read.empty())) {
    one.state = met(one, tally) ? State::met : State::missed;
    one.closed_ms = now;
    one.reasons = lacks(tally);
    one.of_plan = 0;
    if (one.state == State::met) one.reasons.clear();
    if (one.state == State::missed && tally.open > 0) one.reasons.push_back(plural(tally.open, "job") + " not done");
    bound(one.reasons);
    verdict.changed = verdict.urgent = true;
    return verdict;
  }

  std::vector<std::string> reasons = needs.empty() && as_told ? told : told_of(needs, told);
  one.of_plan = reasons.size();
  // Told early: by the clock that is ahead of all others.
  if (now + skew >= one.tell_ms || tally.late > 0) {
    const std::vector<std::string> more = lacks(tally);
    reasons.insert(reasons.begin(), more.begin(), more.end());
  }
  bound(reasons);
  const bool begun = tally.open + tally.in_time > 0;
  one.state = !reasons.empty() ? State::at_risk : begun ? State::gathering : State::expected;
  if (one.state == State::at_risk && seen.state != State::at_risk) one.told_ms = now;
  one.reasons = std::move(reasons);

  // Without an end, and whoever wrote it last, this much is worth a write of its own.
  const bool better = seen.state == State::at_risk && one.state != State::at_risk;
  bool material =
      (one.state != seen.state && !better) || one.folded != seen.folded || one.jobs.size() != seen.jobs.size();
  for (std::size_t at = 0; !material && at < one.jobs.size(); ++at) {
    material = one.jobs[at].job != seen.jobs[at].job || one.jobs[at].end != seen.jobs[at].end ||
               one.jobs[at].step.has_value() != seen.jobs[at].step.has_value();
  }
  const bool other = one != seen;
  verdict.changed = other && (material || may_step);
  verdict.urgent = one.state == State::at_risk && seen.state != State::at_risk;
  if (verdict.changed && may_step) one.stepped_ms = now;
  verdict.again_ms = close_at;
  if (now + skew < one.tell_ms) verdict.again_ms = std::min(verdict.again_ms, one.tell_ms - skew);
  if (tally.open > 0 || other || !verdict.to_read.empty()) {
    verdict.again_ms = std::min(verdict.again_ms, now + constants::kCalendarStepInterval.count());
  }
  return verdict;
}

}  // namespace foxshunt::calendar
