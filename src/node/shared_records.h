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
struct SharedRecords {
  explicit SharedRecords(const config::Settings& settings);
  SharedRecords(const SharedRecords&) = delete;
  SharedRecords& operator=(const SharedRecords&) = delete;

  std::mutex mutex;
  std::condition_variable_any moved;  // the ledger has heard of something
  record_cache::RecordCache record_cache;
  record_cache::Jobs jobs;
  record_cache::CacheVerifier cache_verifier;
  catalog::CatalogView catalog;
  catalog::CatalogGarbageCollector catalog_sweeper;
  catalog::CatalogBootstrapper catalog_founder;
  calendar::DeadlineController calendar;
  std::shared_ptr<const catalog::Set> told = catalog.in_force();  // to the controller
  classes::StepClock steps;
  std::vector<record_cache::RecordController*> keepers;  // which write while this node leads; asked in this order

  // Figures for operators.
  std::uint64_t cold_reads = 0;
  std::uint64_t changes_heard = 0;
  std::uint64_t differences = 0;

  // The records of the prefixes as of one revision, not before `least`; nothing when the ledger does not come so far by
  // the deadline. A new leader asks with the revision of its term: no older leader's write can come after that.
  struct Snapshot {
    std::vector<kv::Entry> active_jobs;
    std::vector<kv::Entry> terminating_jobs;
    std::vector<kv::Entry> shards;
    std::optional<kv::Entry> term;  // the term's own record, as of then
    Revision revision;
  };
  [[nodiscard]] std::optional<Snapshot> snapshot(Revision least, net::Deadline until);
};

// What the calendar's records leave each job until its deadline there, in steps; with the mutex held.
[[nodiscard]] std::map<JobId, int> slack_of(const SharedRecords& shared);

// The prefixes of the keys that the ledger keeps.
[[nodiscard]] std::vector<std::string> kept_prefixes();

// The time by both clocks, as the ledger's keepers take it.
[[nodiscard]] record_cache::Moment moment();

}  // namespace foxshunt::node
