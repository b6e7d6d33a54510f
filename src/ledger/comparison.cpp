#include "ledger/comparison.h"

namespace foxshunt::ledger {

void Comparison::begin() { removed_.clear(); }

void Comparison::on_change(const std::string& key, const wire::Value* data, Revision) {
  if (data == nullptr) removed_.insert(key);
}

std::vector<std::string> Comparison::differences(const Ledger& ledger, const std::vector<kv::Entry>& entries,
                                                 Revision from) const {
  std::vector<std::string> found;
  std::set<std::string_view> there;
  for (const kv::Entry& entry : entries) {
    there.insert(entry.key);
    const Record* known = ledger.find(entry.key);
    if (known == nullptr ? !removed_.contains(entry.key) : known->mark < entry.mark) found.push_back(entry.key);
  }
  for (const std::string& prefix : ledger.kept()) {
    ledger.each(prefix, [&](const std::string& key, const Record& record) {
      if (record.mark <= from && !there.contains(key)) found.push_back(key);
    });
  }
  return found;
}

}  // namespace foxshunt::ledger
