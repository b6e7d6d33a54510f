#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxshunt::net {

// An IPv4 address with its port; there is no name look-up.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
  friend bool operator==(const Address&, const Address&) = default;
};

[[nodiscard]] std::optional<Address> parse_address(std::string_view text);

}  // namespace foxshunt::net
