#include "calendar/view.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "config/constants.h"

namespace foxshunt::calendar {
namespace {

using wire::Malformed;
using wire::Value;

std::uint64_t count_of(std::int64_t ms) { return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)); }

Value shown_word(const Word& word) {
  return Value::Map{{"by", word.by}, {"why", word.why}, {"at", utc_text(word.at_ms)}};
}

Value shown_occurrence(const Occurrence& one, Revision revision, const DeadlineController& keeper) {
  const Tally tally = tally_of(one, keeper.limits().skew_ms);
  Value::List jobs;
  for (const Counted& job : one.jobs) {
    if (jobs.size() >= constants::kCalendarJobsShown) break;
    if (job.end != End::open) continue;
    Value::Map map{{"id", job.job.text()}, {"deadline", utc_text(job.deadline_ms)}};
    if (job.step) map.emplace_back("slack_step", *job.step);
    jobs.emplace_back(std::move(map));
  }
  Value::List reasons;
  for (const std::string& reason : one.reasons) reasons.emplace_back(reason);
  Value::List tell;
  for (const catalog::CalendarDef& entry : keeper.in_force().calendar) {
    if (entry.name != one.entry) continue;
    for (const std::string& name : entry.tell) tell.emplace_back(name);
  }
  Value::Map map{{"entry", one.entry},
                 {"due", utc_text(one.due_ms)},
                 {"due_ms", count_of(one.due_ms)},
                 {"local", one.local},
                 {"zone", one.zone},
                 {"state", name_of(one.state)},
                 {"expected_jobs", one.expected_jobs},
                 {"expected_tasks", one.expected_tasks},
                 {"open", tally.open},
                 {"in_time", tally.in_time},
                 {"late", tally.late},
                 {"missing_jobs", closed(one.state) ? 0 : tally.missing_jobs},
                 {"missing_tasks", closed(one.state) ? 0 : tally.missing_tasks},
                 {"reasons", std::move(reasons)},
                 {"jobs", std::move(jobs)},
                 {"tell", std::move(tell)},
                 {"catalog", one.version.number()},
                 {"mark", revision.number()}};
  if (one.told_ms > 0) map.emplace_back("told", utc_text(one.told_ms));
  if (one.closed_ms > 0) map.emplace_back("closed", utc_text(one.closed_ms));
  if (one.noted) map.emplace_back("noted", shown_word(*one.noted));
  if (one.waived) map.emplace_back("waived", shown_word(*one.waived));
  return map;
}

std::string hex(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace

Value shown(const DeadlineController& keeper, Revision revision, std::int64_t now_ms, int days, std::int64_t from_ms,
            std::size_t skip) {
  constexpr std::int64_t kDayMs = 24 * 3'600'000;
  const std::int64_t begin = std::max(from_ms, now_ms - kDayMs);
  const std::int64_t end = now_ms + kDayMs * std::clamp(days, 1, constants::kMaxCalendarDays);
  std::vector<std::pair<std::int64_t, std::string>> order;  // by due time, then key
  std::map<std::string, Occurrence> coming;
  for (const auto& [key, known] : keeper.occurrences()) {
    if (known.seen.due_ms >= begin && known.seen.due_ms < end) order.emplace_back(known.seen.due_ms, key);
  }
  Value::List unknown;
  for (const catalog::CalendarDef& entry : keeper.in_force().calendar) {
    try {
      for (const Due& due : dues(entry, std::max(begin, now_ms), end)) {
        const std::string key = key_of(entry.name, due.due_ms);
        if (keeper.occurrences().contains(key)) continue;
        coming.emplace(key, Occurrence{.entry = entry.name,
                                       .local = due.local,
                                       .zone = entry.time_zone,
                                       .due_ms = due.due_ms,
                                       .expected_jobs = entry.expected_jobs,
                                       .expected_tasks = entry.expected_tasks});
        order.emplace_back(due.due_ms, key);
      }
    } catch (const Unknown& error) {
      if (unknown.size() < constants::kCalendarJobsShown) unknown.push_back(entry.name + ": " + error.what());
    }
  }
  std::ranges::sort(order);
  Value::List list;
  std::size_t bytes = 0;
  std::int64_t next = 0;
  std::size_t next_skip = 0;
  std::size_t same = 0;  // due at the same instant, so far
  for (std::size_t at = 0; at < order.size(); ++at) {
    const auto& [due_ms, key] = order[at];
    same = at > 0 && order[at - 1].first == due_ms ? same + 1 : 0;
    if (due_ms == from_ms && same < skip) continue;
    const auto known = keeper.occurrences().find(key);
    Value one = known != keeper.occurrences().end()
                    ? shown_occurrence(known->second.seen, known->second.revision, keeper)
                    : shown_occurrence(coming.at(key), {}, keeper);
    bytes += wire::json_length(one);
    if (bytes > constants::kCalendarPageBytes && !list.empty()) {
      next = due_ms;
      next_skip = same;
      break;
    }
    list.push_back(std::move(one));
  }
  return Value::Map{{"revision", revision.number()},  {"catalog", keeper.in_force().version.number()},
                    {"digest", hex(keeper.digest())}, {"now", utc_text(now_ms)},
                    {"next", count_of(next)},         {"next_skip", static_cast<std::uint64_t>(next_skip)},
                    {"unknown", std::move(unknown)},  {"occurrences", std::move(list)}};
}

Value to_value(const Request& request) {
  return Value::Map{{"order", request.waive ? "waive" : "acknowledge"},
                    {"entry", request.entry},
                    {"occurrence", request.occurrence},
                    {"by", request.by},
                    {"why", request.why}};
}

Request request_from(const Value& value) {
  const std::string& order = value.text("order");
  if (order != "waive" && order != "acknowledge") throw Malformed("order: must be waive or acknowledge");
  return {.waive = order == "waive",
          .entry = value.text("entry"),
          .occurrence = value.text("occurrence"),
          .by = value.text("by"),
          .why = value.text("why")};
}

Decision decide(const DeadlineController& keeper, const Request& request, std::int64_t now_ms) {
  const std::string begin = entry_prefix(request.entry);
  for (auto at = keeper.occurrences().lower_bound(begin);
       at != keeper.occurrences().end() && at->first.starts_with(begin); ++at) {
    const auto& [key, known] = *at;
    if (known.seen.entry != request.entry) continue;
    if (utc_text(known.seen.due_ms) != request.occurrence && known.seen.local != request.occurrence) continue;
    // Repeated for want of an answer.
    const auto& same = request.waive ? known.seen.waived : known.seen.noted;
    if (same && same->by == request.by && same->why == request.why) return {.txn = {}, .done = known.revision};
    Word word{.by = request.by, .why = request.why, .at_ms = now_ms};
    Order order = request.waive ? waive(key, known.seen, known.revision, std::move(word))
                                : acknowledge(key, known.seen, known.revision, std::move(word));
    if (order.txn) return {.txn = std::move(order.txn), .done = {}};
    return {
        .txn = {}, .done = {}, .status = closed(known.seen.state) && request.waive ? 409 : 422, .error = order.refusal};
  }
  return {.txn = {},
          .done = {},
          .status = 404,
          .error = "entry \"" + request.entry + "\" has no open or kept occurrence due at " + request.occurrence};
}

}  // namespace foxshunt::calendar
