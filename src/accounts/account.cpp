#include "accounts/account.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

#include "config/constants.h"

namespace foxshunt::accounts {
namespace {

using wire::Malformed;
using wire::Value;

constexpr std::array<std::string_view, 4> kMachineUseNames{"idle", "warming", "borrowed", "own"};
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool is_unescaped_key_character(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '_' || character == '.' || character == '-';
}

}  // namespace

std::string_view name_of(MachineUse use) { return kMachineUseNames[static_cast<std::size_t>(use)]; }

MachineUse parse_machine_use(std::string_view name) {
  const auto* const found = std::ranges::find(kMachineUseNames, name);
  if (found == kMachineUseNames.end()) throw Malformed("use: unknown value");
  return static_cast<MachineUse>(found - kMachineUseNames.begin());
}

void UsageTotal::add(std::uint64_t span_ms, std::uint64_t micros_per_hour) {
  machine_ms += span_ms;
  // Whole hours are multiplied separately so that no product overflows 64 bits.
  const std::uint64_t product = span_ms % kMillisPerHour * micros_per_hour + remainder;
  micros += span_ms / kMillisPerHour * micros_per_hour + product / kMillisPerHour;
  remainder = product % kMillisPerHour;
}

StartCounts& StartCounts::operator+=(const StartCounts& other) {
  warm += other.warm;
  cold += other.cold;
  warm_wait_ms += other.warm_wait_ms;
  cold_wait_ms += other.cold_wait_ms;
  return *this;
}

std::uint64_t StartCounts::saved_ms() const {
  if (warm == 0 || cold == 0) return 0;
  const std::uint64_t wait_if_cold_ms = cold_wait_ms / cold * warm;
  return wait_if_cold_ms > warm_wait_ms ? wait_if_cold_ms - warm_wait_ms : 0;
}

void Account::add(const std::string& team, MachineUse use, std::uint64_t span_ms, std::uint64_t micros_per_hour) {
  std::pair<std::string, MachineUse> key{team, use};
  // The number of lines is bounded. Usage of further teams is summed in lines with an empty team name.
  if (!lines.contains(key) && lines.size() >= constants::kMaxAccountLines) key.first.clear();
  lines[key].add(span_ms, micros_per_hour);
}

UsageTotal Account::total() const {
  UsageTotal sum;
  std::uint64_t remainders = 0;
  for (const auto& [unused, line] : lines) {
    sum.machine_ms += line.machine_ms;
    sum.micros += line.micros;
    remainders += line.remainder;
  }
  sum.micros += remainders / kMillisPerHour;
  sum.remainder = remainders % kMillisPerHour;
  return sum;
}

Value to_value(const UsageTotal& line) { return Value::List{line.machine_ms, line.micros, line.remainder}; }

UsageTotal parse_usage_total(const Value& value) {
  const Value::List* list = value.as_list();
  if (list == nullptr || list->size() != 3 ||
      std::ranges::any_of(*list, [](const Value& one) { return one.as_count() == nullptr; })) {
    throw Malformed("line: expected a list of three counts");
  }
  return {.machine_ms = *(*list)[0].as_count(), .micros = *(*list)[1].as_count(), .remainder = *(*list)[2].as_count()};
}

Value to_value(const Account& account) {
  Value::List lines;
  for (const auto& [key, line] : account.lines) {
    lines.emplace_back(Value::List{key.first, name_of(key.second), to_value(line)});
  }
  return Value::Map{{"v", 1},
                    {"payer", account.payer},
                    {"lines", std::move(lines)},
                    {"starts", Value::List{account.starts.warm, account.starts.cold, account.starts.warm_wait_ms,
                                           account.starts.cold_wait_ms}}};
}

Account parse_account(const Value& value) {
  Account account;
  account.payer = value.text("payer");
  for (const Value& entry : value.list("lines")) {
    const Value::List* line = entry.as_list();
    if (line == nullptr || line->size() != 3 || (*line)[0].as_text() == nullptr || (*line)[1].as_text() == nullptr) {
      throw Malformed("lines: expected entries of team, use and sum");
    }
    account.lines[{*(*line)[0].as_text(), parse_machine_use(*(*line)[1].as_text())}] = parse_usage_total((*line)[2]);
  }
  const Value::List& starts = value.list("starts");
  if (starts.size() != 4 || std::ranges::any_of(starts, [](const Value& one) { return one.as_count() == nullptr; })) {
    throw Malformed("starts: expected a list of four counts");
  }
  account.starts = {.warm = *starts[0].as_count(),
                    .cold = *starts[1].as_count(),
                    .warm_wait_ms = *starts[2].as_count(),
                    .cold_wait_ms = *starts[3].as_count()};
  return account;
}

std::string escape_key_part(std::string_view name) {
  std::string text;
  for (const char character : name) {
    if (is_unescaped_key_character(character)) {
      text += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    text += '%';
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 15U];
  }
  return text;
}

std::string unescape_key_part(std::string_view text) {
  std::string name;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] != '%' || position + 2 >= text.size()) {
      name += text[position];
      continue;
    }
    const std::size_t high = kHexDigits.find(text[position + 1]);
    const std::size_t low = kHexDigits.find(text[position + 2]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      throw Malformed("key: invalid percent escape in a name");
    name += static_cast<char>(high * 16 + low);
    position += 2;
  }
  return name;
}

std::string account_key(std::string_view pool, std::uint64_t day) {
  return kAccountPrefix + escape_key_part(pool) + "/" + std::to_string(day);
}

void split_by_hour(std::uint64_t from_ms, std::uint64_t to_ms,
                   const std::function<void(std::uint64_t hour, std::uint64_t span_ms)>& on_part) {
  while (from_ms < to_ms) {
    const std::uint64_t hour = from_ms / kMillisPerHour;
    const std::uint64_t end = std::min(to_ms, (hour + 1) * kMillisPerHour);
    on_part(hour, end - from_ms);
    from_ms = end;
  }
}

std::string format_date(std::uint64_t day) {
  const std::chrono::year_month_day date{
      std::chrono::sys_days(std::chrono::days(static_cast<std::chrono::days::rep>(day)))};
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text.data();
}

std::string format_money(std::uint64_t micros) {
  std::string remainder = std::to_string(micros % 1'000'000);
  return std::to_string(micros / 1'000'000) + "." + std::string(6 - remainder.size(), '0') + remainder;
}

}  // namespace foxshunt::accounts
