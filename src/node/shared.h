// What every node knows of the records in the state service, and the duties that keep it so.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <stop_token>
#include <vector>

#include "calendar/keeper.h"
#include "calendar/plans.h"
#include "catalog/book.h"
#include "catalog/founder.h"
#include "catalog/sweeper.h"
#include "classes/classes.h"
#include "config/settings.h"
#include "ledger/comparison.h"
#include "ledger/jobs.h"
#include "ledger/keeper.h"
#include "ledger/ledger.h"
#include "node/recent_peak.h"
#include "kv/client.h"

namespace foxshunt::node {

struct Context;

// Everything in it is used with `mutex` held, which is never held across I/O.
struct Shared {
  explicit Shared(const config::Settings& settings);
  Shared(const Shared&) = delete;
  Shared& operator=(const Shared&) = delete;

  std::mutex mutex;
  std::condition_variable_any moved;  // the ledger has heard of something
  ledger::Ledger ledger;
  ledger::Jobs jobs;
  ledger::Comparison comparison;
  catalog::Book catalog;
  catalog::Sweeper catalog_sweeper;
  catalog::Founder catalog_founder;
  calendar::Keeper calendar;
  std::shared_ptr<const catalog::Set> told = catalog.in_force();  // to the engine
  classes::StepClock steps;
  std::vector<ledger::Keeper*> keepers;  // which write while this node leads; asked in this order

  // Figures for operators.
  std::uint64_t cold_reads = 0;
  std::uint64_t changes_heard = 0;
  std::uint64_t differences = 0;

  // The records of the prefixes as of one revision, not before `least`; nothing when the ledger does not come so far by
  // the deadline. A new leader asks with the revision of its term: no older leader's write can come after that.
  struct Picture {
    std::vector<kv::Entry> live;
    std::vector<kv::Entry> linger;
    std::vector<kv::Entry> parts;
    std::optional<kv::Entry> term;  // the term's own record, as of then
    Revision revision;
  };
  [[nodiscard]] std::optional<Picture> picture(Revision least, net::Deadline until);
};

// What the calendar's records leave each job until its deadline there, in steps; with the mutex held.
[[nodiscard]] std::map<JobId, int> slack_of(const Shared& shared);

// Reads the records once, then watches them: one watch over everything, so that changes come in the order of revisions.
class LedgerDuty {
 public:
  explicit LedgerDuty(Context& context);
  void run(const std::stop_token& stop);

 private:
  [[nodiscard]] bool read();
  void watch(const std::stop_token& stop);
  // Now and then, in the background: what a cold read finds wins over what is believed. False when it differs.
  [[nodiscard]] bool compare(const std::stop_token& stop);
  struct Found {
    std::vector<kv::Entry> entries;
    Revision from;
  };
  [[nodiscard]] std::optional<Found> read_all(bool to_compare);

  Context& context_;
  kv::Client client_;
  net::Clock::time_point compared_;
};

// Lets the keepers write while this node leads.
class KeepDuty {
 public:
  explicit KeepDuty(Context& context);
  void run(const std::stop_token& stop);

 private:
  bool write_one();
  // How jobs ended that an open occurrence lists: the ledger does not keep what is over.
  void read_ends();
  // What a founding set that names machine types waits for.
  void tell_types();
  // When the plan says that jobs end, and what the calendar's records leave them.
  void tell_plan();

  Context& context_;
  kv::Client client_;
};

}  // namespace foxshunt::node
