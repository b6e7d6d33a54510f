// Answers that all paths have in common.
#pragma once

#include <string>

#include "net/http.h"
#include "user_api/request.h"

namespace foxshunt::node {

/// An error that repeating the request does not mend.
[[nodiscard]] net::HttpResponse error_response(int status, const std::string& why);
/// 503 with the time after which to try again.
[[nodiscard]] net::HttpResponse retry_later(const std::string& why);
/// The user API's reply as an HTTP response.
[[nodiscard]] net::HttpResponse http(const user_api::Reply& reply);

}  // namespace foxshunt::node
