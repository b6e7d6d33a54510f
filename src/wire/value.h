// A CBOR item as foxshunt's interfaces use it: maps with text keys, lists, text, numbers, booleans, null.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace foxshunt::wire {

// Thrown when a message does not have the shape its interface asks for; what() names the field.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Value {
 public:
  using List = std::vector<Value>;
  using Map = std::vector<std::pair<std::string, Value>>;

  Value() = default;
  Value(std::nullptr_t) {}
  Value(bool flag) : item_(flag) {}
  Value(std::uint64_t number) : item_(number) {}
  Value(int number) : item_(static_cast<std::uint64_t>(number)) {
    if (number < 0) item_ = static_cast<double>(number);
  }
  Value(double number) : item_(number) {}
  Value(std::string text) : item_(std::move(text)) {}
  Value(std::string_view text) : item_(std::string(text)) {}
  Value(const char* text) : item_(std::string(text)) {}
  Value(List list) : item_(std::move(list)) {}
  Value(Map map) : item_(std::move(map)) {}

  [[nodiscard]] bool is_null() const { return std::holds_alternative<std::monostate>(item_); }
  [[nodiscard]] const bool* as_bool() const { return std::get_if<bool>(&item_); }
  [[nodiscard]] const std::uint64_t* as_count() const { return std::get_if<std::uint64_t>(&item_); }
  [[nodiscard]] const double* as_real() const { return std::get_if<double>(&item_); }
  [[nodiscard]] const std::string* as_text() const { return std::get_if<std::string>(&item_); }
  [[nodiscard]] const List* as_list() const { return std::get_if<List>(&item_); }
  [[nodiscard]] const Map* as_map() const { return std::get_if<Map>(&item_); }
  List* as_list() { return std::get_if<List>(&item_); }
  Map* as_map() { return std::get_if<Map>(&item_); }

  // The member of a map, or a null value when there is none.
  [[nodiscard]] const Value& operator[](std::string_view key) const;

  // Typed access to map members; each throws Malformed naming the field.
  [[nodiscard]] const std::string& text(std::string_view key) const;
  [[nodiscard]] std::uint64_t count(std::string_view key) const;
  [[nodiscard]] double amount(std::string_view key) const;  // finite and not negative
  [[nodiscard]] bool flag(std::string_view key) const;
  [[nodiscard]] const List& list(std::string_view key) const;

 private:
  std::variant<std::monostate, bool, std::uint64_t, double, std::string, List, Map> item_;
};

// Throws Malformed on anything but one whole well-formed item of these kinds.
[[nodiscard]] Value decode(std::string_view bytes);
[[nodiscard]] std::string encode(const Value& value);
// How long the item is in JSON form, which is how PROTOCOL counts sizes.
[[nodiscard]] std::size_t json_length(const Value& value);

}  // namespace foxshunt::wire
