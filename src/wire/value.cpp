#include "wire/value.h"

#include <cbor.h>

#include <array>
#include <cmath>

namespace foxshunt::wire {
namespace {

constexpr std::size_t kMaxDepth = 16;       // deepest message of PROTOCOL has 6 levels
constexpr std::size_t kMaxItems = 200'000;  // a state listing of 512 KiB stays far below

// Builds a Value from libcbor's streaming callbacks. Nothing is reserved by announced lengths, so an absurd
// length costs nothing: it ends as a message that is too short.
class Builder {
 public:
  [[nodiscard]] bool done() const { return done_; }
  [[nodiscard]] const char* error() const { return error_; }
  Value take() { return std::move(root_); }

  void scalar(Value value) {
    if (error_ != nullptr) return;
    if (++items_ > kMaxItems) return fail("too many items");
    if (stack_.empty()) {
      root_ = std::move(value);
      done_ = true;
      return;
    }
    Frame& top = stack_.back();
    if (top.is_map && !top.has_key) {
      const std::string* key = value.as_text();
      if (key == nullptr) return fail("map key is not text");
      top.key = *key;
      top.has_key = true;
      return;
    }
    if (top.is_map) {
      if (top.map.size() < 64) {
        for (const auto& [known, unused] : top.map) {
          if (known == top.key) return fail("duplicate map key");
        }
      }
      top.map.emplace_back(std::move(top.key), std::move(value));
      top.has_key = false;
    } else {
      top.list.push_back(std::move(value));
    }
    if (!top.indefinite && --top.left == 0) close();
  }

  void open(bool is_map, bool indefinite, std::uint64_t size) {
    if (error_ != nullptr) return;
    if (stack_.size() >= kMaxDepth) return fail("nested too deeply");
    if (!stack_.empty() && stack_.back().is_map && !stack_.back().has_key) return fail("map key is not text");
    if (in_text_) return fail("item inside a text");
    stack_.push_back(Frame{.is_map = is_map, .indefinite = indefinite, .left = size});
    if (!indefinite && size == 0) close();
  }

  void text(std::string_view part) {
    if (in_text_) {
      chunks_ += part;
    } else {
      scalar(Value(part));
    }
  }
  void open_text() {
    if (in_text_) return fail("item inside a text");
    in_text_ = true;
    chunks_.clear();
  }
  void end_indefinite() {
    if (error_ != nullptr) return;
    if (in_text_) {
      in_text_ = false;
      scalar(Value(std::move(chunks_)));
      chunks_.clear();
      return;
    }
    if (stack_.empty() || !stack_.back().indefinite || stack_.back().has_key) return fail("stray break");
    close();
  }
  void fail(const char* why) {
    if (error_ == nullptr) error_ = why;
  }

 private:
  struct Frame {
    bool is_map = false;
    bool indefinite = false;
    bool has_key = false;
    std::uint64_t left = 0;
    std::string key{};
    Value::List list{};
    Value::Map map{};
  };

  void close() {
    Frame top = std::move(stack_.back());
    stack_.pop_back();
    scalar(top.is_map ? Value(std::move(top.map)) : Value(std::move(top.list)));
  }

  std::vector<Frame> stack_;
  Value root_;
  std::string chunks_;
  std::size_t items_ = 0;
  const char* error_ = nullptr;
  bool in_text_ = false;
  bool done_ = false;
};

Builder& builder(void* context) { return *static_cast<Builder*>(context); }

template <typename Number>
void on_unsigned(void* context, Number number) {
  builder(context).scalar(Value(static_cast<std::uint64_t>(number)));
}
template <typename Number>
void on_negative(void* context, Number number) {
  builder(context).scalar(Value(-1.0 - static_cast<double>(number)));
}
void on_real(void* context, double number) { builder(context).scalar(Value(number)); }
void on_bytes(void* context, cbor_data, std::uint64_t) { builder(context).fail("byte string"); }

cbor_callbacks make_callbacks() {
  cbor_callbacks calls = cbor_empty_callbacks;
  calls.uint8 = on_unsigned<std::uint8_t>;
  calls.uint16 = on_unsigned<std::uint16_t>;
  calls.uint32 = on_unsigned<std::uint32_t>;
  calls.uint64 = on_unsigned<std::uint64_t>;
  calls.negint8 = on_negative<std::uint8_t>;
  calls.negint16 = on_negative<std::uint16_t>;
  calls.negint32 = on_negative<std::uint32_t>;
  calls.negint64 = on_negative<std::uint64_t>;
  calls.byte_string = on_bytes;
  calls.byte_string_start = [](void* c) { builder(c).fail("byte string"); };
  calls.string = [](void* c, cbor_data data, std::uint64_t length) {
    builder(c).text({reinterpret_cast<const char*>(data), length});
  };
  calls.string_start = [](void* c) { builder(c).open_text(); };
  calls.array_start = [](void* c, std::uint64_t size) { builder(c).open(false, false, size); };
  calls.indef_array_start = [](void* c) { builder(c).open(false, true, 0); };
  calls.map_start = [](void* c, std::uint64_t size) { builder(c).open(true, false, size); };
  calls.indef_map_start = [](void* c) { builder(c).open(true, true, 0); };
  calls.tag = [](void* c, std::uint64_t) { builder(c).fail("tagged item"); };
  calls.float2 = [](void* c, float number) { on_real(c, number); };
  calls.float4 = [](void* c, float number) { on_real(c, number); };
  calls.float8 = on_real;
  calls.boolean = [](void* c, bool flag) { builder(c).scalar(Value(flag)); };
  calls.null = [](void* c) { builder(c).scalar(Value()); };
  calls.undefined = [](void* c) { builder(c).fail("undefined item"); };
  calls.indef_break = [](void* c) { builder(c).end_indefinite(); };
  return calls;
}

using Encoder = std::size_t (*)(std::uint64_t, unsigned char*, std::size_t);

void put_head(std::string& out, Encoder encoder, std::uint64_t number) {
  std::array<unsigned char, 9> head{};
  const std::size_t length = encoder(number, head.data(), head.size());
  out.append(reinterpret_cast<const char*>(head.data()), length);
}

std::size_t encode_uint(std::uint64_t n, unsigned char* b, std::size_t s) { return cbor_encode_uint(n, b, s); }
std::size_t encode_string(std::uint64_t n, unsigned char* b, std::size_t s) {
  return cbor_encode_string_start(n, b, s);
}
std::size_t encode_array(std::uint64_t n, unsigned char* b, std::size_t s) { return cbor_encode_array_start(n, b, s); }
std::size_t encode_map(std::uint64_t n, unsigned char* b, std::size_t s) { return cbor_encode_map_start(n, b, s); }

void put(std::string& out, const Value& value) {
  std::array<unsigned char, 9> small{};
  std::size_t length = 0;
  if (value.is_null()) {
    length = cbor_encode_null(small.data(), small.size());
  } else if (const bool* flag = value.as_bool()) {
    length = cbor_encode_bool(*flag, small.data(), small.size());
  } else if (const std::uint64_t* number = value.as_count()) {
    put_head(out, encode_uint, *number);
  } else if (const double* real = value.as_real()) {
    length = cbor_encode_double(*real, small.data(), small.size());
  } else if (const std::string* text = value.as_text()) {
    put_head(out, encode_string, text->size());
    out += *text;
  } else if (const Value::List* list = value.as_list()) {
    put_head(out, encode_array, list->size());
    for (const Value& item : *list) put(out, item);
  } else if (const Value::Map* map = value.as_map()) {
    put_head(out, encode_map, map->size());
    for (const auto& [key, item] : *map) {
      put_head(out, encode_string, key.size());
      out += key;
      put(out, item);
    }
  }
  out.append(reinterpret_cast<const char*>(small.data()), length);
}

[[noreturn]] void missing(std::string_view key, const char* want) { throw Malformed(std::string(key) + ": " + want); }

}  // namespace

Value decode(std::string_view bytes) {
  static const cbor_callbacks kCallbacks = make_callbacks();
  Builder build;
  std::size_t at = 0;
  while (!build.done()) {
    const cbor_decoder_result step =
        cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()) + at, bytes.size() - at, &kCallbacks, &build);
    if (step.status == CBOR_DECODER_NEDATA) throw Malformed("CBOR ends early");
    if (step.status != CBOR_DECODER_FINISHED) throw Malformed("not CBOR");
    if (build.error() != nullptr) throw Malformed(build.error());
    at += step.read;
  }
  if (at != bytes.size()) throw Malformed("bytes after the CBOR item");
  return build.take();
}

std::string encode(const Value& value) {
  std::string out;
  put(out, value);
  return out;
}

std::size_t json_length(const Value& value) {
  if (const std::string* text = value.as_text()) return text->size() + 2;
  if (const std::uint64_t* number = value.as_count()) return std::to_string(*number).size();
  if (value.as_real() != nullptr) return 24;  // the longest that a double is printed
  std::size_t sum = 5;
  if (const Value::List* list = value.as_list()) {
    for (const Value& item : *list) sum += json_length(item) + 1;
  } else if (const Value::Map* map = value.as_map()) {
    for (const auto& [key, item] : *map) sum += key.size() + 4 + json_length(item);
  }
  return sum;
}

const Value& Value::operator[](std::string_view key) const {
  static const Value kNull;
  if (const Map* map = as_map()) {
    for (const auto& [name, item] : *map) {
      if (name == key) return item;
    }
  }
  return kNull;
}

const std::string& Value::text(std::string_view key) const {
  const std::string* found = (*this)[key].as_text();
  if (found == nullptr) missing(key, "must be text");
  return *found;
}

std::uint64_t Value::count(std::string_view key) const {
  const Value& item = (*this)[key];
  if (const std::uint64_t* number = item.as_count()) return *number;
  // Some encoders write whole numbers as floats; up to 2^53 that is exact.
  if (const double* real = item.as_real()) {
    if (*real >= 0 && *real < 9007199254740992.0 && std::floor(*real) == *real) {
      return static_cast<std::uint64_t>(*real);
    }
  }
  missing(key, "must be a whole number that is not negative");
}

double Value::amount(std::string_view key) const {
  const Value& item = (*this)[key];
  double found = -1;
  if (const std::uint64_t* number = item.as_count()) found = static_cast<double>(*number);
  if (const double* real = item.as_real()) found = *real;
  if (!std::isfinite(found) || found < 0) missing(key, "must be a finite number that is not negative");
  return found;
}

bool Value::flag(std::string_view key) const {
  const bool* found = (*this)[key].as_bool();
  if (found == nullptr) missing(key, "must be true or false");
  return *found;
}

const Value::List& Value::list(std::string_view key) const {
  const List* found = (*this)[key].as_list();
  if (found == nullptr) missing(key, "must be a list");
  return *found;
}

}  // namespace foxshunt::wire
