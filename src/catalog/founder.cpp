#include "catalog/founder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::catalog {
namespace {

std::vector<std::string> lines_of(const std::string& file, const Reading& reading) {
  std::vector<std::string> lines;
  for (const Fault& fault : reading.faults) lines.push_back(text_of(file, fault));
  if (reading.more_faults) lines.push_back(file + ": there are more faults");
  return lines;
}

bool names_types(const Set& set) {
  return std::ranges::any_of(set.pools, [](const PoolDef& pool) { return !pool.types.empty(); });
}

struct Judged {
  Set set;
  std::vector<std::string> faults;  // a line each
};

Judged judged(const BootstrapCatalog& bootstrap) {
  if (!bootstrap.text) return {.set = {}, .faults = {bootstrap.file + ": cannot be read"}};
  Reading reading = read_xml(*bootstrap.text, bootstrap.known);
  std::vector<std::string> faults = lines_of(bootstrap.file, reading);
  return {.set = std::move(reading.set), .faults = std::move(faults)};
}

}  // namespace

std::vector<std::string> faults_of(const BootstrapCatalog& bootstrap) { return judged(bootstrap).faults; }

CatalogBootstrapper::CatalogBootstrapper(std::optional<BootstrapCatalog> bootstrap, const WriteLimits& limits)
    : founding_(std::move(bootstrap)), limits_(limits) {
  if (founding_) judge();
}

// Said once: a controller that told of it at each look would bury what else its log says.
void CatalogBootstrapper::judge() {
  set_ = nullptr;
  file_ = founding_->file;
  Judged found = judged(*founding_);
  for (const std::string& line : found.faults) spdlog::error("founding set is no good, goes on without: {}", line);
  if (!found.faults.empty()) {
    give_up();
    return;
  }
  types_wanted_ = !founding_->known.types && names_types(found.set);
  digest_ = digest_of(found.set);
  stage_ = Edition{.version = Version(1), .author = {}, .digest = digest_, .revision = {}}.stage();
  set_ = std::make_shared<const Set>(std::move(found.set));
  if (!types_wanted_) founding_.reset();
}

void CatalogBootstrapper::give_up() {
  founding_.reset();
  set_ = nullptr;
  items_.clear();
}

void CatalogBootstrapper::learn_types(const std::set<std::string>& types) {
  if (!types_wanted_ || !founding_ || types.empty()) return;
  founding_->known.types = types;
  judge();
}

void CatalogBootstrapper::on_change(const std::string& key, const wire::Value* data, Revision revision) {
  if (set_ == nullptr) return;
  if (key == kHeadKey) {
    // Whatever it says, and whether or not this program can read it: something was declared.
    if (data != nullptr) give_up();
    return;
  }
  if (key == stage_key(stage_)) {
    stage_mark_ = data == nullptr ? Revision(0) : revision;
    return;
  }
  const auto item = item_key_from(key);
  if (!item || item->stage != stage_) return;
  if (data == nullptr) {
    items_.erase(key);
  } else {
    items_[key] = revision;
  }
}

std::optional<kv::Txn> CatalogBootstrapper::next_write(const record_cache::Jobs&, record_cache::Moment now,
                                                       std::size_t changes_most) {
  if (set_ == nullptr || types_wanted_ || changes_most == 0) return std::nullopt;
  if (failed_) {
    pause_until_ = now.steady + constants::kCatalogGarbageCollectionInterval;
    failed_ = false;
  }
  if (pause_until_ && now.steady < *pause_until_) return std::nullopt;
  Writer writer(std::nullopt, Revision(0), *set_, kBootstrapAuthor, now.wall_ms,
                {.changes = std::min(limits_.changes, changes_most),
                 .bytes = limits_.bytes,
                 .portion = std::min(limits_.portion, changes_most)});
  if (writer.staged() && stage_mark_ != Revision(0)) {
    // An item that is older than the stage's record may have been swept before this was written anew, unheard of by a
    // cold read, which does not tell of items that are gone. It is written again; the bytes are the same.
    std::set<std::string> there;
    for (const auto& [key, revision] : items_) {
      if (revision > stage_mark_) there.insert(key);
    }
    writer.on_stage(stage_mark_, there);
  }
  return writer.next();
}

void CatalogBootstrapper::on_written(const kv::Txn& txn, const kv::TxnResult& result) {
  if (result.status != kv::Status::ok) {
    failed_ = true;
    if (result.status != kv::Status::invalid_request) return;
    spdlog::error("founding set is no good, goes on without: {}: the state service does not take it", file_);
    give_up();
    return;
  }
  // Told by the watch as well, later: what was written is not to be written again.
  for (const kv::Change& change : txn.changes) {
    if (change.key == kHeadKey) {
      spdlog::info("founding set in force file=\"{}\" version=1 revision={} digest={}", file_, result.revision.number(),
                   digest_);
      give_up();
      return;
    }
  }
  for (const kv::Change& change : txn.changes) {
    on_change(change.key, change.data ? &*change.data : nullptr, result.revision);
  }
}

}  // namespace foxshunt::catalog
