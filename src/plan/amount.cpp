#include "plan/amount.h"

#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace foxshunt::plan {
namespace {

constexpr int kDecimals = 21;  // of kUnitsPerWhole
// Enough for the shortest scientific form of any double: sign, 17 digits, point and exponent.
constexpr std::size_t kMaxTextLength = 32;

// A decimal number: `digits` times 10^`exponent`.
struct Decimal {
  AmountUnits digits = 0;
  int exponent = 0;
};

// The shortest decimal that reads back as `value`, which is positive and finite.
Decimal shortest_decimal(double value) {
  std::array<char, kMaxTextLength> buffer{};
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::scientific);
  const std::string_view text(buffer.data(), static_cast<std::size_t>(written.ptr - buffer.data()));
  const std::size_t exponent_mark = text.find('e');
  Decimal decimal;
  for (const char digit : text.substr(0, exponent_mark)) {
    if (digit != '.') decimal.digits = decimal.digits * 10 + (digit - '0');
  }
  const std::size_t point = text.find('.');
  const auto decimals = point == std::string_view::npos ? 0 : static_cast<int>(exponent_mark - point - 1);
  std::string_view exponent = text.substr(exponent_mark + 1);
  if (exponent.starts_with('+')) exponent.remove_prefix(1);  // std::from_chars refuses it
  std::from_chars(exponent.data(), exponent.data() + exponent.size(), decimal.exponent);
  decimal.exponent -= decimals;
  return decimal;
}

}  // namespace

AmountUnits to_amount_units(double whole) {
  if (!(whole > 0)) return 0;
  if (whole >= kMaxWholeAmount) return static_cast<AmountUnits>(kMaxWholeAmount) * kUnitsPerWhole;
  if (whole == std::floor(whole)) return static_cast<AmountUnits>(whole) * kUnitsPerWhole;
  const Decimal decimal = shortest_decimal(whole);
  AmountUnits units = decimal.digits;
  int exponent = decimal.exponent + kDecimals;
  for (; exponent > 0; --exponent) units *= 10;
  for (; exponent < 0 && units > 1; ++exponent) units = (units + 9) / 10;
  return units;
}

}  // namespace foxshunt::plan
