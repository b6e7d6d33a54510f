#include "standins/traffic_recorder.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>
#include <stdexcept>

namespace foxshunt::standins {

namespace {

constexpr std::size_t kNumberChars = 32;  // of the longest number that is written

template <typename Number>
void append_number(std::string& out, Number number) {
  std::array<char, kNumberChars> digits{};
  const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  out.append(digits.data(), written.ptr);
}

void append_quoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char one : text) {
    if (one == '"' || one == '\\') out += '\\';
    if (one == '\n') {
      out += "\\n";
    } else {
      out += one;
    }
  }
  out += '"';
}

// The shortest text that reads back as the same value; a real number is told from a count.
void append_value(std::string& out, const wire::Value& value) {
  if (value.is_null()) {
    out += "null";
  } else if (const bool* flag = value.as_bool()) {
    out += *flag ? "true" : "false";
  } else if (const std::uint64_t* count = value.as_count()) {
    append_number(out, *count);
  } else if (const double* real = value.as_real()) {
    append_number(out, *real);
    out += 'r';
  } else if (const std::string* text = value.as_text()) {
    append_quoted(out, *text);
  } else if (const wire::Value::List* list = value.as_list()) {
    out += '[';
    for (const wire::Value& item : *list) {
      append_value(out, item);
      out += ',';
    }
    out += ']';
  } else if (const wire::Value::Map* map = value.as_map()) {
    out += '{';
    for (const auto& [key, item] : *map) {
      append_quoted(out, key);
      out += ':';
      append_value(out, item);
      out += ',';
    }
    out += '}';
  }
}

void append_name(std::string& out, std::string_view name) {
  out += ' ';
  out += name;
  out += '=';
}

}  // namespace

TrafficMessage& TrafficMessage::add(std::string_view name, std::string_view value) {
  append_name(text_, name);
  append_quoted(text_, value);
  return *this;
}

TrafficMessage& TrafficMessage::add(std::string_view name, std::uint64_t number) {
  append_name(text_, name);
  append_number(text_, number);
  return *this;
}

TrafficMessage& TrafficMessage::add(std::string_view name, const wire::Value& value) {
  append_name(text_, name);
  append_value(text_, value);
  return *this;
}

TrafficMessage& TrafficMessage::add_bytes(std::string_view name, std::string_view bytes) {
  append_name(text_, name);
  append_number(text_, bytes.size());
  text_ += ':';
  append_number(text_, XXH3_64bits(bytes.data(), bytes.size()));
  return *this;
}

TrafficRecorder::TrafficRecorder(const std::string& trace_file) : trace_(trace_file) {
  if (!trace_) throw std::runtime_error(trace_file + " can't be written");
}

void TrafficRecorder::record(const TrafficMessage& message) {
  std::string line;
  append_number(line, now_.time_since_epoch().count());
  line += ' ';
  line += message.text();
  line += '\n';
  if (trace_.is_open()) trace_ << line;
  digest_ = XXH3_64bits_withSeed(line.data(), line.size(), digest_);
  ++count_;
}

}  // namespace foxshunt::standins
