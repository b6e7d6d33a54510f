#include "calendar/occurrence.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "calendar/civil.h"
#include "config/constants.h"

namespace foxshunt::calendar {
namespace {

using wire::Malformed;
using wire::Value;

constexpr std::array<std::string_view, 6> kStates = {"expected", "gathering", "at risk", "met", "missed", "waived"};
constexpr std::string_view kHex = "0123456789abcdef";

std::uint64_t count_of(std::int64_t ms) { return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)); }
std::int64_t ms_of(const Value& value, std::string_view key) { return static_cast<std::int64_t>(value.count(key)); }

Value to_value(const Counted& job) {
  return Value::List{job.job.text(),
                     count_of(job.submitted_ms),
                     count_of(job.deadline_ms),
                     job.tasks,
                     static_cast<std::uint64_t>(job.end),
                     count_of(job.seen_ms),
                     job.step ? static_cast<std::uint64_t>(*job.step) + 1 : std::uint64_t{0}};
}

Counted counted_from(const Value& value) {
  const Value::List* list = value.as_list();
  if (list == nullptr || list->size() < 7 || (*list)[0].as_text() == nullptr) throw Malformed("jobs: not a job");
  for (std::size_t at = 1; at < 7; ++at) {
    if ((*list)[at].as_count() == nullptr) throw Malformed("jobs: not a job");
  }
  const auto number = [list](std::size_t at) { return *(*list)[at].as_count(); };
  if (number(4) > static_cast<std::uint64_t>(End::unknown)) throw Malformed("jobs: unknown end");
  if (number(6) > constants::kMaxCalendarSteps + 1) throw Malformed("jobs: unknown step");
  Counted job{.job = JobId(*(*list)[0].as_text()),
              .submitted_ms = static_cast<std::int64_t>(number(1)),
              .deadline_ms = static_cast<std::int64_t>(number(2)),
              .tasks = number(3),
              .end = static_cast<End>(number(4)),
              .seen_ms = static_cast<std::int64_t>(number(5)),
              .step = {}};
  if (number(6) > 0) job.step = static_cast<int>(number(6) - 1);
  return job;
}

Value to_value(const Word& word) {
  return Value::Map{{"by", word.by}, {"why", word.why}, {"at", count_of(word.at_ms)}};
}

std::optional<Word> message_from(const Value& value) {
  if (value.is_null()) return std::nullopt;
  return Word{.by = value.text("by"), .why = value.text("why"), .at_ms = ms_of(value, "at")};
}

}  // namespace

std::string_view name_of(State state) { return kStates[static_cast<std::size_t>(state)]; }

std::string slug_of(const std::string& entry) {
  std::string slug;
  for (const char letter : entry) {
    const auto byte = static_cast<unsigned char>(letter);
    if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || byte == '-' ||
        byte == '.') {
      slug += letter;
    } else if (byte == ' ') {
      slug += '_';
    } else {
      slug += {'~', kHex[byte >> 4U], kHex[byte & 15U]};
    }
  }
  if (slug.size() <= constants::kCalendarSlugBytes) return slug;
  std::uint64_t hash = XXH3_64bits(entry.data(), entry.size());
  slug.resize(constants::kCalendarSlugBytes - 18);
  slug += "~~";
  for (int digit = 0; digit < 16; ++digit, hash >>= 4U) slug += kHex[hash & 15U];
  return slug;
}

std::string entry_prefix(const std::string& entry) { return kPrefix + slug_of(entry) + "/"; }
std::string key_of(const std::string& entry, std::int64_t due_ms) { return entry_prefix(entry) + utc_text(due_ms); }

Value to_value(const Occurrence& occurrence) {
  Value::List jobs;
  for (const Counted& job : occurrence.jobs) jobs.push_back(to_value(job));
  Value::List reasons;
  for (const std::string& reason : occurrence.reasons) reasons.emplace_back(reason);
  Value::Map map{{"form", kForm},
                 {"entry", occurrence.entry},
                 {"local", occurrence.local},
                 {"zone", occurrence.zone},
                 {"due", count_of(occurrence.due_ms)},
                 {"opens", count_of(occurrence.opens_ms)},
                 {"tell", count_of(occurrence.tell_ms)},
                 {"expected_jobs", occurrence.expected_jobs},
                 {"expected_tasks", occurrence.expected_tasks},
                 {"version", occurrence.version.number()},
                 {"state", name_of(occurrence.state)},
                 {"jobs", std::move(jobs)},
                 {"folded", Value::List{occurrence.folded.in_time, occurrence.folded.tasks_in_time,
                                        occurrence.folded.late, occurrence.folded.cancelled}},
                 {"beyond", occurrence.beyond},
                 {"reasons", std::move(reasons)},
                 {"opened", count_of(occurrence.opened_ms)},
                 {"told", count_of(occurrence.told_ms)},
                 {"stepped", count_of(occurrence.stepped_ms)},
                 {"closed", count_of(occurrence.closed_ms)}};
  if (occurrence.of_plan > 0) map.emplace_back("of_plan", occurrence.of_plan);  // older programs know no such thing
  if (occurrence.noted) map.emplace_back("noted", to_value(*occurrence.noted));
  if (occurrence.waived) map.emplace_back("waived", to_value(*occurrence.waived));
  return map;
}

std::optional<Occurrence> occurrence_from(const Value& value) {
  if (value.count("form") != kForm) return std::nullopt;
  Occurrence one{.entry = value.text("entry"),
                 .local = value.text("local"),
                 .zone = value.text("zone"),
                 .due_ms = ms_of(value, "due"),
                 .opens_ms = ms_of(value, "opens"),
                 .tell_ms = ms_of(value, "tell"),
                 .expected_jobs = value.count("expected_jobs"),
                 .expected_tasks = value.count("expected_tasks"),
                 .version = catalog::Version(value.count("version"))};
  const auto* const state = std::ranges::find(kStates, value.text("state"));
  if (state == kStates.end()) throw Malformed("state: unknown");
  one.state = static_cast<State>(state - kStates.begin());
  for (const Value& job : value.list("jobs")) one.jobs.push_back(counted_from(job));
  const Value::List& folded = value.list("folded");
  if (folded.size() < 4 || std::ranges::any_of(folded, [](const Value& each) { return each.as_count() == nullptr; })) {
    throw Malformed("folded: must be four counts");
  }
  one.folded = {.in_time = *folded[0].as_count(),
                .tasks_in_time = *folded[1].as_count(),
                .late = *folded[2].as_count(),
                .cancelled = *folded[3].as_count()};
  one.beyond = value.count("beyond");
  for (const Value& reason : value.list("reasons")) {
    if (reason.as_text() == nullptr) throw Malformed("reasons: must be texts");
    one.reasons.push_back(*reason.as_text());
  }
  if (!value["of_plan"].is_null()) one.of_plan = value.count("of_plan");
  one.opened_ms = ms_of(value, "opened");
  one.told_ms = ms_of(value, "told");
  one.stepped_ms = ms_of(value, "stepped");
  one.closed_ms = ms_of(value, "closed");
  one.noted = message_from(value["noted"]);
  one.waived = message_from(value["waived"]);
  return one;
}

namespace {

// Of an operator's own words: bounded, so that the record stays under the store's limit.
std::optional<std::string> bad_word(const Word& word) {
  if (word.by.empty()) return "--by: who are you?";
  if (word.by.size() > constants::kCalendarWhyBytes || word.why.size() > constants::kCalendarWhyBytes) {
    return "--by, --why: at most " + std::to_string(constants::kCalendarWhyBytes) + " bytes each";
  }
  return std::nullopt;
}

kv::Txn rewrite(const std::string& key, const Occurrence& one, Revision revision) {
  return {.preconditions = {{.key = key, .revision = revision}},
          .changes = {{.key = key, .data = to_value(one), .lease = {}}}};
}

}  // namespace

Order waive(const std::string& key, const Occurrence& seen, Revision revision, Word word) {
  if (auto bad = bad_word(word)) return {.txn = {}, .refusal = *bad};
  if (closed(seen.state)) {
    return {.txn = {}, .refusal = "it is closed already: " + std::string(name_of(seen.state))};
  }
  Occurrence next = seen;
  next.state = State::waived;
  next.closed_ms = word.at_ms;
  next.waived = std::move(word);
  return {.txn = rewrite(key, next, revision), .refusal = {}};
}

Order acknowledge(const std::string& key, const Occurrence& seen, Revision revision, Word word) {
  if (auto bad = bad_word(word)) return {.txn = {}, .refusal = *bad};
  Occurrence next = seen;
  next.noted = std::move(word);
  return {.txn = rewrite(key, next, revision), .refusal = {}};
}

Tally tally_of(const Occurrence& occurrence, std::int64_t skew_ms) {
  Tally tally{.open = occurrence.beyond,
              .in_time = occurrence.folded.in_time,
              .tasks = occurrence.folded.tasks_in_time,
              .tasks_in_time = occurrence.folded.tasks_in_time,
              .late = occurrence.folded.late};
  for (const Counted& job : occurrence.jobs) {
    if (job.end == End::cancelled) continue;
    if (job.end == End::open) {
      ++tally.open;
      tally.tasks += job.tasks;
    } else if (job.end == End::done && job.seen_ms + skew_ms <= occurrence.due_ms) {
      ++tally.in_time;
      tally.tasks += job.tasks;
      tally.tasks_in_time += job.tasks;
    } else {
      ++tally.late;
    }
  }
  const std::uint64_t wanted = std::max<std::uint64_t>(occurrence.expected_jobs, 1);
  const std::uint64_t there = tally.open + tally.in_time;
  tally.missing_jobs = wanted > there ? wanted - there : 0;
  // The tasks of jobs beyond the list are not known.
  if (occurrence.beyond == 0 && occurrence.expected_tasks > tally.tasks)
    tally.missing_tasks = occurrence.expected_tasks - tally.tasks;
  return tally;
}

int step_of(std::int64_t slack_ms, std::optional<int> recorded) {
  // Step n begins at n - 1 whole steps of slack; below 0 it is step 0. It falls at once and rises late.
  constexpr std::int64_t width = constants::kCalendarSlackStep.count();
  const std::int64_t hold = constants::kCalendarSlackHold.count();
  const auto plain = [](std::int64_t slack) {
    const auto whole = static_cast<std::int64_t>(std::floor(static_cast<double>(slack) / static_cast<double>(width)));
    return static_cast<int>(std::clamp<std::int64_t>(whole + 1, 0, constants::kMaxCalendarSteps));
  };
  if (!recorded) return plain(slack_ms);
  if (const int up = plain(slack_ms - hold); up > *recorded) return up;
  return std::min(plain(slack_ms), *recorded);
}

}  // namespace foxshunt::calendar
