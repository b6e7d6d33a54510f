// The catalog as a node reads it from the records: which set is in force, and the former ones that are kept.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalog/records.h"
#include "ledger/ledger.h"

namespace foxshunt::catalog {

// The items of a set, encoded: a set's values take ten times as much.
using Items = std::map<std::pair<Kind, std::uint64_t>, std::string>;
// The set of these items; null when they are not all there, or not what the digest says.
[[nodiscard]] std::shared_ptr<const Set> whole_set(const Edition& edition, const Items& items);

// In force is the newest set that catalog/head names and whose items are all there, readable, and as its digest says:
// a function of the records alone, so that all nodes that know the same records have the same set in force. Only while
// the head itself can't be read, what was in force stays so.
// It needs no help of the ledger's own keeping: what a cold read does not tell as removed is dropped with its set.
// Not to be used by several threads at once; the sets that it hands out never change.
class CatalogView final : public record_cache::CacheObserver {
 public:
  CatalogView();

  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;

  // Never null; version 0 and no items before anything was declared.
  [[nodiscard]] std::shared_ptr<const Set> in_force() const;
  // What the newest readable head says; nothing before one was read.
  [[nodiscard]] const std::optional<Head>& head() const { return head_; }
  // The revision of the newest change of the head, readable or not; 0: there is none.
  [[nodiscard]] Revision head_revision() const { return head_revision_; }
  // One of the sets that the head names; null when it is not kept, or not whole.
  [[nodiscard]] std::shared_ptr<const Set> edition(Version version) const;
  // Records that can't be read, those of a newer form included.
  [[nodiscard]] std::size_t unreadable() const { return unreadable_.size(); }

 private:
  void on_head(const wire::Value* data, Revision revision);
  void on_item(const std::string& key, const ItemKey& item, const wire::Value* data);
  [[nodiscard]] bool readable(const std::string& key, Kind kind, const wire::Value& data);
  void note(const std::string& key, const char* why, bool newer);
  void drop_stages();
  void look() const;
  [[nodiscard]] std::shared_ptr<const Set> build(const Edition& edition) const;

  std::optional<Head> head_;
  Revision head_revision_;
  std::map<std::string, Items> stages_;
  std::set<std::string> unreadable_;
  // Looked for when asked: a cold read tells of many records, of which the last may decide.
  mutable std::shared_ptr<const Set> in_force_;
  mutable bool moved_ = false;
};

}  // namespace foxshunt::catalog
