#include "node/shared.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "config/constants.h"
#include "node/catalog.h"
#include "node/context.h"
#include "node/queue.h"
#include "state/keys.h"

namespace foxshunt::node {

using kv::Answer;

namespace {

ledger::Moment moment() { return {.wall_ms = wall_ms(), .steady = net::Clock::now()}; }

net::Deadline call_limit() { return net::Clock::now() + constants::kStateCallLimit; }

// `lead/` is kept so that the revision of a term comes by the same watch. `over/` grows for ever and is not.
std::vector<std::string> kept_prefixes() {
  return {state::kLivePrefix, state::kLingerPrefix,  state::kPartPrefix, state::kLeadPrefix,
          catalog::kHeadKey,  catalog::kStagePrefix, "calendar/",        "pool/",
          "account/"};
}

// Read and told to readers, not held: the catalog's book holds the items of its sets itself, encoded. Twenty sets at the
// limits are 27 MB as values and 6 MB there.
constexpr const char* kToldAlone = catalog::kItemPrefix;

// Every key: one watch tells all changes in the order of revisions.
constexpr const char* kEverything = "";

}  // namespace

Shared::Shared(const config::Settings& settings)
    : ledger(kept_prefixes()),
      catalog_founder(founding_of(settings), write_limits_of(settings)),
      calendar([this] { return catalog.in_force(); },
               {.value_bytes = static_cast<std::size_t>(settings.state_value_kb * 1024),
                .skew_ms = static_cast<std::int64_t>(settings.skew_ms)}) {
  ledger.add_reader(jobs);
  ledger.add_reader(comparison);
  ledger.add_reader(catalog);
  ledger.add_reader(catalog_sweeper);
  ledger.add_reader(catalog_founder);
  ledger.add_reader(calendar);
  keepers.push_back(&catalog_founder);
  keepers.push_back(&catalog_sweeper);
  keepers.push_back(&calendar);
}

std::optional<Shared::Picture> Shared::picture(Revision least, net::Deadline until) {
  std::unique_lock lock(mutex);
  if (!moved.wait_until(lock, until, [&] { return ledger.whole() && ledger.revision() >= least; })) {
    return std::nullopt;
  }
  Picture picture{.live = {}, .linger = {}, .parts = {}, .term = {}, .revision = ledger.revision()};
  if (const ledger::Record* record = ledger.find(state::kTermKey)) {
    picture.term = kv::Entry{.key = state::kTermKey, .data = record->data, .mark = record->mark};
  }
  const auto copy = [this](const char* prefix, std::vector<kv::Entry>& into) {
    ledger.each(prefix, [&into](const std::string& key, const ledger::Record& record) {
      into.push_back({.key = key, .data = record.data, .mark = record.mark});
    });
  };
  copy(state::kLivePrefix, picture.live);
  copy(state::kLingerPrefix, picture.linger);
  copy(state::kPartPrefix, picture.parts);
  return picture;
}

std::map<JobId, int> slack_of(const Shared& shared) {
  std::map<JobId, int> slack;
  for (const JobId& id : shared.calendar.listed()) {
    if (const auto step = shared.calendar.slack_step(id)) slack.emplace(id, *step);
  }
  return slack;
}

// ---- LedgerDuty ----

LedgerDuty::LedgerDuty(Context& context)
    : context_(context),
      client_(context.state_address, context.budget, kv::Urgency::duty),
      compared_(net::Clock::now()) {}

std::optional<LedgerDuty::Found> LedgerDuty::read_all(bool to_compare) {
  Found found;
  bool first = true;
  std::vector<std::string> prefixes = kept_prefixes();
  if (!to_compare) prefixes.emplace_back(kToldAlone);
  for (const std::string& prefix : prefixes) {
    kv::ListResult page = client_.list(prefix, constants::kStateCallLimit);
    if (page.answer != Answer::ok) return std::nullopt;
    if (first) found.from = page.revision;
    first = false;
    std::ranges::move(page.entries, std::back_inserter(found.entries));
  }
  context_.heard_state();
  return found;
}

bool LedgerDuty::read() {
  const auto found = read_all(false);
  if (!found) return false;
  Shared& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    shared.ledger.read(found->entries, found->from);
    shared.calendar.cold_read();
    ++shared.cold_reads;
  }
  shared.moved.notify_all();  // a new leader may await no more than this
  return true;
}

void LedgerDuty::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (read()) {
      watch(stop);
    } else {
      pause(stop, constants::kStateRetryPause);
    }
  }
}

void LedgerDuty::watch(const std::stop_token& stop) {
  Shared& shared = context_.shared;
  while (!stop.stop_requested()) {
    Revision from;
    {
      const std::lock_guard lock(shared.mutex);
      from = shared.ledger.revision();
    }
    const kv::FollowResult news =
        client_.follow(kEverything, from, constants::kLedgerHold, call_limit() + constants::kLedgerHold);
    if (news.answer == Answer::too_old) return;  // it fell behind: a cold read
    if (news.answer != Answer::ok) {
      pause(stop, constants::kStateRetryPause);
      continue;
    }
    context_.heard_state();
    {
      const std::lock_guard lock(shared.mutex);
      shared.ledger.heard(news.events, news.revision);
      shared.changes_heard += news.events.size();
      shared.calendar.look(moment());
    }
    shared.moved.notify_all();
    tell_catalog(context_);
    if (!news.events.empty()) context_.keep_signal.raise();
    if (net::Clock::now() - compared_ > constants::kLedgerCompareEvery && !compare(stop)) return;
    // Changes that come together are read together: a watch that wakes for each costs more than what it tells.
    if (!news.events.empty()) pause(stop, constants::kLedgerPause);
  }
}

bool LedgerDuty::compare(const std::stop_token& stop) {
  Shared& shared = context_.shared;
  compared_ = net::Clock::now();
  {
    const std::lock_guard lock(shared.mutex);
    shared.comparison.begin();
  }
  const auto found = read_all(true);
  if (!found) return true;
  // Once the watch has told of something asked after the read, all that the read can have seen is known.
  Revision from;
  {
    const std::lock_guard lock(shared.mutex);
    from = shared.ledger.revision();
  }
  const kv::FollowResult news = client_.follow(kEverything, from, std::chrono::milliseconds(0), call_limit());
  if (news.answer != Answer::ok || stop.stop_requested()) return news.answer != Answer::too_old;
  const std::lock_guard lock(shared.mutex);
  shared.ledger.heard(news.events, news.revision);
  shared.calendar.look(moment());
  const std::vector<std::string> differ = shared.comparison.differences(shared.ledger, found->entries, found->from);
  shared.comparison.begin();
  if (differ.empty()) return true;
  shared.differences += differ.size();
  spdlog::error("ledger: differs from a cold read, which wins: keys={} first={} revision={}", differ.size(),
                differ.front(), shared.ledger.revision().number());
  return false;
}

// ---- KeepDuty ----

KeepDuty::KeepDuty(Context& context)
    : context_(context), client_(context.state_address, context.budget, kv::Urgency::user) {}

void KeepDuty::run(const std::stop_token& stop) {
  while (context_.wait_to_lead(stop)) {
    read_ends();
    tell_plan();
    tell_types();
    while (!stop.stop_requested() && write_one()) pause(stop, constants::kKeepPause);
    context_.keep_signal.wait(stop, constants::kKeepEvery);
  }
}

void KeepDuty::read_ends() {
  Shared& shared = context_.shared;
  std::optional<std::string> key;
  {
    const std::lock_guard lock(shared.mutex);
    key = shared.calendar.next_read();
  }
  if (!key) return;
  const kv::GetResult found = client_.get(*key, call_limit());
  const std::lock_guard lock(shared.mutex);
  shared.calendar.on_read(*key, found);
}

void KeepDuty::tell_types() {
  Shared& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    if (!shared.catalog_founder.wants_types()) return;
  }
  std::set<std::string> names;
  {
    const std::lock_guard lock(context_.view_mutex);
    for (const wire::MachineType& type : context_.types) names.insert(type.name);
  }
  const std::lock_guard lock(shared.mutex);
  shared.catalog_founder.learn_types(names);
}

void KeepDuty::tell_plan() {
  Shared& shared = context_.shared;
  {
    const std::lock_guard lock(shared.mutex);
    if (shared.calendar.occurrences().empty()) return;
  }
  const calendar::Both moment{.at = now(), .wall_ms = wall_ms()};
  foresight::Dues dues;
  {
    const std::lock_guard lock(shared.mutex);
    dues = calendar::dues_of(shared.calendar, moment);
  }
  std::map<JobId, plan::Instant> ends;
  std::map<JobId, foresight::Prospect> prospects;
  {
    const std::lock_guard lock(context_.engine_mutex.of(Duty::counting));
    context_.engine.on_dues(std::move(dues));
    if (context_.engine.planning()) return;
    ends = context_.engine.planned_ends();
    prospects = context_.engine.prospects(moment.at);
  }
  const std::lock_guard lock(shared.mutex);
  shared.calendar.planned(calendar::plans_of(ends, prospects, moment));
}

bool KeepDuty::write_one() {
  Revision term_mark;
  {
    const std::lock_guard lock(context_.engine_mutex.of(Duty::counting));
    if (!context_.engine.may_start(now())) return false;
    term_mark = context_.engine.term_mark();
  }
  Shared& shared = context_.shared;
  ledger::Keeper* keeper = nullptr;
  std::optional<kv::Txn> txn;
  {
    const std::lock_guard lock(shared.mutex);
    if (!shared.ledger.whole() || shared.ledger.revision() < term_mark) return false;
    for (ledger::Keeper* one : shared.keepers) {
      txn = one->next_write(shared.jobs, moment(), context_.settings.state_txn_ops);
      keeper = one;
      if (txn) break;
    }
  }
  if (!txn) return false;
  kv::Txn guarded = *txn;
  guarded.conditions.push_back({.key = state::kTermKey, .mark = term_mark});
  const kv::TxnResult result = client_.txn(guarded, call_limit());
  if (result.answer == Answer::conflict &&
      std::ranges::find(result.failed, std::string(state::kTermKey)) != result.failed.end()) {
    const std::lock_guard lock(context_.engine_mutex.of(Duty::lease));
    context_.engine.on_term_conflict(term_mark);
  }
  const std::lock_guard lock(shared.mutex);
  keeper->on_written(*txn, result);
  return result.answer == Answer::ok;
}

}  // namespace foxshunt::node
