// How commands ask a controller and show what it answers.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cli/client.h"
#include "net/http.h"
#include "wire/value.h"

namespace foxshunt::cli {

// Asks until there is an answer that settles it, as PROTOCOL's users do: 429, 503, 504 and silence are tried again for a
// minute. Nothing, and a word on standard error, when there was none. Throws std::invalid_argument for a bad address.
class Asker {
 public:
  explicit Asker(const std::string& to);
  [[nodiscard]] std::optional<net::HttpResponse> ask(const net::HttpRequest& request);

 private:
  std::string to_;
  net::HttpClient client_;
};
[[nodiscard]] std::optional<net::HttpResponse> ask(const std::string& to, const net::HttpRequest& request);

// Shows the body of a good answer, or says why there is none.
Exit show(const net::HttpResponse& answer, const std::function<void(const wire::Value&)>& good);

[[nodiscard]] nlohmann::json to_json(const wire::Value& value);

}  // namespace foxshunt::cli
