// How a set comes into force: the difference that is told, and the transactions that write it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalog/records.h"
#include "kv/txn.h"

namespace foxshunt::catalog {

enum class ChangeKind : std::uint8_t { added, changed, removed };
[[nodiscard]] std::string_view name_of(ChangeKind kind);

struct Difference {
  ChangeKind change = ChangeKind::added;
  Kind kind = Kind::job_class;
  std::string name;
  friend bool operator==(const Difference&, const Difference&) = default;
};
// By kind and name. Nothing: the content is the same.
[[nodiscard]] std::vector<Difference> difference(const Set& from, const Set& to);

// How a set stands that was made from version `base` and has this digest. It can only become version base + 1.
enum class Standing : std::uint8_t {
  open,      // `base` is in force still
  in_force,  // it is the set in force
  replaced,  // it was in force, a later one took its place
  lost,      // another one became version base + 1, or base + 1 is no longer kept
};
[[nodiscard]] Standing standing_of(const std::optional<Head>& head, Version base, const std::string& digest);

struct WriteLimits {
  std::size_t changes = 0;  // of a transaction
  std::size_t bytes = 0;    // of a transaction, as PROTOCOL counts them
  std::size_t portion = 0;  // changes of a transaction that writes items of a stage: it holds up no other writes
};

// Writes one set on the head that was read: in one transaction if it fits, else under a stage of its own that the head
// alone switches to. Every write can be repeated, by this writer or another one of the same set: items of a stage are
// always the same bytes, the stage's record guards them against the sweeper, and the switch names the head that was read.
class Writer {
 public:
  enum class State : std::uint8_t {
    writing,
    wants_stage,  // the stage is there already: read its record and tell its mark by on_stage
    in_force,
    conflict,  // the head was changed, or the stage swept: to be judged anew from the head
    refused,   // the last transaction was not executed and may be tried again: next() gives it
    unknown,   // it may have been executed, or may be yet: to be judged anew from the head
    rejected,  // the state service can't take it
  };

  // `mark`: of the head that was read; 0: there is none. Set: content alone matters, sorted.
  Writer(const std::optional<Head>& head, Revision revision, const Set& set, const std::string& author,
         std::int64_t wall_ms, const WriteLimits& limits);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool staged() const { return staged_; }
  [[nodiscard]] const Edition& edition() const { return head_.now; }
  // What to send now; nothing unless writing or refused.
  [[nodiscard]] std::optional<kv::Txn> next() const;
  void on_result(const kv::TxnResult& result);
  // The record of the stage as it was read (0: it is gone), and the keys of items that were found after that. What was
  // there beside the record stays as long as the record does, so that a large set may be written by several requests.
  void on_stage(Revision revision, const std::set<std::string>& there);

 private:
  enum class Step : std::uint8_t { whole, stage, items, head };

  [[nodiscard]] std::vector<std::size_t> portion() const;  // of items that are not written yet
  [[nodiscard]] kv::Change change_of(const Item& item) const;

  Head head_;
  Revision mark_;
  std::vector<Item> items_;
  StageRecord stage_;
  WriteLimits limits_;
  bool staged_ = false;
  Step step_ = Step::whole;
  Revision stage_mark_;
  std::vector<bool> written_;  // by item of the stage
  State state_ = State::writing;
};

}  // namespace foxshunt::catalog
