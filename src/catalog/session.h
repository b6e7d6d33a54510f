// What a node does for an operator: reads what is in force and puts a set in its place, over whatever store it is given.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "catalog/apply.h"
#include "kv/txn.h"

namespace foxshunt::catalog {

// The state service, within the time that the request has.
class Store {
 public:
  virtual ~Store() = default;
  [[nodiscard]] virtual kv::GetResult get(const std::string& key) = 0;
  [[nodiscard]] virtual kv::ListResult list(const std::string& prefix) = 0;
  [[nodiscard]] virtual kv::TxnResult txn(const kv::Txn& txn) = 0;
  // Before something is tried again; false: the time is over.
  [[nodiscard]] virtual bool pause() = 0;
};

struct HeadLook {
  enum class Found : std::uint8_t { read, no_answer, newer_form, unreadable };
  Found found = Found::no_answer;
  std::optional<Head> head;  // of `read`; nothing: none was ever written
  Revision revision;
};
[[nodiscard]] HeadLook look_at_head(Store& store);

struct SetLook {
  enum class Found : std::uint8_t { read, no_answer, newer_form, unreadable };
  Found found = Found::no_answer;
  std::shared_ptr<const Set> set;  // of `read`
};
// The items of one of the head's sets, from the store itself.
[[nodiscard]] SetLook look_at_set(Store& store, const Edition& edition);

struct Outcome {
  enum class Kind : std::uint8_t {
    in_force,
    replaced,    // it was in force; `theirs` is now
    lost,        // `theirs` took the place of the base
    no_answer,   // not known, and perhaps executed yet: the same request will tell
    newer_form,  // the head is a newer program's
    unreadable,  // the head can't be read
    rejected,    // the state service does not take such a set
  };
  Kind kind = Kind::no_answer;
  Edition ours;                   // of in_force and replaced
  std::optional<Edition> theirs;  // what is in force instead
};
// Makes the set version base + 1. It may be asked for again and again: a set that is in force already stays so.
[[nodiscard]] Outcome put_in_force(Store& store, const Set& set, Version base, const std::string& author,
                                   std::int64_t wall_ms, const WriteLimits& limits);

}  // namespace foxshunt::catalog
