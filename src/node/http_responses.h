// Answers that all paths have in common.
#pragma once

#include <string>

#include "net/http.h"
#include "user_api/request.h"

namespace foxshunt::node {

[[nodiscard]] net::HttpResponse error_response(int status, const std::string& why);
[[nodiscard]] net::HttpResponse retry_later(const std::string& why);
// What the user API has answered.
[[nodiscard]] net::HttpResponse http(const user_api::Reply& reply);

}  // namespace foxshunt::node
