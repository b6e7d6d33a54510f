#include "ledger/ledger.h"

#define XXH_INLINE_ALL  // header only: no library to be loaded at the start
#include <xxhash.h>

#include <algorithm>

namespace foxshunt::record_cache {
namespace {

std::uint64_t hash_of(std::string_view key, Revision revision) {
  return XXH3_64bits_withSeed(key.data(), key.size(), revision.number());
}

}  // namespace

RecordCache::RecordCache(std::vector<std::string> kept) : kept_(std::move(kept)) {}

bool RecordCache::keeps(std::string_view key) const {
  return std::ranges::any_of(kept_, [&](const std::string& prefix) { return key.starts_with(prefix); });
}

void RecordCache::change(const std::string& key, const wire::Value* data, Revision revision) {
  if (keeps(key)) {
    const auto known = records_.find(key);
    if (data == nullptr) {
      if (known == records_.end()) return;
      records_.erase(known);
    } else if (known == records_.end()) {
      records_.emplace(key, Record{.data = *data, .revision = revision});
    } else {
      known->second = Record{.data = *data, .revision = revision};
    }
  }
  for (CacheObserver* reader : readers_) reader->on_change(key, data, revision);
}

void RecordCache::read(const std::vector<kv::Entry>& entries, Revision from) {
  std::map<std::string_view, const kv::Entry*> there;
  for (const kv::Entry& entry : entries) there.emplace(entry.key, &entry);
  std::vector<std::string> gone;
  for (const auto& [key, unused] : records_) {
    if (!there.contains(key)) gone.push_back(key);
  }
  for (const std::string& key : gone) change(key, nullptr, from);
  for (const kv::Entry& entry : entries) {
    const Record* known = find(entry.key);
    if (known == nullptr || known->revision != entry.revision) change(entry.key, &entry.data, entry.revision);
  }
  revision_ = from;
  whole_ = false;
}

void RecordCache::heard(const std::vector<kv::Event>& events, Revision upto) {
  // The pages of a cold read may be newer than the revision it began at: a key is never taken back to an older change.
  for (const kv::Event& event : events) {
    if (event.revision <= revision_) continue;
    const Record* known = find(event.key);
    if (known != nullptr && known->revision >= event.revision) continue;
    change(event.key, event.data ? &*event.data : nullptr, event.revision);
  }
  if (upto >= revision_) {
    revision_ = upto;
    whole_ = true;
  }
}

const Record* RecordCache::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

void RecordCache::each(std::string_view prefix, const Visit& visit) const {
  for (auto at = records_.lower_bound(prefix); at != records_.end() && at->first.starts_with(prefix); ++at) {
    visit(at->first, at->second);
  }
}

std::uint64_t RecordCache::digest(std::string_view prefix) const {
  std::uint64_t sum = 0;
  each(prefix, [&](const std::string& key, const Record& record) { sum += hash_of(key, record.revision); });
  return sum;
}

std::uint64_t digest_of(const std::vector<kv::Entry>& entries) {
  std::uint64_t sum = 0;
  for (const kv::Entry& entry : entries) sum += hash_of(entry.key, entry.revision);
  return sum;
}

}  // namespace foxshunt::record_cache
