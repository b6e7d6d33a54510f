// Accounts of what a pool's machines cost: exact sums of machine time and money by day, team and use. Pure functions
// and values without I/O.
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

// What a pool's machine is used for. If several uses apply at the same time, the one with the highest value counts: own
// (tasks of the pool's users) before borrowed, borrowed before warming.
enum class MachineUse : std::uint8_t { idle, warming, borrowed, own };
[[nodiscard]] std::string_view name_of(MachineUse use);
[[nodiscard]] MachineUse parse_machine_use(std::string_view name);  // throws Malformed

// A sum without rounding loss: fractions of a millionth of the currency unit are carried in `remainder`.
struct UsageTotal {
  std::uint64_t machine_ms = 0;
  std::uint64_t micros = 0;     // millionths of the currency unit
  std::uint64_t remainder = 0;  // fraction of a millionth, in units of 1/3,600,000

  // Adds a span at an hourly price in millionths of the currency unit. `span_ms` is at most some days.
  void add(std::uint64_t span_ms, std::uint64_t micros_per_hour);
  friend bool operator==(const UsageTotal&, const UsageTotal&) = default;
};

// Counts task starts of the pool's users on any machine, with their total time from placement to start.
struct StartCounts {
  std::uint64_t warm = 0;  // the image was already on the machine
  std::uint64_t cold = 0;
  std::uint64_t warm_wait_ms = 0;
  std::uint64_t cold_wait_ms = 0;

  StartCounts& operator+=(const StartCounts& other);
  // Estimates the wait that warm starts saved: their number times the mean cold wait, less their own wait. Returns 0 if
  // there were no warm or no cold starts.
  [[nodiscard]] std::uint64_t saved_ms() const;
  friend bool operator==(const StartCounts&, const StartCounts&) = default;
};

// The account of one pool for one UTC day. The payer pays all of it. Each line names the team whose work used the
// machine, so that teams can settle among themselves.
struct Account {
  std::string payer;
  std::map<std::pair<std::string, MachineUse>, UsageTotal> lines;  // by team and use; idle time is booked on the payer
  StartCounts starts;

  void add(const std::string& team, MachineUse use, std::uint64_t span_ms, std::uint64_t micros_per_hour);
  [[nodiscard]] UsageTotal total() const;
  friend bool operator==(const Account&, const Account&) = default;
};

[[nodiscard]] wire::Value to_value(const UsageTotal& line);
[[nodiscard]] UsageTotal parse_usage_total(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Account& account);
[[nodiscard]] Account parse_account(const wire::Value& value);  // throws Malformed

// Escapes a name for use in a record key. Names may contain spaces and keys may not: every byte other than an ASCII
// letter, a digit or one of "_.-" is written as %XX.
[[nodiscard]] std::string escape_key_part(std::string_view name);
// Reverses escape_key_part. Throws Malformed if the two characters after a % are not both uppercase hex digits. Keeps a
// % that has fewer than two characters after it.
[[nodiscard]] std::string unescape_key_part(std::string_view text);
// Returns the record key of a pool's account. `day`: UTC days since 1970.
[[nodiscard]] std::string account_key(std::string_view pool, std::uint64_t day);

// Splits [from_ms, to_ms) at full hours and calls `on_part` for each part in order. `hour`: hours since 1970.
void split_by_hour(std::uint64_t from_ms, std::uint64_t to_ms,
                   const std::function<void(std::uint64_t hour, std::uint64_t span_ms)>& on_part);
// Formats a day, counted in UTC days since 1970, as 2027-03-28.
[[nodiscard]] std::string format_date(std::uint64_t day);
// Formats millionths of the currency unit exactly, such as 12.345678.
[[nodiscard]] std::string format_money(std::uint64_t micros);

}  // namespace foxshunt::accounts
