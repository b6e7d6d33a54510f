#include "ledger/comparison.h"

namespace foxshunt::record_cache {

void CacheVerifier::begin() { removed_.clear(); }

void CacheVerifier::on_change(const std::string& key, const wire::Value* data, Revision) {
  if (data == nullptr) removed_.insert(key);
}

std::vector<std::string> CacheVerifier::differences(const RecordCache& record_cache,
                                                    const std::vector<kv::Entry>& entries, Revision from) const {
  std::vector<std::string> found;
  std::set<std::string_view> there;
  for (const kv::Entry& entry : entries) {
    there.insert(entry.key);
    const Record* known = record_cache.find(entry.key);
    if (known == nullptr ? !removed_.contains(entry.key) : known->revision < entry.revision) found.push_back(entry.key);
  }
  for (const std::string& prefix : record_cache.kept()) {
    record_cache.each(prefix, [&](const std::string& key, const Record& record) {
      if (record.revision <= from && !there.contains(key)) found.push_back(key);
    });
  }
  return found;
}

}  // namespace foxshunt::record_cache
