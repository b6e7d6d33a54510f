#include "catalog/book.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace foxshunt::catalog {

using wire::Value;

std::shared_ptr<const Set> whole_set(const Edition& edition, const Items& items) {
  if (items.size() != edition.classes + edition.calendar + edition.pools) return nullptr;
  auto set = std::make_shared<Set>();
  set->version = edition.version;
  set->revision = edition.revision;
  set->author = edition.author;
  set->wall_ms = edition.wall_ms;
  for (const auto& [place, bytes] : items) {
    const Value data = wire::decode(bytes);
    switch (place.first) {
      case Kind::job_class: set->classes.push_back(class_from(data)); break;
      case Kind::calendar: set->calendar.push_back(calendar_from(data)); break;
      case Kind::pool: set->pools.push_back(pool_from(data)); break;
    }
  }
  set->digest = digest_of(*set);
  if (set->digest != edition.digest) return nullptr;
  return set;
}

CatalogView::CatalogView() : in_force_(std::make_shared<const Set>()) {}

void CatalogView::on_change(const std::string& key, const Value* data, Revision revision) {
  if (!key.starts_with(kPrefix)) return;
  if (key == kHeadKey) return on_head(data, revision);
  if (const auto item = item_key_from(key)) on_item(key, *item, data);
}

void CatalogView::note(const std::string& key, const char* why, bool newer) {
  if (!unreadable_.insert(key).second) return;
  if (newer) {
    spdlog::warn("catalog record of a newer form is left as it is key={} why=\"{}\"", key, why);
  } else {
    spdlog::error("catalog record can't be read key={} why=\"{}\"", key, why);
  }
}

void CatalogView::on_head(const Value* data, Revision revision) {
  if (data == nullptr) {
    // Nothing is declared any more; a head that can't be read, in contrast, changes nothing.
    unreadable_.erase(kHeadKey);
    head_.reset();
    head_revision_ = {};
    stages_.clear();
    in_force_ = std::make_shared<const Set>();
    return;
  }
  head_revision_ = revision;
  try {
    head_ = head_from(*data, revision);
    unreadable_.erase(kHeadKey);
  } catch (const NewerForm& error) {
    return note(kHeadKey, error.what(), true);
  } catch (const wire::Malformed& error) {
    return note(kHeadKey, error.what(), false);
  }
  drop_stages();
  moved_ = true;
}

bool CatalogView::readable(const std::string& key, Kind kind, const Value& data) {
  try {
    switch (kind) {
      case Kind::job_class: (void)class_from(data); break;
      case Kind::calendar: (void)calendar_from(data); break;
      case Kind::pool: (void)pool_from(data); break;
    }
    unreadable_.erase(key);
    return true;
  } catch (const NewerForm& error) {
    note(key, error.what(), true);
  } catch (const wire::Malformed& error) {
    note(key, error.what(), false);
  }
  return false;
}

void CatalogView::on_item(const std::string& key, const ItemKey& item, const Value* data) {
  const std::pair place(item.kind, item.number);
  // A cold read may tell of a leftover that no head names any more.
  if (data != nullptr && head_ && !head_->keeps(item.stage) && *version_of_stage(item.stage) <= head_->now.version) {
    return;
  }
  if (data == nullptr || !readable(key, item.kind, *data)) {
    if (data == nullptr) unreadable_.erase(key);
    const auto stage = stages_.find(item.stage);
    if (stage == stages_.end()) return;
    stage->second.erase(place);
    if (stage->second.empty()) stages_.erase(stage);
    return;
  }
  stages_[item.stage][place] = wire::encode(*data);
  moved_ = true;
}

// What the head does not name and can never come into force: its version is taken.
void CatalogView::drop_stages() {
  const auto over = [this](const std::string& stage) {
    return !head_->keeps(stage) && *version_of_stage(stage) <= head_->now.version;
  };
  std::erase_if(stages_, [&](const auto& entry) { return over(entry.first); });
  std::erase_if(unreadable_, [&](const std::string& key) {
    const auto item = item_key_from(key);
    return item && over(item->stage);
  });
}

std::shared_ptr<const Set> CatalogView::in_force() const {
  if (moved_ && head_) look();
  moved_ = false;
  return in_force_;
}

void CatalogView::look() const {
  const auto is_in_force = [this](const Edition& edition) {
    return edition.version == in_force_->version && edition.digest == in_force_->digest;
  };
  std::vector<const Edition*> order{&head_->now};
  for (const Edition& edition : head_->former) order.push_back(&edition);
  for (const Edition* edition : order) {
    if (is_in_force(*edition)) return;
    auto built = build(*edition);
    if (built == nullptr) continue;
    in_force_ = std::move(built);
    spdlog::info("catalog in force version={} revision={} author=\"{}\" classes={} calendar={} pools={}",
                 in_force_->version.number(), in_force_->revision.number(), in_force_->author,
                 in_force_->classes.size(), in_force_->calendar.size(), in_force_->pools.size());
    return;
  }
}

std::shared_ptr<const Set> CatalogView::build(const Edition& edition) const {
  static const Items kNone;
  const auto stage = stages_.find(edition.stage());
  return whole_set(edition, stage == stages_.end() ? kNone : stage->second);
}

std::shared_ptr<const Set> CatalogView::edition(Version version) const {
  if (auto now = in_force(); version == now->version) return now;
  const Edition* edition = head_ ? head_->find(version) : nullptr;
  return edition == nullptr ? nullptr : build(*edition);
}

}  // namespace foxshunt::catalog
