// What the catalog keeps in the state service.
//
//   catalog/head                    the set in force and the former ones that are kept: the truth about which sets exist
//   catalog/s/<stage>/class/<n>     an item of a set; also calendar/<n> and pool/<n>. Written once, never changed
//   catalog/stage/<stage>           a set that is being written in several transactions; gone once it is in force
//
// A stage is named by version and digest, such as 12-4f0c...: operators who write different sets of the same version at
// once never touch each other's items.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/model.h"
#include "wire/value.h"

namespace foxshunt::catalog {

inline constexpr const char* kPrefix = "catalog/";
inline constexpr const char* kHeadKey = "catalog/head";
inline constexpr const char* kItemPrefix = "catalog/s/";
inline constexpr const char* kStagePrefix = "catalog/stage/";
inline constexpr std::uint64_t kForm = 1;         // of the records that this program writes; it reads no newer one
inline constexpr std::uint64_t kFormSunrise = 2;  // of entries by sunrise, which programs that know none leave alone

// Thrown for a record of a newer form; it is to be left as it is.
class NewerForm : public wire::Malformed {
 public:
  using Malformed::Malformed;
};

enum class Kind : std::uint8_t { job_class, calendar, pool };
inline constexpr Kind kKinds[] = {Kind::job_class, Kind::calendar, Kind::pool};
[[nodiscard]] std::string_view name_of(Kind kind);  // class, calendar, pool
[[nodiscard]] std::optional<Kind> kind_from(std::string_view name);

// The words that files and records have for them.
[[nodiscard]] std::string_view name_of(wire::Priority priority);
[[nodiscard]] std::string_view name_of(wire::JobKind kind);
[[nodiscard]] std::optional<wire::Priority> priority_from(std::string_view name);
[[nodiscard]] std::optional<wire::JobKind> job_kind_from(std::string_view name);

// What is known of a set without its items.
struct Edition {
  Version version;
  std::string author;
  std::int64_t wall_ms = 0;
  std::string digest;
  std::uint64_t classes = 0;
  std::uint64_t calendar = 0;
  std::uint64_t pools = 0;
  Revision revision;  // from which on it was in force; in the record 0 for the newest, whose mark is the record's own

  [[nodiscard]] std::string stage() const;
  [[nodiscard]] std::uint64_t count(Kind kind) const;
  friend bool operator==(const Edition&, const Edition&) = default;
};

struct Head {
  Edition now;
  std::vector<Edition> former;  // newest first, at most kMaxCatalogKept - 1

  [[nodiscard]] bool keeps(std::string_view stage) const;
  [[nodiscard]] const Edition* find(Version version) const;  // null: not kept
  friend bool operator==(const Head&, const Head&) = default;
};

// Of a set that is being written in several transactions.
struct StageRecord {
  std::string author;
  std::int64_t wall_ms = 0;
};

// The form is judged before all else: NewerForm; Malformed for what cannot be read.
[[nodiscard]] wire::Value to_value(const ClassDef& one);
[[nodiscard]] wire::Value to_value(const CalendarDef& one);
[[nodiscard]] wire::Value to_value(const PoolDef& one);
[[nodiscard]] wire::Value to_value(const Head& head);
[[nodiscard]] wire::Value to_value(const StageRecord& stage);
[[nodiscard]] ClassDef class_from(const wire::Value& value);
[[nodiscard]] CalendarDef calendar_from(const wire::Value& value);
[[nodiscard]] PoolDef pool_from(const wire::Value& value);
[[nodiscard]] Head head_from(const wire::Value& value, Revision revision);
[[nodiscard]] StageRecord stage_from(const wire::Value& value);

struct ItemKey {
  std::string stage;
  Kind kind = Kind::job_class;
  std::uint64_t number = 0;
};
[[nodiscard]] constexpr std::uint64_t newest_form(Kind kind) { return kind == Kind::calendar ? kFormSunrise : kForm; }
[[nodiscard]] std::string item_key(const ItemKey& key);
[[nodiscard]] std::optional<ItemKey> item_key_from(std::string_view key);  // nothing: no such key
[[nodiscard]] std::string stage_key(std::string_view stage);
[[nodiscard]] std::optional<Version> version_of_stage(std::string_view stage);

struct Item {
  Kind kind = Kind::job_class;
  std::uint64_t number = 0;
  std::string name;
  wire::Value data;
};
// The records of a set's content, numbered by kind in the set's order.
[[nodiscard]] std::vector<Item> items_of(const Set& set);
// Of the content alone, as its records encode it; 32 hexadecimal digits.
[[nodiscard]] std::string digest_of(const Set& set);

// Classes by order, calendar and pools by name: the order in which readers find them and records number them.
void sort_set(Set& set);

}  // namespace foxshunt::catalog
