// A concern that keeps records of its own in the state service, such as the calendar or the pools. On every node it
// is told of changes and answers questions from them; on the leader it decides what is to be written.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ledger/jobs.h"
#include "ledger/ledger.h"
#include "kv/txn.h"

namespace foxshunt::record_cache {

struct Moment {
  std::int64_t wall_ms = 0;                      // by this node's time of day, within `skew_ms` of the true one
  std::chrono::steady_clock::time_point steady;  // by its steady clock
};

class RecordController : public CacheObserver {
 public:
  // What its records' keys begin with, such as "calendar/".
  [[nodiscard]] virtual std::string prefix() const = 0;

  // What to write now, if anything: asked of the leader alone, once its ledger is whole and at or beyond the revision of
  // its term; one at a time. The conditions name the records it was decided from; the leader's term is added to them,
  // so that two leaders never write the same. At most `changes_most` changes.
  [[nodiscard]] virtual std::optional<kv::Txn> next_write(const Jobs& jobs, Moment now, std::size_t changes_most) = 0;
  // The outcome. Without an answer the write may have been executed, or may be yet: what it wrote comes by on_change,
  // and what is tried again names the same revisions, so that one of the two fails.
  virtual void on_written(const kv::Txn& txn, const kv::TxnResult& result) = 0;
};

}  // namespace foxshunt::record_cache
