#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>

#include "calendar/keeper.h"
#include "calendar/sunrise.h"
#include "calendar/view.h"
#include "config/constants.h"
#include "standins/state_store.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::calendar {
namespace {

using catalog::CalendarDef;
using kv::Status;

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kDay = 24 * kHour;

std::int64_t utc(int year, unsigned month, unsigned day, int hour = 0, int minute = 0) {
  return instant_of("Etc/UTC", {year, month, day, hour * 60 + minute});
}

// ---- civil time ----

struct Instant {
  const char* zone;
  CivilTime local;
  const char* utc;
};

TEST(CalendarCivil, KnownInstants) {
  const auto table = std::to_array<Instant>({
      {"Europe/Tallinn", {2027, 3, 26, 330}, "2027-03-26T03:30:00Z"},
      {"Europe/Tallinn", {2027, 3, 28, 179}, "2027-03-28T00:59:00Z"},
      {"Europe/Tallinn", {2027, 3, 28, 180}, "2027-03-28T01:00:00Z"},  // 03:00 does not exist
      {"Europe/Tallinn", {2027, 3, 28, 210}, "2027-03-28T01:00:00Z"},  // nor does 03:30
      {"Europe/Tallinn", {2027, 3, 28, 240}, "2027-03-28T01:00:00Z"},  // 04:00 is the first after the gap
      {"Europe/Tallinn", {2027, 3, 28, 330}, "2027-03-28T02:30:00Z"},
      {"Europe/Tallinn", {2027, 10, 31, 179}, "2027-10-30T23:59:00Z"},
      {"Europe/Tallinn", {2027, 10, 31, 210}, "2027-10-31T00:30:00Z"},  // comes twice: the first
      {"Europe/Tallinn", {2027, 10, 31, 240}, "2027-10-31T02:00:00Z"},
      {"Europe/Tallinn", {2028, 2, 29, 330}, "2028-02-29T03:30:00Z"},
      {"Asia/Kolkata", {2027, 3, 28, 330}, "2027-03-28T00:00:00Z"},
      {"Asia/Kolkata", {2028, 2, 29, 0}, "2028-02-28T18:30:00Z"},
      {"America/New_York", {2027, 3, 14, 119}, "2027-03-14T06:59:00Z"},
      {"America/New_York", {2027, 3, 14, 150}, "2027-03-14T07:00:00Z"},  // 02:30 does not exist
      {"America/New_York", {2027, 3, 14, 180}, "2027-03-14T07:00:00Z"},
      {"America/New_York", {2027, 11, 7, 90}, "2027-11-07T05:30:00Z"},  // 01:30 comes twice
      {"America/New_York", {2027, 11, 7, 120}, "2027-11-07T07:00:00Z"},
      {"America/New_York", {2028, 2, 29, 1439}, "2028-03-01T04:59:00Z"},
  });
  for (const Instant& one : table) EXPECT_EQ(utc_text(instant_of(one.zone, one.local)), one.utc) << one.zone;
  EXPECT_THROW((void)instant_of("Europe/Tallinn", {2027, 2, 29, 0}), Unknown);
  EXPECT_THROW((void)instant_of("Nowhere/None", {2027, 2, 28, 0}), Unknown);
}

unsigned sunday(int year, unsigned month, int nth) {  // nth of 0: the last one
  unsigned found = 0;
  for (unsigned day = 1; day <= 31; ++day) {
    const std::int64_t days = utc(year, month, 1) / kDay + static_cast<std::int64_t>(day) - 1;
    if (month == 11 && day == 31) break;
    if ((days + 4) % 7 != 0) continue;  // 1970-01-01 was a Thursday
    found = day;
    if (--nth == 0) break;
  }
  return found;
}

// The laws of three zones, written out: every hour and a half of six years.
TEST(CalendarCivil, AgreesWithTheLawsOfThreeZones) {
  struct Law {
    const char* zone;
    std::int64_t winter, summer;  // added to UTC
    std::function<std::pair<std::int64_t, std::int64_t>(int)> summer_of;
  };
  const auto laws = std::to_array<Law>({
      {"Europe/Tallinn", 2 * kHour, 3 * kHour,
       [](int year) { return std::pair(utc(year, 3, sunday(year, 3, 0), 1), utc(year, 10, sunday(year, 10, 0), 1)); }},
      {"America/New_York", -5 * kHour, -4 * kHour,
       [](int year) { return std::pair(utc(year, 3, sunday(year, 3, 2), 7), utc(year, 11, sunday(year, 11, 1), 6)); }},
      {"Asia/Kolkata", 5 * kHour + 30 * kMinute, 5 * kHour + 30 * kMinute, [](int) { return std::pair(0L, 0L); }},
  });
  for (const Law& law : laws) {
    for (int year = 2026; year < 2032; ++year) {
      const auto [begin, end] = law.summer_of(year);
      std::int64_t last = 0;
      for (unsigned month = 1; month <= 12; ++month) {
        for (unsigned day = 1; day <= 28; ++day) {
          for (int minute = 0; minute < 1440; minute += 90) {
            const std::int64_t local = utc(year, month, day, 0, minute);
            const std::int64_t by_summer = local - law.summer;
            const std::int64_t by_winter = local - law.winter;
            const bool summer = by_summer >= begin && by_summer < end;
            const bool winter = by_winter < begin || by_winter >= end;
            const std::int64_t want = summer ? by_summer : winter ? by_winter : begin;
            const std::int64_t got = instant_of(law.zone, {year, month, day, minute});
            ASSERT_EQ(got, want) << law.zone << " " << utc_text(local);
            ASSERT_GE(got, last);  // later by the clocks is never sooner, but for the hour that comes twice
            last = got == want && summer ? got : std::max(last, got - kHour);
          }
        }
      }
    }
  }
}

CalendarDef entry_of(const std::string& name, const std::string& at = "05:30") {
  CalendarDef entry{.name = name, .time_zone = "Europe/Tallinn", .at = at};
  entry.jobs.push_back({.job_classes = {name}});
  entry.opens_before_s = 2 * 3600;
  entry.lead_s = 1800;
  return entry;
}

TEST(CalendarCivil, DaysOfAnEntry) {
  CalendarDef entry = entry_of("dawn");
  const std::int64_t begin = utc(2028, 2, 27);
  EXPECT_EQ(dues(entry, begin, begin + 4 * kDay).size(), 4U);
  entry.weekdays = {1};
  entry.dates = {"2028-02-29"};
  entry.except = {"2028-03-06"};
  std::vector<std::string> found;
  for (const Due& due : dues(entry, begin, begin + 16 * kDay)) found.push_back(due.local);
  EXPECT_EQ(found, (std::vector<std::string>{"2028-02-28 05:30", "2028-02-29 05:30", "2028-03-13 05:30"}));
  // Half open: due at the begin, not at the end.
  const std::int64_t due = dues(entry, begin, begin + 2 * kDay).front().due_ms;
  EXPECT_EQ(dues(entry, due, due + 1).size(), 1U);
  EXPECT_EQ(dues(entry, due - 1, due).size(), 0U);
}

// Sunrises as they are commonly given, to a minute or so, by the clocks of the place.
TEST(CalendarSunrise, IsWhereItIsKnownToBe) {
  struct Rise {
    const char* zone;
    catalog::Place place;
    int year;
    unsigned month, day;
    int minute;
  };
  const auto table = std::to_array<Rise>({
      {"Europe/Tallinn", {59.437, 24.754}, 2024, 6, 20, 4 * 60 + 3},
      {"Europe/Tallinn", {59.437, 24.754}, 2024, 12, 21, 9 * 60 + 17},
      {"Europe/London", {51.507, -0.128}, 2024, 6, 20, 4 * 60 + 43},
      {"Europe/London", {51.507, -0.128}, 2024, 12, 21, 8 * 60 + 4},
      {"America/New_York", {40.713, -74.006}, 2024, 6, 20, 5 * 60 + 25},
      {"America/New_York", {40.713, -74.006}, 2024, 12, 21, 7 * 60 + 17},
      {"Australia/Sydney", {-33.869, 151.209}, 2024, 6, 21, 7 * 60},
      {"Asia/Kolkata", {28.614, 77.209}, 2024, 3, 20, 6 * 60 + 25},
      {"Asia/Singapore", {1.352, 103.820}, 2024, 3, 20, 7 * 60 + 9},
      {"Atlantic/Reykjavik", {64.147, -21.943}, 2024, 6, 20, 2 * 60 + 55},
      {"Atlantic/Reykjavik", {64.147, -21.943}, 2024, 12, 21, 11 * 60 + 22},
  });
  for (const Rise& one : table) {
    const std::int64_t midnight = instant_of(one.zone, {one.year, one.month, one.day, 0});
    const auto rise = sunrise(one.place, midnight, midnight + kDay);
    ASSERT_TRUE(rise) << one.zone;
    const std::int64_t want = instant_of(one.zone, {one.year, one.month, one.day, one.minute});
    EXPECT_LE(std::abs(*rise - want), 2 * kMinute) << one.zone << " " << utc_text(*rise);
  }
}

// Whatever the place: as the year goes it rises a little later or sooner each day, and by turns of half a year.
TEST(CalendarSunrise, GoesOnFromDayToDay) {
  for (const catalog::Place place : {catalog::Place{0, 0}, {59.4, 24.7}, {-33.9, 151.2}, {60, -179.9}, {60, 179.9}}) {
    std::optional<std::int64_t> before;
    for (std::int64_t midnight = utc(2027, 1, 1); midnight < utc(2029, 1, 1); midnight += kDay) {
      // Between two midnights of the sun, so that none of them is near an edge.
      const std::int64_t from = midnight - std::llround(place.longitude / 360 * static_cast<double>(kDay));
      const auto rise = sunrise(place, from, from + kDay);
      ASSERT_TRUE(rise) << utc_text(from);
      if (before) {
        EXPECT_NEAR(static_cast<double>(*rise - *before), kDay, 5 * kMinute) << utc_text(*rise);
      }
      before = rise;
    }
  }
}

TEST(CalendarSunrise, AnEntryBySunrise) {
  CalendarDef entry = entry_of("dawn", "");
  entry.sunrise = catalog::Place{59.437, 24.754};
  entry.minus_s = 1800;
  EXPECT_EQ(problem(entry), std::nullopt);
  std::vector<std::string> found;
  const std::int64_t begin = instant_of(entry.time_zone, {2027, 3, 27, 0});  // the clocks change on the 28th
  for (const Due& due : dues(entry, begin, begin + 2 * kDay)) found.push_back(due.local + " " + utc_text(due.due_ms));
  EXPECT_EQ(found, (std::vector<std::string>{"2027-03-27 05:33 2027-03-27T03:33:00Z",
                                             "2027-03-28 06:30 2027-03-28T03:30:00Z"}));
  // Polar day and polar night: not due, and said which days.
  entry.sunrise = catalog::Place{69.65, 18.96};
  entry.time_zone = "Europe/Oslo";
  for (const unsigned month : {6U, 12U}) {
    std::vector<std::string> sunless;
    const std::int64_t day = instant_of(entry.time_zone, {2027, month, 20, 0});
    EXPECT_TRUE(dues(entry, day, day + 3 * kDay, &sunless).empty());
    EXPECT_EQ(sunless.size(), 3U);
  }
  std::vector<std::string> sunless;
  const std::int64_t day = instant_of(entry.time_zone, {2027, 3, 20, 0});
  EXPECT_EQ(dues(entry, day, day + 3 * kDay, &sunless).size(), 3U);
  EXPECT_TRUE(sunless.empty());
}

TEST(CalendarCivil, SaysWhyAnEntryCannotBeDeclared) {
  EXPECT_EQ(problem(entry_of("dawn")), std::nullopt);
  const auto why = [](const std::function<void(CalendarDef&)>& change) {
    CalendarDef entry = entry_of("dawn");
    change(entry);
    const auto found = problem(entry);
    return found ? found->substr(0, found->find(':')) : std::string("nothing");
  };
  EXPECT_EQ(why([](CalendarDef& one) { one.time_zone = "Europe/Nowhere"; }), "time-zone");
  EXPECT_EQ(why([](CalendarDef& one) { one.time_zone = "../../etc/passwd"; }), "time-zone");
  EXPECT_EQ(why([](CalendarDef& one) { one.at = "24:00"; }), "at");
  EXPECT_EQ(why([](CalendarDef& one) { one.at = "5:30"; }), "at");
  EXPECT_EQ(why([](CalendarDef& one) { one.dates = {"2027-02-29"}; }), "date");
  EXPECT_EQ(why([](CalendarDef& one) { one.except = {"tomorrow"}; }), "except");
  EXPECT_EQ(why([](CalendarDef& one) { one.weekdays = {0}; }), "weekday");
  EXPECT_EQ(why([](CalendarDef& one) { one.opens_before_s = 0; }), "opens-before");
  EXPECT_EQ(why([](CalendarDef& one) { one.lead_s = 1e9; }), "lead");
  EXPECT_EQ(why([](CalendarDef& one) { one.jobs.clear(); }), "jobs");
}

// ---- records ----

TEST(CalendarRecords, KeysOfEntriesDiffer) {
  EXPECT_EQ(key_of("dawn forecast", utc(2027, 3, 28, 2, 30)), "calendar/dawn_forecast/2027-03-28T02:30:00Z");
  const auto names =
      std::to_array<std::string>({"a b", "a_b", "a/b", "a~2fb", "A b", std::string(200, 'x'), std::string(201, 'x')});
  std::set<std::string> slugs;
  for (const std::string& name : names) {
    const std::string key = key_of(name, 0);
    EXPECT_LE(key.size(), 200U);
    EXPECT_EQ(key.find(' '), std::string::npos);
    slugs.insert(key);
  }
  EXPECT_EQ(slugs.size(), std::size(names));
}

TEST(CalendarRecords, ComeBackAsTheyWereAndFitTheStore) {
  Occurrence one{
      .entry = std::string(64, 'e'), .local = "2027-03-28 05:30", .zone = "America/Argentina/ComodRivadavia"};
  one.due_ms = one.opens_ms = one.tell_ms = one.opened_ms = one.told_ms = one.stepped_ms = 9'806'195'600'000;
  one.state = State::at_risk;
  one.version = catalog::Version(123456);
  for (std::size_t at = 0; at < constants::kMaxCalendarJobs; ++at) {
    one.jobs.push_back({.job = JobId("j-" + std::string(18, '9')),
                        .submitted_ms = one.due_ms,
                        .deadline_ms = one.due_ms,
                        .tasks = 100'000,
                        .end = End::cancelled,
                        .seen_ms = one.due_ms,
                        .step = 24});
  }
  one.reasons.assign(constants::kMaxCalendarReasons, std::string(constants::kCalendarReasonBytes, 'r'));
  one.of_plan = constants::kMaxCalendarReasons;
  one.noted = one.waived = Word{.by = std::string(200, 'b'), .why = std::string(200, 'w'), .at_ms = one.due_ms};
  EXPECT_EQ(occurrence_from(to_value(one)), one);
  EXPECT_LE(wire::json_length(to_value(one)), 8U * 1024);
}

TEST(CalendarRecords, StepsFallAtOnceAndRiseLate) {
  const std::int64_t width = constants::kCalendarSlackStep.count();
  const std::int64_t hold = constants::kCalendarSlackHold.count();
  EXPECT_EQ(step_of(-1, {}), 0);
  EXPECT_EQ(step_of(0, {}), 1);
  EXPECT_EQ(step_of(width, 1), 1);
  EXPECT_EQ(step_of(width + hold - 1, 1), 1);
  EXPECT_EQ(step_of(width + hold, 1), 2);
  EXPECT_EQ(step_of(width - 1, 2), 1);
  EXPECT_EQ(step_of(100 * kDay, {}), constants::kMaxCalendarSteps);
  std::mt19937 dice(7);
  std::uniform_int_distribution<std::int64_t> any(-width, 30 * width);
  for (int round = 0; round < 2000; ++round) {
    const std::int64_t slack = any(dice);
    const std::optional<int> kept = step_of(any(dice), {});
    const int next = step_of(slack, kept);
    EXPECT_LE(next, step_of(slack, {}));         // never more slack than there is
    EXPECT_GE(next, step_of(slack - hold, {}));  // and little less
    EXPECT_EQ(step_of(slack, next), next);       // asked again it stays
    EXPECT_EQ(step_of(slack - hold, next) <= next, true);
  }
}

// ---- several controllers ----

enum class Fault { none, crash_before, crash_after, lost, late, very_late, refused, freeze, cut };
constexpr std::array kFaults = {Fault::crash_before, Fault::crash_after, Fault::lost,   Fault::late,
                                Fault::very_late,    Fault::refused,     Fault::freeze, Fault::cut};

// Controllers' keepers on ledgers of their own, fed from one state store, in virtual time.
class Day {
 public:
  static constexpr std::int64_t kStep = 5 * kSecond;
  static constexpr std::int64_t kSkew = 250;

  struct Instance {
    std::unique_ptr<record_cache::RecordCache> record_cache;
    std::unique_ptr<record_cache::Jobs> jobs;
    std::unique_ptr<DeadlineController> keeper;
    std::int64_t off_ms = 0;       // of its clock
    std::int64_t still_until = 0;  // crashed or frozen
    std::int64_t cut_until = 0;
    bool cold = true;
    std::optional<kv::Txn> in_hand;  // decided before it froze
  };

  Day(std::size_t count, std::int64_t begin) : now_(begin), instances_(count) {
    set_->version = catalog::Version(1);
    set_->revision = Revision(1);
    set_->wall_ms = begin - kDay;
    for (Instance& one : instances_) make(one);
    acquire_leadership(0);
  }

  void make(Instance& one) {
    one.record_cache = std::make_unique<record_cache::RecordCache>(
        std::vector<std::string>{"live/", "linger/", "part/", "lead/", kPrefix});
    one.jobs = std::make_unique<record_cache::Jobs>();
    one.keeper =
        std::make_unique<DeadlineController>([this] { return set_; }, Limits{.value_bytes = 8192, .skew_ms = kSkew});
    one.record_cache->add_reader(*one.jobs);
    one.record_cache->add_reader(*one.keeper);
    one.cold = true;
    one.in_hand.reset();
  }

  void acquire_leadership(std::size_t index) {
    leader_ = index;
    ++term_;
    const kv::TxnResult result = store_.txn(
        {.preconditions = {},
         .changes = {{.key = state::kTermKey,
                      .data = state::to_value(state::TermRecord{.term = Term(term_), .leader = NodeName("n")}),
                      .lease = {}}}});
    term_revision_ = result.revision;
  }

  [[nodiscard]] bool works(const Instance& one) const { return now_ >= one.still_until; }
  [[nodiscard]] bool reaches(const Instance& one) const { return works(one) && now_ >= one.cut_until && !outage; }

  void crash(Instance& one, std::int64_t for_ms) {
    make(one);
    one.still_until = now_ + for_ms;
  }
  void crash_all(std::int64_t for_ms) {
    for (Instance& one : instances_) crash(one, for_ms);
    leaderless_until_ = now_ + for_ms;
  }

  void read(Instance& one) {
    std::vector<kv::Entry> entries;
    for (const std::string& prefix : one.record_cache->kept()) {
      for (const kv::Entry& entry : store_.list(prefix).entries) entries.push_back(entry);
    }
    one.record_cache->read(entries, store_.revision());
    one.keeper->cold_read();
    one.cold = false;
  }

  [[nodiscard]] record_cache::Moment moment(const Instance& one) const {
    return {.wall_ms = now_ + one.off_ms,
            .steady = std::chrono::steady_clock::time_point(std::chrono::milliseconds(now_))};
  }

  kv::TxnResult send(kv::Txn txn) {
    const kv::TxnResult result = store_.txn(txn);
    if (result.status == Status::ok) note(txn);
    return result;
  }

  // What the rules forbid is counted from the writes themselves.
  void note(const kv::Txn& txn) {
    for (const kv::Change& change : txn.changes) {
      if (!change.key.starts_with(kPrefix)) continue;
      const auto next = change.data ? occurrence_from(*change.data) : std::nullopt;
      const auto before = last_.find(change.key);
      if (before == last_.end()) ++opened[change.key];
      if (before != last_.end() && next) went_on(before->second, *next);
      const bool was_closed = before != last_.end() && closed(before->second.state);
      if (next && closed(next->state) && !was_closed) ++closings[change.key];
      if (next) {
        if (next->state == State::at_risk && !told.contains(change.key)) told[change.key] = now_;
        std::set<JobId> once;
        for (const Counted& job : next->jobs) EXPECT_TRUE(once.insert(job.job).second) << "listed twice";
        last_[change.key] = *next;
      }
    }
  }

  // What was known stays known.
  static void went_on(const Occurrence& before, const Occurrence& next) {
    EXPECT_EQ(before.opened_ms == next.opened_ms || before.state == State::waived, true) << next.entry;
    EXPECT_FALSE(closed(before.state) && before.state != State::waived && next.state != before.state) << next.entry;
    for (const Counted& job : before.jobs) {
      const auto now = std::ranges::find(next.jobs, job.job, &Counted::job);
      const bool there = now != next.jobs.end();
      EXPECT_TRUE(there || before.jobs.size() >= constants::kMaxCalendarJobs) << job.job.text();
      EXPECT_TRUE(!there || job.end == End::open || now->end == job.end) << job.job.text();
    }
  }

  void become_leader() {
    if (now_ < leaderless_until_) return;
    Instance* one = &instances_[leader_];
    if (!reaches(*one)) {
      // Another one takes the lead when the lease has ended.
      if (silent_since_ == 0) silent_since_ = now_;
      if (outage || now_ - silent_since_ < 10 * kSecond) return;
      for (std::size_t at = 0; at < instances_.size(); ++at) {
        const std::size_t next = (leader_ + 1 + at) % instances_.size();
        if (!reaches(instances_[next])) continue;
        acquire_leadership(next);
        silent_since_ = 0;
        return;
      }
      return;
    }
    silent_since_ = 0;
    if (!one->record_cache->whole() || one->record_cache->revision() < term_revision_) return;
    if (plan) one->keeper->planned(plan(now_));
    if (const auto key = one->keeper->next_read()) {
      ++reads;
      one->keeper->on_read(*key, unread ? kv::GetResult{} : store_.get(*key));
    }
    auto txn = one->keeper->next_write(*one->jobs, moment(*one), 24);
    if (!txn) return;
    kv::Txn guarded = *txn;
    guarded.preconditions.push_back({.key = state::kTermKey, .revision = term_revision_});
    const Fault fault = writes++ == fault_at ? fault_kind : Fault::none;
    switch (fault) {
      case Fault::none: one->keeper->on_written(*txn, send(guarded)); break;
      case Fault::crash_before: crash(*one, kMinute); break;
      case Fault::crash_after:
        (void)send(guarded);
        crash(*one, kMinute);
        break;
      case Fault::lost:
        (void)send(guarded);
        one->keeper->on_written(*txn, {});
        break;
      case Fault::late:
      case Fault::very_late:
        late_.emplace_back(now_ + (fault == Fault::late ? 30 * kSecond : 40 * kMinute), guarded);
        one->keeper->on_written(*txn, {});
        break;
      case Fault::refused:
        one->keeper->on_written(*txn, {.status = Status::unavailable, .revision = {}, .failed_keys = {}});
        break;
      case Fault::freeze:
        one->still_until = now_ + kMinute;
        one->in_hand = guarded;
        break;
      case Fault::cut:
        one->cut_until = now_ + kMinute;
        one->keeper->on_written(*txn, {});
        break;
    }
  }

  void tick() {
    for (auto& [at, act] : acts_) {
      if (at <= now_ && act && !outage) {
        const auto once = std::move(act);
        act = nullptr;
        once();
      }
    }
    std::erase_if(late_, [this](auto& late) {
      if (now_ < late.first || outage) return false;
      (void)send(late.second);
      return true;
    });
    for (Instance& one : instances_) {
      if (works(one) && one.in_hand) {
        // It wakes and goes on as if nothing had been.
        const kv::Txn txn = *std::exchange(one.in_hand, {});
        const kv::TxnResult result = send(txn);
        one.keeper->on_written({.preconditions = txn.preconditions, .changes = txn.changes}, result);
      }
      if (!reaches(one)) continue;
      if (one.cold) {
        read(one);
        continue;
      }
      const kv::WatchResult news = store_.watch("", one.record_cache->revision());
      one.record_cache->heard(news.events, news.revision);
      one.keeper->look(moment(one));
    }
    become_leader();
    same_everywhere();
    now_ += kStep;
  }

  // Equal revisions: equal digests, deadlines and steps.
  void same_everywhere() const {
    std::map<std::uint64_t, const DeadlineController*> at;
    for (const Instance& one : instances_) {
      if (!one.record_cache->whole()) continue;
      const auto [first, fresh] = at.emplace(one.record_cache->revision().number(), one.keeper.get());
      if (fresh) continue;
      ASSERT_EQ(first->second->digest(), one.keeper->digest());
      for (const auto& [job, unused] : one.jobs->all()) {
        ASSERT_EQ(first->second->slack_step(job), one.keeper->slack_step(job));
        ASSERT_EQ(first->second->deadline_ms(job), one.keeper->deadline_ms(job));
      }
    }
  }

  void until(std::int64_t end) {
    while (now_ < end) tick();
  }
  void at(std::int64_t when, std::function<void()> act) { acts_.emplace_back(when, std::move(act)); }

  void submit(const std::string& id, const std::string& job_class, std::int64_t when,
              std::optional<double> deadline_s = {}, std::uint32_t tasks = 4) {
    at(when, [=, this] {
      wire::JobSpec spec{
          .id = JobId(id), .job_class = job_class, .team = "ops", .tasks = tasks, .cpus = 1, .ram_gb = 1};
      spec.image = "img";
      spec.estimate_s = 60;
      spec.deadline_s = deadline_s;
      EXPECT_EQ(store_.txn(state::create_job_txn(state::new_job(spec, when))).status, Status::ok);
    });
  }
  void end(const std::string& id, std::int64_t when, wire::JobState state = wire::JobState::done) {
    at(when, [=, this] {
      const JobId job(id);
      (void)store_.txn(
          {.preconditions = {},
           .changes = {{.key = state::active_job_key(job), .data = {}, .lease = {}},
                       {.key = state::finished_job_key(job),
                        .data = state::finished_job_value({.id = job, .state = state, .done = 4, .running = 0}),
                        .lease = {}}}});
    });
  }
  void declare(const std::function<void(catalog::Set&)>& change) {
    set_ = std::make_shared<catalog::Set>(*set_);
    set_->version = set_->version.next();
    set_->revision = store_.revision();
    set_->wall_ms = now_;
    change(*set_);
  }
  CalendarDef& declare(CalendarDef entry) {
    set_->calendar.push_back(std::move(entry));
    return set_->calendar.back();
  }
  [[nodiscard]] std::optional<Occurrence> find(const std::string& entry, std::int64_t due) const {
    const kv::GetResult got = store_.get(key_of(entry, due));
    if (got.status != Status::ok) return std::nullopt;
    return occurrence_from(got.entry.data);
  }
  [[nodiscard]] State state_of(const std::string& entry, std::int64_t due) const {
    const auto found = find(entry, due);
    EXPECT_TRUE(found) << entry;
    return found ? found->state : State::expected;
  }
  void nothing_twice(const std::string& what) const {
    for (const auto& [key, count] : opened) EXPECT_EQ(count, 1) << key << " opened again, " << what;
    for (const auto& [key, count] : closings) EXPECT_EQ(count, 1) << key << " closed again, " << what;
  }
  Instance& leader() { return instances_[leader_]; }

  std::int64_t now_;
  bool outage = false;
  bool unread = false;  // reads of single records have no answer
  std::function<std::map<JobId, DeadlineController::Plan>(std::int64_t)> plan;
  int writes = 0;
  int reads = 0;
  int fault_at = -1;
  Fault fault_kind = Fault::none;
  std::map<std::string, int> opened;
  std::map<std::string, int> closings;
  std::map<std::string, std::int64_t> told;
  std::shared_ptr<catalog::Set> set_ = std::make_shared<catalog::Set>();
  standins::StateStore store_;
  std::vector<Instance> instances_;
  std::size_t leader_ = 0;

 private:
  std::uint64_t term_ = 0;
  Revision term_revision_;
  std::int64_t silent_since_ = 0;
  std::int64_t leaderless_until_ = 0;
  std::vector<std::pair<std::int64_t, std::function<void()>>> acts_;
  std::vector<std::pair<std::int64_t, kv::Txn>> late_;
  std::map<std::string, Occurrence> last_;
};

const std::int64_t kDue = utc(2027, 3, 26, 3, 30);  // 05:30 in Tallinn
constexpr std::int64_t kHalfHour = 30 * kMinute;

// One entry that is met, one that is late, one for which nobody submits anything.
std::unique_ptr<Day> plain_day(std::size_t count) {
  auto day = std::make_unique<Day>(count, kDue - 150 * kMinute);
  day->declare(entry_of("dawn")).expected_jobs = 2;
  day->declare(entry_of("index"));
  day->declare(entry_of("hull"));
  for (CalendarDef& entry : day->set_->calendar) entry.weekdays = {5};
  day->submit("j-000001", "dawn", kDue - 100 * kMinute);
  day->submit("j-000002", "dawn", kDue - 80 * kMinute, 3600.0);
  day->submit("j-000003", "index", kDue - 40 * kMinute);
  day->end("j-000001", kDue - 50 * kMinute);
  day->end("j-000002", kDue - 5 * kMinute);
  day->end("j-000003", kDue + kMinute);
  return day;
}

void expect_plain_day(const Day& day, const std::string& what) {
  EXPECT_EQ(day.state_of("dawn", kDue), State::met) << what;
  EXPECT_EQ(day.state_of("index", kDue), State::missed) << what;
  EXPECT_EQ(day.state_of("hull", kDue), State::missed) << what;
  EXPECT_EQ(day.opened.size(), 3U) << what;
  EXPECT_EQ(day.closings.size(), 3U) << what;
  // Told early: before the lead time of half an hour begins, give or take what the leader was away.
  const auto told = day.told.find(key_of("hull", kDue));
  ASSERT_NE(told, day.told.end()) << what;
  EXPECT_LE(told->second, kDue - kHalfHour + 2 * kMinute) << what;
  day.nothing_twice(what);
}

class CalendarDays : public testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Controllers, CalendarDays, testing::Values(3, 5));

TEST_P(CalendarDays, AFaultAtEachWrite) {
  auto clean = plain_day(GetParam());
  clean->until(kDue + 2 * kMinute);
  expect_plain_day(*clean, "no fault");
  const auto met = clean->find("dawn", kDue);
  ASSERT_TRUE(met);
  EXPECT_EQ(met->jobs.size(), 2U);
  EXPECT_EQ(met->jobs[1].deadline_ms, kDue - 20 * kMinute);  // its own, which is earlier
  ASSERT_GT(clean->writes, 8);
  for (int write = 0; write < clean->writes; ++write) {
    for (const Fault fault : kFaults) {
      auto day = plain_day(GetParam());
      day->fault_at = write;
      day->fault_kind = fault;
      day->until(kDue + 5 * kMinute);
      expect_plain_day(*day, "write " + std::to_string(write) + " fault " + std::to_string(static_cast<int>(fault)));
    }
  }
}

TEST_P(CalendarDays, AllKilledBeforeDawnAndBack) {
  for (const std::int64_t away : {200 * kMinute, kSecond / 5, kMinute}) {
    auto day = plain_day(GetParam());
    day->until(kDue - 45 * kMinute);
    day->crash_all(away);
    if (away > kHour) {
      // Its jobs end while nobody leads: that can't be, so they end when somebody is back.
      day->at(day->now_, [] {});
    }
    day->until(kDue + std::max(away, 5 * kMinute) + 2 * kMinute);
    if (away < kHour) {
      expect_plain_day(*day, "away " + std::to_string(away));
      continue;
    }
    // Nobody saw that j-000002 ended in time; that j-000001 did is in the record.
    const auto dawn = day->find("dawn", kDue);
    ASSERT_TRUE(dawn);
    EXPECT_EQ(dawn->state, State::missed);
    EXPECT_EQ(dawn->jobs[0].end, End::done);
    EXPECT_EQ(dawn->jobs[0].seen_ms, kDue - 50 * kMinute);
    EXPECT_GT(day->reads, 0);
    EXPECT_EQ(day->closings.size(), 3U);
    day->nothing_twice("long away");
  }
}

TEST_P(CalendarDays, NobodyLedFromBeforeItWasOpened) {
  Day day(GetParam(), kDue - 20 * kHour);
  day.declare(entry_of("hull"));
  day.crash_all(22 * kHour);
  day.until(kDue + 2 * kHour + kMinute);
  EXPECT_EQ(day.state_of("hull", kDue), State::missed);
  EXPECT_FALSE(day.find("hull", kDue - kDay));  // due before it was declared
  day.nothing_twice("late");
}

TEST(CalendarDay, AnOutageOfTheStateAcrossTheDeadline) {
  auto day = plain_day(3);
  day->at(kDue - 10 * kMinute, [&day] { day->outage = true; });
  day->until(kDue - 10 * kMinute + Day::kStep);
  while (day->now_ < kDue + 10 * kMinute) day->tick();
  EXPECT_EQ(day->closings.size(), 0U);
  day->outage = false;
  day->until(kDue + 15 * kMinute);
  // j-000002 was recorded only after the outage, which was after the deadline.
  EXPECT_EQ(day->state_of("dawn", kDue), State::missed);
  EXPECT_EQ(day->closings.size(), 3U);
  day->nothing_twice("outage");
}

TEST(CalendarDay, ALeaderFrozenAcrossTheDeadline) {
  auto day = plain_day(3);
  day->until(kDue - 6 * kMinute);
  day->leader().still_until = kDue + 4 * kMinute;
  day->until(kDue + 8 * kMinute);
  expect_plain_day(*day, "frozen");  // a follower saw j-000002 end in time
}

TEST(CalendarDay, AResultThatOnlyFollowersSawInTime) {
  Day day(3, kDue - kHour);
  day.declare(entry_of("dawn"));
  day.submit("j-000001", "dawn", kDue - 50 * kMinute);
  day.end("j-000001", kDue - 10 * kSecond);
  day.until(kDue - 10 * kSecond);
  day.leader().still_until = kDue + kMinute;
  day.until(kDue + kMinute);
  EXPECT_EQ(day.state_of("dawn", kDue), State::met);
}

TEST(CalendarDay, ClocksAtBothEndsOfTheSkew) {
  for (const std::int64_t off : {-Day::kSkew, Day::kSkew}) {
    auto day = plain_day(3);
    for (std::size_t at = 0; at < 3; ++at) day->instances_[at].off_ms = at % 2 == 0 ? off : -off;
    day->until(kDue - 20 * kMinute);
    day->acquire_leadership(1);
    day->until(kDue + kMinute);
    expect_plain_day(*day, "skew");
    EXPECT_LE(day->told.at(key_of("hull", kDue)), kDue - kHalfHour);
  }
  // Closed only when all clocks agree that it is over; a result that may have been late is late.
  Occurrence one{.entry = "dawn", .due_ms = kDue, .tell_ms = kDue - kHour, .expected_jobs = 1};
  one.jobs.push_back({.job = JobId("j-000001"), .end = End::done, .seen_ms = kDue - Day::kSkew + 1});
  EXPECT_EQ(tally_of(one, Day::kSkew).late, 1U);
  one.jobs[0].seen_ms = kDue - Day::kSkew;
  EXPECT_EQ(tally_of(one, Day::kSkew).in_time, 1U);
  one.jobs.clear();
  EvaluationContext outlook{.now_ms = kDue + Day::kSkew, .skew_ms = Day::kSkew, .jobs_most = 4, .job = {}};
  EXPECT_FALSE(closed(evaluate(one, {}, outlook).next.state));
  outlook.now_ms += constants::kCalendarCloseGrace.count() - 1;
  EXPECT_FALSE(closed(evaluate(one, {}, outlook).next.state));
  ++outlook.now_ms;
  EXPECT_EQ(evaluate(one, {}, outlook).next.state, State::missed);
}

// Whatever the term's condition does: of two that decide from the same records one writes.
TEST(CalendarDay, OfTwoThatDecideFromTheSameRecordsOneWrites) {
  Day day(2, kDue - 20 * kHour);
  day.declare(entry_of("dawn")).expected_jobs = 3;
  const auto both = [&day] {
    std::vector<Status> answers;
    std::vector<kv::Txn> txns;
    day.now_ += Day::kStep;
    for (Day::Instance& one : day.instances_) {
      if (one.cold) day.read(one);
      const kv::WatchResult news = day.store_.watch("", one.record_cache->revision());
      one.record_cache->heard(news.events, news.revision);
      one.keeper->look(day.moment(one));
    }
    for (Day::Instance& one : day.instances_) {
      const auto txn = one.keeper->next_write(*one.jobs, day.moment(one), 24);
      if (txn) txns.push_back(*txn);
    }
    for (std::size_t at = 0; at < txns.size(); ++at) {
      const kv::TxnResult result = day.send(txns[at]);
      answers.push_back(result.status);
      day.instances_[at].keeper->on_written(txns[at], result);
    }
    return answers;
  };
  day.now_ = kDue - 2 * kHour;
  EXPECT_EQ(both(), (std::vector<Status>{Status::ok, Status::conflict}));  // it is opened
  wire::JobSpec spec{.id = JobId("j-000001"), .job_class = "dawn", .team = "ops", .tasks = 1, .cpus = 1};
  spec.image = "img";
  spec.estimate_s = 60;
  ASSERT_EQ(day.store_.txn(state::create_job_txn(state::new_job(spec, day.now_))).status, Status::ok);
  EXPECT_EQ(both(), (std::vector<Status>{Status::ok, Status::conflict}));  // it lists the job
  EXPECT_EQ(day.find("dawn", kDue)->jobs.size(), 1U);
  day.nothing_twice("two");
}

// An occurrence is not closed before it is known how its jobs ended, or that nobody can tell.
TEST(CalendarDay, EndsAreReadBeforeItIsClosed) {
  Day day(3, kDue - 100 * kMinute);
  day.declare(entry_of("dawn"));
  day.submit("j-000001", "dawn", kDue - 90 * kMinute);
  day.until(kDue - 20 * kMinute);
  day.unread = true;
  day.crash_all(kMinute);
  day.end("j-000001", kDue - 20 * kMinute);
  day.until(kDue - 20 * kMinute + Day::kStep);
  day.now_ = kDue - kMinute;  // nobody leads until a minute before it is due
  day.until(kDue + kMinute / 2);
  EXPECT_FALSE(closed(day.state_of("dawn", kDue)));
  day.until(kDue + 5 * kMinute);
  EXPECT_EQ(day.state_of("dawn", kDue), State::missed);
  EXPECT_EQ(day.find("dawn", kDue)->jobs.at(0).end, End::unknown);
  day.nothing_twice("unread");
}

TEST(CalendarDay, ColdReadsLoseAndDoubleNothing) {
  for (int every = 1; every < 40; every += 3) {
    auto day = plain_day(3);
    int step = 0;
    while (day->now_ < kDue + 5 * kMinute) {
      if (++step % (every * 12) == 0) {
        for (auto& one : day->instances_) one.cold = true;  // 410
      }
      day->tick();
    }
    expect_plain_day(*day, "cold read each " + std::to_string(every) + " min");
  }
}

TEST(CalendarDay, AJobThatCameAndWentBetweenTwoLooks) {
  Day day(3, kDue - 100 * kMinute);
  day.declare(entry_of("dawn"));
  day.until(kDue - 90 * kMinute);
  day.submit("j-000001", "dawn", kDue - 80 * kMinute + 1);
  day.end("j-000001", kDue - 80 * kMinute + 2);
  day.until(kDue + kMinute);
  EXPECT_EQ(day.state_of("dawn", kDue), State::met);
}

TEST(CalendarDay, WhatIsWithdrawnDoesNotCount) {
  auto day = plain_day(3);
  day->submit("j-000004", "index", kDue - 39 * kMinute);
  day->end("j-000003", kDue - 30 * kMinute, wire::JobState::cancelled);
  day->end("j-000004", kDue - 20 * kMinute);
  day->until(kDue + kMinute);
  EXPECT_EQ(day->state_of("index", kDue), State::met);
}

TEST(CalendarDay, MoreJobsThanTheListHolds) {
  Day day(3, kDue - 130 * kMinute);
  CalendarDef& entry = day.declare(entry_of("dawn"));
  entry.expected_jobs = 150;
  entry.expected_tasks = 600;
  for (int job = 0; job < 150; ++job) {
    const std::string id = "j-" + std::to_string(100000 + job);
    day.submit(id, "dawn", kDue - 100 * kMinute + job * 7 * kSecond);
    day.end(id, kDue - 75 * kMinute + job * 15 * kSecond);
  }
  day.until(kDue - 80 * kMinute);
  const auto full = day.find("dawn", kDue);
  ASSERT_TRUE(full);
  EXPECT_EQ(full->jobs.size(), constants::kMaxCalendarJobs);
  EXPECT_EQ(full->beyond, 150 - constants::kMaxCalendarJobs);
  day.acquire_leadership(1);
  day.until(kDue - 60 * kMinute);
  day.acquire_leadership(2);
  day.until(kDue + kMinute);
  EXPECT_EQ(day.state_of("dawn", kDue), State::met);
  const Tally tally = tally_of(*day.find("dawn", kDue), Day::kSkew);
  EXPECT_EQ(tally.in_time, 150U);
  EXPECT_EQ(tally.tasks_in_time, 600U);
  day.nothing_twice("many");
}

TEST(CalendarDay, StepsOutliveTheirLeader) {
  Day day(3, kDue - 130 * kMinute);
  day.declare(entry_of("dawn"));
  day.submit("j-000001", "dawn", kDue - 100 * kMinute);
  std::int64_t planned_end = kDue - 32 * kMinute;
  day.plan = [&](std::int64_t) {
    return std::map<JobId, DeadlineController::Plan>{{JobId("j-000001"), {.end_ms = planned_end, .need = {}}}};
  };
  day.until(kDue - 90 * kMinute);
  EXPECT_EQ(day.leader().keeper->slack_step(JobId("j-000001")), 7);
  const int before = day.writes;
  for (int minute = 90; minute > 70; --minute) {
    // It wavers about the edge of a step: nothing is written.
    planned_end = kDue - 31 * kMinute + (minute % 2 == 0 ? 30 : -30) * kSecond;
    day.until(kDue - minute * kMinute);
  }
  EXPECT_EQ(day.writes, before);
  // Without a plan of its own the next one keeps what is recorded.
  day.plan = nullptr;
  day.crash_all(200);
  day.until(kDue - 60 * kMinute);
  EXPECT_EQ(day.leader().keeper->slack_step(JobId("j-000001")), 7);
  planned_end = kDue + kMinute;
  day.plan = [&](std::int64_t) {
    return std::map<JobId, DeadlineController::Plan>{{JobId("j-000001"), {.end_ms = planned_end, .need = {}}}};
  };
  day.until(kDue - 59 * kMinute);
  EXPECT_EQ(day.leader().keeper->slack_step(JobId("j-000001")), 0);
  auto found = day.find("dawn", kDue);
  EXPECT_EQ(found->state, State::at_risk);
  EXPECT_EQ(found->reasons.at(0).substr(0, 30), "j-000001 is planned to end aft");
  day.plan = nullptr;
  day.crash_all(200);
  day.until(kDue - 50 * kMinute);
  EXPECT_EQ(day.find("dawn", kDue)->state, State::at_risk);  // not forgotten with the plan that told it
  planned_end = kDue - 20 * kMinute;
  day.plan = [&](std::int64_t) {
    return std::map<JobId, DeadlineController::Plan>{{JobId("j-000001"), {.end_ms = planned_end, .need = {}}}};
  };
  day.until(kDue - 45 * kMinute);
  EXPECT_EQ(day.find("dawn", kDue)->state, State::gathering);
}

// What lacks is in the record: it is not rewritten for each change of the plan, and a new leader without a plan keeps it,
// also where something else lacks besides.
TEST(CalendarDay, WhatLacksOutlivesItsLeader) {
  Day day(3, kDue - 130 * kMinute);
  day.declare(entry_of("dawn")).expected_jobs = 2;
  day.submit("j-000001", "dawn", kDue - 100 * kMinute);
  std::uint64_t machines = 5;
  std::optional<std::int64_t> end_ms = kDue + 10 * kMinute;
  const auto plan = [&](std::int64_t) {
    DeadlineController::Plan one{.end_ms = end_ms, .need = {}};
    if (!end_ms || *end_ms > kDue) {
      one.need = foresight::Shortfall{
          .shortfall_reason = foresight::ShortfallReason::no_offer, .kind = "big", .machines = machines};
      one.need->up_by_ms = kDue - 20 * kMinute;
    }
    return std::map<JobId, DeadlineController::Plan>{{JobId("j-000001"), one}};
  };
  day.plan = plan;
  day.until(kDue - 90 * kMinute);
  const std::string told =
      "j-000001 is planned to end after the deadline: no room, and none to rent; 6 more of big up by 03:10 UTC would "
      "help";
  EXPECT_EQ(day.find("dawn", kDue)->reasons, std::vector<std::string>{told});
  EXPECT_EQ(day.leader().keeper->counts().cannot_hold, 1U);
  int before = day.writes;
  for (int minute = 90; minute > 70; --minute) {
    machines = 4 + minute % 3;
    end_ms = minute % 2 == 0 ? kDue + kMinute : kDue - kMinute / 2;  // it would soon be told again
    day.until(kDue - minute * kMinute);
  }
  EXPECT_EQ(day.writes, before);
  EXPECT_EQ(day.find("dawn", kDue)->reasons, std::vector<std::string>{told});
  // In the lead time a job is missing besides, and all controllers are lost.
  end_ms = kDue + 10 * kMinute;
  day.until(kDue - 25 * kMinute);
  const std::vector<std::string> both{"1 job missing", told};
  EXPECT_EQ(day.find("dawn", kDue)->reasons, both);
  day.plan = nullptr;
  before = day.writes;
  day.crash_all(200);
  day.until(kDue - 20 * kMinute);
  EXPECT_EQ(day.find("dawn", kDue)->reasons, both);
  EXPECT_EQ(day.writes, before);
  // Without a booking, and none in sight, it is told long before its last chance has passed.
  day.plan = plan;
  end_ms = kDue - 10 * kMinute;
  day.until(kDue - 15 * kMinute);
  EXPECT_EQ(day.find("dawn", kDue)->reasons, std::vector<std::string>{"1 job missing"});
  end_ms.reset();
  machines = 1;
  day.until(kDue - 14 * kMinute);
  EXPECT_EQ(day.find("dawn", kDue)->reasons.size(), 2U);
}

TEST(CalendarDay, StepsAreWrittenSeldom) {
  // Ends up to an hour ahead are all in time: steps alone are written. Of those up to two hours ahead some are not, and that
  // it is at risk again is written, too.
  for (const auto& [ahead, writes_most] : {std::pair(kHour, 21), std::pair(2 * kHour, 2 * 21)}) {
    SCOPED_TRACE(ahead);
    Day day(3, kDue - 130 * kMinute);
    day.declare(entry_of("dawn"));
    for (int job = 0; job < 20; ++job) day.submit("j-" + std::to_string(100000 + job), "dawn", kDue - 100 * kMinute);
    std::mt19937 dice(3);
    day.plan = [&dice, ahead = ahead](std::int64_t now) {
      std::map<JobId, DeadlineController::Plan> ends;
      for (int job = 0; job < 20; ++job) ends[JobId("j-" + std::to_string(100000 + job))].end_ms = now + dice() % ahead;
      return ends;
    };
    day.until(kDue - 95 * kMinute);
    const int before = day.writes;
    day.until(kDue - 75 * kMinute);
    EXPECT_GT(day.writes, before);
    EXPECT_LE(day.writes - before, writes_most);
  }
}

TEST(CalendarDay, EntriesRemovedChangedAndDeclaredAgain) {
  for (int fault = -1; fault < 12; ++fault) {
    auto day = plain_day(3);
    day->fault_at = fault < 0 ? -1 : 6 + fault / 2;
    day->fault_kind = fault % 2 == 0 ? Fault::crash_after : Fault::late;
    day->at(kDue - 38 * kMinute, [&day] {
      day->declare([](catalog::Set& set) {
        std::erase_if(set.calendar, [](const CalendarDef& entry) { return entry.name == "hull"; });
        set.calendar[0].at = "05:40";
      });
    });
    day->until(kDue - 35 * kMinute);
    const auto old = day->find("dawn", kDue);
    ASSERT_TRUE(old);
    EXPECT_EQ(old->state, State::waived);
    EXPECT_NE(old->reasons.at(0).find("2027-03-26T03:40:00Z"), std::string::npos);
    EXPECT_EQ(day->state_of("hull", kDue), State::waived);
    EXPECT_EQ(day->find("hull", kDue)->reasons.at(0), "entry removed in catalog version 2");
    // j-000001 had ended long before: it counts for the one that took the place.
    const auto next = day->find("dawn", kDue + 10 * kMinute);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->jobs.size(), 2U);
    day->nothing_twice("changed");
    day->at(kDue - 34 * kMinute, [&day] {
      day->declare([](catalog::Set& set) {
        set.calendar.push_back(entry_of("hull"));
        set.calendar.back().weekdays = {5};
      });
    });
    day->until(kDue + 15 * kMinute);
    EXPECT_EQ(day->state_of("dawn", kDue + 10 * kMinute), State::met);
    EXPECT_EQ(day->state_of("hull", kDue), State::missed);  // open again, and told
    EXPECT_EQ(day->closings.at(key_of("hull", kDue)), 2);   // taken back, and missed
    EXPECT_EQ(day->closings.at(key_of("dawn", kDue)), 1);
  }
}

TEST(CalendarDay, ASetThatChangesNothingHereWritesNothing) {
  auto day = plain_day(3);
  day->until(kDue - 55 * kMinute);
  const int before = day->writes;
  day->declare([](catalog::Set& set) { set.classes.push_back({.name = "urgent index"}); });
  day->until(kDue - 53 * kMinute);
  EXPECT_EQ(day->writes, before);
  // What changes for an open occurrence is written into its record.
  day->declare([](catalog::Set& set) { set.calendar[0].expected_jobs = 5; });
  day->until(kDue - 52 * kMinute);
  EXPECT_EQ(day->writes, before + 1);
  EXPECT_EQ(day->find("dawn", kDue)->expected_jobs, 5U);
  EXPECT_EQ(day->find("dawn", kDue)->version, catalog::Version(3));
}

TEST(CalendarDay, AnEntryThisMachineCannotReckon) {
  auto day = plain_day(3);
  day->declare(entry_of("lost")).time_zone = "Nowhere/None";
  day->until(kDue - 45 * kMinute);
  EXPECT_EQ(day->leader().keeper->counts().unknown_entries, 1U);
  // An occurrence that is open stays so when its zone is not known any more.
  day->declare([](catalog::Set& set) { set.calendar[0].time_zone = "Nowhere/None"; });
  day->until(kDue + kMinute);
  expect_plain_day(*day, "unknown zone");
}

TEST(CalendarDay, RecordsOfANewerFormAreKept) {
  auto day = plain_day(3);
  const std::string key = key_of("hull", kDue);
  const auto put = day->store_.txn(
      {.preconditions = {}, .changes = {{.key = key, .data = wire::Value::Map{{"form", 2}}, .lease = {}}}});
  day->until(kDue + kMinute);
  EXPECT_EQ(day->store_.get(key).entry.revision, put.revision);
  EXPECT_EQ(day->state_of("dawn", kDue), State::met);
}

TEST(CalendarDay, NothingDeclaredNothingWritten) {
  Day day(3, kDue - kHour);
  day.submit("j-000001", "dawn", kDue - 50 * kMinute);
  day.until(kDue);
  EXPECT_EQ(day.writes, 0);
  EXPECT_EQ(day.leader().keeper->slack_step(JobId("j-000001")), std::nullopt);
}

TEST(CalendarDay, OldOnesAreRemovedAndNotOpenedAgain) {
  auto day = plain_day(3);
  day->until(kDue + kMinute);
  EXPECT_EQ(day->store_.list(kPrefix).entries.size(), 3U);
  day->now_ = kDue + 73 * kHour;
  day->until(kDue + 73 * kHour + 10 * kMinute);
  EXPECT_EQ(day->store_.list(kPrefix).entries.size(), 0U);
  EXPECT_EQ(day->opened.size(), 3U);
  day->nothing_twice("removed");
}

TEST(CalendarDay, OperatorsWaiveAndTakeNote) {
  auto day = plain_day(3);
  day->until(kDue - 29 * kMinute);
  const DeadlineController& keeper = *day->instances_[2].keeper;
  Request request{.waive = false, .entry = "hull", .occurrence = "2027-03-26 05:30", .by = "night desk", .why = ""};
  const Decision note = decide(keeper, request, day->now_);
  request.waive = true;
  request.occurrence = "2027-03-26T03:30:00Z";
  const Decision lost = decide(keeper, request, day->now_);
  ASSERT_TRUE(note.txn && lost.txn);
  EXPECT_EQ(day->send(*note.txn).status, Status::ok);
  EXPECT_EQ(day->send(*lost.txn).status, Status::conflict);
  day->tick();
  const Decision waive = decide(keeper, request, day->now_);
  ASSERT_TRUE(waive.txn);
  EXPECT_EQ(day->send(*waive.txn).status, Status::ok);
  day->until(kDue + kMinute);
  EXPECT_EQ(decide(keeper, request, day->now_).status, 200);  // asked again for want of an answer
  request.why = "another reason";
  EXPECT_EQ(decide(keeper, request, day->now_).status, 409);
  request.occurrence = "2027-03-26 05:31";
  EXPECT_EQ(decide(keeper, request, day->now_).status, 404);
  const auto hull = day->find("hull", kDue);
  EXPECT_EQ(hull->state, State::waived);
  EXPECT_EQ(hull->noted->by, "night desk");
  EXPECT_EQ(day->closings.at(key_of("hull", kDue)), 1);
}

TEST(CalendarDay, PagesShowEachOnce) {
  Day day(3, kDue - 10 * kHour);
  day.set_->wall_ms = day.now_;
  for (int entry = 0; entry < 500; ++entry) day.declare(entry_of("entry " + std::to_string(entry)));
  day.until(kDue - 10 * kHour + 10 * kMinute);
  const DeadlineController& keeper = *day.instances_[1].keeper;
  EXPECT_EQ(keeper.occurrences().size(), 500U);
  std::set<std::string> seen;
  std::int64_t from = 0;
  std::size_t skip = 0;
  std::size_t shown_count = 0;
  do {
    const wire::Value body = shown(keeper, Revision(9), day.now_, 2, from, skip);
    EXPECT_LE(wire::encode(body).size(), constants::kMaxBodyBytes);
    for (const wire::Value& one : body.list("occurrences")) {
      seen.insert(one.text("entry") + one.text("due"));
      ++shown_count;
    }
    from = static_cast<std::int64_t>(body.count("next"));
    skip = body.count("next_skip");
  } while (from != 0);
  EXPECT_EQ(seen.size(), 1000U);
  EXPECT_EQ(shown_count, 1000U);
}

}  // namespace
}  // namespace foxshunt::calendar
