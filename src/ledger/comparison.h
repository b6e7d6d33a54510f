// Compares what a node believes with a cold read of the state service, while both go on changing.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "ledger/ledger.h"

namespace foxshunt::record_cache {

// Add it to the ledger's readers, begin() before the read, and ask differences() once the ledger has heard of everything
// up to the read's end.
class CacheVerifier final : public CacheObserver {
 public:
  void begin();
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;

  // Keys that can't be explained by changes under way: the ledger is behind what was read, lacks a key that nobody
  // removed, or holds one that was gone before the read. `from`: the revision before the read's first page.
  [[nodiscard]] std::vector<std::string> differences(const RecordCache& record_cache,
                                                     const std::vector<kv::Entry>& entries, Revision from) const;

 private:
  std::set<std::string> removed_;  // since begin()
};

}  // namespace foxshunt::record_cache
