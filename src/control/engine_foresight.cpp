// Deadlines of the calendar: when jobs end by the plan, renting early enough for them, and what lacks where that can't be.
#include <algorithm>

#include "config/constants.h"
#include "control/engine.h"
#include "control/team_quota.h"
#include "control/times.h"

namespace foxshunt::control {

void Engine::on_dues(foresight::Dues dues) {
  std::map<JobId, int> slack;
  for (const auto& [id, due] : dues) slack.emplace_hint(slack.end(), id, due.step);
  const bool same = std::ranges::equal(dues, dues_, [](const auto& one, const auto& other) {
    return one.first == other.first && one.second.step == other.second.step;
  });
  if (!same) {
    plan_wanted_ = true;   // it ranks them
    planned_ = Instant();  // what was planned before tells nothing of them
  }
  ranking_.on_slack(std::move(slack));
  dues_ = std::move(dues);
}

std::optional<Instant> Engine::planned_end(const Job& job) const {
  // Tasks that have neither a place nor a booking end at no known time, and the job with them.
  std::uint64_t booked = job.runs_count;
  Instant end;
  const Millis beyond = run_time_beyond_booking(job);
  for (const plan::BookingId booking : job.booked) {
    const plan::Booking* found = planner_.booking(booking);
    if (found == nullptr) continue;
    end = std::max(end, found->stop + beyond);
    booked += static_cast<std::uint64_t>(found->amounts.of[0] / std::max<plan::Items>(1, job.each.of[0]));
  }
  for (const Part& part : job.parts) {
    for (const auto& [unused, run] : part.runs) {
      const plan::Booking* found = planner_.booking(run.booking);
      if (found != nullptr) end = std::max(end, found->stop);
    }
  }
  if (booked == 0 || booked < job.spec.tasks - job.done_count) return std::nullopt;
  return end;
}

std::map<JobId, Instant> Engine::planned_ends() const {
  std::map<JobId, Instant> ends;
  for (const auto& [id, job] : jobs_) {
    if (job.withdrawn || job.spec.kind == wire::JobKind::service || dues_.contains(id)) continue;
    if (const auto end = planned_end(job)) ends.emplace_hint(ends.end(), id, *end);
  }
  return ends;
}

foresight::Work Engine::work_of(const Job& job, Instant by, const Supply::Held& have) const {
  foresight::Work work{.by = by, .run = run_time(job)};
  work.waiting = job.pending();
  work.together = job.spec.kind == wire::JobKind::gang;
  work.may_rent = settings_.operators.may_rent;
  work.end = planned_end(job);
  std::uint64_t timely = 0;
  const Millis beyond = run_time_beyond_booking(job);
  for (const plan::BookingId booking : job.booked) {
    const plan::Booking* found = planner_.booking(booking);
    if (found == nullptr || found->stop + beyond > by) continue;
    timely += static_cast<std::uint64_t>(found->amounts.of[0] / std::max<plan::Items>(1, job.each.of[0]));
  }
  work.late = work.waiting - std::min(work.waiting, timely);
  if (const config::Team* team = settings_.team(job.spec.team); team != nullptr) {
    work.limit = TeamQuota(*team).remaining_tasks(job.each, jobs_.team_use(job.spec.team));
  }
  if (const classes::Rank* rank = ranking_.find(job.spec.id); rank != nullptr && ranking_.on()) {
    work.capped = rank->capped;
  }
  const double price_most = least_price(job.spec) * constants::kLatePriceMost;
  for (const wire::MachineType& kind : types_) {
    const std::int64_t fit = job.each.count_in(offered(job.spec, kind));
    if (fit <= 0) continue;
    foresight::Kind one{.name = kind.name,
                        .boot = from_seconds(kind.boot_s) + constants::kCloudCallLimit,
                        .fetch = fetch_time(job.spec, kind.name),
                        .fit = static_cast<std::uint64_t>(fit)};
    bool any = false;
    for (const std::string& zone : kind.zones) {
      for (const bool spot : {false, true}) {
        if (!is_machine_allowed(job.spec, kind.name, zone, spot)) continue;
        any = true;
        if (!counted_on(zone) || (spot ? kind.spot_price : kind.price) > price_most * static_cast<double>(fit))
          continue;
        one.to_rent = one.to_rent || supply_.counted_on({kind.name, zone, spot}, have);
      }
    }
    if (any) work.kinds.push_back(std::move(one));
  }
  return work;
}

std::map<JobId, foresight::Prospect> Engine::prospects(Instant now) const {
  std::map<JobId, foresight::Prospect> prospects;
  if (dues_.empty() || !leading_ || types_.empty()) return prospects;
  // Nothing is known without a whole pass over the machines that there are, whose workers a new leader has to hear first.
  if (pass_ || planned_ < led_ + detour_span(settings_)) return prospects;
  const Supply::Held have = machines_.held();
  for (const auto& [id, due] : dues_) {
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end()) continue;
    const Job& job = entry->second;
    // A pass books some of a very large array only; the rest is not late for that.
    if (job.withdrawn || job.spec.kind == wire::JobKind::service || job.pending() > constants::kTasksPlannedPerPass) {
      continue;
    }
    const auto end = planned_end(job);
    if (end && *end <= due.by) {
      prospects.emplace_hint(prospects.end(), id, foresight::Prospect{.end = end});
    } else if (end || job.submitted < planned_) {
      prospects.emplace_hint(prospects.end(), id, foresight::look(work_of(job, due.by, have), now));
    }
  }
  return prospects;
}

std::uint32_t Engine::overdue(const Job& job, const std::vector<plan::Placing>& placings,
                              const std::vector<plan::Place>& places, Instant now) const {
  const auto due = dues_.find(job.spec.id);
  if (due == dues_.end()) return 0;
  const Millis run = run_time(job);
  std::uint32_t late = 0;
  for (const plan::Placing& placing : placings) {
    if (placing.stop + run_time_beyond_booking(job) > due->second.by) late += placing.count;
  }
  if (late == 0) return 0;
  const foresight::Work work = work_of(job, due->second.by, {});
  if (std::ranges::none_of(work.kinds, [&](const auto& kind) { return foresight::in_time(work, kind, now); })) return 0;
  // Where machines have room for these in time it is something else that lacks, a limit perhaps: renting for it would go
  // on in each pass, as what is rented stays empty.
  std::int64_t room = 0;
  for (const plan::Place& place : places) {
    const Instant from = std::max(now, place.node->info.ready);
    if (from + place.before + run > due->second.by) continue;
    room += job.each.count_in(place.node->use.free(from, from + place.before + estimate(job)));
    if (room >= late) return 0;
  }
  return late;
}

Millis Engine::time_to_rent(const Job& job, Instant now) const {
  const auto due = dues_.find(job.spec.id);
  if (due == dues_.end()) return Millis::max();
  return due->second.by - now - run_time(job);
}

}  // namespace foxshunt::control
