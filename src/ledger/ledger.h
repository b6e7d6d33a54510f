// What the state service holds, as a node knows it: records by key, applied in the order of revisions. It answers
// questions and decides nothing. Pure: src/node reads and watches, and tells it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kv/txn.h"
#include "wire/ids.h"

namespace foxshunt::record_cache {

struct Record {
  wire::Value data;
  Revision revision;  // of its last change
};

// Told of every change, in the order of revisions. Keys that a cold read found, or found gone, are changes as well.
class CacheObserver {
 public:
  virtual ~CacheObserver() = default;
  // `data` is null when the key was removed; `mark` is the revision of the change, or of the cold read that missed it.
  virtual void on_change(const std::string& key, const wire::Value* data, Revision revision) = 0;
};

class RecordCache {
 public:
  using Visit = std::function<void(const std::string& key, const Record& record)>;

  // `kept`: prefixes whose records are held; changes of other keys are told to readers and forgotten.
  explicit RecordCache(std::vector<std::string> kept);

  // Readers outlive the ledger's use; they are told in the order in which they were added.
  void add_reader(CacheObserver& reader) { readers_.push_back(&reader); }

  [[nodiscard]] const std::vector<std::string>& kept() const { return kept_; }

  // A cold read of all kept prefixes replaces what is held. A read of several pages is no picture of one moment: `from`
  // is the revision before its first page, from which the watch goes on.
  void read(const std::vector<kv::Entry>& entries, Revision from);
  // Changes that a watch told, up to and including `upto`. What is known already is passed over.
  void heard(const std::vector<kv::Event>& events, Revision upto);

  // All changes up to here are in it. 0 before the first cold read.
  [[nodiscard]] Revision revision() const { return revision_; }
  // Whether it is the picture of one moment, revision(): from the first word of the watch after a cold read on.
  [[nodiscard]] bool whole() const { return whole_; }

  [[nodiscard]] const Record* find(const std::string& key) const;
  void each(std::string_view prefix, const Visit& visit) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }

  // Of keys and their revisions under a prefix: equal for equal records, whatever the order in which they came.
  [[nodiscard]] std::uint64_t digest(std::string_view prefix) const;

 private:
  [[nodiscard]] bool keeps(std::string_view key) const;
  void change(const std::string& key, const wire::Value* data, Revision revision);

  std::vector<std::string> kept_;
  std::vector<CacheObserver*> readers_;
  std::map<std::string, Record, std::less<>> records_;
  Revision revision_;
  bool whole_ = false;
};

// The digest of entries as a cold read finds them, to be compared with Ledger::digest.
[[nodiscard]] std::uint64_t digest_of(const std::vector<kv::Entry>& entries);

}  // namespace foxshunt::record_cache
