#include "node/http_responses.h"

namespace foxshunt::node {

using net::HttpResponse;

HttpResponse http(const user_api::Reply& reply) {
  return {.status = reply.status, .body = wire::encode(reply.body), .retry_after_s = reply.retry_after_s};
}

HttpResponse error_response(int status, const std::string& why) { return http(user_api::error_reply(status, why)); }

HttpResponse retry_later(const std::string& why) { return http(user_api::come_back(why)); }

}  // namespace foxshunt::node
