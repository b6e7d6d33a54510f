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

constexpr std::array<std::string_view, 4> kUseNames{"idle", "warming", "borrowed", "own"};
constexpr std::string_view kHex = "0123456789ABCDEF";

bool plain(char sign) {
  return (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z') || (sign >= '0' && sign <= '9') || sign == '_' ||
         sign == '.' || sign == '-';
}

}  // namespace

std::string_view name_of(Use use) { return kUseNames[static_cast<std::size_t>(use)]; }

Use use_from(std::string_view name) {
  const auto* const found = std::ranges::find(kUseNames, name);
  if (found == kUseNames.end()) throw Malformed("use: unknown value");
  return static_cast<Use>(found - kUseNames.begin());
}

void Line::add(std::uint64_t span_ms, std::uint64_t micros_hour) {
  machine_ms += span_ms;
  // Whole hours apart, so that no product is beyond 64 bits.
  const std::uint64_t part = span_ms % kMillisPerHour * micros_hour + rest;
  micros += span_ms / kMillisPerHour * micros_hour + part / kMillisPerHour;
  rest = part % kMillisPerHour;
}

Starts& Starts::operator+=(const Starts& other) {
  warm += other.warm;
  cold += other.cold;
  warm_wait_ms += other.warm_wait_ms;
  cold_wait_ms += other.cold_wait_ms;
  return *this;
}

std::uint64_t Starts::saved_ms() const {
  if (warm == 0 || cold == 0) return 0;
  const std::uint64_t as_cold = cold_wait_ms / cold * warm;
  return as_cold > warm_wait_ms ? as_cold - warm_wait_ms : 0;
}

void Account::add(const std::string& team, Use use, std::uint64_t span_ms, std::uint64_t micros_hour) {
  std::pair<std::string, Use> key{team, use};
  // Bounded: what more teams use is one team's line, without a name.
  if (!lines.contains(key) && lines.size() >= constants::kMaxAccountLines) key.first.clear();
  lines[key].add(span_ms, micros_hour);
}

Line Account::total() const {
  Line sum;
  std::uint64_t rests = 0;
  for (const auto& [unused, line] : lines) {
    sum.machine_ms += line.machine_ms;
    sum.micros += line.micros;
    rests += line.rest;
  }
  sum.micros += rests / kMillisPerHour;
  sum.rest = rests % kMillisPerHour;
  return sum;
}

Value to_value(const Line& line) { return Value::List{line.machine_ms, line.micros, line.rest}; }

Line line_from(const Value& value) {
  const Value::List* list = value.as_list();
  if (list == nullptr || list->size() != 3 ||
      std::ranges::any_of(*list, [](const Value& one) { return one.as_count() == nullptr; })) {
    throw Malformed("line: not a sum");
  }
  return {.machine_ms = *(*list)[0].as_count(), .micros = *(*list)[1].as_count(), .rest = *(*list)[2].as_count()};
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

Account account_from(const Value& value) {
  Account account;
  account.payer = value.text("payer");
  for (const Value& entry : value.list("lines")) {
    const Value::List* line = entry.as_list();
    if (line == nullptr || line->size() != 3 || (*line)[0].as_text() == nullptr || (*line)[1].as_text() == nullptr) {
      throw Malformed("lines: entry is not a line");
    }
    account.lines[{*(*line)[0].as_text(), use_from(*(*line)[1].as_text())}] = line_from((*line)[2]);
  }
  const Value::List& starts = value.list("starts");
  if (starts.size() != 4 || std::ranges::any_of(starts, [](const Value& one) { return one.as_count() == nullptr; })) {
    throw Malformed("starts: not four counts");
  }
  account.starts = {.warm = *starts[0].as_count(),
                    .cold = *starts[1].as_count(),
                    .warm_wait_ms = *starts[2].as_count(),
                    .cold_wait_ms = *starts[3].as_count()};
  return account;
}

std::string key_text(std::string_view name) {
  std::string text;
  for (const char sign : name) {
    if (plain(sign)) {
      text += sign;
      continue;
    }
    const auto byte = static_cast<unsigned char>(sign);
    text += '%';
    text += kHex[byte >> 4U];
    text += kHex[byte & 15U];
  }
  return text;
}

std::string name_of_key(std::string_view text) {
  std::string name;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%' || at + 2 >= text.size()) {
      name += text[at];
      continue;
    }
    const std::size_t high = kHex.find(text[at + 1]);
    const std::size_t low = kHex.find(text[at + 2]);
    if (high == std::string_view::npos || low == std::string_view::npos) throw Malformed("key: not a name");
    name += static_cast<char>(high * 16 + low);
    at += 2;
  }
  return name;
}

std::string account_key(std::string_view pool, std::uint64_t day) {
  return kAccountPrefix + key_text(pool) + "/" + std::to_string(day);
}

void by_hours(std::uint64_t from_ms, std::uint64_t to_ms,
              const std::function<void(std::uint64_t hour, std::uint64_t span_ms)>& each) {
  while (from_ms < to_ms) {
    const std::uint64_t hour = from_ms / kMillisPerHour;
    const std::uint64_t end = std::min(to_ms, (hour + 1) * kMillisPerHour);
    each(hour, end - from_ms);
    from_ms = end;
  }
}

std::string date_of(std::uint64_t day) {
  const std::chrono::year_month_day date{
      std::chrono::sys_days(std::chrono::days(static_cast<std::chrono::days::rep>(day)))};
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text.data();
}

std::string money_text(std::uint64_t micros) {
  std::string rest = std::to_string(micros % 1'000'000);
  return std::to_string(micros / 1'000'000) + "." + std::string(6 - rest.size(), '0') + rest;
}

}  // namespace foxshunt::accounts
