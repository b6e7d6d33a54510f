// What pools keep in the state service. Every record has its form's number in `v`; one of a newer form is left alone.
//
//   pool/next              the number of the next rental's name; it grows with each rental and each taking of machines
//                          that are there, so that of two that were decided from the same picture one counts
//   pool/rent/<name>       a rental that may have been asked for and whose answer is in no record yet
//   pool/held/<pool>/<n>   the pool's machines, up to when each is charged, and what it is used for
//   pool/state/<pool>      how many are wanted and why, refusals, the money of this hour, hourly peaks
//   pool/holds/<n>         what machines hold, a hint
//   account/<pool>/<day>   see accounts/account.h
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "accounts/account.h"
#include "pools/cache.h"
#include "wire/ids.h"
#include "wire/messages.h"
#include "wire/value.h"

namespace foxshunt::pools {

inline constexpr const char* kPoolPrefix = "pool/";
inline constexpr const char* kNextKey = "pool/next";
inline constexpr const char* kRentPrefix = "pool/rent/";
inline constexpr const char* kHeldPrefix = "pool/held/";
inline constexpr const char* kStatePrefix = "pool/state/";
inline constexpr const char* kHoldsPrefix = "pool/holds/";
inline constexpr std::uint64_t kForm = 1;

struct Member {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t from_ms = 0;   // time of day since when the pool pays for it
  std::uint64_t until_ms = 0;  // up to then it is charged; its next interval begins there
  accounts::MachineUse use = accounts::MachineUse::idle;
  std::string team;               // whose work uses it
  bool warm = false;              // it is believed to hold all of the pool's images
  std::uint64_t micros_hour = 0;  // its price, when last known
  friend bool operator==(const Member&, const Member&) = default;
};

struct Held {
  std::vector<Member> members;
};

struct Rent {
  std::string pool;
  wire::ScaleOutRequest request;
  std::uint64_t asked_ms = 0;
};

struct Refusal {
  std::uint64_t until_ms = 0;
  std::uint64_t pause_ms = 0;
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

struct PoolState {
  std::uint32_t wanted = 0;
  std::string why;  // less is wanted or held than the rule says; empty: it is not less
  std::uint64_t hour = 0;
  accounts::UsageTotal spent;                    // in that hour
  std::map<std::string, Refusal> refusals;       // by kind, "type/zone/spot"
  std::map<std::uint64_t, std::uint32_t> peaks;  // most machines with the users' work at once, by hour since 1970
  friend bool operator==(const PoolState&, const PoolState&) = default;
};

struct Holds {
  std::map<MachineId, std::vector<CachedImage>> machines;  // newest image first
  friend bool operator==(const Holds&, const Holds&) = default;
};

[[nodiscard]] std::string held_key(const std::string& pool, std::uint64_t number);
[[nodiscard]] std::string state_key(const std::string& pool);
[[nodiscard]] std::string holds_key(const MachineId& machine);
[[nodiscard]] std::string kind_text(const std::string& type, const std::string& zone, bool spot);

// All of the second kind throw Malformed.
[[nodiscard]] wire::Value to_value(const Held& held);
[[nodiscard]] Held held_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Rent& rent);
[[nodiscard]] Rent rent_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const PoolState& state);
[[nodiscard]] PoolState state_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Holds& holds);
[[nodiscard]] Holds holds_from(const wire::Value& value);

}  // namespace foxshunt::pools
