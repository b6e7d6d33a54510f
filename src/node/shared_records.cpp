#include "node/shared_records.h"

#include "catalog/records.h"
#include "node/catalog_settings.h"
#include "node/clock.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::node {

// `lead/` is kept so that the revision of a term comes by the same watch. `over/` grows for ever and is not.
std::vector<std::string> kept_prefixes() {
  return {state::kLivePrefix, state::kLingerPrefix,  state::kPartPrefix, state::kLeadPrefix,
          catalog::kHeadKey,  catalog::kStagePrefix, "calendar/",        "pool/",
          "account/"};
}

ledger::Moment moment() { return {.wall_ms = wall_ms(), .steady = net::Clock::now()}; }

SharedRecords::SharedRecords(const config::Settings& settings)
    : ledger(kept_prefixes()),
      catalog_founder(founding_of(settings), catalog_write_limits_of(settings)),
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

std::optional<SharedRecords::Snapshot> SharedRecords::picture(Revision least, net::Deadline until) {
  std::unique_lock lock(mutex);
  if (!moved.wait_until(lock, until, [&] { return ledger.whole() && ledger.revision() >= least; })) {
    return std::nullopt;
  }
  Snapshot picture{.live = {}, .linger = {}, .parts = {}, .term = {}, .revision = ledger.revision()};
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

std::map<JobId, int> slack_of(const SharedRecords& shared) {
  std::map<JobId, int> slack;
  for (const JobId& id : shared.calendar.listed()) {
    if (const auto step = shared.calendar.slack_step(id)) slack.emplace(id, *step);
  }
  return slack;
}

}  // namespace foxshunt::node
