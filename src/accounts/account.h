// Who pays for a pool's machines: exact sums of machine time and money by day, team and use. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "wire/value.h"

namespace foxshunt::accounts {

inline constexpr const char* kAccountPrefix = "account/";
inline constexpr std::uint64_t kMillisPerHour = 3'600'000;
inline constexpr std::uint64_t kMillisPerDay = 24 * kMillisPerHour;

// What a pool's machine is used for: the pool's users go before who warms it, and these before who borrows it.
enum class MachineUse : std::uint8_t { idle, warming, borrowed, own };
[[nodiscard]] std::string_view name_of(MachineUse use);
[[nodiscard]] MachineUse parse_machine_use(std::string_view name);  // throws Malformed

// A sum that loses nothing to rounding: what is less than a millionth of the money's unit is carried on.
struct UsageTotal {
  std::uint64_t machine_ms = 0;
  std::uint64_t micros = 0;     // millionths of the money's unit
  std::uint64_t remainder = 0;  // of a millionth, in 3,600,000ths

  // `micros_per_hour`: the price of an hour. A span is at most some days.
  void add(std::uint64_t span_ms, std::uint64_t micros_per_hour);
  friend bool operator==(const UsageTotal&, const UsageTotal&) = default;
};

// Starts of the pool's users' tasks, on any machine, and how long they took from their placement on.
struct StartCounts {
  std::uint64_t warm = 0;  // found their image
  std::uint64_t cold = 0;
  std::uint64_t warm_wait_ms = 0;
  std::uint64_t cold_wait_ms = 0;

  StartCounts& operator+=(const StartCounts& other);
  // What the warm ones would have waited longer, had they waited as the cold ones did.
  [[nodiscard]] std::uint64_t saved_ms() const;
  friend bool operator==(const StartCounts&, const StartCounts&) = default;
};

// Of one pool and one day (UTC, counted from 1970). The payer pays all of it; the lines name the team whose work
// used the machine, so that teams can settle between them.
struct Account {
  std::string payer;
  std::map<std::pair<std::string, MachineUse>, UsageTotal> lines;  // idle and warming time is the payer's
  StartCounts starts;

  void add(const std::string& team, MachineUse use, std::uint64_t span_ms, std::uint64_t micros_per_hour);
  [[nodiscard]] UsageTotal total() const;
  friend bool operator==(const Account&, const Account&) = default;
};

[[nodiscard]] wire::Value to_value(const UsageTotal& line);
[[nodiscard]] UsageTotal parse_usage_total(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Account& account);
[[nodiscard]] Account parse_account(const wire::Value& value);  // throws Malformed

// Keys have no spaces, names may: what is neither a letter, a digit nor one of "_.-" is written as %XX.
[[nodiscard]] std::string escape_key_part(std::string_view name);
[[nodiscard]] std::string unescape_key_part(std::string_view text);
[[nodiscard]] std::string account_key(std::string_view pool, std::uint64_t day);

// The parts of [from, to) by hours of the time of day, in order.
void split_by_hour(std::uint64_t from_ms, std::uint64_t to_ms,
                   const std::function<void(std::uint64_t hour, std::uint64_t span_ms)>& on_part);
// 2027-03-28
[[nodiscard]] std::string format_date(std::uint64_t day);
// 12.345678, exact
[[nodiscard]] std::string format_money(std::uint64_t micros);

}  // namespace foxshunt::accounts
