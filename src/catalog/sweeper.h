// Removes what a set left that never came into force, or is no longer kept: the leader's, a transaction at a time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "catalog/records.h"
#include "ledger/keeper.h"

namespace foxshunt::catalog {

// It touches nothing that can be or become in force: an item goes only if the head that is known does not name its
// stage and the stage has no record, and both are conditions of the write. A stage's record goes once its version is
// taken, or when it is so old that whoever wrote it has given up. Records of a newer form are left as they are.
class CatalogGarbageCollector final : public record_cache::RecordController {
 public:
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;
  [[nodiscard]] std::string prefix() const override { return kPrefix; }
  [[nodiscard]] std::optional<kv::Txn> next_write(const record_cache::Jobs& jobs, record_cache::Moment now,
                                                  std::size_t changes_most) override;
  void on_written(const kv::Txn& txn, const kv::TxnResult& result) override;

 private:
  struct Stage {
    Revision revision;  // of its record; 0: none
    std::int64_t wall_ms = 0;
    bool left_alone = false;                // its record is of a newer form, or can't be read
    std::map<std::string, Revision> items;  // by key
    [[nodiscard]] bool empty() const { return revision == Revision(0) && items.empty(); }
  };
  void on_stage(const std::string& stage, const wire::Value* data, Revision revision);
  void on_item(const std::string& key, const ItemKey& item, const wire::Value* data, Revision revision);

  std::optional<Head> head_;
  Revision head_revision_;
  bool head_readable_ = true;
  std::map<std::string, Stage> stages_;
  std::optional<std::chrono::steady_clock::time_point> pause_until_;
  bool failed_ = false;
};

}  // namespace foxshunt::catalog
