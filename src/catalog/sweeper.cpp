#include "catalog/sweeper.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::catalog {

using wire::Value;

void CatalogGarbageCollector::on_change(const std::string& key, const Value* data, Revision revision) {
  if (key == kHeadKey) {
    head_revision_ = data == nullptr ? Revision(0) : revision;
    head_readable_ = true;
    head_.reset();
    try {
      if (data != nullptr) head_ = head_from(*data, revision);
    } catch (const wire::Malformed&) {
      head_readable_ = false;
    }
  } else if (key.starts_with(kStagePrefix)) {
    const std::string stage = key.substr(std::string_view(kStagePrefix).size());
    if (version_of_stage(stage)) on_stage(stage, data, revision);
  } else if (const auto item = item_key_from(key)) {
    on_item(key, *item, data, revision);
  }
}

void CatalogGarbageCollector::on_stage(const std::string& stage, const Value* data, Revision revision) {
  Stage& known = stages_[stage];
  known.revision = data == nullptr ? Revision(0) : revision;
  known.left_alone = false;
  try {
    if (data != nullptr) known.wall_ms = stage_from(*data).wall_ms;
  } catch (const wire::Malformed&) {
    known.left_alone = true;
  }
  if (known.empty()) stages_.erase(stage);
}

void CatalogGarbageCollector::on_item(const std::string& key, const ItemKey& item, const Value* data,
                                      Revision revision) {
  const std::uint64_t* form = data != nullptr ? (*data)["form"].as_count() : nullptr;
  const bool newer = form != nullptr && *form > newest_form(item.kind);
  const std::string& stage = item.stage;
  if (data != nullptr && !newer) {
    stages_[stage].items[key] = revision;
    return;
  }
  const auto known = stages_.find(stage);
  if (known == stages_.end()) return;
  known->second.items.erase(key);
  if (known->second.empty()) stages_.erase(known);
}

std::optional<kv::Txn> CatalogGarbageCollector::next_write(const record_cache::Jobs&, record_cache::Moment now,
                                                           std::size_t changes_most) {
  if (!head_readable_ || stages_.empty() || changes_most == 0) return std::nullopt;
  if (failed_) {
    pause_until_ = now.steady + constants::kCatalogGarbageCollectionInterval;
    failed_ = false;
  }
  if (pause_until_ && now.steady < *pause_until_) return std::nullopt;
  const Version taken = head_ ? head_->now.version : Version(0);
  for (const auto& [name, stage] : stages_) {
    if (stage.left_alone || (head_ && head_->keeps(name))) continue;
    const std::string record = stage_key(name);
    if (stage.revision != Revision(0)) {
      const bool over = *version_of_stage(name) <= taken;
      if (!over && now.wall_ms - stage.wall_ms <= constants::kCatalogStagedKeptMs) continue;
      return kv::Txn{.preconditions = {{.key = record, .revision = stage.revision}},
                     .changes = {{.key = record, .data = {}, .lease = {}}}};
    }
    kv::Txn txn{
        .preconditions = {{.key = kHeadKey, .revision = head_revision_}, {.key = record, .revision = Revision(0)}},
        .changes = {}};
    for (const auto& [item, unused] : stage.items) {
      if (txn.changes.size() == changes_most) break;
      txn.changes.push_back({.key = item, .data = {}, .lease = {}});
    }
    return txn;
  }
  return std::nullopt;
}

void CatalogGarbageCollector::on_written(const kv::Txn& txn, const kv::TxnResult& result) {
  if (result.status != kv::Status::ok) {
    failed_ = true;
    return;
  }
  // Told by the watch as well, later: not to be asked for twice. What was written anew meanwhile stays known.
  for (const kv::Change& change : txn.changes) {
    const auto item = item_key_from(change.key);
    const std::string stage =
        item ? item->stage : change.key.substr(std::min(change.key.size(), std::string_view(kStagePrefix).size()));
    const auto known = stages_.find(stage);
    if (known == stages_.end()) continue;
    if (item) {
      const auto there = known->second.items.find(change.key);
      if (there != known->second.items.end() && there->second <= result.revision) known->second.items.erase(there);
    } else if (known->second.revision <= result.revision) {
      known->second.revision = Revision(0);
    }
    if (known->second.empty()) stages_.erase(known);
  }
}

}  // namespace foxshunt::catalog
