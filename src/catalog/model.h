// What operators declare for all controllers: priority classes, a deadline calendar, warm pools. One set of them is in
// force at a time, from one revision of the state service on; it never changes, another one takes its place.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::catalog {

// Grows with each set; 0: nothing was ever declared.
using Version = CountId<struct CatalogVersionTag>;

// Which jobs are meant. All that is said has to hold; what is left out holds for any job.
struct JobMatch {
  std::vector<std::string> job_classes;
  std::vector<std::string> teams;
  std::vector<std::string> images;
  std::vector<wire::Priority> priorities;
  std::optional<wire::JobKind> kind;
  std::optional<std::uint32_t> tasks_least;
  std::optional<std::uint32_t> tasks_most;
  std::optional<bool> has_deadline;

  [[nodiscard]] bool matches(const wire::JobSpec& spec) const;
  friend bool operator==(const JobMatch&, const JobMatch&) = default;
};

// A priority class in the trade's own name. It orders the queue and entitles to nothing: guarantees, limits and what
// PROTOCOL says of stopping running work stand above it.
struct ClassDef {
  std::string name;                         // such as "lock forecast"
  std::uint32_t order = 0;                  // a job belongs to the first class, by this number, that takes it
  std::vector<JobMatch> takes;              // any of them
  std::uint32_t standing = 0;               // 1 goes first; jobs of no class stand at kStandingOfNone
  std::optional<double> wait_most_s;        // what its jobs may wait; left out: the promise that holds for all
  double age_every_s = 0;                   // a waiting job rises by one standing each time; 0: it does not age
  std::uint32_t age_most = 0;               // standings it may rise at most
  std::vector<std::string> never_passes;    // classes whose jobs it never outranks, however old
  std::map<std::string, double> cpus_most;  // CPUs that its tasks may use at once, by team
  friend bool operator==(const ClassDef&, const ClassDef&) = default;
};

inline constexpr std::uint32_t kStandingOfNone = 100;

// When a result has to reach its readers.
// On the earth, in degrees; north and east are positive.
struct Place {
  double latitude = 0;
  double longitude = 0;
  friend bool operator==(const Place&, const Place&) = default;
};

struct CalendarDef {
  std::string name;  // such as "dawn forecast"
  std::vector<JobMatch> jobs;
  std::string time_zone;                // of the IANA data base, such as "Europe/Tallinn"
  std::string at;                       // "05:30", by the clocks of that zone; empty: by sunrise
  std::optional<Place> sunrise;         // in place of `at`: there
  double minus_s = 0;                   // so long before sunrise
  std::vector<std::uint32_t> weekdays;  // 1 Monday to 7 Sunday; with no dates, none: every day
  std::vector<std::string> dates;       // "2027-03-28"; besides the weekdays
  std::vector<std::string> except;      // dates on which it is not due
  std::uint32_t expected_jobs = 0;      // 0: not said
  std::uint64_t expected_tasks = 0;     // 0: not said
  double opens_before_s = 0;            // jobs submitted in this time before the deadline count for it
  double lead_s = 0;                    // what is missing this long before the deadline is told
  std::vector<std::string> tell;        // who is told
  friend bool operator==(const CalendarDef&, const CalendarDef&) = default;
};

struct PoolImage {
  std::string image;
  double gb = 0;
  friend bool operator==(const PoolImage&, const PoolImage&) = default;
};

// When a pool is held, by a zone's clocks; none: always.
struct PoolWindow {
  std::string time_zone;
  std::string from;                     // "05:00"
  std::string to;                       // "09:30"; before `from`: it ends on the next day
  std::vector<std::uint32_t> weekdays;  // of its begin; none: every day
  friend bool operator==(const PoolWindow&, const PoolWindow&) = default;
};

// Machines that hold images, such as a model's weights, ahead of a burst.
struct PoolDef {
  std::string name;
  std::vector<PoolImage> images;
  std::vector<std::string> types;  // none: any that has room for the images
  std::vector<std::string> zones;  // none: any; machines are spread evenly
  bool spot = false;               // may be held on spot machines
  std::uint32_t least = 0;         // machines held while a window is open
  std::uint32_t most = 0;          // not more than these, whatever the rule says
  double peak_days = 0;            // above 0: as many as the peak of the same hour in so many days, within the bounds
  std::vector<PoolWindow> windows;
  std::string payer;                   // team
  std::optional<double> ceiling_hour;  // money an hour
  std::vector<JobMatch> users;         // whose work is put on it first; none: all that use its images
  std::optional<JobMatch> warming;     // arrays of one of its images that the owner submits to warm its machines
  bool lends = true;                   // whether other work may use its idle machines
  double gives_way_s = 0;  // borrowed room is back after this at the latest; work that takes longer is not lent to
  friend bool operator==(const PoolDef&, const PoolDef&) = default;
};

struct Set {
  Version version;
  Revision revision;  // from which on it is in force; 0: nothing was ever declared
  std::string author;
  std::int64_t wall_ms = 0;           // when it was applied
  std::string digest;                 // of the content alone: equal content, equal digest; empty: nothing was declared
  std::vector<ClassDef> classes;      // in the order of `order`
  std::vector<CalendarDef> calendar;  // by name
  std::vector<PoolDef> pools;         // by name

  // The first class, by its order, that takes the job; none if none does.
  [[nodiscard]] const ClassDef* class_of(const wire::JobSpec& spec) const;
};

}  // namespace foxshunt::catalog
