#include "golden/golden_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <vector>

namespace foxshunt::golden {
namespace {

using Json = nlohmann::ordered_json;
using wire::Value;

constexpr std::string_view kJsonLine = "json ";
constexpr std::string_view kHexLine = "hex ";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr const char* kTheEnd = "(the end)";
constexpr std::size_t kExcerptBefore = 60;
constexpr std::size_t kExcerptLength = 160;

bool writes_golden() {
  const char* wanted = std::getenv("FOXSHUNT_WRITE_GOLDEN");
  return wanted != nullptr && std::string_view(wanted) == "1";
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

Json json_of(const Value& value) {
  if (const auto* flag = value.as_bool()) return *flag;
  if (const auto* count = value.as_count()) return *count;
  if (const auto* real = value.as_real()) return *real;
  if (const auto* text = value.as_text()) return *text;
  if (const auto* list = value.as_list()) {
    Json made = Json::array();
    for (const Value& entry : *list) made.push_back(json_of(entry));
    return made;
  }
  if (const auto* map = value.as_map()) {
    Json made = Json::object();
    for (const auto& [key, entry] : *map) made[key] = json_of(entry);
    return made;
  }
  return nullptr;
}

Value value_of(const Json& json) {
  switch (json.type()) {
    case Json::value_t::boolean: return json.get<bool>();
    case Json::value_t::number_unsigned: return json.get<std::uint64_t>();
    case Json::value_t::number_integer:
    case Json::value_t::number_float: return json.get<double>();
    case Json::value_t::string: return json.get<std::string>();
    case Json::value_t::array: {
      Value::List list;
      for (const Json& entry : json) list.push_back(value_of(entry));
      return list;
    }
    case Json::value_t::object: {
      Value::Map map;
      for (const auto& [key, entry] : json.items()) map.emplace_back(key, value_of(entry));
      return map;
    }
    default: return {};
  }
}

std::string bytes_from_hex(std::string_view hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
    const std::size_t high = kHexDigits.find(hex[at]);
    const std::size_t low = kHexDigits.find(hex[at + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) throw std::runtime_error("not hexadecimal");
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

// Lines may be long: what stands around the first sign that differs.
std::string excerpt(const std::string& line, std::size_t column) {
  const std::size_t from = column > kExcerptBefore ? column - kExcerptBefore : 0;
  return (from > 0 ? "..." : "") + line.substr(from, kExcerptLength) +
         (line.size() > from + kExcerptLength ? "..." : "");
}

struct Entry {
  std::size_t line = 0;  // of its head, from 1
  std::string head;
  std::string codec;
  std::string json;
  std::string hex;

  [[nodiscard]] Value value() const { return writes_golden() ? from_json(json) : wire::decode(bytes_from_hex(hex)); }
};

std::vector<Entry> entries_of(const std::vector<std::string>& lines) {
  std::vector<Entry> entries;
  for (std::size_t at = 0; at < lines.size(); ++at) {
    const std::string& line = lines[at];
    if (line.starts_with("[")) {
      entries.push_back(
          {.line = at + 1, .head = line, .codec = line.substr(1, line.find(']') - 1), .json = {}, .hex = {}});
    } else if (!entries.empty() && line.starts_with(kJsonLine)) {
      entries.back().json = line.substr(kJsonLine.size());
    } else if (!entries.empty() && line.starts_with(kHexLine)) {
      entries.back().hex = line.substr(kHexLine.size());
    }
  }
  return entries;
}

}  // namespace

std::string path_of(const std::string& file) { return std::string(FOXSHUNT_GOLDEN) + "/" + file; }

void expect_same(const std::string& file, const std::string& actual) {
  const std::string path = path_of(file);
  if (writes_golden()) {
    std::ofstream(path, std::ios::binary) << actual;
    ADD_FAILURE() << path << " was written; nothing was compared";
    return;
  }
  const std::string committed = read_file(path);
  if (committed == actual) return;
  const std::vector<std::string> wanted = lines_of(committed);
  const std::vector<std::string> found = lines_of(actual);
  std::size_t at = 0;
  while (at < wanted.size() && at < found.size() && wanted[at] == found[at]) ++at;
  const std::string golden = at < wanted.size() ? wanted[at] : kTheEnd;
  const std::string now = at < found.size() ? found[at] : kTheEnd;
  const auto column = static_cast<std::size_t>(std::ranges::mismatch(golden, now).in1 - golden.begin());
  ADD_FAILURE() << path << ":" << at + 1 << ":" << column + 1 << ": differs\n  golden: " << excerpt(golden, column)
                << "\n  actual: " << excerpt(now, column);
}

std::string to_json(const Value& value) { return json_of(value).dump(); }

Value from_json(std::string_view text) { return value_of(Json::parse(text)); }

std::string to_hex(const Value& value) {
  std::string hex;
  for (const char sign : wire::encode(value)) {
    const auto byte = static_cast<unsigned char>(sign);
    hex += kHexDigits[byte >> 4U];
    hex += kHexDigits[byte & 15U];
  }
  return hex;
}

void expect_read_back(const std::string& file, const std::map<std::string, Codec>& codecs) {
  std::ostringstream actual;
  std::set<std::string> used;
  const std::vector<Entry> entries = entries_of(lines_of(read_file(path_of(file))));
  ASSERT_FALSE(entries.empty()) << path_of(file);
  for (const Entry& entry : entries) {
    const auto codec = codecs.find(entry.codec);
    ASSERT_NE(codec, codecs.end()) << path_of(file) << ":" << entry.line << ": no codec " << entry.codec;
    used.insert(entry.codec);
    actual << entry.head << "\n";
    try {
      const Value again = codec->second(entry.value());
      actual << kJsonLine << to_json(again) << "\n" << kHexLine << to_hex(again) << "\n\n";
    } catch (const std::exception& error) {
      FAIL() << path_of(file) << ":" << entry.line << ": " << entry.head << ": cannot be read: " << error.what();
    }
  }
  for (const auto& [name, unused] : codecs) EXPECT_TRUE(used.contains(name)) << path_of(file) << ": none of " << name;
  expect_same(file, actual.str());
}

}  // namespace foxshunt::golden
